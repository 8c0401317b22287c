//! The coordinator machine: its orders and what becomes of its calls.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::forward::{BatchOrder, PieceResult, Policy, Rank, StagePool, TargetId, Waits};

use super::latency::LatencyEstimate;
use super::orders::{Order, typical_call_time};
use super::quota::TrialQuota;
use super::repeats::RepeatBudget;
use super::types::{Action, CallEnd, Event, OrderId};
use super::workers::Workers;
use crate::region::LocalLoad;

/// Calls that may fail under one order before it is given up.
const MAX_FAILURES: u32 = 3;
/// Times the time from which on it is overdue that a call may take before its worker counts as
/// slow: one that was late by little, behind a link that has just healed, is as good as others.
const SLOW_FACTOR: u32 = 2;

#[derive(Debug)]
pub(super) struct InFlightCall {
    pub(super) worker: TargetId,
    pub(super) bytes: u64,
    pub(super) pieces: Vec<(OrderId, usize)>,
    pub(super) started: Time,
    pub(super) expected: Duration,
    /// When it counted as overdue, if it did.
    pub(super) overdue_after: Option<Duration>,
}

/// Batches the pieces of one service.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) pool: StagePool,
    policy: Policy,
    pub(super) workers: Workers,
    pub(super) orders: BTreeMap<OrderId, Order>,
    pub(super) in_flight: BTreeMap<u64, InFlightCall>,
    pub(super) next_call: u64,
    latency: LatencyEstimate,
    pub(super) repeat_budget: RepeatBudget,
    pub(super) quota: TrialQuota,
}

impl Coordinator {
    /// A coordinator with no workers yet.
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

    /// Orders not answered yet.
    pub fn open_orders(&self) -> usize {
        self.orders.len()
    }

    /// Pieces that wait for a call.
    pub fn queued_pieces(&self) -> usize {
        self.orders.values().map(|o| o.queued.len()).sum()
    }

    /// Workers looked at so far: what the machine's work grows with.
    pub fn visited(&self) -> u64 {
        self.workers.visited()
    }

    /// What an order would wait now before a call takes it, by its rank.
    pub fn waits(&mut self, now: Time) -> Waits {
        self.workers.refresh(now);
        // Workers that were late are back soon: doors that took them for gone would stay shut for
        // longer than they are left out.
        let Some((workers, retry_in)) = self.workers.serving_or_retrying(now) else {
            return Waits(vec![(Rank::default(), Waits::NOBODY)]);
        };
        let slots = workers * self.pool.slots.max(1) as usize;
        let piece_ms = self.piece_ms();
        let busy = self.in_flight.len() >= slots;
        let call_ms = if busy { self.pool.call_ms / slots as f64 } else { 0.0 };
        let next_ms = retry_in.as_secs_f64() * 1000.0 + call_ms;
        let mut pieces: BTreeMap<Rank, usize> = BTreeMap::from([(Rank::default(), 0)]);
        for order in self.orders.values() {
            *pieces.entry(order.order.rank).or_default() += order.queued.len();
        }
        let mut ahead = 0;
        let waits = pieces.into_iter().map(|(rank, waiting)| {
            ahead += waiting;
            (rank, (next_ms + ahead as f64 * piece_ms / slots as f64) as u32)
        });
        Waits(waits.collect())
    }

    /// What an order would find at the workers now.
    pub fn local_load(&mut self, order: &BatchOrder, now: Time) -> LocalLoad {
        let wait = self.waits(now).of(order.rank);
        let slots = self.workers.serving_count() * self.pool.slots.max(1) as usize;
        LocalLoad {
            wait,
            call_time: typical_call_time(&self.pool, order.pieces),
            piece_ms: self.piece_ms() / slots.max(1) as f64,
        }
    }

    /// Time of a worker that a piece takes in a full call.
    fn piece_ms(&self) -> f64 {
        self.pool.call_ms / self.pool.batch.max(1) as f64 + self.pool.item_ms
    }

    /// Sets what one worker bears, when rules change.
    pub fn set_pool(&mut self, pool: StagePool, now: Time) {
        self.workers.set_pool(&pool, now);
        self.pool = pool;
    }

    /// Takes one event; returns what is to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.workers.refresh(now);
        match event {
            Event::Order { id, order, pinned } => {
                self.add_order(id, Order::new(order, pinned, now), &mut out);
            }
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::CallEnded(call, end) => self.call_ended(now, call, end, &mut out),
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
        self.drop_barred(&mut out);
        self.repeat_overdue(now, &mut out);
        self.start_calls(now, &mut out);
        out
    }

    fn end_trial(&mut self) {
        if !self.workers.has_trial() {
            self.quota.reset();
        }
    }

    fn add_order(&mut self, id: OrderId, order: Order, out: &mut Vec<Action>) {
        if order.results.is_empty() {
            out.push(Action::Answer(id, Vec::new()));
            return;
        }
        self.orders.insert(id, order);
    }

    /// A call at work is not stopped by its caller; its results are freed at its end.
    fn cancel(&mut self, id: OrderId, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(&id) {
            free_results(order.results, out);
        }
    }

    fn hand_over(&mut self, out: &mut Vec<Action>) {
        let unstarted: Vec<OrderId> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.pinned && o.queued.len() == o.results.len())
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
        match end {
            CallEnd::Answered(results) if results.len() == flight.pieces.len() => {
                for ((id, piece), result) in flight.pieces.into_iter().zip(results) {
                    self.record_result(now, id, piece, result, out);
                }
            }
            CallEnd::Answered(_) | CallEnd::Failed => self.requeue(now, flight, true, out),
            CallEnd::Full => self.requeue(now, flight, false, out),
        }
    }

    /// Size of the smallest result that the worker had no room for.
    fn min_refused_bytes(&self, flight: &InFlightCall, end: &CallEnd) -> Option<u64> {
        let CallEnd::Answered(results) = end else {
            return None;
        };
        let pairs = flight.pieces.iter().zip(results);
        let refused = pairs.filter(|(_, r)| **r == PieceResult::NoRoom).map(|((id, _), _)| id);
        refused.filter_map(|id| self.orders.get(id)).map(|o| o.order.result_bytes).min()
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
            // Another call made it first.
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
            self.workers.record_result(handle, order.order.result_bytes, now);
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

    /// Puts a call's pieces back in the queue; `counts` if the call failed.
    fn requeue(
        &mut self,
        now: Time,
        flight: InFlightCall,
        is_failure: bool,
        out: &mut Vec<Action>,
    ) {
        let mut counted = None;
        for (id, piece) in flight.pieces {
            let Some(order) = self.orders.get_mut(&id) else {
                continue;
            };
            if is_failure && counted != Some(id) {
                order.call_failed(flight.started, now);
                counted = Some(id);
            }
            if order.failures > MAX_FAILURES && order.results[piece].is_none() {
                order.set_result(piece, PieceResult::Failed);
                self.answer_if_complete(id, out);
            } else {
                order.requeue(piece);
            }
        }
    }

    /// Ends orders whose time is over. Those that no call has taken by the time at which
    /// they were wanted end too: behind all that can still be in time they would wait to
    /// the end, while their callers could come back.
    fn drop_late(&mut self, now: Time, out: &mut Vec<Action>) {
        let shedding = self.policy.shedding;
        let is_expired =
            |o: &Order| o.is_expired(now) || (shedding && o.is_starved(&self.pool, now));
        let expired: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| is_expired(o)).map(|(id, _)| *id).collect();
        self.drop_expired(expired, out);
    }

    /// Ends orders for want of time, or of the room that took it.
    fn drop_expired(&mut self, expired: Vec<OrderId>, out: &mut Vec<Action>) {
        for id in expired {
            let lacked_room = self.orders.get(&id).is_some_and(|o| o.lacked_room);
            let why = if lacked_room { PieceResult::NoRoom } else { PieceResult::Late };
            self.fail_order(id, &why, out);
        }
    }

    /// Ends orders that no worker may take: all workers lie outside of the regions that are
    /// allowed, and none inside is even busy. To wait for one would only make the refusal late.
    fn drop_barred(&mut self, out: &mut Vec<Action>) {
        let workers = &self.workers;
        let is_barred = |o: &Order| {
            let allowed = &o.order.allowed;
            !o.queued.is_empty() && !allowed.is_any() && !workers.has_any_permitted(allowed)
        };
        let barred: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| is_barred(o)).map(|(id, _)| *id).collect();
        for id in barred {
            self.fail_order(id, &PieceResult::Failed, out);
        }
    }

    /// Answers an order with this for each piece, and frees what was made of it.
    fn fail_order(&mut self, id: OrderId, result: &PieceResult, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(&id) {
            let n = order.results.len();
            free_results(order.results, out);
            out.push(Action::Answer(id, vec![result.clone(); n]));
        }
    }

    /// Asks once more for what is wanted of calls that are later than nearly all: their workers
    /// may have lost them, be slow, or be out of reach. What comes second is freed.
    fn repeat_overdue(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.policy.overdue_calls {
            return;
        }
        let all = self.workers.count() * self.pool.slots.max(1) as usize * self.pool.batch;
        self.repeat_budget.cap(all, self.pool.batch);
        let Coordinator { in_flight, orders, latency, repeat_budget, .. } = self;
        for (number, flight) in in_flight.iter_mut().filter(|(_, f)| f.overdue_after.is_none()) {
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

/// Asks once more for those of a call's pieces that are still wanted and may be; returns how
/// many they are.
fn requeue_overdue(
    pieces: &[(OrderId, usize)],
    orders: &mut BTreeMap<OrderId, Order>,
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
