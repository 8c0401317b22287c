//! Leases the slots of the targets that this node is the keeper of.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::TargetId;
use model::{Name, Time};

use super::room::{Room, SlotGrant, SlotTerms};

/// Time for which a target is kept after the last request for a slot.
const RETENTION: Duration = Duration::from_secs(60);

/// Who holds or awaits a slot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId {
    /// The requesting node.
    pub node: Name,
    /// The attempt.
    pub attempt: Name,
}

/// Targets that this node is or was the keeper of.
#[derive(Debug, Default)]
pub struct SlotIssuer(BTreeMap<TargetId, Room>);

impl SlotIssuer {
    /// Requests a slot of a target.
    pub fn request(
        &mut self,
        target: &TargetId,
        id: LeaseId,
        terms: SlotTerms,
        now: Time,
    ) -> SlotGrant {
        let room = self.0.entry(target.clone()).or_insert_with(|| Room::new(terms.slots, now));
        room.request(id, terms, now)
    }

    /// What became of a request that was told to wait.
    pub fn poll(&mut self, target: &TargetId, id: &LeaseId, now: Time) -> SlotGrant {
        match self.0.get_mut(target) {
            Some(room) => room.poll(id, now),
            None => SlotGrant::Later(Duration::ZERO),
        }
    }

    /// Releases a slot, or withdraws a waiting request.
    pub fn release(&mut self, target: &TargetId, id: &LeaseId, rejected: bool, now: Time) {
        if let Some(room) = self.0.get_mut(target) {
            room.release(id, rejected, now);
        }
    }

    /// Requests per second that the slots of a target serve, as estimated.
    pub fn rate(&self, target: &TargetId) -> f64 {
        self.0.get(target).map_or(0.0, Room::rate)
    }

    /// Slots of a target that are leased, and requests that wait for one.
    pub fn usage(&self, target: &TargetId) -> (usize, usize) {
        self.0.get(target).map_or((0, 0), Room::usage)
    }

    /// Whether no slot was requested lately.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Releases the slots of nodes that are not up, and drops targets for which no node has
    /// requested a slot for a long time.
    pub fn expire(&mut self, is_up: impl Fn(&Name) -> bool, now: Time) {
        self.0.values_mut().for_each(|room| room.retain_nodes(&is_up, now));
        self.0.retain(|_, room| now.since(room.used_at()) < RETENTION);
    }
}
