//! State of one target as this node sees it, and the events that change it.

use std::time::Duration;

use model::Time;
use model::forward::{Evidence, FailureKind, FailureReport, ReportedLoad, Target};

use super::answers::AnswerStats;
use super::load::LoadReport;

/// Duration of the first ejection of a failing target.
const MIN_EJECTION: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection: a recovered target should get its share again soon.
const MAX_EJECTION: Duration = Duration::from_millis(2000);
/// Failure rate above which a failure ejects the target.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Consecutive rejections that eject a target; one that is merely busy accepts some in between.
const EJECT_REJECTIONS: u32 = 2;
/// Failure rate below which an ejected target counts as recovered.
const RECOVERED_FAILURE_RATE: f64 = 0.05;
/// Minimum time between two probes of a recovering target.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Failure rate assumed of a target that other nodes ejected: it takes two answers to count as
/// recovered, since one that rejects only some requests may answer the first.
const SHARED_FAILURE_RATE: f64 = 0.25;
/// Consecutive failures from which other nodes are asked about a target.
const MIN_REPORTED_FAILURES: u32 = 2;
/// Time after which a request in flight counts as accepted: rejections and lost connections show
/// sooner.
const ACCEPTED_AFTER: Duration = Duration::from_millis(50);
/// Time for which the last failure of a target is evidence for the report of another node.
const EVIDENCE_TTL: Duration = Duration::from_secs(5);

/// Outcome of one request to a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// Answered after this time.
    Answered(Duration),
    /// The target rejected the request without running it.
    Rejected,
    /// The target failed the request.
    Failed,
    /// The connection ended, or was given up, before the answer was complete.
    Interrupted,
    /// The target was unreachable, or its connection broke.
    Unreachable,
    /// Another target has taken over the address.
    Replaced,
    /// Nothing was sent, for a reason unrelated to the target.
    NotSent,
}

/// State of one start of a target according to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Listed and not draining.
    Present,
    /// Shutting down as planned.
    Draining,
    /// A later start has taken over the name.
    Restarted,
    /// Its entry was removed.
    Removed,
}

/// State of one target as this node sees it.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Entry reported by discovery; `cold_ms` is moved to `cold_until`.
    pub target: Target,
    /// End of the cold phase that discovery reports.
    pub cold_until: Time,
    /// When this node may next start a request here while the target is cold.
    pub next_start: Time,
    /// Set if the entry vanished around an outage of the store; the target is kept until then.
    pub missing_until: Option<Time>,
    /// Requests of this node in flight at the target.
    pub outstanding: u32,
    /// Prompt tokens of the requests that still wait for their first event.
    pub prefill_tokens: u64,
    stats: AnswerStats,
    load: Option<LoadReport>,
    /// The last load report could not be parsed.
    load_unreadable: bool,
    /// No requests are sent before this time unless all targets are ejected.
    pub ejected_until: Time,
    /// Ejections since the last answer.
    ejections: u32,
    /// Consecutive rejections.
    rejections: u32,
    /// Was ejected and has not been shown to be healthy since.
    recovering: bool,
    /// Was ejected for a request that did not run.
    not_run: bool,
    /// The nodes of the failure domain have agreed on the ejection and take turns with probes.
    shared: bool,
    /// Failures since the last answer, and when the first of them was.
    failures: u32,
    failing_since: Option<Time>,
    failed_at: Option<Time>,
    /// When the latest answer arrived.
    served_at: Option<Time>,
    /// When the latest head of an answer or event of a stream arrived.
    heard_at: Option<Time>,
    /// Since when requests have been in flight without a gap.
    busy_since: Time,
    /// Whether none of the requests in flight has been sent yet.
    is_unsent: bool,
    /// Time of the last probe.
    probed_at: Time,
}

impl TargetState {
    pub(super) fn new(target: Target, now: Time) -> Self {
        TargetState {
            cold_until: now + Duration::from_millis(target.cold_ms),
            target: Target { cold_ms: 0, ..target },
            next_start: Time::ZERO,
            missing_until: None,
            outstanding: 0,
            prefill_tokens: 0,
            stats: AnswerStats::default(),
            load: None,
            load_unreadable: false,
            ejected_until: Time::ZERO,
            ejections: 0,
            rejections: 0,
            recovering: false,
            not_run: false,
            shared: false,
            failures: 0,
            failing_since: None,
            failed_at: None,
            served_at: None,
            heard_at: None,
            busy_since: Time::ZERO,
            is_unsent: false,
            probed_at: Time::ZERO,
        }
    }

    /// Expected latency in milliseconds; `None` before the first answer.
    pub fn answer_ms(&self, now: Time) -> Option<f64> {
        self.stats.mean_ms(now)
    }

    /// Expected requests per slot: this node's, and those of other nodes as the target reported.
    pub fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(self.target.slots.max(1));
        own + self.load.map_or(0.0, |report| report.others(now))
    }

    /// Expected duration of work as a multiple of the baseline one.
    pub fn slowdown(&self, now: Time) -> f64 {
        self.load.map_or(1.0, |report| report.slowdown(now))
    }

    /// Expected share of failed requests, 0 to 1.
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.stats.failure_rate(now)
    }

    /// Whether the target is ejected for its failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether the next request should be a probe of a recovering target. A request that may not be
    /// repeated probes only a target whose ejection was for a request that did not run.
    pub fn needs_probe(&self, may_repeat: bool, now: Time) -> bool {
        let is_due = now.since(self.stats.observed_at().max(self.probed_at)) >= PROBE_INTERVAL;
        let is_free = self.recovering && !self.is_ejected(now) && self.outstanding == 0;
        is_free && is_due && (may_repeat || self.not_run)
    }

    /// Records that a request, which is counted as in flight, is sent to the target.
    pub(super) fn record_send(&mut self, now: Time) {
        if self.outstanding <= 1 || self.is_unsent {
            self.busy_since = now;
            self.is_unsent = false;
        }
    }

    /// Counts a request as in flight that is about to be sent.
    pub(super) fn count_request(&mut self, tokens: u64) {
        self.is_unsent |= self.outstanding == 0;
        self.outstanding += 1;
        self.prefill_tokens += tokens;
    }

    /// Whether a request has been in flight since before `time`.
    fn is_busy_since(&self, time: Time) -> bool {
        self.outstanding > 0 && !self.is_unsent && self.busy_since < time
    }

    /// Records that the target was picked for a request.
    pub(super) fn record_choice(&mut self, now: Time) {
        if self.recovering {
            self.probed_at = now;
        }
    }

    /// Applies an entry, whose cold time counts from now; returns whether its content has changed.
    pub(super) fn set_target(&mut self, target: Target, now: Time) -> bool {
        let was_cold = now < self.cold_until;
        self.cold_until = now + Duration::from_millis(target.cold_ms);
        // Entries from a node that sends no revision must not clear the known one.
        let known = self.target.revision;
        let revision = if target.revision > 0 { target.revision } else { known };
        let target = Target { cold_ms: 0, revision, ..target };
        self.target.revision = revision;
        let changed = target != self.target || was_cold != (now < self.cold_until);
        self.target = target;
        changed
    }

    /// The entry to send to another node now.
    pub(super) fn entry(&self, now: Time) -> Target {
        let cold_ms = self.cold_until.since(now).as_millis() as u64;
        Target { cold_ms, ..self.target.clone() }
    }

    /// Ejects the target, for longer each time. While it is ejected, runs that began before fail for
    /// the same reason and do not prolong that.
    fn eject(&mut self, not_run: bool, now: Time) {
        if self.is_ejected(now) {
            return;
        }
        let time = MIN_EJECTION * 2u32.pow(self.ejections.min(3));
        self.ejected_until = now + time.min(MAX_EJECTION);
        self.ejections += 1;
        self.recovering = true;
        self.not_run = not_run;
    }

    /// Records the outcome of a request.
    pub(super) fn observe(&mut self, observation: Observation, now: Time) {
        if observation == Observation::NotSent {
            return;
        }
        let answered = matches!(observation, Observation::Answered(_));
        self.stats.record_outcome(!answered, now);
        match observation {
            Observation::Rejected | Observation::Failed | Observation::Interrupted => {
                self.failures += 1;
                self.failing_since.get_or_insert(now);
                self.failed_at = Some(now);
            }
            // Trying again costs callers nothing, and it may be back any moment.
            Observation::Unreachable | Observation::Replaced => self.forget_failures(),
            Observation::Answered(_) | Observation::NotSent => {}
        }
        self.rejections =
            if observation == Observation::Rejected { self.rejections + 1 } else { 0 };
        let is_repeated = self.ejections > 0 || self.failure_rate(now) > EJECT_FAILURE_RATE;
        match observation {
            Observation::Answered(latency) => self.record_answer(latency, now),
            Observation::Unreachable | Observation::Replaced => self.eject(true, now),
            Observation::Rejected if is_repeated || self.rejections >= EJECT_REJECTIONS => {
                self.eject(true, now);
            }
            Observation::Failed | Observation::Interrupted if is_repeated => self.eject(false, now),
            Observation::Rejected | Observation::Failed | Observation::Interrupted => {}
            Observation::NotSent => {}
        }
    }

    fn record_answer(&mut self, latency: Duration, now: Time) {
        self.stats.record_latency(latency, now);
        (self.failures, self.failing_since) = (0, None);
        self.served_at = Some(now);
        self.ejections = 0;
        if self.recovering {
            self.stats.halve_failure_rate();
            self.recovering = self.failure_rate(now) > RECOVERED_FAILURE_RATE;
            self.shared &= self.recovering;
        }
    }

    /// Whether it was ejected and has not been shown to be healthy since.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// Whether the nodes of the failure domain have agreed on its ejection.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Its failures since the last answer, if they are worth a query to other nodes.
    pub fn failure_report(&self, now: Time) -> Option<FailureReport> {
        if self.failures < MIN_REPORTED_FAILURES {
            return None;
        }
        let kind = if self.not_run { FailureKind::NotRun } else { FailureKind::Failed };
        let since_ms = now.since(self.failing_since?).as_millis() as u64;
        Some(FailureReport { target: self.target.id.clone(), kind, since_ms })
    }

    /// What this node saw of it since the first failure in a report.
    pub(super) fn evidence(&self, since: Time, now: Time) -> Evidence {
        let has_accepted = self.is_busy_since(now - ACCEPTED_AFTER);
        if has_accepted || self.served_at.is_some_and(|at| at >= since) {
            return Evidence::Served;
        }
        let has_failed = self.failing_since.is_some()
            && self.failed_at.is_some_and(|at| now.since(at) < EVIDENCE_TTL);
        if has_failed { Evidence::Failed } else { Evidence::Unknown }
    }

    /// Whether requests have been in flight since before `since` without an answer to any.
    pub(super) fn is_silent_since(&self, since: Time) -> bool {
        self.is_busy_since(since) && !self.is_heard_since(since)
    }

    /// Whether anything has arrived since `since`.
    pub(super) fn is_heard_since(&self, since: Time) -> bool {
        self.served_at.max(self.heard_at).is_some_and(|at| at >= since)
    }

    /// Records a sign of life.
    pub(super) fn record_sign(&mut self, now: Time) {
        self.heard_at = Some(now);
    }

    /// Ejects the target on the evidence of other nodes, until this node's turn to probe it.
    pub(super) fn eject_shared(&mut self, kind: FailureKind, turn: Time, now: Time) {
        self.stats.raise_failure_rate(SHARED_FAILURE_RATE, now);
        self.ejections = self.ejections.max(1);
        self.recovering = true;
        self.shared = true;
        self.not_run = kind == FailureKind::NotRun;
        self.defer_probe(turn);
    }

    /// Delays the next probe until this node's turn.
    pub(super) fn defer_probe(&mut self, turn: Time) {
        self.ejected_until = self.ejected_until.max(turn);
    }

    /// Brings the next probe forward, since another node has shown that the target is healthy.
    /// Until its answers show otherwise, its mean latency is taken to be `mean_ms`.
    pub(super) fn end_shared_ejection(&mut self, turn: Time, mean_ms: Option<f64>, now: Time) {
        self.stats.lower_failure_rate(SHARED_FAILURE_RATE);
        if let Some(mean_ms) = mean_ms {
            self.stats.set_mean_ms(mean_ms, now);
        }
        self.ejected_until = self.ejected_until.min(turn);
        self.ejections = 0;
        self.rejections = 0;
        self.forget_failures();
    }

    /// Forgets failures that were not the target's. An ejection that other nodes agreed on stays.
    pub(super) fn forgive(&mut self) {
        if self.shared {
            return;
        }
        self.stats.lower_failure_rate(0.0);
        self.ejected_until = Time::ZERO;
        self.ejections = 0;
        self.rejections = 0;
        self.recovering = false;
        self.forget_failures();
    }

    /// Forgets what other nodes are asked or told about.
    fn forget_failures(&mut self) {
        self.shared = false;
        (self.failures, self.failing_since) = (0, None);
    }

    /// Records the load report in an answer; returns whether it cannot be parsed although the one
    /// before it could, or there was none.
    pub(super) fn record_load(&mut self, report: ReportedLoad, now: Time) -> bool {
        let was_unreadable = self.load_unreadable;
        match report {
            ReportedLoad::None => {}
            ReportedLoad::Load(load) => {
                self.load_unreadable = false;
                self.load = Some(LoadReport::new(load, self.outstanding.saturating_sub(1), now));
            }
            ReportedLoad::Unreadable => self.load_unreadable = true,
        }
        self.load_unreadable && !was_unreadable
    }
}
