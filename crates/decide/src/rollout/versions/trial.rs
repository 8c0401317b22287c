//! The running order of a service: its phase, its age, and which requests it takes.

use std::time::Duration;

use model::forward::{Phase, Rollout, RolloutId, Side};
use model::{Time, hash};

use super::Versions;
use crate::rollout::age::Age;

/// What this node does for a running order.
#[derive(Debug)]
pub(super) struct Trial {
    /// First revision at which the order is known here.
    pub(super) since: u64,
    pub(super) phase: Phase,
    pub(super) age: Age,
}

impl Versions {
    /// The side that a request goes to; always the same for one attempt while the phase holds.
    pub fn side_for_attempt(&self, service: &str, attempt: &str) -> Side {
        let Some(trial) = self.trials.get(service) else {
            return Side::Serving;
        };
        let chance = match trial.phase {
            Phase::Share(chance) => chance,
            Phase::All => 1.0,
            Phase::Back => 0.0,
        };
        let Some(order) = self.order(service).filter(|_| hash_fraction(service, attempt) < chance)
        else {
            return Side::Serving;
        };
        let is_there = self.count(service, &order.version) > 0;
        match self.side(service, &order.version) {
            Some(Side::Trial) if is_there => Side::Trial,
            _ => Side::Serving,
        }
    }

    /// What names a service's running order.
    pub fn order_id(&self, service: &str) -> Option<RolloutId> {
        let trial = self.trials.get(service)?;
        Some(self.order(service)?.id(trial.since))
    }

    /// The running order that is meant.
    pub fn find_order(&self, id: &RolloutId) -> Option<&Rollout> {
        let own = self.order_id(&id.service)?;
        self.order(&id.service).filter(|_| own.is_same(id))
    }

    /// Phase of a service's running order.
    pub fn phase(&self, service: &str) -> Option<Phase> {
        self.trials.get(service).map(|trial| trial.phase)
    }

    /// Works by another phase of an order from now on; returns whether that is a change. What
    /// was taken back stays so, and what all requests were sent to does not go back to a share.
    pub fn set_phase(&mut self, id: &RolloutId, phase: Phase) -> bool {
        if self.find_order(id).is_none() {
            return false;
        }
        let Some(trial) = self.trials.get_mut(&id.service) else {
            return false;
        };
        let stays = match (trial.phase, phase) {
            (Phase::Back, _) | (Phase::All, Phase::Share(_)) => true,
            (was, is) => was == is,
        };
        if stays {
            return false;
        }
        trial.phase = phase;
        true
    }

    /// Time since any node first heard of a service's running order, as far as is known here.
    pub fn age(&self, service: &str, now: Time) -> Option<Duration> {
        Some(self.trials.get(service)?.age.elapsed(now))
    }

    /// The order is at least so old: another node heard of it before.
    pub fn raise_age(&mut self, id: &RolloutId, at_least: Duration, now: Time) {
        let is_meant = self.find_order(id).is_some();
        if let Some(trial) = self.trials.get_mut(&id.service).filter(|_| is_meant) {
            trial.age.raise(at_least, now);
        }
    }
}

/// A number in 0..1 that belongs to an attempt; by hash, so that nodes need no counts, a
/// restarted node forgets nothing, and repeats of an attempt count once.
fn hash_fraction(service: &str, attempt: &str) -> f64 {
    let drawn = hash::mix(hash::of(attempt.as_bytes()), hash::of(service.as_bytes()));
    (drawn >> 11) as f64 / (1u64 << 53) as f64
}
