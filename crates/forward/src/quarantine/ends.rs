//! Finds out whether targets ended under requests whose connections broke.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use decide::fleet::Presence;
use decide::quarantine::{ConnectOutcome, Verdict, judge};
use model::forward::{Fingerprint, Target, TargetId};
use model::{Name, Time};

use crate::events::Event;
use crate::node::Node;
use crate::upstream;

/// Pauses before a target is connected to. The second finds one whose connections broke a
/// moment before nobody listened any more.
const CONNECTS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];
/// Time between looks at what discovery says after that.
const LOOK: Duration = Duration::from_millis(200);
/// Time for which that is looked at: entries of targets that ended lapse within three of their
/// beats, most within 2 s.
const LOOKED_AT: Duration = Duration::from_secs(3);
/// Requests named in one line, at most.
const TOLD_MOST: usize = 8;

/// What broke off at a target.
#[derive(Clone, PartialEq, Eq)]
pub(super) enum Work {
    /// A request of this node.
    Request(Fingerprint),
    /// Pieces of an attempt that some node has taken.
    Pieces(Name),
}

/// What broke off at a target, while it is found out whether that ended.
struct Check {
    since: Time,
    work: Vec<Work>,
    /// How an end showed to another request.
    seen: Option<&'static str>,
}

/// Checks under way.
#[derive(Default)]
pub(super) struct Ends(RefCell<HashMap<TargetId, Check>>);

impl Ends {
    /// What a target may have begun broke off there without a whole answer.
    pub fn broke_off(&self, node: &Rc<Node>, target: &Target, work: Vec<Work>) {
        let mut checks = self.0.borrow_mut();
        if let Some(check) = checks.get_mut(&target.id) {
            let new = work.into_iter().filter(|w| !check.work.contains(w));
            let new: Vec<Work> = new.collect();
            check.work.extend(new);
            return;
        }
        let presence = node.fleet(|f| f.presence(&target.id));
        if matches!(presence, Presence::Draining | Presence::Removed) {
            // It was known to leave before the connection broke.
            return;
        }
        let check = Check { since: node.now(), work, seen: None };
        checks.insert(target.id.clone(), check);
        tokio::task::spawn_local(run(node.clone(), target.clone()));
    }

    /// Another send showed that a target has ended.
    pub fn seen(&self, target: &TargetId, how: &'static str) {
        if let Some(check) = self.0.borrow_mut().get_mut(target) {
            check.seen.get_or_insert(how);
        }
    }

    fn verdict(&self, node: &Node, target: &TargetId, contact: ConnectOutcome) -> Verdict {
        let seen = self.0.borrow().get(target).and_then(|check| check.seen);
        match judge(node.fleet(|f| f.presence(target)), contact) {
            Verdict::Undecided => seen.map_or(Verdict::Undecided, Verdict::Crashed),
            verdict => verdict,
        }
    }
}

async fn run(node: Rc<Node>, target: Target) {
    let verdict = find_out(&node, &target).await;
    let Some(check) = node.quarantine.ends.0.borrow_mut().remove(&target.id) else {
        return;
    };
    if let Verdict::Crashed(how) = verdict {
        tell(&node, &target, how, &check);
        node.quarantine.ended(&node, &target, check.work);
    }
}

async fn find_out(node: &Node, target: &Target) -> Verdict {
    let mut contact = ConnectOutcome::NoResponse;
    for pause in CONNECTS {
        tokio::time::sleep(pause).await;
        contact = match upstream::connect(target.address).await {
            Ok(_) => ConnectOutcome::Accepted,
            Err(e) if e.is_refused() => ConnectOutcome::Refused,
            Err(_) => ConnectOutcome::NoResponse,
        };
        match node.quarantine.ends.verdict(node, &target.id, contact) {
            Verdict::Undecided => {}
            verdict => return verdict,
        }
    }
    let until = node.now() + LOOKED_AT;
    while node.now() < until {
        tokio::time::sleep(LOOK).await;
        match node.quarantine.ends.verdict(node, &target.id, contact) {
            Verdict::Undecided => {}
            verdict => return verdict,
        }
    }
    Verdict::Undecided
}

fn tell(node: &Node, target: &Target, how: &str, check: &Check) {
    let same = check.work.iter().take(TOLD_MOST).map(|work| match work {
        Work::Request(request) => request.to_string(),
        Work::Pieces(attempt) => format!("pieces of {attempt}"),
    });
    let same: Vec<String> = same.collect();
    node.metrics.count_crash(&target.service);
    Event::Ended {
        target: &target.id.name,
        service: &target.service,
        how,
        running: check.work.len(),
        same: &same,
        after_ms: node.now().since(check.since).as_millis() as u64,
    }
    .emit();
}
