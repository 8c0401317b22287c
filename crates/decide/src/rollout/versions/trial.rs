//! The running order of a service: its phase, its age, and the requests that it gets.

use std::time::Duration;

use model::forward::{Phase, Rollout, RolloutId, Side};
use model::{Time, hash};

use super::Versions;
use crate::rollout::age::Age;

/// A running order at this node.
#[derive(Debug)]
pub(super) struct Trial {
    /// First revision at which this node knows the order.
    pub(super) since: u64,
    pub(super) phase: Phase,
    pub(super) age: Age,
}

impl Versions {
    /// Side that an attempt goes to; stable for each attempt while the phase holds.
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

    /// Identity of a service's running order.
    pub fn order_id(&self, service: &str) -> Option<RolloutId> {
        let trial = self.trials.get(service)?;
        Some(self.order(service)?.id(trial.since))
    }

    /// The running order with this identity.
    pub fn find_order(&self, id: &RolloutId) -> Option<&Rollout> {
        let own = self.order_id(&id.service)?;
        self.order(&id.service).filter(|_| own.is_same(id))
    }

    /// Phase of a service's running order.
    pub fn phase(&self, service: &str) -> Option<Phase> {
        self.trials.get(service).map(|trial| trial.phase)
    }

    /// Sets the phase of an order; returns whether that is a change. A rollback is final, and an
    /// order that gets all requests does not return to a share.
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

    /// Time since the earliest known moment at which a node learned of a service's running order.
    pub fn age(&self, service: &str, now: Time) -> Option<Duration> {
        Some(self.trials.get(service)?.age.elapsed(now))
    }

    /// Raises the age of an order to `at_least`, as reported by a node that learned of it earlier.
    pub fn raise_age(&mut self, id: &RolloutId, at_least: Duration, now: Time) {
        let is_meant = self.find_order(id).is_some();
        if let Some(trial) = self.trials.get_mut(&id.service).filter(|_| is_meant) {
            trial.age.raise(at_least, now);
        }
    }
}

/// Maps an attempt to a number in 0..1. A hash needs no counters that nodes would share, survives a
/// restart, and gives repeats of an attempt the same result.
fn hash_fraction(service: &str, attempt: &str) -> f64 {
    let drawn = hash::mix(hash::hash64(attempt.as_bytes()), hash::hash64(service.as_bytes()));
    (drawn >> 11) as f64 / (1u64 << 53) as f64
}
