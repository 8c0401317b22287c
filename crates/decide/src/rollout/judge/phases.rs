//! What comes next: which share, when all requests go to the version, and when that is completed.

use std::time::Duration;

use model::Time;
use model::forward::Phase;

use super::super::Cause;
use super::super::plan::Known;
use super::{Judge, JudgeAction};

/// Time for which a judge only listens: one that begins late learns from two reports of each node
/// whether all requests go to the version already, and does not take it back for want of that.
const LISTENS: Duration = Duration::from_millis(500);
/// Part of the proof that a version is bad from which on it gets no more than it has: callers are
/// spared a step that may well end in a roll-back.
const DOUBTED_FROM: f64 = 0.7;
/// Targets on trial for each that serves, from which on they can bear all requests. Operators are
/// asked to start as many as serve; a few of them may be down or cold.
const BEARS_FROM: f64 = 0.8;
/// Change of the share, as part of it, up to which the nodes are not told: each that they are
/// told of is a log line at every node.
const SHARE_STEP: f64 = 0.25;

impl Judge {
    fn known(&self, now: Time) -> Known {
        let (serving, trial) = self.targets;
        let seconds = |share| self.pool.time(share).unwrap_or_default().as_secs_f64();
        Known {
            age: self.age(now).as_secs_f64(),
            sent: self.pool.sent() as f64,
            tried: self.pool.tried() as f64,
            rate: self.pool.rate(now),
            chance: if let Phase::Share(chance) = self.phase { chance } else { 0.0 },
            longest: seconds(0.99),
            middle: seconds(0.5),
            targets: trial as f64 / (serving + trial).max(1) as f64,
        }
    }

    /// Whether the last write is due.
    fn is_late(&self, known: &Known, now: Time) -> bool {
        known.age >= self.plan.write_by(known) && now.since(self.begun) >= LISTENS
    }

    fn bears_all(&self) -> bool {
        let (serving, trial) = self.targets;
        trial > 0 && trial as f64 >= BEARS_FROM * serving as f64
    }

    /// Chooses the share, and whether all requests may go to the version.
    pub(super) fn go_on(&mut self, proof: f64, now: Time, actions: &mut Vec<JudgeAction>) {
        let known = self.known(now);
        let is_late = self.is_late(&known, now);
        if is_late && !self.bears_all() {
            return self.take_back(Cause::Targets, now, actions);
        }
        if is_late && proof >= DOUBTED_FROM {
            return self.take_back(Cause::Doubtful, now, actions);
        }
        let Some(step) = self.step else {
            let is_due = known.age >= self.plan.step_at(&known);
            if is_due && proof < DOUBTED_FROM && self.bears_all() {
                self.step = Some(now);
                let chance = self.plan.greater(&known).max(known.chance);
                self.phase = Phase::Share(chance);
            } else {
                self.set_share(self.plan.share(&known));
            }
            return;
        };
        let is_shown = now.since(step).as_secs_f64() >= self.plan.step(&known);
        if proof >= DOUBTED_FROM || !is_shown || known.age < self.plan.all_at(&known) {
            return;
        }
        if self.bears_all() && self.plan.fits_all(&known) {
            self.all_from(now);
        } else {
            // What is left of the cap is kept for the step to all.
            self.set_share(0.0);
        }
    }

    fn set_share(&mut self, chance: f64) {
        let Phase::Share(is) = self.phase else {
            return;
        };
        let changed = (chance - is).abs() > SHARE_STEP * is || (chance == 0.0) != (is == 0.0);
        if changed {
            self.phase = Phase::Share(chance);
        }
    }

    /// Completes the order once no node uses the old version.
    pub(super) fn finish(&mut self, proof: f64, now: Time, actions: &mut Vec<JudgeAction>) {
        let known = self.known(now);
        let is_late = self.is_late(&known, now);
        if self.completing.is_some() {
            return;
        }
        if is_late && proof >= DOUBTED_FROM {
            return self.take_back(Cause::Doubtful, now, actions);
        }
        let (_, trial) = self.targets;
        if trial == 0 {
            if is_late {
                self.take_back(Cause::Targets, now, actions);
            }
            return;
        }
        let Some(since) = self.all else {
            return;
        };
        // Completing sooner gains nothing: the version gets all requests either way, and can
        // be taken back until then.
        let is_shown = now.since(since).as_secs_f64() >= self.plan.seen_after(&known);
        if is_late && is_shown && proof < DOUBTED_FROM && self.nodes.are_done(since, now) {
            self.completing = Some(now);
        }
    }
}
