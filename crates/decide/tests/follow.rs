//! A fleet that follows the store through relays: maximum age of the nodes' state, and load on the
//! store, while relays, the store and whole failure domains fail.

use std::time::Duration;

use decide::relay::{Role, Source, Sources};
use decide::rng::Rng;
use decide::roster::{PeerView, Roster};
use model::Time;
use model::member::{Node, NodeId};

const NODES: usize = 60;
const DOMAINS: usize = 3;
/// Age at which the node discards a relay's answer.
const STALE: Duration = Duration::from_millis(1_600);
/// Duration of a call: a relay's watch, a long poll of a follower and of a standby, a call that
/// fails at once, and one that times out.
const WATCH_MS: u64 = 1_100;
const POLL_MS: u64 = 800;
const STANDBY_POLL_MS: u64 = 350;
const REFUSED_MS: u64 = 100;
const TIMEOUT_MS: u64 = 1_150;
/// Polling interval of a node that waits for a relay to regain contact with the store.
const RETRY_MS: u64 = 100;

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

/// Faults as functions of the time in milliseconds.
struct Faults {
    /// Whether a node can reach the store.
    store: fn(&Fleet, usize, u64) -> bool,
    /// Whether two nodes can reach each other.
    peers: fn(&Fleet, usize, usize, u64) -> bool,
}

struct Follower {
    roster: Roster,
    sources: Sources,
    next: u64,
    /// When the store last confirmed the node's state.
    confirmed: u64,
    /// The last call to the node's own source failed.
    failed_last: bool,
}

struct Fleet {
    nodes: Vec<Follower>,
    rng: Rng,
    /// Times of the calls to the store.
    calls: Vec<u64>,
    /// Relay and standby of each failure domain.
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
                failed_last: false,
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
            Source::Unavailable => RETRY_MS,
            Source::Store => {
                self.calls.push(ms);
                if (faults.store)(self, i, ms) {
                    self.nodes[i].sources.store_answered();
                    self.nodes[i].confirmed = ms;
                    self.nodes[i].failed_last = false;
                    WATCH_MS
                } else {
                    let rng = &mut self.rng;
                    let failed = |most| rng.jitter(most);
                    self.nodes[i].sources.store_failed(relays.role, now, failed);
                    self.nodes[i].failed_last = true;
                    REFUSED_MS
                }
            }
            Source::Peer { node, await_fresh } => {
                self.ask(i, &node, await_fresh, relays.role, ms, faults)
            }
        };
        self.nodes[i].next = ms + pause + took;
    }

    fn ask(
        &mut self,
        i: usize,
        peer: &Node,
        await_fresh: bool,
        role: Role,
        ms: u64,
        faults: &Faults,
    ) -> u64 {
        let (now, j) = (at(60_000 + ms), number(peer));
        if !(faults.peers)(self, i, j, ms) {
            self.nodes[i].sources.relay_failed(&peer.id, now);
            self.nodes[i].failed_last = true;
            return TIMEOUT_MS;
        }
        let confirmed = self.nodes[j].confirmed;
        let is_stale = self.nodes[j].failed_last || Duration::from_millis(ms - confirmed) > STALE;
        self.nodes[i].failed_last = is_stale || role == Role::Relay;
        self.nodes[i].confirmed = self.nodes[i].confirmed.max(confirmed);
        let sources = &mut self.nodes[i].sources;
        match (is_stale, role) {
            (true, _) => {
                sources.relay_stale(&peer.id, now);
                if await_fresh { RETRY_MS } else { REFUSED_MS }
            }
            (false, Role::Standby) => {
                sources.relay_fresh(&peer.id);
                STANDBY_POLL_MS
            }
            (false, _) => {
                sources.relay_fresh(&peer.id);
                POLL_MS
            }
        }
    }

    /// Maximum age of the state of the selected nodes, sampled every 100 ms.
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

/// Maximum age from a time on.
fn from(oldest: &[u64], ms: u64) -> u64 {
    oldest[ms as usize / 100..].iter().copied().max().unwrap_or(0)
}

const HEALTHY: Faults = Faults { store: |_, _, _| true, peers: |_, _, _, _| true };
/// Start and end of a fault.
const FAULT_START: u64 = 5_000;
const FAULT_END: u64 = 10_000;

fn is_faulty(ms: u64) -> bool {
    (FAULT_START..FAULT_END).contains(&ms)
}

#[test]
fn healthy_fleet_stays_fresh_with_one_call_per_second_and_domain() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let oldest = fleet.run(20_000, &HEALTHY, |_| true);
        assert!(from(&oldest, 3_000) <= 2_700, "{} ms", from(&oldest, 3_000));
        let calls = fleet.calls_within(3_000, 20_000);
        assert!(calls <= 17 * DOMAINS, "{calls} store calls in 17 s");
    }
}

#[test]
fn no_node_goes_stale_when_relays_are_rejected_or_unresponsive() {
    let one_rejected = Faults {
        store: |f, i, ms| !is_faulty(ms) || f.relays[0][0] != i,
        peers: |_, _, _, _| true,
    };
    let all_rejected = Faults {
        store: |f, i, ms| !is_faulty(ms) || !f.relays.iter().any(|r| r[0] == i),
        peers: |_, _, _, _| true,
    };
    let one_silent = Faults {
        store: |_, _, _| true,
        peers: |f, _, j, ms| !is_faulty(ms) || f.relays[0][0] != j,
    };
    let pair_silent = Faults {
        store: |_, _, _| true,
        peers: |f, _, j, ms| !is_faulty(ms) || !f.relays[0].contains(&j),
    };
    let cases = [
        ("one relay rejected", one_rejected, 2_200),
        ("all relays rejected", all_rejected, 2_400),
        ("one relay silent", one_silent, 3_400),
        ("relay and standby silent", pair_silent, 4_200),
    ];
    for (what, faults, most) in cases {
        for seed in 0..5 {
            let mut fleet = Fleet::new(seed);
            let exempt = if what.contains("silent") { fleet.relays[0] } else { [NODES; 2] };
            let oldest = fleet.run(20_000, &faults, |i| !exempt.contains(&i));
            assert!(from(&oldest, 3_000) <= most, "{what}: {} ms", from(&oldest, 3_000));
            assert!(from(&oldest, FAULT_END + 4_000) <= 2_700, "{what}, after the fault");
        }
    }
}

#[test]
fn outage_causes_few_calls_and_its_end_is_noticed_soon() {
    let outage = Faults { store: |_, _, ms| !is_faulty(ms), peers: |_, _, _, _| true };
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let oldest = fleet.run(20_000, &outage, |_| true);
        let calls = fleet.calls_within(FAULT_START, FAULT_END);
        assert!(calls <= 130, "{calls} store calls by {NODES} nodes in 5 s");
        let back = from(&oldest, FAULT_END + 2_500);
        assert!(back <= 2_700, "{back} ms, 2.5 s after the outage");
    }
}

#[test]
fn partitioned_domain_does_not_affect_others_and_catches_up() {
    let cut = Faults {
        store: |_, i, ms| !is_faulty(ms) || domain(i) != 0,
        peers: |_, i, j, ms| !is_faulty(ms) || (domain(i) == 0) == (domain(j) == 0),
    };
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        let others = fleet.run(20_000, &cut, |i| domain(i) != 0);
        assert!(from(&others, 3_000) <= 2_700, "{} ms", from(&others, 3_000));
        let mut fleet = Fleet::new(seed);
        let inside = fleet.run(20_000, &cut, |i| domain(i) == 0);
        assert!(
            from(&inside, FAULT_END + 4_000) <= 2_700,
            "{} ms",
            from(&inside, FAULT_END + 4_000)
        );
    }
}
