//! Orders across a restore of the store from an older copy.
//!
//! The copy may lack an order, or the state that nodes wrote to it. The operator repeats the order,
//! as a new write at any revision; the nodes repeat a final state. Until then, what was known stays
//! in force, and an order that only the copy has is ignored. Revisions of the epochs before and
//! after the restore are not comparable, so everything known before counts as older than what comes.
//! The exception are objects of the copy: their revisions are of the epoch before, in which this
//! node knew all up to some revision, so an object of a later one is not older than what it knew.

use std::collections::BTreeMap;

use model::forward::{Rollout, RolloutState};
use model::{Name, Time};

use super::{Orders, RolloutChange, Versions};
use crate::rollout::withdrawn::WithdrawnVersions;

/// Final state of an order that the store has lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostState {
    /// The order as the store has it.
    pub order: Rollout,
    /// Its state.
    pub state: RolloutState,
}

/// Order that was known before the restore.
#[derive(Debug)]
struct KnownOrder {
    order: Rollout,
    /// Its revision before the restore; `None` if the order was not in the list then.
    revision: Option<u64>,
    /// Place of its last change among those of the versions of its service.
    rank: u64,
    /// Whether the store has it again.
    is_listed: bool,
    /// The order without its final state, as the store has it.
    without_state: Option<Rollout>,
}

/// What was known before the last restore.
#[derive(Debug, Default)]
pub(super) struct Restore {
    known: BTreeMap<Name, KnownOrder>,
    /// Revision up to which the epoch before was known.
    known_up_to: u64,
    /// Revision of the first list since; later ones belong to writes since.
    first_list: Option<u64>,
}

impl Restore {
    /// Records the revision of the first list of the epoch.
    pub(super) fn first_list(&mut self, at: u64) {
        self.first_list = Some(at);
    }

    /// Revision to compare with the first revisions of versions for whether these are later than
    /// the completion of an order.
    pub(super) fn completed_at(&self, order: &Rollout) -> u64 {
        let known = self.known.get(&order.service);
        known.filter(|k| k.order.version == order.version).map_or(order.revision, |k| k.rank)
    }

    /// Adds to a list what the store has lost; `is_settling` while lost writes may be repeated.
    pub(super) fn complete(
        &mut self,
        orders: &mut Orders,
        withdrawn: &WithdrawnVersions,
        is_settling: bool,
    ) {
        let first_list = self.first_list.unwrap_or(0);
        let known_up_to = self.known_up_to;
        let may_be_from_copy = |order: &Rollout| {
            is_settling && order.revision <= first_list && order.revision <= known_up_to
        };
        // A final state, or an order that was withdrawn, that no node knew of before.
        orders.known.retain(|service, order| {
            let is_obsolete =
                order.state.is_final() || withdrawn.get(service, &order.version).is_some();
            self.known.contains_key(service) || !may_be_from_copy(order) || !is_obsolete
        });
        self.known.retain(|service, known| {
            let Some(listed) = orders.known.get_mut(service) else {
                let is_lost = is_settling && !known.is_listed;
                if is_lost && !orders.unreadable.contains(service) {
                    orders.known.insert(service.clone(), known.order.clone());
                }
                return is_lost;
            };
            if listed.version == known.order.version {
                return known.restore_state(listed, is_settling);
            }
            let is_older = may_be_from_copy(listed) && !known.is_listed && known.may_follow(listed);
            if is_older {
                *listed = known.order.clone();
            }
            is_older
        });
    }
}

impl KnownOrder {
    /// Whether this order may have replaced one of the copy.
    fn may_follow(&self, copied: &Rollout) -> bool {
        self.revision.is_none_or(|revision| copied.revision < revision)
    }

    /// Restores the final state of the order that the store has again; returns whether it is the
    /// same order.
    fn restore_state(&mut self, listed: &mut Rollout, is_settling: bool) -> bool {
        self.is_listed = true;
        let was_final = self.order.state.is_final();
        if !was_final || listed.state.is_final() {
            self.without_state = None;
            return true;
        }
        let is_same = self.without_state.as_ref().is_some_and(|o| o.revision == listed.revision);
        if !is_same && !is_settling {
            return false;
        }
        self.without_state = Some(listed.clone());
        listed.state = self.order.state;
        true
    }
}

impl Versions {
    /// Begins a new epoch, after the store was restored from an older copy.
    pub fn begin_epoch(&mut self, now: Time) {
        let known_up_to = self.revision().unwrap_or(0);
        self.orders.begin_epoch(now);
        let marks = self.in_force.known.values();
        let marks = marks.map(|o| (o.service.clone(), self.restore.completed_at(o))).collect();
        let ranks = self.live.begin_epoch(marks, known_up_to);
        self.trials.values_mut().for_each(|trial| trial.since = 0);
        let known = |(service, order): (&Name, &mut Rollout)| {
            let revision = Some(std::mem::take(&mut order.revision)).filter(|at| *at > 0);
            let rank = ranks.get(service).copied().unwrap_or(0);
            let order = order.clone();
            let known = KnownOrder { order, revision, rank, is_listed: false, without_state: None };
            (service.clone(), known)
        };
        let known = self.in_force.known.iter_mut().map(known).collect();
        self.restore = Restore { known, known_up_to, first_list: None };
    }

    /// Whether the time in which lost writes are repeated has ended since the last call of
    /// [`Versions::settle`].
    pub fn is_settle_due(&self, now: Time) -> bool {
        self.orders.is_settle_due(now)
    }

    /// Puts the store's list in force: what has not been repeated by now was removed.
    pub fn settle(&mut self, now: Time) -> Vec<RolloutChange> {
        self.orders.settle();
        self.update_in_force(now)
    }

    /// Final states that the store has lost.
    pub fn lost_states(&self) -> Vec<LostState> {
        let lost = |known: &KnownOrder| {
            let order = known.without_state.clone()?;
            Some(LostState { order, state: known.order.state })
        };
        self.restore.known.values().filter_map(lost).collect()
    }
}
