//! Chooses the worker for the next call and the pieces that it carries.

use model::Time;

use super::coordinator::{Coordinator, InFlightCall};
use super::orders::Urgency;
use super::types::{Action, Call, OrderId};
use super::worker::Location;
use super::workers::{Group, ReadyWorker};

/// Fraction of the workers kept idle for new orders while calls are kept short.
const IDLE_RESERVE: f64 = 0.5;
/// Fraction of a call's fixed time that its pieces may add before another call is worthwhile.
const SHORT_CALL_FRACTION: f64 = 0.2;
/// Maximum number of calls that the queued pieces of one order are spread over, since each worker
/// may fail.
const MAX_SPLIT: usize = 3;

impl Coordinator {
    pub(super) fn start_calls(&mut self, now: Time, out: &mut Vec<Action>) {
        // Without available workers, probes are sent even if nothing is queued. Otherwise workers
        // whose traffic has moved elsewhere would never return.
        let none_available = self.workers.serving_count() == 0;
        if self.queued_pieces() == 0 && !none_available {
            return;
        }
        out.extend(self.workers.take_probes_due(now).into_iter().map(Action::Probe));
        let max_pieces = self.call_size();
        // Starting calls changes neither which workers are available nor where they are.
        let available = self.workers.available_locations();
        let mut groups = self.workers.ready_groups();
        while let Some(group) = self.workers.best_group(&groups).cloned() {
            // The other workers of the group have less room for the same orders.
            if !self.start_in_group(&group, &available, max_pieces, now, out) {
                groups.remove(&group);
            }
        }
    }

    /// Maximum number of pieces for the next calls. Short calls finish sooner while workers are
    /// idle; calls grow with load because each has the same fixed cost.
    fn call_size(&self) -> usize {
        let batch = self.pool.batch.max(1);
        let reserved = (self.workers.serving_count() as f64 * IDLE_RESERVE) as usize;
        let spare = self.workers.ready_count().saturating_sub(reserved);
        if spare == 0 {
            return batch;
        }
        let queued = self.orders.values().map(|o| o.queued.len());
        let (all, largest) = queued.fold((0, 0), |(all, largest), n| (all + n, largest.max(n)));
        let min_size =
            self.pool.call_ms * SHORT_CALL_FRACTION / self.pool.item_ms.max(f64::MIN_POSITIVE);
        let size = all.div_ceil(spare).max(largest.div_ceil(MAX_SPLIT)).max(min_size as usize);
        size.clamp(1, batch)
    }

    /// Starts a call at the first worker of a group; returns whether one started.
    fn start_in_group(
        &mut self,
        group: &Group,
        available: &[Location],
        max_pieces: usize,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let mut accepted: Vec<(Urgency, OrderId)> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.queued.is_empty())
            .filter(|(_, o)| o.accepts(&group.location, available, &self.pool, now))
            .map(|(n, o)| (o.urgency(&group.location.domain, &self.pool, now), *n))
            .collect();
        accepted.sort_unstable();
        let Some(mut worker) = self.workers.first_ready(group).filter(|_| !accepted.is_empty())
        else {
            return false;
        };
        worker.max_pieces = max_pieces.min(worker.max_pieces);
        self.start_call(now, worker, accepted.into_iter().map(|(_, n)| n), out)
    }

    /// Starts a call with pieces of these orders, in the given order; returns false if none fits.
    fn start_call(
        &mut self,
        now: Time,
        worker: ReadyWorker,
        orders: impl Iterator<Item = OrderId>,
        out: &mut Vec<Action>,
    ) -> bool {
        let (mut pieces, mut bytes) = (Vec::new(), 0);
        let quota = worker.share.map_or(usize::MAX, |share| self.quota.available(share));
        let batch = worker.max_pieces.min(quota);
        for n in orders {
            let Some(order) = self.orders.get_mut(&n) else {
                continue;
            };
            if order.is_isolated() && !pieces.is_empty() {
                continue;
            }
            let size = order.spec.result_bytes.max(1);
            let room = worker.free_bytes.saturating_sub(bytes) / size;
            let free = batch - pieces.len();
            order.lacked_room = order.queued.len().min(batch) as u64 > worker.free_bytes / size;
            let limit = free.min(room as usize);
            let taken = order.take_queued(limit, &worker.domain);
            bytes += size * taken.len() as u64;
            pieces.extend(taken.into_iter().map(|p| (n, p)));
            if order.is_isolated() && !pieces.is_empty() {
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
            order.spec.piece(*p as u32, order.left_ms(now))
        };
        let ordered = pieces.iter().map(piece).collect();
        self.workers.call_started(&worker.id, bytes, now);
        self.repeat_budget.deposit(pieces.len());
        self.quota.record(pieces.len(), worker.share.is_some());
        out.push(Action::Start(Call { number, worker: worker.id.clone(), pieces: ordered }));
        let expected = self.pool.call_time(pieces.len() as u32);
        let flight = InFlightCall {
            worker: worker.id,
            bytes,
            pieces,
            started: now,
            expected,
            overdue_after: None,
            is_silent: false,
        };
        self.in_flight.insert(number, flight);
        true
    }
}
