//! Determines whether a target crashed under requests whose connections broke.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use decide::fleet::Presence;
use decide::quarantine::{ConnectOutcome, Verdict, judge};
use model::forward::{Fingerprint, Target, TargetId};
use model::{Name, Time};

use super::RequestKeys;
use crate::events::Event;
use crate::links;
use crate::node::Node;
use crate::upstream;

/// Delays before each connection attempt to a target. The second attempt catches a target whose
/// connections broke shortly before its listening socket closed.
const CONNECT_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];
/// Interval at which the target's presence in discovery is checked after those attempts.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which its presence is checked: the entry of a crashed target expires within three
/// heartbeats, usually within 2 s.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of requests, and of prompt parts, named in one log line.
const MAX_LOGGED: usize = 8;

/// Work that was interrupted at a target.
#[derive(Clone, PartialEq, Eq)]
pub(super) enum Work {
    /// A request of this node.
    Request(RequestKeys),
    /// Pieces of an attempt, which any node may be serving.
    Pieces(Name),
}

/// Interrupted work of a target for which no verdict has been reached yet.
struct CrashCheck {
    started_at: Time,
    work: Vec<Work>,
    /// Evidence of the crash from another request.
    evidence: Option<&'static str>,
}

impl CrashCheck {
    /// Shared prompt parts of the requests.
    fn parts(&self) -> impl Iterator<Item = Fingerprint> {
        let requests = self.work.iter().filter_map(|work| match work {
            Work::Request(keys) => Some(keys),
            Work::Pieces(_) => None,
        });
        requests.flat_map(|keys| keys.parts.iter().copied())
    }
}

/// Checks in progress, by target.
#[derive(Default)]
pub(super) struct CrashChecks(RefCell<HashMap<TargetId, CrashCheck>>);

impl CrashChecks {
    /// Starts a check of a target that may have begun this work and did not answer it completely,
    /// or adds the work to a check in progress.
    pub fn start_check(&self, node: &Rc<Node>, target: &Target, work: Vec<Work>) {
        let mut checks = self.0.borrow_mut();
        if let Some(check) = checks.get_mut(&target.id) {
            let new = work.into_iter().filter(|w| !check.work.contains(w));
            let new: Vec<Work> = new.collect();
            check.work.extend(new);
            return;
        }
        let presence = node.fleet(|f| f.presence(&target.id));
        if matches!(presence, Presence::Draining | Presence::Removed) {
            // A planned stop was announced before the connection broke.
            return;
        }
        let check = CrashCheck { started_at: node.now(), work, evidence: None };
        checks.insert(target.id.clone(), check);
        tokio::task::spawn_local(run_check(node.clone(), target.clone()));
    }

    /// Whether a check of this target is in progress.
    pub fn is_checking(&self, target: &TargetId) -> bool {
        self.0.borrow().contains_key(target)
    }

    /// Records evidence from another send that the target has crashed.
    pub fn record_evidence(&self, target: &TargetId, how: &'static str) {
        if let Some(check) = self.0.borrow_mut().get_mut(target) {
            check.evidence.get_or_insert(how);
        }
    }

    fn verdict(&self, node: &Node, target: &TargetId, outcome: ConnectOutcome) -> Verdict {
        let evidence = self.0.borrow().get(target).and_then(|check| check.evidence);
        match judge(node.fleet(|f| f.presence(target)), outcome) {
            Verdict::Undecided => evidence.map_or(Verdict::Undecided, Verdict::Crashed),
            verdict => verdict,
        }
    }
}

async fn run_check(node: Rc<Node>, target: Target) {
    let verdict = await_verdict(&node, &target).await;
    let Some(check) = node.quarantine.crash_checks.0.borrow_mut().remove(&target.id) else {
        return;
    };
    if let Verdict::Crashed(how) = verdict {
        log_crash(&node, &target, how, &check);
        node.quarantine.target_crashed(&node, &target, check.work);
    }
}

async fn await_verdict(node: &Rc<Node>, target: &Target) -> Verdict {
    let mut outcome = ConnectOutcome::NoResponse;
    for delay in CONNECT_DELAYS {
        tokio::time::sleep(delay).await;
        outcome = match upstream::connect_target(node, target).await {
            Ok(_) => ConnectOutcome::Accepted,
            // At a node that reaches no target, a refusal proves nothing.
            Err(e) if e.is_refused() && links::reaches_others(node, target).await => {
                ConnectOutcome::Refused
            }
            Err(_) => ConnectOutcome::NoResponse,
        };
        match node.quarantine.crash_checks.verdict(node, &target.id, outcome) {
            Verdict::Undecided => {}
            verdict => return verdict,
        }
    }
    let deadline = node.now() + PRESENCE_TIMEOUT;
    while node.now() < deadline {
        tokio::time::sleep(PRESENCE_INTERVAL).await;
        match node.quarantine.crash_checks.verdict(node, &target.id, outcome) {
            Verdict::Undecided => {}
            verdict => return verdict,
        }
    }
    Verdict::Undecided
}

fn log_crash(node: &Node, target: &Target, how: &str, check: &CrashCheck) {
    let same = check.work.iter().take(MAX_LOGGED).map(|work| match work {
        Work::Request(keys) => keys.request.to_string(),
        Work::Pieces(attempt) => format!("pieces of {attempt}"),
    });
    let same: Vec<String> = same.collect();
    let parts: BTreeSet<Fingerprint> = check.parts().collect();
    let parts: Vec<String> = parts.iter().take(MAX_LOGGED).map(Fingerprint::to_string).collect();
    node.metrics.count_crash(&target.service);
    Event::Ended {
        target: &target.id.name,
        service: &target.service,
        how,
        running: check.work.len(),
        same: &same,
        parts: &parts,
        after_ms: node.now().since(check.started_at).as_millis() as u64,
    }
    .emit();
}
