//! Validation of a set of declarations. Each fault names the object and the field, and states the
//! expected value.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{ObjectSet, Pipeline, Pool, Role, Workspace};
use crate::{Name, name};

/// Maximum number of stages in a pipeline.
const MAX_STAGES: usize = 16;
/// Maximum deadline of a workspace: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Invalid field of a declared object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, displaydoc::Display, thiserror::Error)]
#[displaydoc("{object}: {field}: {reason}")]
pub struct Fault {
    /// `Kind/name` of the object.
    pub object: Name,
    /// Path of the field.
    pub field: String,
    /// Problem and expected value.
    pub reason: String,
}

struct Faults {
    list: Vec<Fault>,
    object: Name,
}

impl Faults {
    fn push(&mut self, field: impl Into<String>, reason: impl Into<String>) {
        let object = self.object.clone();
        self.list.push(Fault { object, field: field.into(), reason: reason.into() });
    }

    fn name(&mut self, field: impl Into<String>, value: &str) {
        if let Err(e) = name::check(value) {
            self.push(field, format!("{value:?}: {e}"));
        }
    }
}

/// Validates a whole set; an empty result means that it can be accepted.
pub fn check(set: &ObjectSet) -> Vec<Fault> {
    let mut f = Faults { list: Vec::new(), object: "".into() };
    let mut owners = BTreeMap::new();
    for (n, p) in &set.pools {
        f.object = format!("Pool/{n}").into();
        f.name("name", n);
        check_pool(p, &mut owners, &mut f);
    }
    for (n, m) in &set.models {
        f.object = format!("Model/{n}").into();
        f.name("name", n);
        f.name("spec.version", &m.version);
        match set.pools.get(&m.pool) {
            None => f.push("spec.pool", format!("no Pool is named {:?}", m.pool)),
            Some(p) if p.role != Role::Engine => {
                f.push("spec.pool", format!("pool {:?} must have the role engine", m.pool));
            }
            Some(p) if m.replicas as usize > p.targets.len() => f.push(
                "spec.replicas",
                format!("at most {}, the pool's count of targets", p.targets.len()),
            ),
            Some(_) => {}
        }
        if m.replicas == 0 {
            f.push("spec.replicas", "must be 1 or more");
        }
    }
    for (n, p) in &set.pipelines {
        f.object = format!("Pipeline/{n}").into();
        f.name("name", n);
        check_pipeline(p, set, &mut f);
    }
    for (n, w) in &set.workspaces {
        f.object = format!("Workspace/{n}").into();
        f.name("name", n);
        check_workspace(w, set, &mut f);
    }
    for (n, d) in &set.drains {
        f.object = format!("Drain/{n}").into();
        f.name("name", n);
        f.name("spec.host", &d.host);
    }
    f.list
}

fn check_pool(p: &Pool, owners: &mut BTreeMap<Name, Name>, f: &mut Faults) {
    if !p.cost.is_finite() || p.cost < 0.0 {
        f.push("spec.cost", "must be 0 or more");
    }
    for (i, t) in p.targets.iter().enumerate() {
        let at = |field: &str| format!("spec.targets[{i}].{field}");
        f.name(at("name"), &t.name);
        f.name(at("domain"), &t.domain);
        f.name(at("host"), &t.host);
        if t.address.parse::<SocketAddr>().is_err() {
            let reason =
                format!("{:?} is not an IP address and port such as 10.0.0.1:9000", t.address);
            f.push(at("address"), reason);
        }
        if let Some(other) = owners.insert(t.name.clone(), f.object.clone()) {
            f.push(at("name"), format!("{:?} is already a target of {other}", t.name));
        }
    }
}

fn check_pipeline(p: &Pipeline, set: &ObjectSet, f: &mut Faults) {
    if p.stages.is_empty() || p.stages.len() > MAX_STAGES {
        f.push("spec.stages", format!("must have 1 to {MAX_STAGES} stages"));
    }
    for (i, s) in p.stages.iter().enumerate() {
        let at = |field: &str| format!("spec.stages[{i}].{field}");
        f.name(at("name"), &s.name);
        if p.stages[..i].iter().any(|o| o.name == s.name) {
            f.push(at("name"), format!("{:?} stands twice in this pipeline", s.name));
        }
        let Some(pool) = set.pools.get(&s.pool) else {
            f.push(at("pool"), format!("no Pool is named {:?}", s.pool));
            continue;
        };
        match (&s.model, pool.role) {
            (None, Role::Engine) => f.push(at("model"), "a stage on engines needs a model"),
            (Some(m), Role::Engine) => match set.models.get(m) {
                None => f.push(at("model"), format!("no Model is named {m:?}")),
                Some(model) if model.pool != s.pool => {
                    f.push(at("model"), format!("model {m:?} is served by pool {:?}", model.pool));
                }
                Some(_) => {}
            },
            (Some(_), _) => f.push(at("model"), "only a stage on engines has a model"),
            (None, _) => {}
        }
    }
}

fn check_workspace(w: &Workspace, set: &ObjectSet, f: &mut Faults) {
    if w.deadline == 0 || w.deadline > MAX_DEADLINE_MS {
        f.push("spec.deadline", format!("must be 1 to {MAX_DEADLINE_MS} milliseconds"));
    }
    if w.grace > MAX_DEADLINE_MS {
        f.push("spec.grace", format!("must be 0 to {MAX_DEADLINE_MS} milliseconds"));
    }
    for (i, l) in w.limits.iter().enumerate() {
        let at = |field: &str| format!("spec.limits[{i}].{field}");
        if !set.pipelines.contains_key(&l.pipeline) {
            f.push(at("pipeline"), format!("no Pipeline is named {:?}", l.pipeline));
        }
        if !l.rate.is_finite() || l.rate <= 0.0 {
            f.push(at("rate"), "must be more than 0 requests per second");
        }
    }
}
