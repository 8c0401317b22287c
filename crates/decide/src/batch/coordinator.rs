//! The coordinator machine.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{BatchOrder, PieceOrder, PieceResult, StagePool, TargetId};
use model::{Name, Time};

/// Number of an order at this coordinator.
pub type OrderId = u64;

/// Results above this many bytes stay in the failure domain where they are wanted.
const LARGE: u64 = 1 << 20;
/// Slack below which a large result may be made elsewhere after all.
const SPILL_SLACK: Duration = Duration::from_millis(350);
/// Calls that may fail under one order before it is given up.
const FAILURES: u32 = 3;
/// First time for which a failing maker is left out.
const EJECT_FIRST: Duration = Duration::from_millis(300);
/// Longest time for which a failing maker is left out.
const EJECT_LONGEST: Duration = Duration::from_millis(2400);

/// A maker as the coordinator is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MakerInfo {
    /// Target.
    pub id: TargetId,
    /// Failure domain.
    pub domain: Name,
}

/// What the coordinator hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Pieces are ordered; `bytes` is about the size of one result.
    Order(OrderId, BatchOrder, u64),
    /// Nobody waits for an order any more.
    Cancel(OrderId),
    /// A call came to an end.
    Ended(u64, CallEnd),
    /// Makers that may get calls.
    Makers(Vec<MakerInfo>),
    /// Time passed.
    Tick,
}

/// How a call came to an end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The maker answered for each piece.
    Answered(Vec<PieceResult>),
    /// The maker was full and did nothing.
    Full,
    /// The maker could not be reached, or gave no usable answer.
    Failed,
}

/// A call to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number.
    pub number: u64,
    /// Maker.
    pub maker: TargetId,
    /// Pieces.
    pub pieces: Vec<PieceOrder>,
}

/// What the coordinator wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make a call.
    Start(Call),
    /// Answer an order.
    Answer(OrderId, Vec<PieceResult>),
    /// Results that nobody waits for: free them.
    Free(Vec<model::forward::Handle>),
}

#[derive(Debug)]
struct Maker {
    domain: Name,
    calls: u32,
    present: bool,
    ejected: Time,
    strikes: u32,
}

#[derive(Debug)]
struct Order {
    order: BatchOrder,
    bytes: u64,
    arrived: Time,
    waiting: Vec<usize>,
    results: Vec<Option<PieceResult>>,
    failures: u32,
}

#[derive(Debug)]
struct Flight {
    maker: TargetId,
    pieces: Vec<(OrderId, usize)>,
}

/// Batches the pieces of one service.
#[derive(Debug)]
pub struct Coordinator {
    pool: StagePool,
    makers: BTreeMap<TargetId, Maker>,
    orders: BTreeMap<OrderId, Order>,
    flights: BTreeMap<u64, Flight>,
    next_call: u64,
}

impl Order {
    fn slack(&self, now: Time) -> Duration {
        let total = Duration::from_millis(self.order.slack_ms);
        total.saturating_sub(now.since(self.arrived))
    }

    fn over(&self, now: Time) -> bool {
        now.since(self.arrived) >= Duration::from_millis(self.order.left_ms)
    }

    /// Whether a call at a maker in `domain` suits this order.
    fn suits(&self, domain: &str, homes: &Homes, now: Time) -> bool {
        let Some(near) = &self.order.near else {
            return true;
        };
        let total = self.bytes * self.order.pieces.len() as u64;
        **near == *domain
            || total < LARGE
            || !homes.has(near)
            || (self.order.rank <= 1 && self.slack(now) < SPILL_SLACK)
    }

    fn wants(&self, domain: &str) -> bool {
        self.order.near.as_ref().is_some_and(|n| **n == *domain)
    }
}

/// Failure domains that have a working maker.
struct Homes(Vec<Name>);

impl Homes {
    fn has(&self, domain: &str) -> bool {
        self.0.iter().any(|d| **d == *domain)
    }
}

impl Coordinator {
    /// A coordinator with no makers yet.
    pub fn new(pool: StagePool) -> Self {
        Coordinator {
            pool,
            makers: BTreeMap::new(),
            orders: BTreeMap::new(),
            flights: BTreeMap::new(),
            next_call: 1,
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

    /// Sets what one maker bears, when rules change.
    pub fn set_pool(&mut self, pool: StagePool) {
        self.pool = pool;
    }

    /// Takes one event; returns what is to be done.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Order(id, order, bytes) => self.order(now, id, order, bytes, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Ended(call, end) => self.ended(now, call, end, &mut out),
            Event::Makers(makers) => self.set_makers(makers),
            Event::Tick => {}
        }
        self.give_up_late(now, &mut out);
        self.fill(now, &mut out);
        out
    }

    fn order(
        &mut self,
        now: Time,
        id: OrderId,
        order: BatchOrder,
        bytes: u64,
        out: &mut Vec<Action>,
    ) {
        let n = order.pieces.len();
        if n == 0 {
            out.push(Action::Answer(id, Vec::new()));
            return;
        }
        let waiting = (0..n).collect();
        let results = vec![None; n];
        let order = Order { order, bytes, arrived: now, waiting, results, failures: 0 };
        self.orders.insert(id, order);
    }

    fn cancel(&mut self, id: OrderId, out: &mut Vec<Action>) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        // A call at work is not stopped by its caller; its results are freed at its end.
        free(order.results, out);
    }

    fn ended(&mut self, now: Time, call: u64, end: CallEnd, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        if let Some(m) = self.makers.get_mut(&flight.maker) {
            m.calls = m.calls.saturating_sub(1);
            match end {
                CallEnd::Answered(_) => m.strikes = 0,
                CallEnd::Full => m.ejected = now + Duration::from_millis(60),
                CallEnd::Failed => {
                    let time = EJECT_FIRST * 2u32.pow(m.strikes.min(3));
                    m.ejected = now + time.min(EJECT_LONGEST);
                    m.strikes += 1;
                }
            }
        }
        self.forget_idle();
        match end {
            CallEnd::Answered(results) if results.len() == flight.pieces.len() => {
                for ((id, piece), result) in flight.pieces.into_iter().zip(results) {
                    self.settle(id, piece, result, out);
                }
            }
            CallEnd::Answered(_) | CallEnd::Failed => self.requeue(flight, true, out),
            CallEnd::Full => self.requeue(flight, false, out),
        }
    }

    fn settle(&mut self, id: OrderId, piece: usize, result: PieceResult, out: &mut Vec<Action>) {
        let Some(order) = self.orders.get_mut(&id) else {
            return free(vec![Some(result)], out);
        };
        if result == PieceResult::Failed && order.failures < FAILURES {
            order.failures += 1;
            order.waiting.push(piece);
            return;
        }
        order.results[piece] = Some(result);
        self.answer_if_whole(id, out);
    }

    fn answer_if_whole(&mut self, id: OrderId, out: &mut Vec<Action>) {
        let whole = self.orders.get(&id).is_some_and(|o| o.results.iter().all(Option::is_some));
        if whole && let Some(order) = self.orders.remove(&id) {
            out.push(Action::Answer(id, order.results.into_iter().flatten().collect()));
        }
    }

    /// Puts a call's pieces back in the queue; `counts` if the call failed.
    fn requeue(&mut self, flight: Flight, counts: bool, out: &mut Vec<Action>) {
        let mut counted = None;
        for (id, piece) in flight.pieces {
            let Some(order) = self.orders.get_mut(&id) else {
                continue;
            };
            if counts && counted != Some(id) {
                order.failures += 1;
                counted = Some(id);
            }
            if order.failures > FAILURES {
                order.results[piece] = Some(PieceResult::Failed);
                self.answer_if_whole(id, out);
            } else {
                order.waiting.push(piece);
            }
        }
    }

    fn set_makers(&mut self, makers: Vec<MakerInfo>) {
        for m in self.makers.values_mut() {
            m.present = false;
        }
        for MakerInfo { id, domain } in makers {
            let fresh = || Maker {
                domain: domain.clone(),
                calls: 0,
                present: true,
                ejected: Time::ZERO,
                strikes: 0,
            };
            self.makers.entry(id).or_insert_with(fresh).present = true;
        }
        self.forget_idle();
    }

    fn forget_idle(&mut self) {
        self.makers.retain(|_, m| m.present || m.calls > 0);
    }

    fn give_up_late(&mut self, now: Time, out: &mut Vec<Action>) {
        let late: Vec<OrderId> =
            self.orders.iter().filter(|(_, o)| o.over(now)).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(order) = self.orders.remove(&id) {
                let n = order.results.len();
                free(order.results, out);
                out.push(Action::Answer(id, vec![PieceResult::Late; n]));
            }
        }
    }

    fn fill(&mut self, now: Time, out: &mut Vec<Action>) {
        let present = self.makers.values().filter(|m| m.present && m.ejected <= now);
        let homes = Homes(present.map(|m| m.domain.clone()).collect());
        loop {
            let mut started = false;
            for id in self.free_makers(now) {
                started |= self.start(now, id, &homes, out);
            }
            if !started {
                return;
            }
        }
    }

    fn free_makers(&self, now: Time) -> Vec<TargetId> {
        let free = |m: &Maker| m.present && m.calls < self.pool.slots.max(1) && m.ejected <= now;
        self.makers.iter().filter(|(_, m)| free(m)).map(|(id, _)| id.clone()).collect()
    }

    /// Fills one call for a free maker; orders that want its failure domain first.
    fn start(&mut self, now: Time, id: TargetId, homes: &Homes, out: &mut Vec<Action>) -> bool {
        let Some(maker) = self.makers.get_mut(&id) else {
            return false;
        };
        let domain = maker.domain.clone();
        let mut fits: Vec<(bool, Duration, OrderId)> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.waiting.is_empty() && o.suits(&domain, homes, now))
            .map(|(n, o)| (!o.wants(&domain), o.slack(now), *n))
            .collect();
        fits.sort_unstable();
        let mut pieces = Vec::new();
        for (_, _, n) in fits {
            take(self.orders.get_mut(&n), n, self.pool.batch.max(1), &mut pieces);
        }
        if pieces.is_empty() {
            return false;
        }
        maker.calls += 1;
        let number = self.next_call;
        self.next_call += 1;
        let orders = &self.orders;
        let ordered = pieces.iter().map(|(n, p)| orders[n].order.pieces[*p].clone()).collect();
        out.push(Action::Start(Call { number, maker: id.clone(), pieces: ordered }));
        self.flights.insert(number, Flight { maker: id, pieces });
        true
    }
}

/// Moves an order's waiting pieces into a call if all fit, or if the call is empty.
fn take(order: Option<&mut Order>, n: OrderId, most: usize, pieces: &mut Vec<(OrderId, usize)>) {
    let Some(order) = order else {
        return;
    };
    let room = most - pieces.len();
    if room == 0 || (order.waiting.len() > room && !pieces.is_empty()) {
        return;
    }
    let some = order.waiting.len().min(room);
    pieces.extend(order.waiting.drain(..some).map(|p| (n, p)));
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
