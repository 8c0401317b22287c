//! Orders that spill to another region. The simulations vary load and failures and check what
//! callers get.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use decide::batch::{Action, CallEnd, Coordinator, Event, OrderId};
use decide::region::{LocalLoad, Spill};
use model::Name;
use model::forward::{BatchOrder, PieceResult, Rank, Waits};
use support::{at, coordinator, made, order, probes, workers};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_order_spills_only_if_late_locally_and_in_time_remotely() {
    let busy = LocalLoad { wait: 800, call_time: ms(150), piece_ms: 5.0 };
    let small = || BatchOrder { slack_ms: 700, ..order("r", 5) };
    let large = BatchOrder { result_bytes: 2 << 20, ..small() };
    let heavy = BatchOrder { moved_bytes: 4 << 20, ..small() };
    let guest = BatchOrder { spilled: true, ..small() };
    let patient = BatchOrder { slack_ms: 2000, ..small() };
    let tight = BatchOrder { slack_ms: 160, ..small() };
    let dead = LocalLoad { wait: u32::MAX, ..busy };
    let cases = [
        (small(), busy, 50, true, "late locally, in time remotely"),
        (small(), LocalLoad { wait: 400, ..busy }, 50, false, "in time locally"),
        (small(), busy, 300, false, "overloaded remotely as well"),
        (patient, busy, 0, false, "it has enough slack to wait"),
        (tight, busy, 0, false, "late remotely as well"),
        (large.clone(), busy, 0, false, "its results are too large to move"),
        (heavy, busy, 0, false, "its inputs are too large to move"),
        (guest.clone(), busy, 0, false, "it has spilled before"),
        (small(), dead, 0, true, "no local worker is available"),
        (large, dead, 0, true, "no local worker is available for a large order"),
        (guest, dead, 0, false, "an order spills only once"),
    ];
    for (order, own, there, spills, why) in cases {
        let mut spill = Spill::default();
        let waits = Waits(vec![(Rank::default(), there)]);
        spill.update_waits("b".into(), waits, at(0));
        let others = [("b".into(), ms(40))];
        let chosen = spill.choose(&others, &order, own, at(100));
        assert_eq!(chosen.is_some(), spills, "{why}: {chosen:?}");
        let later = spill.choose(&others, &order, own, at(5000));
        let expected = own.wait == u32::MAX && spills;
        assert_eq!(later.is_some(), expected, "the reported waits have expired: {why}");
    }
}

/// Directed links between regions.
type Links<'a> = &'a [(usize, usize)];

/// One-way latency between two regions, in milliseconds.
const CROSSING: u64 = 20;
/// Time step of the simulation, in milliseconds.
const STEP: u64 = 5;
/// Workers of each region; each completes ten orders a second with full calls.
const WORKERS: [(&str, &str); 4] = [("m1", "d1"), ("m2", "d1"), ("m3", "d2"), ("m4", "d2")];

/// One region: its coordinator, the calls of its workers, and the outcomes of its callers' orders.
struct Region {
    name: Name,
    c: Coordinator,
    spill: Spill,
    is_up: bool,
    calls: Vec<(u64, u64, CallEnd)>,
    open: BTreeMap<OrderId, (usize, u64, BatchOrder)>,
    /// Arrival time of each order of its callers, and whether it was completed in time.
    outcomes: Vec<(u64, bool)>,
    spilled_at: Vec<u64>,
}

enum Message {
    Order { from: usize, due: u64, order: BatchOrder },
    Waits { region: Name, waits: Waits },
}

struct Simulation {
    now: u64,
    next: OrderId,
    spills: bool,
    regions: Vec<Region>,
    messages: Vec<(u64, usize, Message)>,
    /// Directed links between regions that drop all messages.
    cuts: Vec<(usize, usize)>,
}

impl Simulation {
    fn new(spills: bool) -> Self {
        let region = |name: &&str| Region {
            name: (*name).into(),
            c: coordinator(&WORKERS),
            spill: Spill::default(),
            is_up: true,
            calls: Vec::new(),
            open: BTreeMap::new(),
            outcomes: Vec::new(),
            spilled_at: Vec::new(),
        };
        let regions = ["a", "b", "c"].iter().map(region).collect();
        Simulation { now: 0, next: 1, spills, regions, messages: Vec::new(), cuts: Vec::new() }
    }

    /// Simulates until a time, with this many orders a second in each region.
    fn run(&mut self, until: u64, per_s: [u64; 3]) {
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for (i, per_s) in per_s.iter().enumerate() {
                let before = (self.now - STEP) * per_s / 1000;
                for n in before..self.now * per_s / 1000 {
                    let order = BatchOrder { slack_ms: 900, ..order(&format!("r{i}-{n}"), 5) };
                    self.receive(i, i, self.now + 900, order);
                }
                self.end_calls(i);
                self.tick(i);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|m| m.0 <= now);
        self.messages = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, to, message) in due {
            match message {
                Message::Order { from, due, order } => self.receive(to, from, due, order),
                Message::Waits { region, waits } => {
                    self.regions[to].spill.update_waits(region, waits, at(now));
                }
            }
        }
    }

    /// An order of region `from` arrives at the coordinator of region `i`.
    fn receive(&mut self, i: usize, from: usize, due: u64, order: BatchOrder) {
        let chosen = self.choose(i, &order);
        if let Some(to) = chosen.filter(|to| self.is_cut(i, *to)) {
            // The probe gets no answer.
            let region = self.regions[to].name.clone();
            self.regions[i].spill.remove_region(&region);
            let order = BatchOrder { spilled: true, ..order.with_elapsed(ms(2 * CROSSING)) };
            return self.receive(i, from, due, order);
        }
        if let Some(to) = chosen {
            self.regions[i].spilled_at.push(self.now);
            let order = BatchOrder { spilled: true, ..order.with_elapsed(ms(CROSSING)) };
            self.messages.push((self.now + CROSSING, to, Message::Order { from, due, order }));
            return;
        }
        let id = self.next;
        self.next += 1;
        self.regions[i].open.insert(id, (from, due, order.clone()));
        self.feed(i, Event::Order { id, order, pinned: false });
    }

    fn choose(&mut self, i: usize, order: &BatchOrder) -> Option<usize> {
        if !self.spills {
            return None;
        }
        let now = at(self.now);
        let own = self.regions[i].c.local_load(order, now);
        let others: Vec<(Name, Duration)> = (0..self.regions.len())
            .filter(|j| *j != i)
            .map(|j| (self.regions[j].name.clone(), ms(2 * CROSSING)))
            .collect();
        let names: Vec<Name> = others.iter().map(|(r, _)| r.clone()).collect();
        for region in self.regions[i].spill.take_due_queries(&names, own.wait, now) {
            let to = self.region_index(&region);
            let waits = self.regions[to].c.waits(now);
            if self.is_cut(i, to) {
                continue;
            }
            let message = Message::Waits { region, waits };
            self.messages.push((self.now + 2 * CROSSING, i, message));
        }
        let region = self.regions[i].spill.choose(&others, order, own, now)?;
        Some(self.region_index(&region))
    }

    /// Whether a query to a region, or its answer, is lost.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from))
    }

    fn region_index(&self, region: &str) -> usize {
        self.regions.iter().position(|p| *p.name == *region).expect("one of the regions")
    }

    fn end_calls(&mut self, i: usize) {
        let now = self.now;
        let calls = std::mem::take(&mut self.regions[i].calls);
        let (ended, open): (Vec<_>, Vec<_>) = calls.into_iter().partition(|c| c.0 <= now);
        self.regions[i].calls = open;
        for (_, number, end) in ended {
            self.feed(i, Event::CallEnded(number, end));
        }
    }

    fn tick(&mut self, i: usize) {
        let now = at(self.now);
        let region = &mut self.regions[i];
        let is_dead = region.c.waits(now).for_rank(Rank::default()) == u32::MAX;
        let moves = is_dead && region.spill.has_fresh_waits(now);
        self.feed(i, if moves { Event::HandOver } else { Event::Tick });
    }

    fn feed(&mut self, i: usize, event: Event) {
        let now = self.now;
        let actions = self.regions[i].c.handle_event(at(now), event);
        for worker in probes(&actions) {
            let is_up = self.regions[i].is_up;
            self.feed(i, Event::Probed(worker, is_up));
        }
        for action in actions {
            self.apply(i, action);
        }
    }

    fn apply(&mut self, i: usize, action: Action) {
        let now = self.now;
        let region = &mut self.regions[i];
        match action {
            Action::Start(call) if region.is_up => {
                let took = 100 + 10 * call.pieces.len() as u64;
                region.calls.push((now + took, call.number, made(&call)));
            }
            Action::Start(call) => region.calls.push((now + STEP, call.number, CallEnd::Failed)),
            Action::Answer(id, results) => {
                let (from, due, _) = region.open.remove(&id).expect("an order");
                let whole = results.iter().all(|r| matches!(r, PieceResult::Made(_)));
                let back = if from == i { 0 } else { CROSSING };
                let in_time = whole && now + back <= due;
                self.regions[from].outcomes.push((due - 900, in_time));
            }
            Action::HandOver(id) => {
                let (from, due, order) = region.open.remove(&id).expect("an order");
                let order = BatchOrder { slack_ms: due.saturating_sub(now), ..order };
                self.receive(i, from, due, order);
            }
            Action::Overdue { .. } | Action::Probe(_) | Action::Free(_) => {}
        }
    }

    /// Share of a region's orders from this period that were in time.
    fn in_time_share(&self, i: usize, from: u64, until: u64) -> f64 {
        let of_time = |(came, _): &&(u64, bool)| (from..until).contains(came);
        let outcomes: Vec<_> = self.regions[i].outcomes.iter().filter(of_time).collect();
        outcomes.iter().filter(|(_, in_time)| *in_time).count() as f64
            / outcomes.len().max(1) as f64
    }

    fn spilled_count(&self, i: usize, from: u64, until: u64) -> usize {
        self.regions[i].spilled_at.iter().filter(|t| (from..until).contains(*t)).count()
    }
}

#[test]
fn an_overloaded_region_spills_to_idle_ones_without_overloading_them() {
    let shares = [false, true].map(|spills| {
        let mut sim = Simulation::new(spills);
        sim.run(10_000, [60, 15, 15]);
        [0, 1, 2].map(|i| sim.in_time_share(i, 2000, 8000))
    });
    let [alone, helped] = shares;
    assert!(alone[0] < 0.75, "load is 1.5 times the capacity: {alone:?}");
    assert!(helped[0] > 0.93, "{helped:?}, alone {alone:?}");
    assert!(helped[1] > 0.97 && helped[2] > 0.97, "the helping regions stay in time: {helped:?}");
}

#[test]
fn orders_do_not_circulate_when_all_regions_are_overloaded() {
    let mut sim = Simulation::new(true);
    sim.run(10_000, [60, 60, 60]);
    let spilled: usize = (0..3).map(|i| sim.spilled_count(i, 2000, 10_000)).sum();
    assert!(spilled < 8 * 180 / 20, "{spilled} of 1440 orders");
}

#[test]
fn a_region_whose_workers_fail_spills_within_a_second_and_recovers() {
    let mut sim = Simulation::new(true);
    sim.run(3000, [15, 15, 15]);
    sim.regions[0].is_up = false;
    sim.run(6000, [15, 15, 15]);
    sim.regions[0].is_up = true;
    sim.run(12_000, [15, 15, 15]);
    let during = sim.in_time_share(0, 4000, 6000);
    assert!(during > 0.95, "{during} a second after the loss");
    for i in 0..3 {
        let share = sim.in_time_share(i, 9000, 11_000);
        assert!(share > 0.97, "region {i} after recovery: {share}");
    }
    assert_eq!(sim.spilled_count(0, 9000, 12_000), 0, "its own workers take all orders again");
}

#[test]
fn a_region_whose_workers_are_removed_spills_until_they_return() {
    let mut sim = Simulation::new(true);
    sim.run(3000, [15, 15, 15]);
    sim.feed(0, workers(&[]));
    sim.run(6000, [15, 15, 15]);
    sim.feed(0, workers(&WORKERS));
    sim.run(9000, [15, 15, 15]);
    assert!(sim.in_time_share(0, 3500, 6000) > 0.95, "{}", sim.in_time_share(0, 3500, 6000));
    assert!(sim.in_time_share(0, 6500, 8000) > 0.97, "{}", sim.in_time_share(0, 6500, 8000));
    assert_eq!(sim.spilled_count(0, 6500, 9000), 0);
}

#[test]
fn announced_waits_are_bounded_by_the_region_orders_spill_to() {
    let rank = Rank::default();
    let waits = |ms| Waits(vec![(rank, ms)]);
    let others = [("b".into(), ms(40))];
    let cases = [
        (900, Some(50), 90, "spills"),
        (60, Some(50), 60, "sooner locally"),
        (900, Some(800), 900, "the other region accepts none"),
        (900, None, 900, "no waits of the other region are known"),
        (u32::MAX, None, 40, "no local worker: spills without known waits"),
        (u32::MAX, Some(800), u32::MAX, "no region accepts it"),
    ];
    for (own, there, reported, why) in cases {
        let mut spill = Spill::default();
        if let Some(there) = there {
            spill.update_waits("b".into(), waits(there), at(0));
        }
        assert_eq!(
            spill.bound_waits(waits(own), &others, false, at(10)).for_rank(rank),
            reported,
            "{why}"
        );
        let large = if own == u32::MAX { reported } else { own };
        let bound = spill.bound_waits(waits(own), &others, true, at(10));
        assert_eq!(
            bound.for_rank(rank),
            large,
            "large orders spill only without local workers: {why}"
        );
        assert_eq!(
            spill.bound_waits(waits(own), &[], false, at(10)).for_rank(rank),
            own,
            "no other region is allowed"
        );
    }
}

#[test]
fn an_overloaded_region_spills_to_reachable_regions() {
    let cases: [(Links<'_>, bool, &str); 4] = [
        (&[(0, 1), (1, 0)], true, "one region is unreachable, the other helps"),
        (&[(1, 0)], true, "a one-way link counts as unreachable"),
        (&[(1, 2), (2, 1)], true, "the helping regions need no link to each other"),
        (&[(0, 1), (0, 2)], false, "it is isolated"),
    ];
    for (cuts, is_helped, why) in cases {
        let mut sim = Simulation::new(true);
        sim.cuts = cuts.to_vec();
        sim.run(8000, [55, 15, 15]);
        let shares = [0, 1, 2].map(|i| sim.in_time_share(i, 2000, 6000));
        assert_eq!(shares[0] > 0.9, is_helped, "{why}: {shares:?}");
        assert!(shares[1] > 0.97 && shares[2] > 0.97, "{why}: {shares:?}");
        sim.cuts.clear();
        sim.run(14_000, [55, 15, 15]);
        let healed = sim.in_time_share(0, 9500, 12_500);
        assert!(healed > 0.9, "{why}: {healed} after healing");
    }
}
