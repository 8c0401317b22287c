//! Which targets are brittle, as known to one node.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Target, TargetId};
use model::{Name, Time};

/// Time for which one target's report counts for those targets of its service that said nothing yet.
const SERVICE_TTL: Duration = Duration::from_secs(30);
/// Interval at which all nodes are told of a service whose targets are brittle.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(12);
/// Time for which the report of a target that is no longer known is kept.
const RETENTION: Duration = Duration::from_secs(60);

/// Effect of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrittleChange {
    /// The target is brittle, or bears another number of rejections in a second.
    Named(u32),
    /// It is not brittle any more.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    max_rejected: Option<u32>,
    sent_at: Time,
}

/// Last report of any target of a service.
#[derive(Debug, Clone, Copy)]
struct ServiceReport {
    max_rejected: u32,
    at: Time,
    /// When this node last told others, or was told.
    announced_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Closure {
    until: Time,
    per_s: f64,
}

/// Targets that said that they are brittle.
#[derive(Debug, Default)]
pub struct BrittleTargets {
    reports: BTreeMap<TargetId, Report>,
    services: BTreeMap<Name, ServiceReport>,
    /// Targets without a free slot for this node.
    closed: BTreeMap<TargetId, Closure>,
}

impl BrittleTargets {
    /// Records the rejections in a second that a target bears by its answer to a request sent at
    /// `sent_at`; `None` if the answer says nothing.
    pub fn record(
        &mut self,
        target: &Target,
        max_rejected: Option<u32>,
        sent_at: Time,
        now: Time,
    ) -> Option<BrittleChange> {
        if let Some(max) = max_rejected {
            self.record_service(&target.service, max, now);
        }
        let known = self.reports.get(&target.id);
        if known.is_some_and(|report| sent_at < report.sent_at) {
            return None;
        }
        if known.is_none() && !self.services.contains_key(&target.service) {
            return None;
        }
        let before = known.and_then(|report| report.max_rejected);
        self.reports.insert(target.id.clone(), Report { max_rejected, sent_at });
        match max_rejected {
            after if after == before => None,
            Some(max) => Some(BrittleChange::Named(max)),
            None => {
                self.closed.remove(&target.id);
                Some(BrittleChange::Ended)
            }
        }
    }

    /// Rejections in a second that a target bears; `None` if it is not brittle. A target that has
    /// said nothing since others of its service did is taken to be like them.
    pub fn max_rejected(&self, target: &Target, now: Time) -> Option<u32> {
        let service = self.services.get(&target.service);
        let service = service.filter(|s| now.since(s.at) < SERVICE_TTL);
        match self.reports.get(&target.id) {
            Some(Report { max_rejected: Some(max), .. }) => Some(*max),
            Some(report) if service.is_none_or(|s| report.sent_at >= s.at) => None,
            _ => service.map(|s| s.max_rejected),
        }
    }

    /// Records that targets of a service are brittle, as reported by one of them or by a peer.
    pub fn record_service(&mut self, service: &Name, max_rejected: u32, now: Time) {
        let announced_at = self.services.get(service).and_then(|report| report.announced_at);
        let report = ServiceReport { max_rejected, at: now, announced_at };
        self.services.insert(service.clone(), report);
    }

    /// Whether to tell others now that targets of a service are brittle; they count as told then.
    pub fn begin_announcement(&mut self, service: &Name, now: Time) -> bool {
        let Some(report) = self.services.get_mut(service) else {
            return false;
        };
        let is_due = report.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL);
        if is_due {
            report.announced_at = Some(now);
        }
        is_due
    }

    /// Sends nothing to a target before `until`, whose slots serve `per_s` requests per second.
    pub fn close(&mut self, id: &TargetId, until: Time, per_s: f64) {
        self.closed.insert(id.clone(), Closure { until, per_s });
    }

    /// Whether this node sends nothing to a target now.
    pub fn is_closed(&self, id: &TargetId, now: Time) -> bool {
        self.closed.get(id).is_some_and(|closure| now < closure.until)
    }

    /// Targets to which this node sends nothing now.
    pub fn closed(&self, now: Time) -> impl Iterator<Item = &TargetId> {
        self.closed.iter().filter(move |(_, closure)| now < closure.until).map(|(id, _)| id)
    }

    /// Time until the first of these targets may have a free slot, and the requests per second that
    /// their slots serve; `None` if any is open.
    pub fn opening(&self, targets: &[TargetId], now: Time) -> Option<(Duration, f64)> {
        let closures = targets.iter().map(|id| self.closed.get(id).filter(|c| now < c.until));
        let closures = closures.collect::<Option<Vec<_>>>()?;
        let first = closures.iter().map(|c| c.until).min()?;
        Some((first.since(now), closures.iter().map(|c| c.per_s).sum()))
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        self.services.retain(|_, report| now.since(report.at) < SERVICE_TTL);
        self.closed.retain(|_, closure| now < closure.until);
        let is_kept = |id: &TargetId, report: &Report| {
            report.max_rejected.is_some() && is_known(id) || now.since(report.sent_at) < RETENTION
        };
        self.reports.retain(|id, report| is_kept(id, report));
    }
}
