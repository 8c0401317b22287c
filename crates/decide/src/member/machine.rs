//! The membership state machine of one node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use model::member::{Health, Node, NodeId, Packet, Purpose, Rumor};
use model::{Name, Time};

use super::join::Joining;
use super::peers::{Peer, Peers};
use super::rumors::Outbox;
use super::types::{Action, Event, Tuning};
use crate::rng::Rng;

/// On average, one period in this many pings a seed at whose address no peer is known.
const SEED_RETRY_PERIODS: usize = 5;
/// Time for which the addresses of peers that left or died are pinged. Most restart at the same
/// address within seconds, and their seeds may be down by then.
const LOST_RETRY_WINDOW: Duration = Duration::from_secs(60);
/// Lost addresses pinged per period, in rotation.
const LOST_PER_PERIOD: usize = 3;
/// Probe timeouts after which a probe has failed: one for the direct probe and two for the hops
/// of the indirect one.
const PROBE_TIMEOUTS: u32 = 3;

#[derive(Debug)]
pub(super) struct Probe {
    pub(super) seq: u32,
    pub(super) target: NodeId,
    pub(super) sent: Time,
    pub(super) helpers_asked: bool,
}

/// A probe sent on behalf of the peer at `origin`.
#[derive(Debug)]
pub(super) struct IndirectProbe {
    pub(super) seq: u32,
    pub(super) origin: SocketAddr,
    pub(super) origin_seq: u32,
    pub(super) target: NodeId,
    pub(super) expires: Time,
}

/// Membership state of one node, driven by [`Event`]s without I/O.
#[derive(Debug)]
pub struct Member {
    pub(super) me: Node,
    pub(super) tuning: Tuning,
    pub(super) incarnation: u32,
    pub(super) manifest: u64,
    pub(super) peers: Peers,
    pub(super) probe_order: Vec<NodeId>,
    pub(super) probe: Option<Probe>,
    pub(super) indirect_probes: Vec<IndirectProbe>,
    pub(super) outbox: Outbox,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) links: Vec<SocketAddr>,
    /// Lifeguard's local health: 0 is healthy, higher values lengthen this node's timeouts.
    pub(super) health_score: u32,
    pub(super) last_probe_failed: bool,
    pub(super) last_sync: Time,
    /// When the full list was last sent because of a mismatched digest.
    pub(super) last_full_sync: Time,
    /// Notifications of the current manifest still to be sent to the reporters.
    pub(super) rebroadcasts: u8,
    /// Index of the lost address to ping next.
    pub(super) next_lost: usize,
    pub(super) seq: u32,
    pub(super) next_period: Time,
    pub(super) now: Time,
    pub(super) left: bool,
    pub(super) joining: Joining,
    pub(super) round_trips: Vec<(Name, Duration)>,
    pub(super) rng: Rng,
}

impl Member {
    /// A node that knows no peers.
    pub fn new(me: Node, tuning: Tuning, seed: u64) -> Self {
        let mut outbox = Outbox::default();
        outbox.push(Rumor {
            node: me.clone(),
            health: Health::Alive,
            incarnation: 0,
            number: 0,
            up_ms: 0,
        });
        Member {
            me,
            tuning,
            incarnation: 0,
            manifest: 0,
            peers: Peers::default(),
            probe_order: Vec::new(),
            probe: None,
            indirect_probes: Vec::new(),
            outbox,
            seeds: Vec::new(),
            links: Vec::new(),
            health_score: 0,
            last_probe_failed: false,
            last_sync: Time::ZERO,
            last_full_sync: Time::ZERO,
            rebroadcasts: 0,
            next_lost: 0,
            seq: 0,
            next_period: Time::ZERO,
            now: Time::ZERO,
            left: false,
            joining: Joining::default(),
            round_trips: Vec::new(),
            rng: Rng::new(seed),
        }
    }

    /// This node.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Peers that are up.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter_up()
    }

    /// A peer that is up.
    pub fn peer(&self, id: &NodeId) -> Option<&Peer> {
        self.peers.get(id).filter(|p| p.is_up())
    }

    /// Peers that joined, went down, changed health or had their uptime corrected since the last
    /// call.
    pub fn take_changed(&mut self) -> BTreeSet<NodeId> {
        self.peers.take_changed()
    }

    /// Round-trip times of direct probes since the last call, with the failure domain probed.
    pub fn take_round_trips(&mut self) -> Vec<(Name, Duration)> {
        std::mem::take(&mut self.round_trips)
    }

    /// Number of the manifest in force on this node.
    pub fn applied(&self) -> u64 {
        self.manifest
    }

    /// Nodes that are up, this one included.
    pub fn count(&self) -> usize {
        self.peers.up() + usize::from(!self.left)
    }

    /// Number of nodes up, how many of them have manifest `number` or a higher one in force, and
    /// the lowest number in force.
    pub fn manifest_progress(&self, number: u64) -> (usize, usize, u64) {
        let own = std::iter::once(self.manifest);
        let all = own.chain(self.peers().map(|p| p.manifest));
        let (mut nodes, mut applied, mut lowest) = (0, 0, u64::MAX);
        for n in all {
            nodes += 1;
            applied += usize::from(n >= number);
            lowest = lowest.min(n);
        }
        (nodes, applied, lowest)
    }

    /// When [`Event::Tick`] is due next.
    pub fn next_tick(&self) -> Time {
        if self.left {
            return Time::NEVER;
        }
        let probe = match &self.probe {
            Some(p) if !p.helpers_asked => p.sent + self.probe_timeout(),
            Some(p) => p.sent + self.probe_timeout() * PROBE_TIMEOUTS,
            None => Time::NEVER,
        };
        self.next_period.min(probe).min(self.joining.next(self.now))
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = now;
        self.mark_started(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Packet { from, packet } => self.handle_packet(now, from, packet, &mut out),
            Event::Seeds(mut seeds) => {
                seeds.retain(|s| *s != self.me.address);
                self.seeds = seeds;
            }
            Event::Links(links) => self.links = links,
            Event::Applied(number) => self.set_manifest(number, &mut out),
            Event::Load(load) => self.outbox.push_load(load),
            Event::Leave => self.leave(&mut out),
        }
        out
    }

    pub(super) fn probe_timeout(&self) -> Duration {
        self.tuning.timeout * (self.health_score + 1)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        self.request_indirect_probes(now, out);
        let timeout = self.probe_timeout();
        let timed_out =
            self.probe.as_ref().is_some_and(|p| now >= p.sent + timeout * PROBE_TIMEOUTS);
        if timed_out {
            self.fail_probe(now, out);
            self.expire_suspects(now, out);
        }
        self.pull(now, out);
        if now < self.next_period {
            return;
        }
        self.fail_probe(now, out);
        self.expire_suspects(now, out);
        self.indirect_probes.retain(|e| now < e.expires);
        if self.peers.up() == 0 {
            return self.contact_seed(now, out);
        }
        self.next_period = now + self.tuning.period;
        self.start_probe(now, out);
        self.notify_link(out);
        self.notify_reporters(out);
        self.ping_lost_addresses(now, out);
    }

    /// Pings addresses where peers were up recently or, from time to time, a seed, if no peer is
    /// known there. This way nodes that restarted while their seeds were down, and the two sides
    /// of a healed partition, find each other.
    fn ping_lost_addresses(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_lost = |a: &SocketAddr| *a != self.me.address && !self.peers.has_address(*a);
        let mut lost = self.peers.departed_since(now, LOST_RETRY_WINDOW);
        lost.retain(is_lost);
        if lost.is_empty() && self.rng.below(SEED_RETRY_PERIODS) == 0 {
            let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_lost).collect();
            if !seeds.is_empty() {
                lost.push(seeds[self.rng.below(seeds.len())]);
            }
        }
        let count = lost.len();
        for i in 0..count.min(LOST_PER_PERIOD) {
            let to = lost[(self.next_lost + i) % count];
            let packet = self.hello();
            out.push(Action::Send(to, packet));
        }
        self.next_lost = self.next_lost.wrapping_add(LOST_PER_PERIOD);
    }

    fn handle_packet(&mut self, now: Time, from: SocketAddr, p: Packet, out: &mut Vec<Action>) {
        if self.left || p.from == self.me.id {
            return;
        }
        for rumor in &p.rumors {
            self.handle_rumor(now, rumor, out);
        }
        for load in &p.loads {
            out.push(Action::Load(*load));
        }
        self.peers.record_manifest(&p.from, p.number);
        if p.number > self.manifest {
            out.push(Action::NewerManifest(p.number, from));
        }
        if matches!(p.purpose, Purpose::Ping { .. } | Purpose::Ack) {
            self.anti_entropy(now, from, &p, out);
        }
        match p.purpose {
            Purpose::Ping { start } => self.handle_ping(from, start, &p, out),
            Purpose::Ack => self.handle_ack(now, &p.from, p.seq, out),
            Purpose::Ask(node) => self.handle_ask(now, from, p.seq, node, out),
            Purpose::Answered(id) => self.complete_probe(&id, p.seq),
            Purpose::News => self.answer_stale_manifest(from, &p.from, p.number, out),
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        self.incarnation += 1;
        let rumor = Rumor { health: Health::Left, ..self.own_rumor() };
        let addresses: Vec<_> = self.peers().map(|p| p.node.address).collect();
        for to in addresses {
            let mut packet = self.empty_packet(Purpose::News);
            packet.rumors.push(rumor.clone());
            out.push(Action::Send(to, packet));
        }
        self.left = true;
    }
}
