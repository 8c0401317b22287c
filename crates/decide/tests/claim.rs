//! Claims by several nodes on one store with lost responses, delayed writes, stale reads and
//! conflicts.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::claim::{Action, Committer, Event, ReadOutcome, WriteOutcome};
use decide::rng::Rng;
use model::claim::{ClaimOutcome, ClaimRequest, Claims};
use model::key::{BUCKET_MS, Key};
use model::{Name, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed, so that every run has the same cases.
const SEED: u64 = 1;

/// Version history of the claim objects, which allows stale reads.
#[derive(Default)]
struct Store {
    objects: BTreeMap<Name, Vec<(u64, Option<Claims>)>>,
    floor: u64,
    writes: u64,
}

impl Store {
    fn current(&self, object: &Name) -> (u64, Option<Claims>) {
        self.objects.get(object).and_then(|h| h.last().cloned()).unwrap_or((0, None))
    }

    fn read(&self, object: &Name, versions_back: usize) -> ReadOutcome {
        let history = self.objects.get(object).cloned().unwrap_or_default();
        let at = history.len().saturating_sub(versions_back + 1);
        if history.is_empty() || versions_back >= history.len() {
            return ReadOutcome::NeverWritten;
        }
        match history[at].clone() {
            (version, Some(claims)) => ReadOutcome::Found { version, claims },
            (_, None) => ReadOutcome::Deleted,
        }
    }

    fn write(&mut self, object: &Name, expect: u64, claims: Option<Claims>) -> Option<u64> {
        self.writes += 1;
        let (version, _) = self.current(object);
        if version != expect {
            return None;
        }
        self.objects.entry(object.clone()).or_default().push((version + 1, claims));
        Some(version + 1)
    }
}

struct DelayedWrite {
    object: Name,
    expect: u64,
    claims: Claims,
}

struct Simulation {
    rng: Rng,
    store: Store,
    nodes: Vec<Committer>,
    inbox: Vec<(usize, Event)>,
    delayed_writes: Vec<DelayedWrite>,
    answers: BTreeMap<u64, ClaimOutcome>,
    asks: BTreeMap<u64, ClaimRequest>,
    now: Time,
    fault_percent: usize,
}

const UNIX_MS: u64 = 1_700_000_000_000;

impl Simulation {
    fn new(seed: u64, nodes: usize, fault_percent: usize) -> Self {
        Simulation {
            rng: Rng::new(seed),
            store: Store::default(),
            nodes: (0..nodes).map(|_| Committer::default()).collect(),
            inbox: Vec::new(),
            delayed_writes: Vec::new(),
            answers: BTreeMap::new(),
            asks: BTreeMap::new(),
            now: Time::ZERO,
            fault_percent,
        }
    }

    fn ask(&mut self, node: usize, key: Key) -> u64 {
        let ticket = self.asks.len() as u64 + 1;
        let ask = ClaimRequest { key, request: format!("r{ticket}").into() };
        self.asks.insert(ticket, ask.clone());
        let expires = self.now + Duration::from_millis(1500);
        self.inbox.push((node, Event::Claim { ask, ticket, unix_ms: UNIX_MS, expires }));
        ticket
    }

    fn inject_fault(&mut self) -> bool {
        self.fault_percent > 0 && self.rng.below(100) < self.fault_percent
    }

    fn perform(&mut self, node: usize, action: Action) {
        let event = match action {
            Action::Answer { ticket, end } => {
                assert!(self.answers.insert(ticket, end).is_none(), "one answer per claim");
                return;
            }
            Action::ReadFloor if self.inject_fault() => Event::Floor(None),
            Action::ReadFloor => Event::Floor(Some(self.store.floor)),
            Action::Read(object) if self.inject_fault() => {
                Event::Read { object, found: ReadOutcome::Failed }
            }
            Action::Read(object) => {
                let back = if self.inject_fault() { 1 + self.rng.below(2) } else { 0 };
                let found = self.store.read(&object, back);
                Event::Read { object, found }
            }
            Action::Write { object, expect, claims } => {
                let end = self.write(&object, expect, claims);
                Event::Written { object, end }
            }
        };
        self.inbox.push((node, event));
    }

    fn write(&mut self, object: &Name, expect: u64, claims: Claims) -> WriteOutcome {
        if self.inject_fault() {
            // The response is lost; the write is applied, delayed or dropped.
            match self.rng.below(3) {
                0 => drop(self.store.write(object, expect, Some(claims))),
                1 => self.delayed_writes.push(DelayedWrite {
                    object: object.clone(),
                    expect,
                    claims,
                }),
                _ => {}
            }
            return WriteOutcome::Lost;
        }
        match self.store.write(object, expect, Some(claims)) {
            Some(version) => WriteOutcome::Done(version),
            None => WriteOutcome::Conflict,
        }
    }

    fn step(&mut self) {
        if !self.delayed_writes.is_empty() && self.rng.below(10) == 0 {
            let i = self.rng.below(self.delayed_writes.len());
            let l = self.delayed_writes.remove(i);
            self.store.write(&l.object, l.expect, Some(l.claims));
        }
        self.now = self.now + Duration::from_millis(1 + self.rng.below(5) as u64);
        let (node, event) = if self.inbox.is_empty() || self.rng.below(4) == 0 {
            (self.rng.below(self.nodes.len()), Event::Tick)
        } else {
            let i = self.rng.below(self.inbox.len());
            self.inbox.remove(i)
        };
        for action in self.nodes[node].handle_event(self.now, event) {
            self.perform(node, action);
        }
    }

    fn run(&mut self) {
        for _ in 0..20_000 {
            if self.answers.len() == self.asks.len() && self.delayed_writes.is_empty() {
                return;
            }
            self.step();
        }
    }

    fn check(&self) {
        assert_eq!(self.answers.len(), self.asks.len(), "every claim is answered");
        let mut winners: BTreeMap<Key, Name> = BTreeMap::new();
        for (ticket, end) in &self.answers {
            let ask = &self.asks[ticket];
            if *end != ClaimOutcome::Won {
                continue;
            }
            let other = winners.insert(ask.key, ask.request.clone());
            assert!(other.is_none(), "{} won twice: {other:?}", ask.key);
            let (_, claims) = self.store.current(&ask.key.claim_object());
            let held = claims.and_then(|c| c.keys.get(&ask.key).cloned());
            assert_eq!(held.as_ref(), Some(&ask.request), "the store holds the winner");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Default::default() })]

    #[test]
    fn a_key_is_won_at_most_once_under_store_faults(
        seed in any::<u64>(),
        fault_percent in 0usize..50,
    ) {
        let mut sim = Simulation::new(seed, 3, fault_percent);
        for i in 0..12u64 {
            let key = Key::new(UNIX_MS - 40, u128::from(i % 4) << 40);
            let node = sim.rng.below(3);
            sim.ask(node, key);
        }
        sim.run();
        sim.check();
    }
}

#[test]
fn every_key_is_won_without_faults() {
    let mut sim = Simulation::new(1, 2, 0);
    for i in 0..50u64 {
        sim.ask((i % 2) as usize, Key::new(UNIX_MS, u128::from(i) << 30));
    }
    sim.run();
    sim.check();
    assert!(sim.answers.values().all(|e| *e == ClaimOutcome::Won));
}

#[test]
fn a_lost_response_is_resolved_for_each_key_of_the_batch() {
    let key = |i: u64| Key::new(UNIX_MS, u128::from(i) << 40);
    let mut c = Committer::default();
    let object = key(0).claim_object();
    let same: Vec<Key> = (0..200).map(key).filter(|k| k.claim_object() == object).take(3).collect();
    for (i, k) in same.iter().enumerate() {
        let ask = ClaimRequest { key: *k, request: format!("r{i}").into() };
        let expires = Time::from_millis(1000);
        c.handle_event(
            Time::ZERO,
            Event::Claim { ask, ticket: i as u64, unix_ms: UNIX_MS, expires },
        );
    }
    c.handle_event(
        Time::ZERO,
        Event::Read { object: object.clone(), found: ReadOutcome::NeverWritten },
    );
    let t = Time::from_millis(30);
    let out = c.handle_event(t, Event::Floor(Some(0)));
    let claims = out.into_iter().find_map(|a| match a {
        Action::Write { claims, .. } => Some(claims),
        _ => None,
    });
    let claims = claims.expect("one write carries all three");
    assert_eq!(claims.keys.len(), 3);
    c.handle_event(t, Event::Written { object: object.clone(), end: WriteOutcome::Lost });
    let t = Time::from_millis(60);
    c.handle_event(t, Event::Tick);
    let found = ReadOutcome::Found { version: 1, claims };
    let out = c.handle_event(t, Event::Read { object, found });
    let won = out.iter().filter(|a| matches!(a, Action::Answer { end: ClaimOutcome::Won, .. }));
    assert_eq!(won.count(), 3);
}

#[test]
fn a_node_with_a_slow_clock_never_recreates_a_deleted_object() {
    // The key's bucket has been swept, but the clock of this node is hours slow, so that the key
    // appears to be within the window.
    let key = Key::new(UNIX_MS, 5);
    let slow_clock = UNIX_MS + 1000;
    for stale in [false, true] {
        let mut store = Store { floor: UNIX_MS / BUCKET_MS + 10, ..Store::default() };
        store.write(&key.claim_object(), 0, Some(Claims::default()));
        store.write(&key.claim_object(), 1, None);
        let mut c = Committer::default();
        let ask = ClaimRequest { key, request: "r".into() };
        let expires = Time::from_millis(5000);
        let mut inbox = vec![Event::Claim { ask, ticket: 1, unix_ms: slow_clock, expires }];
        let mut answer = None;
        let mut now = Time::ZERO;
        for _ in 0..100 {
            now = now + Duration::from_millis(20);
            let event = inbox.pop().unwrap_or(Event::Tick);
            for action in c.handle_event(now, event) {
                match action {
                    Action::Answer { end, .. } => answer = Some(end),
                    Action::ReadFloor => inbox.push(Event::Floor(Some(store.floor))),
                    Action::Read(object) => {
                        let found = store.read(&object, if stale { 2 } else { 0 });
                        inbox.push(Event::Read { object, found });
                    }
                    Action::Write { object, expect, claims } => {
                        let end = match store.write(&object, expect, Some(claims)) {
                            Some(v) => WriteOutcome::Done(v),
                            None => WriteOutcome::Conflict,
                        };
                        inbox.push(Event::Written { object, end });
                    }
                }
            }
        }
        assert_eq!(answer, Some(ClaimOutcome::Old), "stale read: {stale}");
        assert_eq!(store.current(&key.claim_object()).1, None, "the object stays deleted");
    }
}

#[test]
fn keys_outside_the_window_are_refused_without_a_store_call() {
    let cases = [
        (UNIX_MS - decide::claim::CLAIM_WINDOW_MS - 1, ClaimOutcome::Old),
        (UNIX_MS + decide::claim::MAX_CLOCK_ERROR_MS + 1, ClaimOutcome::Future),
    ];
    for (at, want) in cases {
        let mut c = Committer::default();
        let ask = ClaimRequest { key: Key::new(at, 1), request: "r".into() };
        let expires = Time::from_millis(100);
        let out =
            c.handle_event(Time::ZERO, Event::Claim { ask, ticket: 9, unix_ms: UNIX_MS, expires });
        assert_eq!(out, vec![Action::Answer { ticket: 9, end: want }]);
    }
}

#[test]
fn store_writes_per_claim_decrease_with_the_rate() {
    // Counts the writes for one second of claims at each rate, in simulated time with 5 ms a call.
    let bounds = [(1u64, 1.0), (100, 0.75), (1000, 0.1)];
    for (rate, max_writes) in bounds {
        let mut c = Committer::default();
        let mut store = Store::default();
        let mut inbox: BTreeMap<(Time, u64), Event> = BTreeMap::new();
        let mut seq = 0;
        for i in 0..rate {
            let at = Time(i * 1_000_000 / rate);
            let ms = UNIX_MS + at.0 / 1000;
            let ask = ClaimRequest {
                key: Key::new(ms, u128::from(i) * 0x9e37_79b9_7f4a_7c15),
                request: format!("r{i}").into(),
            };
            let expires = at + Duration::from_secs(2);
            seq += 1;
            inbox.insert((at, seq), Event::Claim { ask, ticket: i, unix_ms: ms, expires });
        }
        let mut won = 0;
        while let Some(((at, _), event)) = inbox.pop_first() {
            for action in c.handle_event(at, event) {
                let event = match action {
                    Action::Answer { end, .. } => {
                        won += u64::from(end == ClaimOutcome::Won);
                        continue;
                    }
                    Action::ReadFloor => Event::Floor(Some(0)),
                    Action::Read(object) => {
                        let found = store.read(&object, 0);
                        Event::Read { object, found }
                    }
                    Action::Write { object, expect, claims } => {
                        let end = match store.write(&object, expect, Some(claims)) {
                            Some(v) => WriteOutcome::Done(v),
                            None => WriteOutcome::Conflict,
                        };
                        Event::Written { object, end }
                    }
                };
                seq += 1;
                inbox.insert((at + Duration::from_millis(5), seq), event);
            }
            if let Some(tick) = c.next_tick()
                && inbox.keys().next().is_none_or(|(t, _)| *t > tick)
            {
                seq += 1;
                inbox.insert((tick.max(at), seq), Event::Tick);
            }
        }
        assert_eq!(won, rate);
        let per_claim = store.writes as f64 / rate as f64;
        println!("{rate} claims a second: {per_claim:.3} writes a claim");
        assert!(
            per_claim <= max_writes,
            "{rate}/s: {per_claim} writes a claim, {max_writes} allowed"
        );
    }
}
