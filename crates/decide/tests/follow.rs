//! A fleet that follows the store through relays: how old what a node knows may get, and
//! what the store bears, while relays, the store and whole domains fail.

use std::time::Duration;

use decide::relay::{Role, Source, Sources};
use decide::rng::Rng;
use decide::roster::{PeerView, Roster};
use model::Time;
use model::member::{Node, NodeId};

const NODES: usize = 60;
const DOMAINS: usize = 3;
/// Age from which on a relay's answer is no use, as the node has it.
const STALE: Duration = Duration::from_millis(1_600);
/// What a call takes: the watch of a relay, the hold of an answer for the others and for a
/// standby, a call that fails at once, and one that hangs.
const WATCH_MS: u64 = 1_100;
const HOLD_MS: u64 = 800;
const HOLD_STANDBY_MS: u64 = 350;
const REFUSED_MS: u64 = 100;
const HANGS_MS: u64 = 1_150;
/// Time between two looks of a node that waits with a relay until that is in touch.
const LOOK_MS: u64 = 100;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn domain(i: usize) -> usize {
    i % DOMAINS
}

fn view(i: usize) -> PeerView {
    let id = NodeId { name: format!("node-{i}").into(), start: 1 };
    let address = "127.0.0.1:1".parse().expect("an address");
    let domain = format!("d{}", domain(i)).into();
    let node = Node { id, address, entry: address, domain, capacity: 0 };
    PeerView { node, suspect: false, up: Duration::from_secs(60), at: at(0) }
}

fn number(node: &Node) -> usize {
    node.id.name.trim_start_matches("node-").parse().expect("a number")
}

/// What fails, by the time in milliseconds.
struct Faults {
    /// Whether a node reaches the store.
    store: fn(&Fleet, usize, u64) -> bool,
    /// Whether two nodes reach each other.
    peers: fn(&Fleet, usize, usize, u64) -> bool,
}

struct Follower {
    roster: Roster,
    sources: Sources,
    next: u64,
    /// When the store last confirmed what the node knows.
    confirmed: u64,
    /// Its own source failed it the last time.
    lost: bool,
}

struct Fleet {
    nodes: Vec<Follower>,
    rng: Rng,
    /// Times of the calls that were made of the store.
    calls: Vec<u64>,
    /// Relay and standby of each domain.
    relays: Vec<[usize; 2]>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let follower = |me: usize| {
            let this = view(me).node;
            let mut roster = Roster::new(this.id.name, this.domain, 0);
            roster.update((0..NODES).filter(|i| *i != me).map(view).collect(), at(0));
            Follower {
                roster,
                sources: Sources::default(),
                next: me as u64 * 13,
                confirmed: 0,
                lost: false,
            }
        };
        let nodes: Vec<Follower> = (0..NODES).map(follower).collect();
        let mut fleet = Fleet { nodes, rng: Rng::new(seed), calls: Vec::new(), relays: Vec::new() };
        let now = at(60_000);
        for d in 0..DOMAINS {
            let of = |role| {
                let found = |i: &usize| fleet.nodes[*i].roster.relays(now).role == role;
                (0..NODES).filter(|i| domain(*i) == d).find(found).expect("one in each domain")
            };
            let pair = [of(Role::Relay), of(Role::Standby)];
            fleet.relays.push(pair);
        }
        fleet
    }

    fn step(&mut self, i: usize, ms: u64, faults: &Faults) {
        let now = at(60_000 + ms);
        let relays = self.nodes[i].roster.relays(now);
        let rng = &mut self.rng;
        let chosen = self.nodes[i].sources.choose(&relays, now, |most| rng.jitter(most));
        let pause = chosen.pause.as_millis() as u64;
        let took = match chosen.source {
            Source::Unavailable => LOOK_MS,
            Source::Store => {
                self.calls.push(ms);
                if (faults.store)(self, i, ms) {
                    self.nodes[i].sources.store_answered();
                    self.nodes[i].confirmed = ms;
                    self.nodes[i].lost = false;
                    WATCH_MS
                } else {
                    let rng = &mut self.rng;
                    let failed = |most| rng.jitter(most);
                    self.nodes[i].sources.store_failed(relays.role, now, failed);
                    self.nodes[i].lost = true;
                    REFUSED_MS
                }
            }
            Source::Peer { node, await_fresh: patient } => {
                self.ask(i, &node, patient, relays.role, ms, faults)
            }
        };
        self.nodes[i].next = ms + pause + took;
    }

    fn ask(
        &mut self,
        i: usize,
        peer: &Node,
        patient: bool,
        role: Role,
        ms: u64,
        faults: &Faults,
    ) -> u64 {
        let (now, j) = (at(60_000 + ms), number(peer));
        if !(faults.peers)(self, i, j, ms) {
            self.nodes[i].sources.relay_failed(&peer.id, now);
            self.nodes[i].lost = true;
            return HANGS_MS;
        }
        let confirmed = self.nodes[j].confirmed;
        let is_stale = self.nodes[j].lost || Duration::from_millis(ms - confirmed) > STALE;
        self.nodes[i].lost = is_stale || role == Role::Relay;
        self.nodes[i].confirmed = self.nodes[i].confirmed.max(confirmed);
        let sources = &mut self.nodes[i].sources;
        match (is_stale, role) {
            (true, _) => {
                sources.relay_stale(&peer.id, now);
                if patient { LOOK_MS } else { REFUSED_MS }
            }
            (false, Role::Standby) => {
                sources.relay_fresh(&peer.id);
                HOLD_STANDBY_MS
            }
            (false, _) => {
                sources.relay_fresh(&peer.id);
                HOLD_MS
            }
        }
    }

    /// Greatest age of what any of these nodes knew, in each tenth of a second.
    fn run(&mut self, until: u64, faults: &Faults, of: impl Fn(usize) -> bool) -> Vec<u64> {
        let mut oldest = Vec::new();
        for ms in 0..until {
            for i in 0..NODES {
                if self.nodes[i].next <= ms {
                    self.step(i, ms, faults);
                }
            }
            if ms.is_multiple_of(100) {
                let ages = (0..NODES).filter(|i| of(*i)).map(|i| ms - self.nodes[i].confirmed);
                oldest.push(ages.max().unwrap_or(0));
            }
        }
        oldest
    }

    fn calls_within(&self, from: u64, to: u64) -> usize {
        self.calls.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

/// Greatest age from a moment on.
fn from(oldest: &[u64], ms: u64) -> u64 {
    oldest[ms as usize / 100..].iter().copied().max().unwrap_or(0)
}

const SOUND: Faults = Faults { store: |_, _, _| true, peers: |_, _, _, _| true };
/// When a fault begins and ends.
const BEGINS: u64 = 5_000;
const ENDS: u64 = 10_000;

fn lasts(ms: u64) -> bool {
    (BEGINS..ENDS).contains(&ms)
}

#[test]
fn a_sound_fleet_knows_what_is_two_seconds_old_by_one_call_a_second_and_domain() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let oldest = fleet.run(20_000, &SOUND, |_| true);
        assert!(from(&oldest, 3_000) <= 2_700, "{} ms", from(&oldest, 3_000));
        let calls = fleet.calls_within(3_000, 20_000);
        assert!(calls <= 17 * DOMAINS, "{calls} calls of the store in 17 s");
    }
}

#[test]
fn nobody_stays_behind_when_the_store_turns_relays_away_or_relays_fall_silent() {
    let one_turned_away =
        Faults { store: |f, i, ms| !lasts(ms) || f.relays[0][0] != i, peers: |_, _, _, _| true };
    let all_turned_away = Faults {
        store: |f, i, ms| !lasts(ms) || !f.relays.iter().any(|r| r[0] == i),
        peers: |_, _, _, _| true,
    };
    let one_silent =
        Faults { store: |_, _, _| true, peers: |f, _, j, ms| !lasts(ms) || f.relays[0][0] != j };
    let pair_silent = Faults {
        store: |_, _, _| true,
        peers: |f, _, j, ms| !lasts(ms) || !f.relays[0].contains(&j),
    };
    let cases = [
        ("one relay turned away", one_turned_away, 2_200),
        ("all relays turned away", all_turned_away, 2_400),
        ("one relay silent", one_silent, 3_400),
        ("relay and standby silent", pair_silent, 4_200),
    ];
    for (what, faults, most) in cases {
        for seed in 0..5 {
            let mut fleet = Fleet::new(seed);
            let spared = if what.contains("silent") { fleet.relays[0] } else { [NODES; 2] };
            let oldest = fleet.run(20_000, &faults, |i| !spared.contains(&i));
            assert!(from(&oldest, 3_000) <= most, "{what}: {} ms", from(&oldest, 3_000));
            assert!(from(&oldest, ENDS + 4_000) <= 2_700, "{what}, after it");
        }
    }
}

#[test]
fn while_the_store_is_away_few_ask_it_and_all_know_of_its_return_soon() {
    let away = Faults { store: |_, _, ms| !lasts(ms), peers: |_, _, _, _| true };
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let oldest = fleet.run(20_000, &away, |_| true);
        let calls = fleet.calls_within(BEGINS, ENDS);
        assert!(calls <= 130, "{calls} calls of {NODES} nodes in 5 s");
        let back = from(&oldest, ENDS + 2_500);
        assert!(back <= 2_700, "{back} ms, 2.5 s after the store is back");
    }
}

#[test]
fn a_domain_that_is_cut_off_costs_the_others_nothing_and_catches_up() {
    let cut = Faults {
        store: |_, i, ms| !lasts(ms) || domain(i) != 0,
        peers: |_, i, j, ms| !lasts(ms) || (domain(i) == 0) == (domain(j) == 0),
    };
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let others = fleet.run(20_000, &cut, |i| domain(i) != 0);
        assert!(from(&others, 3_000) <= 2_700, "{} ms", from(&others, 3_000));
        let mut fleet = Fleet::new(seed);
        let inside = fleet.run(20_000, &cut, |i| domain(i) == 0);
        assert!(from(&inside, ENDS + 4_000) <= 2_700, "{} ms", from(&inside, ENDS + 4_000));
    }
}
