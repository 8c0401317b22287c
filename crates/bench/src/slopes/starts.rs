//! Simultaneous start of all nodes: time until each knows all others, and the traffic until then;
//! also the traffic while one node per second is restarted.

use std::time::Duration;

use decide::member::{Action, Event, Member, Tuning};
use model::Time;
use model::member::{Node, NodeId};

use super::wire::{Scheduled, SimNetwork, address, encoded_len};
use super::{Figure, counted};

/// One host in this many is a hub, which has more capacity.
const NODES_PER_HUB: usize = 20;
/// Number of failure domains.
const DOMAINS: usize = 5;
/// Time span in which all processes start.
const START_SPREAD: Duration = Duration::from_millis(500);
/// Simulated time after which the wait for convergence is given up.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Restarts after the simultaneous start, one per second.
const RESTARTS: u64 = 10;

/// Start of the node with this number.
struct Start(usize);

/// Discrete-event simulation of the membership of all nodes.
struct SimFleet {
    network: SimNetwork<Start>,
    nodes: Vec<Option<Member>>,
    /// Start of each process, from which its own clock counts.
    started_at: Vec<Time>,
}

impl SimFleet {
    fn new(n: usize) -> Self {
        let nodes = (0..n).map(|_| None).collect();
        let mut fleet =
            SimFleet { network: SimNetwork::new(0.0, 5), nodes, started_at: vec![Time::ZERO; n] };
        for i in 0..n {
            let at = Time::ZERO + fleet.network.rng.jitter(START_SPREAD);
            fleet.network.schedule(at, Scheduled::Custom(Start(i)));
        }
        fleet
    }

    fn start(&mut self, i: usize) {
        let start = self.network.rng.next_u64().max(1);
        let node = Node {
            id: NodeId { name: format!("node-{i}").into(), start },
            address: address(i),
            entry: address(i),
            domain: format!("d{}", i % DOMAINS).into(),
            capacity: u8::from((i / DOMAINS).is_multiple_of(NODES_PER_HUB)),
        };
        let mut member =
            Member::new(node, Tuning::for_serving_nodes(), self.network.rng.next_u64());
        self.started_at[i] = self.network.now;
        member.handle_event(Time::ZERO, Event::Seeds((1..4).map(address).collect()));
        self.nodes[i] = Some(member);
        self.network.schedule(self.network.now, Scheduled::Tick(i));
    }

    /// Passes an event to a node and sends the packets that it returns.
    fn deliver(&mut self, i: usize, event: Event) {
        let Some(member) = &mut self.nodes[i] else {
            return;
        };
        let now = Time::ZERO + self.network.now.since(self.started_at[i]);
        for action in member.handle_event(now, event) {
            if let Action::Send(to, packet) = action {
                let bytes = encoded_len(&packet);
                self.network.send(i, to, packet, bytes);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.network.now + time;
        while let Some(item) = self.network.next_before(end) {
            match item {
                Scheduled::Custom(Start(i)) => self.start(i),
                Scheduled::Packet(from, to, packet) => {
                    self.deliver(to, Event::Packet { from, packet: *packet });
                }
                Scheduled::Tick(i) => self.tick(i),
            }
        }
    }

    fn tick(&mut self, i: usize) {
        self.deliver(i, Event::Tick);
        if let Some(member) = &self.nodes[i] {
            let next = self.started_at[i] + member.next_tick().since(Time::ZERO);
            let next = next.max(self.network.now + Duration::from_millis(1));
            self.network.schedule(next, Scheduled::Tick(i));
        }
    }

    /// Whether every node knows all nodes.
    fn is_converged(&self) -> bool {
        let n = self.nodes.len();
        self.nodes.iter().all(|m| m.as_ref().is_some_and(|m| m.count() == n))
    }
}

/// Figures of a fleet with `n` nodes.
pub fn measure(n: usize) -> Vec<Figure> {
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    let mut fleet = SimFleet::new(n);
    while !fleet.is_converged() && fleet.network.now.since(Time::ZERO) < MAX_WAIT {
        fleet.run(CHECK_INTERVAL);
    }
    let per_node = |total: u64| total as f64 / n as f64;
    let mut figures = vec![
        counted(
            "start of all: seconds until all know all, by nodes",
            n,
            fleet.network.now.0 as f64 / 1e6,
        ),
        counted("start of all: datagrams per node, by nodes", n, per_node(fleet.network.packets)),
        counted("start of all: KB per node, by nodes", n, per_node(fleet.network.bytes) / 1e3),
    ];
    fleet.run(MAX_WAIT);
    let (packets, bytes) = (fleet.network.packets, fleet.network.bytes);
    for restarted in 0..RESTARTS {
        let i = 7 + restarted as usize;
        fleet.nodes[i] = None;
        fleet
            .network
            .schedule(fleet.network.now + Duration::from_millis(300), Scheduled::Custom(Start(i)));
        fleet.run(Duration::from_secs(1));
    }
    let per_node_second = |total: u64| per_node(total) / RESTARTS as f64;
    figures.extend([
        counted(
            "a restart a second: datagrams per node and second, by nodes",
            n,
            per_node_second(fleet.network.packets - packets),
        ),
        counted(
            "a restart a second: KB per node and second, by nodes",
            n,
            per_node_second(fleet.network.bytes - bytes) / 1e3,
        ),
    ]);
    figures
}
