//! Agreement of the nodes of a failure domain that a target serves nothing.
//!
//! A node that a target fails repeatedly reports that to the target's keeper, a node of its own
//! failure domain. The keeper asks the others what they saw. If a second node saw the target fail
//! and none was served since the first failure, all are told to eject it: a target that is merely
//! busy serves some node, and one that a single node cannot reach serves the others. The first node
//! that has shown it to be healthy again reports that too.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{Evidence, FailureKind, FailureReport, TargetId};
use model::{Name, Time};

/// Minimum time between two queries about one target; doubles with each.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time in which a target must have served no node: one that is merely busy rejects several
/// requests in a moment.
const MIN_FAILURE_TIME: Duration = Duration::from_millis(250);
/// Maximum time between two queries about one target that keeps failing.
const MAX_QUERY_INTERVAL: Duration = Duration::from_secs(32);
/// Time without reports after which a target is forgotten.
const RETENTION: Duration = Duration::from_secs(60);
/// Nodes that must have seen a target fail, and the time within which they must have.
const MIN_WITNESSES: usize = 2;
const WITNESS_TIME: Duration = Duration::from_secs(5);

/// Evidence on one target.
#[derive(Debug)]
struct Case {
    kind: FailureKind,
    /// First of the failures that were reported last.
    since: Time,
    /// When each node last reported it.
    reporters: BTreeMap<Name, Time>,
    /// Whether the latest evidence shows that it serves nothing.
    is_ejected: bool,
    /// Whether nodes were told to eject it.
    was_announced: bool,
    next_query: Time,
    query_interval: Duration,
    reported_at: Time,
}

/// What the keeper does after a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Ask the other nodes for their evidence.
    Query,
    /// Tell the reporting node that the ejection is shared.
    Confirm,
    /// Nothing: the nodes were asked a moment ago.
    Wait,
}

/// Decision on the evidence of all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Whether all nodes are to eject the target.
    pub eject: bool,
    /// Nodes that saw it fail.
    pub failed: usize,
    /// Nodes that it served since the first failure.
    pub served: usize,
}

/// Keeper of targets that serve nothing.
#[derive(Debug, Default)]
pub struct EjectionKeeper {
    cases: BTreeMap<TargetId, Case>,
}

impl EjectionKeeper {
    /// Records a node's report.
    pub fn report(&mut self, from: &Name, report: &FailureReport, now: Time) -> KeeperAction {
        let since = now - Duration::from_millis(report.since_ms).max(MIN_FAILURE_TIME);
        let case = self.cases.entry(report.target.clone()).or_insert_with(|| Case {
            kind: report.kind,
            since,
            reporters: BTreeMap::new(),
            is_ejected: false,
            was_announced: false,
            next_query: now,
            query_interval: MIN_QUERY_INTERVAL,
            reported_at: now,
        });
        // The latest run of failures counts: before it, the target may have served others.
        case.since = case.since.max(since);
        case.kind = report.kind;
        case.reporters.retain(|_, at| now.since(*at) < WITNESS_TIME);
        case.reporters.insert(from.clone(), now);
        case.reported_at = now;
        if now >= case.next_query {
            case.next_query = now + case.query_interval;
            case.query_interval = (case.query_interval * 2).min(MAX_QUERY_INTERVAL);
            return KeeperAction::Query;
        }
        if case.is_ejected { KeeperAction::Confirm } else { KeeperAction::Wait }
    }

    /// The report to query and announce, with its age as of now.
    pub fn current(&self, target: &TargetId, now: Time) -> Option<FailureReport> {
        let case = self.cases.get(target)?;
        let since_ms = now.since(case.since).as_millis() as u64;
        Some(FailureReport { target: target.clone(), kind: case.kind, since_ms })
    }

    /// Decides on the evidence of the nodes that answered, the keeper included.
    pub fn decide(&mut self, target: &TargetId, evidence: &[(Name, Evidence)]) -> Decision {
        let Some(case) = self.cases.get_mut(target) else {
            return Decision { eject: false, failed: 0, served: 0 };
        };
        let served = evidence.iter().filter(|(_, e)| *e == Evidence::Served).count();
        let failed = evidence.iter().filter(|(_, e)| *e == Evidence::Failed).map(|(name, _)| name);
        let failed = case.reporters.keys().chain(failed).collect::<BTreeSet<_>>().len();
        case.is_ejected = served == 0 && failed >= MIN_WITNESSES;
        case.was_announced |= case.is_ejected;
        if served > 0 {
            case.reporters.clear();
        }
        Decision { eject: case.is_ejected, failed, served }
    }

    /// Records that a node was served again; returns whether the others must be told.
    pub fn recovered(&mut self, target: &TargetId) -> bool {
        self.cases.remove(target).is_some_and(|case| case.was_announced)
    }

    /// Forgets targets without recent reports.
    pub fn expire(&mut self, now: Time) {
        self.cases.retain(|_, case| now.since(case.reported_at) < RETENTION);
    }
}
