//! What is believed of one target, and what changes it.

use std::time::Duration;

use model::Time;
use model::forward::{ReportedLoad, Target};

use super::answers::Answers;
use super::load::LoadReport;

/// First time for which a failing target is left out.
const EJECT_FIRST: Duration = Duration::from_millis(400);
/// Longest time for which a failing target is left out: it is to have its part again soon after it
/// is well.
const EJECT_LONGEST: Duration = Duration::from_millis(2000);
/// Share of failures from which on a target is left out now and then.
const FAILING: f64 = 0.5;
/// Requests that a target turns away one after the other before it is left out: one that is busy
/// takes some between.
const REJECTIONS: u32 = 2;
/// Share of failures below which a target that was left out counts as well again.
const RECOVERED: f64 = 0.05;
/// Least time between two requests that show whether a target is well again.
const PROBES_APART: Duration = Duration::from_millis(150);

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
    BrokeOff,
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
    Here,
    /// It leaves as planned.
    Leaving,
    /// Another start has its name by now.
    StartedAgain,
    /// Its entry is gone.
    Gone,
}

/// What is believed of one target.
#[derive(Debug, Clone)]
pub struct Belief {
    /// As discovery reports it, but for how long it is cold.
    pub target: Target,
    /// Until when discovery reports it as cold.
    pub cold: Time,
    /// When this node may next start a request there while it is cold.
    pub next_start: Time,
    /// Its entry vanished around an outage of the store; until then it is kept.
    pub missing: Option<Time>,
    /// Requests of this node at the target now.
    pub outstanding: u32,
    /// Prompt tokens of those that wait for their first event.
    pub prefill: u64,
    answers: Answers,
    load: Option<LoadReport>,
    /// It told a load that cannot be read.
    bad_load: bool,
    /// Left out until then.
    pub ejected: Time,
    /// Times that it was left out since it last answered.
    strikes: u32,
    /// Requests that it turned away since it last took one.
    rejections: u32,
    /// It was left out, and is not known to be well again.
    recovers: bool,
    /// It was left out for what did not run there.
    unrun: bool,
    /// When it was last chosen for a request that shows whether it is well again.
    probed: Time,
}

impl Belief {
    pub(super) fn new(target: Target, now: Time) -> Self {
        Belief {
            cold: now + Duration::from_millis(target.cold_ms),
            target: Target { cold_ms: 0, ..target },
            next_start: Time::ZERO,
            missing: None,
            outstanding: 0,
            prefill: 0,
            answers: Answers::default(),
            load: None,
            bad_load: false,
            ejected: Time::ZERO,
            strikes: 0,
            rejections: 0,
            recovers: false,
            unrun: false,
            probed: Time::ZERO,
        }
    }

    /// Expected time of an answer, in milliseconds; `None` if none has come yet.
    pub fn answer_ms(&self, now: Time) -> Option<f64> {
        self.answers.mean_ms(now)
    }

    /// Expected requests for each place: this node's, and those of others that it told of.
    pub fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(self.target.slots.max(1));
        own + self.load.map_or(0.0, |heard| heard.others(now))
    }

    /// Times as long as usual that work is expected to take there.
    pub fn slowdown(&self, now: Time) -> f64 {
        self.load.map_or(1.0, |heard| heard.slowdown(now))
    }

    /// Expected share of failures.
    pub fn failing(&self, now: Time) -> f64 {
        self.answers.failing(now)
    }

    /// Whether it is left out for its failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected
    }

    /// Whether it is to get one request that shows whether it is well again. One that may not be
    /// repeated goes only where nothing ran before.
    pub fn wants_probe(&self, may_repeat: bool, now: Time) -> bool {
        let is_due = now.since(self.answers.observed().max(self.probed)) >= PROBES_APART;
        let is_free = self.recovers && !self.is_ejected(now) && self.outstanding == 0;
        is_free && is_due && (may_repeat || self.unrun)
    }

    /// It was chosen for a request.
    pub(super) fn chosen(&mut self, now: Time) {
        if self.recovers {
            self.probed = now;
        }
    }

    /// Takes its entry, which counts how long it is cold from now on.
    /// Returns whether what it says has changed.
    pub(super) fn set_target(&mut self, target: Target, now: Time) -> bool {
        let was_cold = now < self.cold;
        self.cold = now + Duration::from_millis(target.cold_ms);
        // A node that tells no revision takes none back.
        let known = self.target.revision;
        let revision = if target.revision > 0 { target.revision } else { known };
        let target = Target { cold_ms: 0, revision, ..target };
        self.target.revision = revision;
        let changed = target != self.target || was_cold != (now < self.cold);
        self.target = target;
        changed
    }

    /// Its entry as another node is to have it now.
    pub(super) fn entry(&self, now: Time) -> Target {
        let cold_ms = self.cold.since(now).as_millis() as u64;
        Target { cold_ms, ..self.target.clone() }
    }

    /// Leaves it out for a while, longer each time.
    fn strike(&mut self, unrun: bool, now: Time) {
        let time = EJECT_FIRST * 2u32.pow(self.strikes.min(3));
        self.ejected = now + time.min(EJECT_LONGEST);
        self.strikes += 1;
        self.recovers = true;
        self.unrun = unrun;
    }

    /// Takes what a send brought.
    pub(super) fn observe(&mut self, what: Observation, now: Time) {
        if what == Observation::NotSent {
            return;
        }
        let answered = matches!(what, Observation::Answered(_));
        self.answers.count(!answered, now);
        self.rejections = if what == Observation::Rejected { self.rejections + 1 } else { 0 };
        let again = self.strikes > 0 || self.failing(now) > FAILING;
        match what {
            Observation::Answered(took) => self.answered(took, now),
            Observation::Unreachable | Observation::Replaced => self.strike(true, now),
            Observation::Rejected if again || self.rejections >= REJECTIONS => {
                self.strike(true, now);
            }
            Observation::Failed | Observation::BrokeOff if again => self.strike(false, now),
            Observation::Rejected | Observation::Failed | Observation::BrokeOff => {}
            Observation::NotSent => {}
        }
    }

    fn answered(&mut self, took: Duration, now: Time) {
        self.answers.took(took, now);
        self.strikes = 0;
        if self.recovers {
            self.answers.halve_failing();
            self.recovers = self.failing(now) > RECOVERED;
        }
    }

    /// Takes what an answer says of its load; returns whether it cannot be read while the word
    /// before could, or there was none.
    pub(super) fn note_load(&mut self, said: ReportedLoad, now: Time) -> bool {
        let was_bad = self.bad_load;
        match said {
            ReportedLoad::None => {}
            ReportedLoad::Load(load) => {
                self.bad_load = false;
                self.load = Some(LoadReport::new(load, self.outstanding.saturating_sub(1), now));
            }
            ReportedLoad::Unreadable => self.bad_load = true,
        }
        self.bad_load && !was_bad
    }
}
