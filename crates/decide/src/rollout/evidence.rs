//! What one node's own requests show of the two versions of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Name;
use model::forward::{Answers, RouteEvidence, Side};

use super::Verdict;
use super::times;

/// By service and route, both sides, since the order.
#[derive(Debug, Default)]
pub struct Evidence {
    services: BTreeMap<Name, BTreeMap<Name, RouteEvidence>>,
}

impl Evidence {
    fn answers(&mut self, service: &Name, route: &Name, side: Side) -> &mut Answers {
        let routes = self.services.entry(service.clone()).or_default();
        let seen = routes.entry(route.clone()).or_insert_with(|| RouteEvidence {
            route: route.clone(),
            serving: Answers::default(),
            trial: Answers::default(),
        });
        match side {
            Side::Serving => &mut seen.serving,
            Side::Trial => &mut seen.trial,
        }
    }

    /// A request went out, repeats included.
    pub fn sent(&mut self, service: &Name, route: &Name, side: Side) {
        self.answers(service, route, side).sent += 1;
    }

    /// A good answer came after this time; from a target that was not cold.
    pub fn good(&mut self, service: &Name, route: &Name, side: Side, took: Duration) {
        times::count(&mut self.answers(service, route, side).times, took);
    }

    /// An answer was a failure of the version: not a connection that was refused or broke,
    /// which tells of a target, nor a refusal because it was full.
    pub fn bad(&mut self, service: &Name, route: &Name, side: Side) {
        self.answers(service, route, side).bad += 1;
    }

    /// All of a service, for the judge.
    pub fn report(&self, service: &str) -> Vec<RouteEvidence> {
        self.services.get(service).into_iter().flat_map(|routes| routes.values()).cloned().collect()
    }

    /// The order is over, or another one began.
    pub fn forget(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Whether this node's own requests alone prove the version on trial bad.
    pub fn proves_bad(&self, _service: &str) -> Option<Verdict> {
        None
    }
}
