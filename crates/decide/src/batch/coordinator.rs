//! State machine of the batch coordinator: its orders and the calls in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::forward::{BatchOrder, PieceResult, Policy, Rank, StagePool, TargetId, Waits};

use super::latency::LatencyEstimate;
use super::orders::{OpenOrder, typical_call_time};
use super::quota::TrialQuota;
use super::repeats::RepeatBudget;
use super::types::{Action, CallEnd, Event, OrderId};
use super::workers::Workers;
use crate::region::LocalLoad;

/// Failed calls that an order survives; a further one fails it.
const MAX_FAILURES: u32 = 3;
/// Multiple of the overdue threshold from which a call marks its worker as slow. A worker only
/// slightly late, for example behind a link that has just healed, is treated like any other.
const SLOW_FACTOR: u32 = 2;

#[derive(Debug)]
pub(super) struct InFlightCall {
    pub(super) worker: TargetId,
    pub(super) bytes: u64,
    pub(super) pieces: Vec<(OrderId, usize)>,
    pub(super) started: Time,
    pub(super) expected: Duration,
    /// Threshold that applied when the call was found overdue; `None` if it was not.
    pub(super) overdue_after: Option<Duration>,
    /// Whether its worker counts as failed; its answer is still taken.
    pub(super) is_silent: bool,
}

/// Batches the pieces of one stage service into calls.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) pool: StagePool,
    policy: Policy,
    pub(super) workers: Workers,
    pub(super) orders: BTreeMap<OrderId, OpenOrder>,
    pub(super) in_flight: BTreeMap<u64, InFlightCall>,
    pub(super) next_call: u64,
    latency: LatencyEstimate,
    pub(super) repeat_budget: RepeatBudget,
    pub(super) quota: TrialQuota,
}

impl Coordinator {
    /// Creates a coordinator without workers.
    pub fn new(pool: StagePool, policy: Policy) -> Self {
        Coordinator {
            workers: Workers::new(&pool),
            pool,
            policy,
            orders: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_call: 1,
            latency: LatencyEstimate::default(),
            repeat_budget: RepeatBudget::default(),
            quota: TrialQuota::default(),
        }
    }

    /// Number of unanswered orders.
    pub fn open_orders(&self) -> usize {
        self.orders.len()
    }

    /// Number of pieces waiting for a call.
    pub fn queued_pieces(&self) -> usize {
        self.orders.values().map(|o| o.queued.len()).sum()
    }

    /// Number of worker entries examined so far, a measure of the coordinator's cost.
    pub fn visited(&self) -> u64 {
        self.workers.visited()
    }

    /// Expected wait of a new order before a call takes it, by rank.
    pub fn waits(&mut self, now: Time) -> Waits {
        self.workers.refresh(now);
        // Slow and full workers accept calls again soon. Reporting them as unavailable would make
        // admission refuse requests for longer than the workers are ejected.
        let Some((workers, retry_in)) = self.workers.serving_or_retrying(now) else {
            return Waits(vec![(Rank::default(), Waits::NOBODY)]);
        };
        let slots = workers * self.pool.slots.max(1) as usize;
        let piece_ms = self.piece_ms();
        let busy = self.in_flight.values().filter(|f| !f.is_silent).count() >= slots;
        let call_ms = if busy { self.pool.call_ms / slots as f64 } else { 0.0 };
        let next_ms = retry_in.as_secs_f64() * 1000.0 + call_ms;
        let mut pieces: BTreeMap<Rank, usize> = BTreeMap::from([(Rank::default(), 0)]);
        for order in self.orders.values() {
            *pieces.entry(order.spec.rank).or_default() += order.queued.len();
        }
        let mut ahead = 0;
        let waits = pieces.into_iter().map(|(rank, waiting)| {
            ahead += waiting;
            (rank, (next_ms + ahead as f64 * piece_ms / slots as f64) as u32)
        });
        Waits(waits.collect())
    }

    /// Wait and call time that an order would get from the local workers.
    pub fn local_load(&mut self, order: &BatchOrder, now: Time) -> LocalLoad {
        let wait = self.waits(now).for_rank(order.rank);
        let slots = self.workers.serving_count() * self.pool.slots.max(1) as usize;
        LocalLoad {
            wait,
            call_time: typical_call_time(&self.pool, order.pieces),
            piece_ms: self.piece_ms() / slots.max(1) as f64,
        }
    }

    /// Worker time per piece in a full call, in milliseconds.
    fn piece_ms(&self) -> f64 {
        self.pool.call_ms / self.pool.batch.max(1) as f64 + self.pool.item_ms
    }

    /// Updates the worker capacity after a configuration change.
    pub fn set_pool(&mut self, pool: StagePool, now: Time) {
        self.workers.set_pool(&pool, now);
        self.pool = pool;
    }

    /// Processes an event and returns the actions to take.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.workers.refresh(now);
        match event {
            Event::Order { id, order, pinned } => {
                self.add_order(id, OpenOrder::new(order, pinned, now), &mut out);
            }
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::CallEnded(call, end) => self.call_ended(now, call, end, &mut out),
            Event::CallSilent(call) => self.call_silent(now, call, &mut out),
            Event::Workers(workers) => {
                self.workers.set_all(workers, now);
                self.end_trial();
            }
            Event::WorkersChanged { updated, removed } => {
                removed.iter().for_each(|id| self.workers.mark_absent(id, now));
                updated.into_iter().for_each(|worker| self.workers.set(worker, now));
                self.end_trial();
            }
            Event::Probed(worker, alive) => self.workers.probed(&worker, alive, now),
            Event::Freed(handles) => self.workers.remove_results(&handles, now),
            Event::HandOver => self.hand_over(&mut out),
            Event::Tick => {}
        }
        self.drop_late(now, &mut out);
        self.drop_unplaceable(&mut out);
        self.repeat_overdue(now, &mut out);
        self.start_calls(now, &mut out);
        out
    }

    fn end_trial(&mut self) {
        if !self.workers.has_trial() {
            self.quota.reset();
        }
    }

    fn add_order(&mut self, id: OrderId, order: OpenOrder, out: &mut Vec<Action>) {
        if order.results.is_empty() {
            out.push(Action::Answer(id, Vec::new()));
            return;
        }
        self.orders.insert(id, order);
    }

    /// Calls in flight are not aborted; their results are freed when they end.
    fn cancel(&mut self, id: OrderId, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(&id) {
            free_results(order.results, out);
        }
    }

    fn hand_over(&mut self, out: &mut Vec<Action>) {
        let unstarted: Vec<OrderId> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.pinned && !o.is_started() && !o.has_calls())
            .map(|(id, _)| *id)
            .collect();
        for id in unstarted {
            self.orders.remove(&id);
            out.push(Action::HandOver(id));
        }
    }

    fn call_ended(&mut self, now: Time, call: u64, end: CallEnd, out: &mut Vec<Action>) {
        let Some(flight) = self.in_flight.remove(&call) else {
            return;
        };
        if flight.is_silent {
            return self.silent_call_ended(now, flight, end, out);
        }
        let took = now.since(flight.started);
        let was_slow = flight.overdue_after.is_some_and(|limit| took >= limit * SLOW_FACTOR);
        self.workers.call_ended(&flight.worker, flight.bytes, &end, was_slow, now);
        if matches!(end, CallEnd::Answered(_)) {
            self.latency.record(flight.expected, took);
        }
        for (id, piece) in &flight.pieces {
            if let Some(order) = self.orders.get_mut(id) {
                order.call_ended(*piece);
            }
        }
        if let Some(size) = self.min_refused_bytes(&flight, &end) {
            self.workers.record_no_room(&flight.worker, size, now);
        }
        let failed_since = (end != CallEnd::Full).then_some(flight.started);
        self.record_end(now, flight, end, failed_since, out);
    }

    /// Records the results of a call, or requeues its pieces.
    pub(super) fn record_end(
        &mut self,
        now: Time,
        flight: InFlightCall,
        end: CallEnd,
        failed_since: Option<Time>,
        out: &mut Vec<Action>,
    ) {
        match end {
            CallEnd::Answered(results) if results.len() == flight.pieces.len() => {
                for ((id, piece), result) in flight.pieces.into_iter().zip(results) {
                    self.record_result(now, id, piece, result, out);
                }
            }
            _ => self.requeue(now, flight.pieces, failed_since, out),
        }
    }

    /// Size of the smallest result that the worker had no room for.
    fn min_refused_bytes(&self, flight: &InFlightCall, end: &CallEnd) -> Option<u64> {
        let CallEnd::Answered(results) = end else {
            return None;
        };
        let pairs = flight.pieces.iter().zip(results);
        let refused = pairs.filter(|(_, r)| **r == PieceResult::NoRoom).map(|((id, _), _)| id);
        refused.filter_map(|id| self.orders.get(id)).map(|o| o.spec.result_bytes).min()
    }

    fn record_result(
        &mut self,
        now: Time,
        id: OrderId,
        piece: usize,
        result: PieceResult,
        out: &mut Vec<Action>,
    ) {
        let Some(order) = self.orders.get_mut(&id) else {
            return free_results(vec![Some(result)], out);
        };
        if order.results[piece].is_some() {
            // Another call has already produced it.
            return free_results(vec![Some(result)], out);
        }
        if result == PieceResult::NoRoom {
            order.lacked_room = true;
            order.requeue(piece);
            return;
        }
        if result == PieceResult::Failed && order.failures < MAX_FAILURES {
            order.failures += 1;
            order.requeue(piece);
            return;
        }
        if let PieceResult::Made(handle) = &result {
            self.workers.record_result(handle, order.spec.result_bytes, now);
        }
        order.set_result(piece, result);
        self.answer_if_complete(id, out);
    }

    fn answer_if_complete(&mut self, id: OrderId, out: &mut Vec<Action>) {
        let is_complete =
            self.orders.get(&id).is_some_and(|o| o.results.iter().all(Option::is_some));
        if is_complete && let Some(order) = self.orders.remove(&id) {
            out.push(Action::Answer(id, order.results.into_iter().flatten().collect()));
        }
    }

    /// Requeues the pieces of a call; one that failed, and began at `failed_since`, counts as a
    /// failure for each of its orders.
    pub(super) fn requeue(
        &mut self,
        now: Time,
        pieces: Vec<(OrderId, usize)>,
        failed_since: Option<Time>,
        out: &mut Vec<Action>,
    ) {
        let mut counted = None;
        for (id, piece) in pieces {
            let Some(order) = self.orders.get_mut(&id) else {
                continue;
            };
            if let Some(since) = failed_since.filter(|_| counted != Some(id)) {
                order.call_failed(since, now);
                counted = Some(id);
            }
            if order.failures > MAX_FAILURES && order.is_awaited(piece) {
                continue;
            }
            if order.failures > MAX_FAILURES && order.results[piece].is_none() {
                order.set_result(piece, PieceResult::Failed);
                self.answer_if_complete(id, out);
            } else {
                order.requeue(piece);
            }
        }
    }

    /// Ends orders that are out of time. Orders not started by the time their results were due end
    /// too: they would queue behind every order that can still be in time until they expire, while
    /// their callers could retry.
    fn drop_late(&mut self, now: Time, out: &mut Vec<Action>) {
        let shedding = self.policy.shedding;
        let is_expired =
            |o: &OpenOrder| o.is_expired(now) || (shedding && o.is_starved(&self.pool, now));
        let expired: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| is_expired(o)).map(|(id, _)| *id).collect();
        self.drop_expired(expired, out);
    }

    /// Answers orders with [`PieceResult::NoRoom`] if they lacked room, else with
    /// [`PieceResult::Late`].
    fn drop_expired(&mut self, expired: Vec<OrderId>, out: &mut Vec<Action>) {
        for id in expired {
            let lacked_room = self.orders.get(&id).is_some_and(|o| o.lacked_room);
            let why = if lacked_room { PieceResult::NoRoom } else { PieceResult::Late };
            self.fail_order(id, &why, out);
        }
    }

    /// Fails orders whose allowed regions have no worker, not even a busy one, for a piece without a
    /// call. Waiting would only delay the refusal.
    fn drop_unplaceable(&mut self, out: &mut Vec<Action>) {
        let workers = &self.workers;
        let is_unplaceable = |o: &OpenOrder| {
            let allowed = &o.spec.allowed;
            o.lacks_call() && !allowed.is_any() && !workers.has_any_permitted(allowed)
        };
        let unplaceable: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| is_unplaceable(o)).map(|(id, _)| *id).collect();
        for id in unplaceable {
            self.fail_order(id, &PieceResult::Failed, out);
        }
    }

    /// Answers an order with the same result for each piece, and frees the results it has.
    fn fail_order(&mut self, id: OrderId, result: &PieceResult, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(&id) {
            let n = order.results.len();
            free_results(order.results, out);
            out.push(Action::Answer(id, vec![result.clone(); n]));
        }
    }

    /// Requeues the missing pieces of overdue calls, whose workers may have lost them, be slow or
    /// be unreachable. The second result for a piece is freed.
    fn repeat_overdue(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.policy.overdue_calls {
            return;
        }
        let all = self.workers.count() * self.pool.slots.max(1) as usize * self.pool.batch;
        self.repeat_budget.cap(all, self.pool.batch);
        let Coordinator { in_flight, orders, latency, repeat_budget, .. } = self;
        let is_new = |f: &InFlightCall| f.overdue_after.is_none() && !f.is_silent;
        for (number, flight) in in_flight.iter_mut().filter(|(_, f)| is_new(f)) {
            let age = now.since(flight.started);
            let limit = latency.overdue_after(flight.expected);
            if age < limit {
                continue;
            }
            flight.overdue_after = Some(limit);
            let repeated = requeue_overdue(&flight.pieces, orders, repeat_budget);
            let worker = flight.worker.clone();
            out.push(Action::Overdue { number: *number, worker, repeated, age, limit });
        }
    }
}

/// Requeues the missing pieces of a call as far as the repeat budget allows; returns how many.
fn requeue_overdue(
    pieces: &[(OrderId, usize)],
    orders: &mut BTreeMap<OrderId, OpenOrder>,
    repeat_budget: &mut RepeatBudget,
) -> usize {
    let mut repeated = 0;
    for (id, piece) in pieces {
        let Some(order) = orders.get_mut(id).filter(|o| o.may_repeat(*piece)) else {
            continue;
        };
        if repeat_budget.withdraw() {
            order.repeat(*piece);
            repeated += 1;
        }
    }
    repeated
}

fn free_results(results: Vec<Option<PieceResult>>, out: &mut Vec<Action>) {
    let handles = results.into_iter().flatten().filter_map(|r| match r {
        PieceResult::Made(handle) => Some(handle),
        _ => None,
    });
    let handles: Vec<_> = handles.collect();
    if !handles.is_empty() {
        out.push(Action::Free(handles));
    }
}
