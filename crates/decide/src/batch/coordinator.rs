//! The coordinator machine: its orders and what becomes of its calls.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::forward::{BatchOrder, PieceResult, Policy, Rank, StagePool, TargetId, Waits};

use super::makers::Makers;
use super::orders::{Order, usual_call};
use super::pace::Pace;
use super::quota::TrialQuota;
use super::repeats::Repeats;
use super::types::{Action, CallEnd, Event, OrderId};
use crate::region::Own;

/// Calls that may fail under one order before it is given up.
const FAILURES: u32 = 3;
/// Times the time from which on it is overdue that a call may take before its maker counts as
/// slow: one that was late by little, behind a link that has just healed, is as good as others.
const SLOW: u32 = 2;

#[derive(Debug)]
pub(super) struct Flight {
    pub(super) maker: TargetId,
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
    pub(super) makers: Makers,
    pub(super) orders: BTreeMap<OrderId, Order>,
    pub(super) flights: BTreeMap<u64, Flight>,
    pub(super) next_call: u64,
    pace: Pace,
    pub(super) repeats: Repeats,
    pub(super) quota: TrialQuota,
}

impl Coordinator {
    /// A coordinator with no makers yet.
    pub fn new(pool: StagePool, policy: Policy) -> Self {
        Coordinator {
            makers: Makers::new(&pool),
            pool,
            policy,
            orders: BTreeMap::new(),
            flights: BTreeMap::new(),
            next_call: 1,
            pace: Pace::default(),
            repeats: Repeats::default(),
            quota: TrialQuota::default(),
        }
    }

    /// Orders not answered yet.
    pub fn open(&self) -> usize {
        self.orders.len()
    }

    /// Pieces that wait for a call.
    pub fn waiting(&self) -> usize {
        self.orders.values().map(|o| o.waiting.len()).sum()
    }

    /// Makers looked at so far: what the machine's work grows with.
    pub fn visited(&self) -> u64 {
        self.makers.visited()
    }

    /// What an order would wait now before a call takes it, by its rank.
    pub fn waits(&mut self, now: Time) -> Waits {
        self.makers.refresh(now);
        // Makers that were late are back soon: doors that took them for gone would stay shut for
        // longer than they are left out.
        let Some((makers, back)) = self.makers.working_or_back(now) else {
            return Waits(vec![(Rank::default(), Waits::NOBODY)]);
        };
        let slots = makers * self.pool.slots.max(1) as usize;
        let piece_ms = self.piece_ms();
        let busy = self.flights.len() >= slots;
        let call_ms = if busy { self.pool.call_ms / slots as f64 } else { 0.0 };
        let next_ms = back.as_secs_f64() * 1000.0 + call_ms;
        let mut pieces: BTreeMap<Rank, usize> = BTreeMap::from([(Rank::default(), 0)]);
        for order in self.orders.values() {
            *pieces.entry(order.order.rank).or_default() += order.waiting.len();
        }
        let mut ahead = 0;
        let waits = pieces.into_iter().map(|(rank, waiting)| {
            ahead += waiting;
            (rank, (next_ms + ahead as f64 * piece_ms / slots as f64) as u32)
        });
        Waits(waits.collect())
    }

    /// What an order would find at the makers now.
    pub fn own(&mut self, order: &BatchOrder, now: Time) -> Own {
        let wait = self.waits(now).of(order.rank);
        let slots = self.makers.working() * self.pool.slots.max(1) as usize;
        Own {
            wait,
            call: usual_call(&self.pool, order.pieces),
            piece_ms: self.piece_ms() / slots.max(1) as f64,
        }
    }

    /// Time of a maker that a piece takes in a full call.
    fn piece_ms(&self) -> f64 {
        self.pool.call_ms / self.pool.batch.max(1) as f64 + self.pool.item_ms
    }

    /// Sets what one maker bears, when rules change.
    pub fn set_pool(&mut self, pool: StagePool, now: Time) {
        self.makers.set_pool(&pool, now);
        self.pool = pool;
    }

    /// Takes one event; returns what is to be done.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.makers.refresh(now);
        match event {
            Event::Order { id, order, pinned } => {
                self.order(id, Order::new(order, pinned, now), &mut out);
            }
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Ended(call, end) => self.ended(now, call, end, &mut out),
            Event::Makers(makers) => {
                self.makers.set_all(makers, now);
                self.end_trial();
            }
            Event::Changed { there, gone } => {
                gone.iter().for_each(|id| self.makers.gone(id, now));
                there.into_iter().for_each(|maker| self.makers.set(maker, now));
                self.end_trial();
            }
            Event::Probed(maker, alive) => self.makers.probed(&maker, alive, now),
            Event::Freed(handles) => self.makers.freed(&handles, now),
            Event::HandOver => self.hand_over(&mut out),
            Event::Tick => {}
        }
        self.give_up_late(now, &mut out);
        self.give_up_barred(&mut out);
        self.repeat_overdue(now, &mut out);
        self.fill(now, &mut out);
        out
    }

    fn end_trial(&mut self) {
        if !self.makers.has_trial() {
            self.quota.ended();
        }
    }

    fn order(&mut self, id: OrderId, order: Order, out: &mut Vec<Action>) {
        if order.results.is_empty() {
            out.push(Action::Answer(id, Vec::new()));
            return;
        }
        self.orders.insert(id, order);
    }

    /// A call at work is not stopped by its caller; its results are freed at its end.
    fn cancel(&mut self, id: OrderId, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(&id) {
            free(order.results, out);
        }
    }

    fn hand_over(&mut self, out: &mut Vec<Action>) {
        let untouched: Vec<OrderId> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.pinned && o.waiting.len() == o.results.len())
            .map(|(id, _)| *id)
            .collect();
        for id in untouched {
            self.orders.remove(&id);
            out.push(Action::Moved(id));
        }
    }

    fn ended(&mut self, now: Time, call: u64, end: CallEnd, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        let took = now.since(flight.started);
        let was_slow = flight.overdue_after.is_some_and(|limit| took >= limit * SLOW);
        self.makers.ended(&flight.maker, flight.bytes, &end, was_slow, now);
        if matches!(end, CallEnd::Answered(_)) {
            self.pace.note(flight.expected, took);
        }
        for (id, piece) in &flight.pieces {
            if let Some(order) = self.orders.get_mut(id) {
                order.call_ended(*piece);
            }
        }
        if let Some(size) = self.least_without_room(&flight, &end) {
            self.makers.had_no_room(&flight.maker, size, now);
        }
        match end {
            CallEnd::Answered(results) if results.len() == flight.pieces.len() => {
                for ((id, piece), result) in flight.pieces.into_iter().zip(results) {
                    self.settle(now, id, piece, result, out);
                }
            }
            CallEnd::Answered(_) | CallEnd::Failed => self.requeue(now, flight, true, out),
            CallEnd::Full => self.requeue(now, flight, false, out),
        }
    }

    /// Size of the smallest result that the maker had no room for.
    fn least_without_room(&self, flight: &Flight, end: &CallEnd) -> Option<u64> {
        let CallEnd::Answered(results) = end else {
            return None;
        };
        let pairs = flight.pieces.iter().zip(results);
        let lacking = pairs.filter(|(_, r)| **r == PieceResult::NoRoom).map(|((id, _), _)| id);
        lacking.filter_map(|id| self.orders.get(id)).map(|o| o.order.result_bytes).min()
    }

    fn settle(
        &mut self,
        now: Time,
        id: OrderId,
        piece: usize,
        result: PieceResult,
        out: &mut Vec<Action>,
    ) {
        let Some(order) = self.orders.get_mut(&id) else {
            return free(vec![Some(result)], out);
        };
        if order.results[piece].is_some() {
            // Another call made it first.
            return free(vec![Some(result)], out);
        }
        if result == PieceResult::NoRoom {
            order.lacked_room = true;
            order.requeue(piece);
            return;
        }
        if result == PieceResult::Failed && order.failures < FAILURES {
            order.failures += 1;
            order.requeue(piece);
            return;
        }
        if let PieceResult::Made(handle) = &result {
            self.makers.kept(handle, order.order.result_bytes, now);
        }
        order.set_result(piece, result);
        self.answer_if_whole(id, out);
    }

    fn answer_if_whole(&mut self, id: OrderId, out: &mut Vec<Action>) {
        let whole = self.orders.get(&id).is_some_and(|o| o.results.iter().all(Option::is_some));
        if whole && let Some(order) = self.orders.remove(&id) {
            out.push(Action::Answer(id, order.results.into_iter().flatten().collect()));
        }
    }

    /// Puts a call's pieces back in the queue; `counts` if the call failed.
    fn requeue(&mut self, now: Time, flight: Flight, counts: bool, out: &mut Vec<Action>) {
        let mut counted = None;
        for (id, piece) in flight.pieces {
            let Some(order) = self.orders.get_mut(&id) else {
                continue;
            };
            if counts && counted != Some(id) {
                order.call_failed(flight.started, now);
                counted = Some(id);
            }
            if order.failures > FAILURES && order.results[piece].is_none() {
                order.set_result(piece, PieceResult::Failed);
                self.answer_if_whole(id, out);
            } else {
                order.requeue(piece);
            }
        }
    }

    /// Ends orders whose time is over. Those that no call has taken by the time at which
    /// they were wanted end too: behind all that can still be in time they would wait to
    /// the end, while their callers could come back.
    fn give_up_late(&mut self, now: Time, out: &mut Vec<Action>) {
        let sheds = self.policy.shedding;
        let is_late = |o: &Order| o.is_over(now) || (sheds && o.is_starved(&self.pool, now));
        let late: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| is_late(o)).map(|(id, _)| *id).collect();
        self.give_up_all(late, out);
    }

    /// Ends orders for want of time, or of the room that took it.
    fn give_up_all(&mut self, late: Vec<OrderId>, out: &mut Vec<Action>) {
        for id in late {
            let lacked_room = self.orders.get(&id).is_some_and(|o| o.lacked_room);
            let why = if lacked_room { PieceResult::NoRoom } else { PieceResult::Late };
            self.give_up(id, &why, out);
        }
    }

    /// Ends orders that no maker may take: all makers lie outside of the regions that are
    /// allowed, and none inside is even busy. To wait for one would only make the refusal late.
    fn give_up_barred(&mut self, out: &mut Vec<Action>) {
        let makers = &self.makers;
        let is_barred = |o: &Order| {
            let allowed = &o.order.allowed;
            !o.waiting.is_empty() && !allowed.is_any() && !makers.has_any_in(allowed)
        };
        let barred: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| is_barred(o)).map(|(id, _)| *id).collect();
        for id in barred {
            self.give_up(id, &PieceResult::Failed, out);
        }
    }

    /// Answers an order with this for each piece, and frees what was made of it.
    fn give_up(&mut self, id: OrderId, result: &PieceResult, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(&id) {
            let n = order.results.len();
            free(order.results, out);
            out.push(Action::Answer(id, vec![result.clone(); n]));
        }
    }

    /// Asks once more for what is wanted of calls that are later than nearly all: their makers
    /// may have lost them, be slow, or be out of reach. What comes second is freed.
    fn repeat_overdue(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.policy.overdue_calls {
            return;
        }
        let all = self.makers.count() * self.pool.slots.max(1) as usize * self.pool.batch;
        self.repeats.bound(all, self.pool.batch);
        let Coordinator { flights, orders, pace, repeats, .. } = self;
        for (number, flight) in flights.iter_mut().filter(|(_, f)| f.overdue_after.is_none()) {
            let age = now.since(flight.started);
            let limit = pace.overdue_after(flight.expected);
            if age < limit {
                continue;
            }
            flight.overdue_after = Some(limit);
            let again = ask_again(&flight.pieces, orders, repeats);
            let maker = flight.maker.clone();
            out.push(Action::Overdue { number: *number, maker, again, age, limit });
        }
    }
}

/// Asks once more for those of a call's pieces that are still wanted and may be; returns how
/// many they are.
fn ask_again(
    pieces: &[(OrderId, usize)],
    orders: &mut BTreeMap<OrderId, Order>,
    repeats: &mut Repeats,
) -> usize {
    let mut again = 0;
    for (id, piece) in pieces {
        let Some(order) = orders.get_mut(id).filter(|o| o.may_repeat(*piece)) else {
            continue;
        };
        if repeats.take() {
            order.repeat(*piece);
            again += 1;
        }
    }
    again
}

fn free(results: Vec<Option<PieceResult>>, out: &mut Vec<Action>) {
    let made = results.into_iter().flatten().filter_map(|r| match r {
        PieceResult::Made(handle) => Some(handle),
        _ => None,
    });
    let handles: Vec<_> = made.collect();
    if !handles.is_empty() {
        out.push(Action::Free(handles));
    }
}
