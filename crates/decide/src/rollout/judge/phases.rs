//! Phase transitions: the share, the full step and the completion.

use std::time::Duration;

use model::Time;
use model::forward::Phase;

use super::super::Cause;
use super::super::plan::Observed;
use super::{Judge, JudgeAction};

/// Time for which a new judge only listens: one that starts late learns from two reports of each
/// node whether all requests already go to the version, and does not roll back for lack of that.
const LISTEN_TIME: Duration = Duration::from_millis(500);
/// Part of the proof that a version is bad from which its share is not raised: callers are spared a
/// step that is likely to end in a rollback.
const DOUBT_THRESHOLD: f64 = 0.7;
/// Trial targets per serving target from which they can carry all requests. Operators are asked to
/// start as many as serve; a few of them may be down or cold.
const MIN_TARGET_RATIO: f64 = 0.8;
/// Relative change of the share below which nodes are not notified, since every change is a log
/// line on every node.
const MIN_SHARE_CHANGE: f64 = 0.25;

impl Judge {
    fn observe(&self, now: Time) -> Observed {
        let (serving, trial) = self.targets;
        let seconds = |share| self.pool.latency(share).unwrap_or_default().as_secs_f64();
        Observed {
            age: self.age(now).as_secs_f64(),
            sent: self.pool.sent() as f64,
            trial_sent: self.pool.trial_sent() as f64,
            rate: self.pool.rate(now),
            current_share: if let Phase::Share(chance) = self.phase { chance } else { 0.0 },
            p99: seconds(0.99),
            median: seconds(0.5),
            target_share: trial as f64 / (serving + trial).max(1) as f64,
        }
    }

    /// Whether the final write is due.
    fn is_write_due(&self, observed: &Observed, now: Time) -> bool {
        observed.age >= self.plan.write_deadline(observed)
            && now.since(self.started_at) >= LISTEN_TIME
    }

    fn has_capacity(&self) -> bool {
        let (serving, trial) = self.targets;
        trial > 0 && trial as f64 >= MIN_TARGET_RATIO * serving as f64
    }

    /// Chooses the share, and whether all requests may go to the trial version.
    pub(super) fn advance(&mut self, ratio: f64, now: Time, actions: &mut Vec<JudgeAction>) {
        let observed = self.observe(now);
        let is_late = self.is_write_due(&observed, now);
        if is_late && !self.has_capacity() {
            return self.roll_back(Cause::Targets, now, actions);
        }
        if is_late && ratio >= DOUBT_THRESHOLD {
            return self.roll_back(Cause::Doubtful, now, actions);
        }
        let Some(step) = self.step_since else {
            let is_due = observed.age >= self.plan.step_start(&observed);
            if is_due && ratio < DOUBT_THRESHOLD && self.has_capacity() {
                self.step_since = Some(now);
                let chance = self.plan.step_share(&observed).max(observed.current_share);
                self.phase = Phase::Share(chance);
            } else {
                self.set_share(self.plan.share(&observed));
            }
            return;
        };
        let is_shown = now.since(step).as_secs_f64() >= self.plan.step_length(&observed);
        if ratio >= DOUBT_THRESHOLD || !is_shown || observed.age < self.plan.full_at(&observed) {
            return;
        }
        if self.has_capacity() && self.plan.fits_full_step(&observed) {
            self.send_all(now);
        } else {
            // The rest of the cap is kept for the full step.
            self.set_share(0.0);
        }
    }

    fn set_share(&mut self, share: f64) {
        let Phase::Share(current) = self.phase else {
            return;
        };
        let changed = (share - current).abs() > MIN_SHARE_CHANGE * current
            || (share == 0.0) != (current == 0.0);
        if changed {
            self.phase = Phase::Share(share);
        }
    }

    /// Completes the order once no node uses the old version.
    pub(super) fn finish(&mut self, ratio: f64, now: Time, actions: &mut Vec<JudgeAction>) {
        let observed = self.observe(now);
        let is_late = self.is_write_due(&observed, now);
        if self.completing_since.is_some() {
            return;
        }
        if is_late && ratio >= DOUBT_THRESHOLD {
            return self.roll_back(Cause::Doubtful, now, actions);
        }
        let (_, trial) = self.targets;
        if trial == 0 {
            if is_late {
                self.roll_back(Cause::Targets, now, actions);
            }
            return;
        }
        let Some(since) = self.all_since else {
            return;
        };
        // Earlier completion gains nothing: the version gets all requests either way, and can be
        // rolled back until then.
        let is_shown = now.since(since).as_secs_f64() >= self.plan.detection_time(&observed);
        if is_late && is_shown && ratio < DOUBT_THRESHOLD && self.nodes.are_drained(since, now) {
            self.completing_since = Some(now);
        }
    }
}
