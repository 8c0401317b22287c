//! The membership machine of one node.

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

/// One period in this many tries a seed that nobody is known to be at.
const SEED_EVERY: usize = 5;
/// Time for which the addresses of peers that left or died are tried: most come back at
/// the same address within seconds, and their seeds may be down by then.
const GONE_TRIED: Duration = Duration::from_secs(60);
/// Such addresses tried in one period, in turn.
const GONE_EACH: usize = 3;
/// Times the patience after which a probe has failed: the direct one, and the
/// two hops of the helpers' one.
const ROUNDS: u32 = 3;

#[derive(Debug)]
pub(super) struct Probe {
    pub(super) seq: u32,
    pub(super) target: NodeId,
    pub(super) sent: Time,
    pub(super) asked: bool,
}

#[derive(Debug)]
pub(super) struct Errand {
    pub(super) seq: u32,
    pub(super) origin: SocketAddr,
    pub(super) origin_seq: u32,
    pub(super) target: NodeId,
    pub(super) until: Time,
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Member {
    pub(super) me: Node,
    pub(super) tuning: Tuning,
    pub(super) incarnation: u32,
    pub(super) number: u64,
    pub(super) peers: Peers,
    pub(super) order: Vec<NodeId>,
    pub(super) probe: Option<Probe>,
    pub(super) errands: Vec<Errand>,
    pub(super) outbox: Outbox,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) links: Vec<SocketAddr>,
    pub(super) blame: u32,
    pub(super) failed: bool,
    pub(super) last_sync: Time,
    /// When a peer was last told the whole list since digests differed.
    pub(super) full_sync: Time,
    pub(super) retell: u8,
    /// Which of the lost addresses is tried next.
    pub(super) turn: usize,
    pub(super) seq: u32,
    pub(super) next: Time,
    pub(super) now: Time,
    pub(super) left: bool,
    pub(super) joining: Joining,
    pub(super) round_trips: Vec<(Name, Duration)>,
    pub(super) rng: Rng,
}

impl Member {
    /// A node that knows nobody.
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
            number: 0,
            peers: Peers::default(),
            order: Vec::new(),
            probe: None,
            errands: Vec::new(),
            outbox,
            seeds: Vec::new(),
            links: Vec::new(),
            blame: 0,
            failed: false,
            last_sync: Time::ZERO,
            full_sync: Time::ZERO,
            retell: 0,
            turn: 0,
            seq: 0,
            next: Time::ZERO,
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

    /// Peers that came, went, are doubted or no longer, or started at another time than was
    /// known, since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<NodeId> {
        self.peers.take_changed()
    }

    /// Time that direct probes took to nodes of these failure domains and back, since the
    /// last call.
    pub fn take_round_trips(&mut self) -> Vec<(Name, Duration)> {
        std::mem::take(&mut self.round_trips)
    }

    /// Manifest in force on this node.
    pub fn applied(&self) -> u64 {
        self.number
    }

    /// Nodes that are up, this one included.
    pub fn count(&self) -> usize {
        self.peers.up() + usize::from(!self.left)
    }

    /// Nodes up, those with the manifest `number` or a higher one, and the lowest.
    pub fn in_force(&self, number: u64) -> (usize, usize, u64) {
        let own = std::iter::once(self.number);
        let all = own.chain(self.peers().map(|p| p.number));
        let (mut nodes, mut applied, mut lowest) = (0, 0, u64::MAX);
        for n in all {
            nodes += 1;
            applied += usize::from(n >= number);
            lowest = lowest.min(n);
        }
        (nodes, applied, lowest)
    }

    /// When [`Event::Tick`] is wanted next.
    pub fn next_tick(&self) -> Time {
        if self.left {
            return Time::NEVER;
        }
        let probe = match &self.probe {
            Some(p) if !p.asked => p.sent + self.patience(),
            Some(p) => p.sent + self.patience() * ROUNDS,
            None => Time::NEVER,
        };
        self.next.min(probe).min(self.joining.next(self.now))
    }

    /// Takes one event; returns what is to be done.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = now;
        self.begin(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Packet { from, packet } => self.packet(now, from, packet, &mut out),
            Event::Seeds(mut seeds) => {
                seeds.retain(|s| *s != self.me.address);
                self.seeds = seeds;
            }
            Event::Links(links) => self.links = links,
            Event::Applied(number) => self.put_in_force(number, &mut out),
            Event::Load(load) => self.outbox.push_load(load),
            Event::Leave => self.leave(&mut out),
        }
        out
    }

    pub(super) fn patience(&self) -> Duration {
        self.tuning.timeout * (self.blame + 1)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        self.ask_helpers(now, out);
        let patience = self.patience();
        let over = self.probe.as_ref().is_some_and(|p| now >= p.sent + patience * ROUNDS);
        if over {
            self.end_probe(now, out);
            self.bury(now, out);
        }
        self.pull(now, out);
        if now < self.next {
            return;
        }
        self.end_probe(now, out);
        self.bury(now, out);
        self.errands.retain(|e| now < e.until);
        if self.peers.up() == 0 {
            return self.seek(now, out);
        }
        self.next = now + self.tuning.period;
        self.start_probe(now, out);
        self.tell_link(out);
        self.tell_reporters(out);
        self.try_lost(now, out);
    }

    /// Probes addresses where peers were lately, or now and then a seed, that nobody is
    /// known to be at: so nodes that restarted while their seeds were down, and the two
    /// sides of a healed partition, find each other.
    fn try_lost(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_lost = |a: &SocketAddr| *a != self.me.address && !self.peers.is_at(*a);
        let mut lost = self.peers.gone_since(now, GONE_TRIED);
        lost.retain(is_lost);
        if lost.is_empty() && self.rng.below(SEED_EVERY) == 0 {
            let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_lost).collect();
            if !seeds.is_empty() {
                lost.push(seeds[self.rng.below(seeds.len())]);
            }
        }
        let all = lost.len();
        for i in 0..all.min(GONE_EACH) {
            let to = lost[(self.turn + i) % all];
            let packet = self.hello();
            out.push(Action::Send(to, packet));
        }
        self.turn = self.turn.wrapping_add(GONE_EACH);
    }

    fn packet(&mut self, now: Time, from: SocketAddr, p: Packet, out: &mut Vec<Action>) {
        if self.left || p.from == self.me.id {
            return;
        }
        for rumor in &p.rumors {
            self.hear(now, rumor, out);
        }
        for load in &p.loads {
            out.push(Action::Load(*load));
        }
        self.peers.note_number(&p.from, p.number);
        if p.number > self.number {
            out.push(Action::Heard(p.number, from));
        }
        if matches!(p.purpose, Purpose::Ping { .. } | Purpose::Ack) {
            self.anti_entropy(now, from, &p, out);
        }
        match p.purpose {
            Purpose::Ping { start } => self.ping(from, start, &p, out),
            Purpose::Ack => self.ack(now, &p.from, p.seq, out),
            Purpose::Ask(node) => self.errand(now, from, p.seq, node, out),
            Purpose::Answered(id) => self.settle(&id, p.seq),
            Purpose::News => self.news(from, &p.from, p.number, out),
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        self.incarnation += 1;
        let rumor = Rumor { health: Health::Left, ..self.own_rumor() };
        let all: Vec<_> = self.peers().map(|p| p.node.address).collect();
        for to in all {
            let mut packet = self.bare(Purpose::News);
            packet.rumors.push(rumor.clone());
            out.push(Action::Send(to, packet));
        }
        self.left = true;
    }
}
