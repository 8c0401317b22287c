//! Which maker gets the next call, and with which pieces.

use model::Time;

use super::coordinator::{Coordinator, Flight};
use super::maker::Place;
use super::makers::{Free, Group};
use super::orders::Urgency;
use super::types::{Action, Call, OrderId};

/// Part of the makers that is kept idle for what comes next while calls are kept short.
const KEPT_IDLE: f64 = 0.5;
/// Part of a call's own time that its pieces may add before a further call is worth it.
const SHORT_CALL: f64 = 0.2;
/// Calls over which what waits of one order is spread at most: each is a maker that may fail.
const SPLIT: usize = 3;

impl Coordinator {
    pub(super) fn fill(&mut self, now: Time, out: &mut Vec<Action>) {
        // Without this, makers all of whose work went elsewhere would never come back.
        let is_dead = self.makers.working() == 0;
        if self.waiting() == 0 && !is_dead {
            return;
        }
        out.extend(self.makers.take_probes_due(now).into_iter().map(Action::Probe));
        let most = self.call_size();
        // Calls that start change neither who works nor where.
        let working = self.makers.working_places();
        let mut groups = self.makers.free_groups();
        while let Some(group) = self.makers.best_group(&groups).cloned() {
            // Others of the group have less room for the same orders.
            if !self.start_in(&group, &working, most, now, out) {
                groups.remove(&group);
            }
        }
    }

    /// Most pieces of the next calls. While makers idle, short calls make what waits sooner; the
    /// more of them work, the longer calls get, since each costs the same whatever it carries.
    fn call_size(&self) -> usize {
        let batch = self.pool.batch.max(1);
        let kept = (self.makers.working() as f64 * KEPT_IDLE) as usize;
        let spare = self.makers.count_free().saturating_sub(kept);
        if spare == 0 {
            return batch;
        }
        let waiting = self.orders.values().map(|o| o.waiting.len());
        let (all, largest) = waiting.fold((0, 0), |(all, most), n| (all + n, most.max(n)));
        let worth = self.pool.call_ms * SHORT_CALL / self.pool.item_ms.max(f64::MIN_POSITIVE);
        let size = all.div_ceil(spare).max(largest.div_ceil(SPLIT)).max(worth as usize);
        size.clamp(1, batch)
    }

    /// Starts a call at the first maker of a group; returns whether any order suits it.
    fn start_in(
        &mut self,
        group: &Group,
        working: &[Place],
        most: usize,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let mut fits: Vec<(Urgency, OrderId)> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.waiting.is_empty())
            .filter(|(_, o)| o.suits(&group.place, working, &self.pool, now))
            .map(|(n, o)| (o.urgency(&group.place.domain, &self.pool, now), *n))
            .collect();
        fits.sort_unstable();
        let Some(mut maker) = self.makers.first_free(group).filter(|_| !fits.is_empty()) else {
            return false;
        };
        maker.most = most.min(maker.most);
        self.start(now, maker, fits.into_iter().map(|(_, n)| n), out)
    }

    /// Starts one call with pieces of these orders, in this order, if there is room for any.
    fn start(
        &mut self,
        now: Time,
        maker: Free,
        orders: impl Iterator<Item = OrderId>,
        out: &mut Vec<Action>,
    ) -> bool {
        let (mut pieces, mut bytes) = (Vec::new(), 0);
        let allowed = maker.share.map_or(usize::MAX, |share| self.quota.most(share));
        let batch = maker.most.min(allowed);
        for n in orders {
            let Some(order) = self.orders.get_mut(&n) else {
                continue;
            };
            if order.is_alone() && !pieces.is_empty() {
                continue;
            }
            let size = order.order.result_bytes.max(1);
            let room = maker.room.saturating_sub(bytes) / size;
            let free = batch - pieces.len();
            order.lacked_room = order.waiting.len().min(batch) as u64 > maker.room / size;
            let most = free.min(room as usize);
            let taken = order.take(most, &maker.domain);
            bytes += size * taken.len() as u64;
            pieces.extend(taken.into_iter().map(|p| (n, p)));
            if order.is_alone() && !pieces.is_empty() {
                break;
            }
        }
        if pieces.is_empty() {
            return false;
        }
        let number = self.next_call;
        self.next_call += 1;
        let orders = &self.orders;
        let piece = |(n, p): &(OrderId, usize)| {
            let order = &orders[n];
            order.order.piece(*p as u32, order.left_ms(now))
        };
        let ordered = pieces.iter().map(piece).collect();
        self.makers.started(&maker.id, bytes, now);
        self.repeats.asked(pieces.len());
        self.quota.asked(pieces.len(), maker.share.is_some());
        out.push(Action::Start(Call { number, maker: maker.id.clone(), pieces: ordered }));
        let expected = self.pool.call_time(pieces.len() as u32);
        let flight =
            Flight { maker: maker.id, bytes, pieces, started: now, expected, overdue_after: None };
        self.flights.insert(number, flight);
        true
    }
}
