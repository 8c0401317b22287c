//! What is believed of one target, and what changes it.

use std::time::Duration;

use model::Time;
use model::forward::{ReportedLoad, Target};

use super::answers::AnswerStats;
use super::load::LoadReport;

/// First time for which a failing target is left out.
const MIN_EJECTION: Duration = Duration::from_millis(400);
/// Longest time for which a failing target is left out: it is to have its part again soon after it
/// is well.
const MAX_EJECTION: Duration = Duration::from_millis(2000);
/// Share of failures from which on a target is left out now and then.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Requests that a target turns away one after the other before it is left out: one that is busy
/// takes some between.
const EJECT_REJECTIONS: u32 = 2;
/// Share of failures below which a target that was left out counts as well again.
const RECOVERED_FAILURE_RATE: f64 = 0.05;
/// Least time between two requests that show whether a target is well again.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// What one send to a target brought.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// An answer after this time.
    Answered(Duration),
    /// The target turned the request away, which did not run.
    Rejected,
    /// The target failed the request.
    Failed,
    /// Its connection ended, or was given up, before a whole answer.
    Interrupted,
    /// The target could not be reached, or its connection broke.
    Unreachable,
    /// Another target has the address.
    Replaced,
    /// Nothing was sent after all, for a reason that is not the target's.
    NotSent,
}

/// What discovery says of one start of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is there.
    Present,
    /// It leaves as planned.
    Draining,
    /// Another start has its name by now.
    Restarted,
    /// Its entry is gone.
    Removed,
}

/// What is believed of one target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// As discovery reports it, but for how long it is cold.
    pub target: Target,
    /// Until when discovery reports it as cold.
    pub cold_until: Time,
    /// When this node may next start a request there while it is cold.
    pub next_start: Time,
    /// Its entry vanished around an outage of the store; until then it is kept.
    pub missing_until: Option<Time>,
    /// Requests of this node at the target now.
    pub outstanding: u32,
    /// Prompt tokens of those that wait for their first event.
    pub prefill_tokens: u64,
    stats: AnswerStats,
    load: Option<LoadReport>,
    /// It told a load that cannot be read.
    load_unreadable: bool,
    /// Left out until then.
    pub ejected_until: Time,
    /// Times that it was left out since it last answered.
    ejections: u32,
    /// Requests that it turned away since it last took one.
    rejections: u32,
    /// It was left out, and is not known to be well again.
    recovering: bool,
    /// It was left out for what did not run there.
    not_run: bool,
    /// When it was last chosen for a request that shows whether it is well again.
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
            probed_at: Time::ZERO,
        }
    }

    /// Expected time of an answer, in milliseconds; `None` if none has come yet.
    pub fn answer_ms(&self, now: Time) -> Option<f64> {
        self.stats.mean_ms(now)
    }

    /// Expected requests for each place: this node's, and those of others that it told of.
    pub fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(self.target.slots.max(1));
        own + self.load.map_or(0.0, |report| report.others(now))
    }

    /// Times as long as usual that work is expected to take there.
    pub fn slowdown(&self, now: Time) -> f64 {
        self.load.map_or(1.0, |report| report.slowdown(now))
    }

    /// Expected share of failures.
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.stats.failure_rate(now)
    }

    /// Whether it is left out for its failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether it is to get one request that shows whether it is well again. One that may not be
    /// repeated goes only where nothing ran before.
    pub fn needs_probe(&self, may_repeat: bool, now: Time) -> bool {
        let is_due = now.since(self.stats.observed_at().max(self.probed_at)) >= PROBE_INTERVAL;
        let is_free = self.recovering && !self.is_ejected(now) && self.outstanding == 0;
        is_free && is_due && (may_repeat || self.not_run)
    }

    /// It was chosen for a request.
    pub(super) fn note_chosen(&mut self, now: Time) {
        if self.recovering {
            self.probed_at = now;
        }
    }

    /// Takes its entry, which counts how long it is cold from now on.
    /// Returns whether what it says has changed.
    pub(super) fn set_target(&mut self, target: Target, now: Time) -> bool {
        let was_cold = now < self.cold_until;
        self.cold_until = now + Duration::from_millis(target.cold_ms);
        // A node that tells no revision takes none back.
        let known = self.target.revision;
        let revision = if target.revision > 0 { target.revision } else { known };
        let target = Target { cold_ms: 0, revision, ..target };
        self.target.revision = revision;
        let changed = target != self.target || was_cold != (now < self.cold_until);
        self.target = target;
        changed
    }

    /// Its entry as another node is to have it now.
    pub(super) fn entry(&self, now: Time) -> Target {
        let cold_ms = self.cold_until.since(now).as_millis() as u64;
        Target { cold_ms, ..self.target.clone() }
    }

    /// Leaves it out for a while, longer each time.
    fn eject(&mut self, not_run: bool, now: Time) {
        let time = MIN_EJECTION * 2u32.pow(self.ejections.min(3));
        self.ejected_until = now + time.min(MAX_EJECTION);
        self.ejections += 1;
        self.recovering = true;
        self.not_run = not_run;
    }

    /// Takes what a send brought.
    pub(super) fn observe(&mut self, observation: Observation, now: Time) {
        if observation == Observation::NotSent {
            return;
        }
        let answered = matches!(observation, Observation::Answered(_));
        self.stats.record_outcome(!answered, now);
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
        self.ejections = 0;
        if self.recovering {
            self.stats.halve_failure_rate();
            self.recovering = self.failure_rate(now) > RECOVERED_FAILURE_RATE;
        }
    }

    /// Takes what an answer says of its load; returns whether it cannot be read while the word
    /// before could, or there was none.
    pub(super) fn note_load(&mut self, report: ReportedLoad, now: Time) -> bool {
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
