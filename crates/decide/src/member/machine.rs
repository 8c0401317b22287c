//! The membership machine of one node.

use std::net::SocketAddr;
use std::time::Duration;

use model::Time;
use model::member::{Health, LoadRumor, Node, NodeId, Packet, Purpose, Rumor};

use super::peers::{Peer, Peers, digest_of};
use super::rumors::Outbox;
use crate::rng::Rng;

/// Most rumors in one packet; keeps it under one Ethernet frame.
const RUMORS: usize = 6;
/// Most loads in one packet.
const LOADS: usize = 20;
/// Rumors in one packet that answers a newcomer.
const WELCOME: usize = 16;
/// Peers told at once about a new manifest.
const PUSH: usize = 3;
/// One period in this many tries a lost seed.
const SEED_EVERY: usize = 5;
/// Least time between two exchanges of whole member lists.
const SYNC_EVERY: Duration = Duration::from_secs(2);
/// Times that the reporters are told again of a manifest; datagrams get lost.
const RETELL: u8 = 2;
/// Times the patience after which a probe has failed: the direct one, and the
/// two hops of the helpers' one.
const ROUNDS: u32 = 3;
/// Peers told at once of a refutation.
const ACQUIT: usize = 5;
/// Most that a node blames itself.
const SELF_MAX: u32 = 4;

/// Periods and patience.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// One probe a period.
    pub period: Duration,
    /// Wait for a direct answer before others are asked.
    pub timeout: Duration,
    /// Peers asked to probe for us.
    pub helpers: usize,
    /// Shortest time to refute, once others confirm.
    pub suspect: Duration,
    /// Longest time to refute.
    pub suspect_most: Duration,
    /// Confirmations that bring the shortest time.
    pub confirms: u32,
    /// How often seeds are tried while no peer is known.
    pub seek: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            period: Duration::from_millis(700),
            timeout: Duration::from_millis(200),
            helpers: 3,
            suspect: Duration::from_millis(800),
            suspect_most: Duration::from_millis(1600),
            confirms: 2,
            seek: Duration::from_millis(500),
        }
    }
}

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A packet arrived.
    Packet {
        /// Address it came from.
        from: SocketAddr,
        /// Content.
        packet: Packet,
    },
    /// Addresses at which peers may be found.
    Seeds(Vec<SocketAddr>),
    /// Addresses in other failure domains to tell the manifest number.
    Links(Vec<SocketAddr>),
    /// A manifest is in force on this node.
    Applied(u64),
    /// A load changed, or was heard.
    Load(LoadRumor),
    /// This node stops as planned.
    Leave,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Packet),
    /// A peer has this manifest in force, and this node has not.
    Heard(u64, SocketAddr),
    /// A peer came up, or its health changed.
    Changed(Rumor),
    /// A load was heard.
    Load(LoadRumor),
}

#[derive(Debug)]
struct Probe {
    seq: u32,
    target: NodeId,
    sent: Time,
    asked: bool,
}

#[derive(Debug)]
struct Errand {
    seq: u32,
    origin: SocketAddr,
    origin_seq: u32,
    target: NodeId,
    until: Time,
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Member {
    me: Node,
    tuning: Tuning,
    incarnation: u32,
    number: u64,
    peers: Peers,
    order: Vec<NodeId>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    outbox: Outbox,
    seeds: Vec<SocketAddr>,
    links: Vec<SocketAddr>,
    blame: u32,
    failed: bool,
    synced: Time,
    retell: u8,
    seq: u32,
    next: Time,
    left: bool,
    rng: Rng,
}

impl Member {
    /// A node that knows nobody.
    pub fn new(me: Node, tuning: Tuning, seed: u64) -> Self {
        let mut outbox = Outbox::default();
        outbox.push(Rumor { node: me.clone(), health: Health::Alive, incarnation: 0, number: 0 });
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
            synced: Time::ZERO,
            retell: 0,
            seq: 0,
            next: Time::ZERO,
            left: false,
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
        let probe = match &self.probe {
            Some(p) if !p.asked => p.sent + self.patience(),
            Some(p) => p.sent + self.patience() * ROUNDS,
            None => Time::NEVER,
        };
        self.next.min(probe)
    }

    /// Takes one event; returns what is to be done.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
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

    fn patience(&self) -> Duration {
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
        self.try_seed(out);
    }

    fn tell_reporters(&mut self, out: &mut Vec<Action>) {
        if self.retell == 0 {
            return;
        }
        self.retell -= 1;
        for to in self.reporters() {
            let packet = self.bare(Purpose::News);
            out.push(Action::Send(to, packet));
        }
    }

    /// Now and then probes a seed that is not known to be up, so that the two
    /// sides of a healed partition find each other.
    fn try_seed(&mut self, out: &mut Vec<Action>) {
        if self.rng.below(SEED_EVERY) != 0 {
            return;
        }
        let lost: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|s| self.peers.at(*s).is_none()).collect();
        if lost.is_empty() {
            return;
        }
        let to = lost[self.rng.below(lost.len())];
        let packet = self.packet_of(Purpose::Ping { start: 0 }, 0);
        out.push(Action::Send(to, packet));
    }

    fn seek(&mut self, now: Time, out: &mut Vec<Action>) {
        self.next = now + self.tuning.seek;
        let seeds = self.seeds.clone();
        for s in seeds {
            let packet = self.packet_of(Purpose::Ping { start: 0 }, 0);
            out.push(Action::Send(s, packet));
        }
        self.tell_link(out);
    }

    fn start_probe(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(target) = self.next_target(now) else {
            return;
        };
        let Some(p) = self.peers.get(&target) else {
            return;
        };
        let address = p.node.address;
        let start = target.start;
        self.seq = self.seq.wrapping_add(1);
        self.probe = Some(Probe { seq: self.seq, target, sent: now, asked: false });
        let packet = self.packet_of(Purpose::Ping { start }, self.seq);
        out.push(Action::Send(address, packet));
    }

    /// Round robin over a shuffled list, so that every peer is probed within
    /// a bounded time (SWIM, section 4.3).
    fn next_target(&mut self, now: Time) -> Option<NodeId> {
        loop {
            if self.order.is_empty() {
                self.peers.forget(now);
                self.order = self.peers.iter_up().map(|p| p.node.id.clone()).collect();
                self.rng.shuffle(&mut self.order);
            }
            let id = self.order.pop()?;
            if self.peers.get(&id).is_some_and(Peer::is_up) {
                return Some(id);
            }
        }
    }

    fn ask_helpers(&mut self, now: Time, out: &mut Vec<Action>) {
        let patience = self.patience();
        let Some(p) = &mut self.probe else {
            return;
        };
        if p.asked || now < p.sent + patience {
            return;
        }
        p.asked = true;
        let (seq, target) = (p.seq, p.target.clone());
        let Some(node) = self.peers.get(&target).map(|p| p.node.clone()) else {
            return;
        };
        for helper in self.sample(self.tuning.helpers, &target) {
            let packet = self.packet_of(Purpose::Ask(node.clone()), seq);
            out.push(Action::Send(helper, packet));
        }
    }

    fn end_probe(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(p) = self.probe.take() else {
            return;
        };
        // One probe without an answer speaks against its target, several in a row
        // against this node.
        self.blame = (self.blame + u32::from(self.failed)).min(SELF_MAX);
        self.failed = true;
        let Some(peer) = self.peers.get(&p.target) else {
            return;
        };
        match peer.health {
            Health::Alive => {
                let rumor = Rumor { health: Health::Suspect, ..peer.rumor() };
                self.learn(now, &rumor, out);
            }
            Health::Suspect => {
                self.peers.confirm(&p.target);
                if let Some(peer) = self.peers.get(&p.target) {
                    self.outbox.push(peer.rumor());
                }
            }
            _ => {}
        }
    }

    fn bury(&mut self, now: Time, out: &mut Vec<Action>) {
        let t = self.tuning;
        let stretch = f64::from(self.blame + 1);
        let wait = |p: &Peer| {
            let share = f64::from(p.confirms + 1).ln() / f64::from(t.confirms + 1).ln();
            let span = t.suspect_most.saturating_sub(t.suspect).mul_f64(share.min(1.0));
            (t.suspect_most - span).mul_f64(stretch.sqrt())
        };
        for id in self.peers.expired(now, wait) {
            self.declare(now, &id, Health::Dead, out);
        }
    }

    fn declare(&mut self, now: Time, id: &NodeId, health: Health, out: &mut Vec<Action>) {
        if let Some(peer) = self.peers.get(id) {
            let rumor = Rumor { health, ..peer.rumor() };
            self.learn(now, &rumor, out);
        }
    }

    /// Takes news about another node and passes it on if it is new.
    fn learn(&mut self, now: Time, rumor: &Rumor, out: &mut Vec<Action>) {
        let was = self.peers.get(&rumor.node.id).map(|p| p.health);
        if !self.peers.take(now, rumor) {
            return;
        }
        if was == Some(Health::Suspect) && rumor.health == Health::Alive {
            self.acquit(rumor, out);
        }
        self.outbox.push(rumor.clone());
        out.push(Action::Changed(rumor.clone()));
        if rumor.health == Health::Suspect {
            self.warn(rumor, out);
        }
    }

    /// Tells a suspect directly, so that it can refute to whoever suspects it in
    /// one round trip, long before rumors would have gone to it and back.
    fn warn(&mut self, rumor: &Rumor, out: &mut Vec<Action>) {
        let start = rumor.node.id.start;
        let mut packet = self.bare(Purpose::Ping { start });
        packet.rumors.push(rumor.clone());
        out.push(Action::Send(rumor.node.address, packet));
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
            self.compare(now, from, &p, out);
        }
        match p.purpose {
            Purpose::Ping { start } => self.ping(from, start, p.seq, &p.from, out),
            Purpose::Ack => self.ack(now, &p.from, p.seq, out),
            Purpose::Ask(node) => self.errand(now, from, p.seq, node, out),
            Purpose::Answered(id) => self.settle(&id, p.seq),
            Purpose::News => self.news(from, &p.from, p.number, out),
        }
    }

    /// Anti-entropy: rumors die out before they reach everybody, so two nodes
    /// that hold different lists now and then exchange them whole.
    fn compare(&mut self, now: Time, from: SocketAddr, p: &Packet, out: &mut Vec<Action>) {
        let own = self.peers.digest() ^ digest_of(&self.me.id);
        let due = self.synced == Time::ZERO || now.since(self.synced) >= SYNC_EVERY;
        if p.digest == own || !due || self.peers.get(&p.from).is_none() {
            return;
        }
        self.synced = now;
        self.welcome(from, out);
    }

    fn hear(&mut self, now: Time, rumor: &Rumor, out: &mut Vec<Action>) {
        if rumor.node.id != self.me.id {
            return self.learn(now, rumor, out);
        }
        if rumor.health >= Health::Dead {
            // Buried while paused or cut off: come back as a new member.
            self.me.id.start = self.rng.draw().max(1);
            self.incarnation = 0;
            self.outbox.push(self.own_rumor());
        } else if rumor.health == Health::Suspect && rumor.incarnation >= self.incarnation {
            // Somebody doubts this node: refute, and take it as a hint of slowness.
            self.incarnation = rumor.incarnation + 1;
            self.blame = (self.blame + 1).min(SELF_MAX);
            self.outbox.push(self.own_rumor());
            let rumor = self.own_rumor();
            self.acquit(&rumor, out);
        }
    }

    /// Passes a refutation on at once: it races with the suspicion's end.
    fn acquit(&mut self, rumor: &Rumor, out: &mut Vec<Action>) {
        for to in self.sample(ACQUIT, &rumor.node.id) {
            let mut packet = self.bare(Purpose::News);
            packet.rumors.push(rumor.clone());
            out.push(Action::Send(to, packet));
        }
    }

    fn ping(
        &mut self,
        from: SocketAddr,
        start: u64,
        seq: u32,
        sender: &NodeId,
        out: &mut Vec<Action>,
    ) {
        let newcomer = start == 0 || self.peers.get(sender).is_none();
        let mut packet = self.packet_of(Purpose::Ack, seq);
        if start != self.me.id.start {
            packet.rumors.insert(0, self.own_rumor());
        }
        // A node that is suspected or was buried learns it from whom it probes.
        let doubted = self.peers.get(sender).filter(|p| p.health != Health::Alive);
        packet.rumors.extend(doubted.map(Peer::rumor));
        out.push(Action::Send(from, packet));
        if newcomer {
            self.welcome(from, out);
        }
    }

    /// Tells a newcomer about everybody, a few in each datagram.
    fn welcome(&mut self, to: SocketAddr, out: &mut Vec<Action>) {
        let others = self.peers.iter_up().map(Peer::rumor);
        let all: Vec<Rumor> = others.chain([self.own_rumor()]).collect();
        for rumors in all.chunks(WELCOME) {
            let mut packet = self.packet_of(Purpose::News, 0);
            packet.rumors = rumors.to_vec();
            out.push(Action::Send(to, packet));
        }
    }

    fn ack(&mut self, now: Time, from: &NodeId, seq: u32, out: &mut Vec<Action>) {
        if let Some(i) = self.errands.iter().position(|e| e.seq == seq && e.target == *from) {
            let e = self.errands.swap_remove(i);
            let packet = self.packet_of(Purpose::Answered(e.target), e.origin_seq);
            out.push(Action::Send(e.origin, packet));
        }
        let Some(target) = self.probe.as_ref().filter(|p| p.seq == seq).map(|p| p.target.clone())
        else {
            return;
        };
        if target == *from {
            self.settle(from, seq);
        } else if target.name == from.name {
            // The name was started anew: its former self is gone.
            self.probe = None;
            self.declare(now, &target, Health::Dead, out);
        }
    }

    fn settle(&mut self, id: &NodeId, seq: u32) {
        let answered = self.probe.take_if(|p| p.seq == seq && p.target == *id);
        if answered.is_some() {
            self.blame = self.blame.saturating_sub(1);
            self.failed = false;
        }
    }

    fn errand(
        &mut self,
        now: Time,
        from: SocketAddr,
        origin_seq: u32,
        node: Node,
        out: &mut Vec<Action>,
    ) {
        self.seq = self.seq.wrapping_add(1);
        let (seq, start) = (self.seq, node.id.start);
        let until = now + self.tuning.period;
        self.errands.push(Errand { seq, origin: from, origin_seq, target: node.id, until });
        let packet = self.packet_of(Purpose::Ping { start }, seq);
        out.push(Action::Send(node.address, packet));
    }

    fn news(&mut self, from: SocketAddr, sender: &NodeId, number: u64, out: &mut Vec<Action>) {
        let stranger = self.peers.get(sender).is_none();
        if stranger && number < self.number {
            let packet = self.bare(Purpose::News);
            out.push(Action::Send(from, packet));
        }
    }

    fn put_in_force(&mut self, number: u64, out: &mut Vec<Action>) {
        if number <= self.number {
            return;
        }
        self.number = number;
        self.retell = RETELL;
        let id = self.me.id.clone();
        let mut told = self.sample(PUSH, &id);
        told.extend(self.reporters());
        told.sort_unstable();
        told.dedup();
        for to in told {
            let packet = self.bare(Purpose::News);
            out.push(Action::Send(to, packet));
        }
    }

    /// Nodes that may hold the failure domain's lease and so report on it.
    pub fn reporters(&self) -> Vec<SocketAddr> {
        let ids = self.relays();
        self.peers().filter(|p| ids.contains(&p.node.id.name)).map(|p| p.node.address).collect()
    }

    /// Names of the nodes that hold watches and may take leases, this one included.
    pub fn relays(&self) -> Vec<model::Name> {
        /// Three, so that two may fail at once.
        const RELAYS: usize = 3;
        let own = (!self.left).then_some(&self.me.id.name);
        let names: std::collections::BTreeSet<&model::Name> =
            self.peers().map(|p| &p.node.id.name).chain(own).collect();
        model::hash::rendezvous("relay", names.into_iter(), RELAYS)
    }

    fn tell_link(&mut self, out: &mut Vec<Action>) {
        if self.links.is_empty() || !self.relays().contains(&self.me.id.name) {
            return;
        }
        let to = self.links[self.rng.below(self.links.len())];
        let packet = self.bare(Purpose::News);
        out.push(Action::Send(to, packet));
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

    fn own_rumor(&self) -> Rumor {
        Rumor {
            node: self.me.clone(),
            health: Health::Alive,
            incarnation: self.incarnation,
            number: self.number,
        }
    }

    fn bare(&self, purpose: Purpose) -> Packet {
        Packet {
            from: self.me.id.clone(),
            seq: 0,
            purpose,
            number: self.number,
            digest: self.peers.digest() ^ digest_of(&self.me.id),
            rumors: Vec::new(),
            loads: Vec::new(),
        }
    }

    fn packet_of(&mut self, purpose: Purpose, seq: u32) -> Packet {
        let nodes = self.peers.up() + 1;
        let mut rumors = self.outbox.take(RUMORS, nodes);
        // The suspected hear of it first of all from whoever probes them.
        if let Purpose::Ping { start } = purpose {
            if start == 0 {
                rumors.push(self.own_rumor());
            } else if let Some(p) = self.probe.as_ref().and_then(|p| self.peers.get(&p.target))
                && p.health == Health::Suspect
            {
                rumors.push(p.rumor());
            }
        }
        let loads = self.outbox.take_loads(LOADS, nodes);
        Packet { seq, rumors, loads, ..self.bare(purpose) }
    }

    fn sample(&mut self, n: usize, but: &NodeId) -> Vec<SocketAddr> {
        let others = self.peers.iter_up().filter(|p| p.node.id != *but);
        let mut all: Vec<SocketAddr> = others.map(|p| p.node.address).collect();
        self.rng.shuffle(&mut all);
        all.truncate(n);
        all
    }
}
