//! Direct and indirect probes, and the handling of failed ones.

use std::net::SocketAddr;

use model::Time;
use model::member::{Health, Node, NodeId, Packet, Purpose, Rumor};

use super::gossip::MAX_HEALTH_SCORE;
use super::machine::{IndirectProbe, Member, Probe};
use super::peers::Peer;
use super::types::Action;

impl Member {
    pub(super) fn start_probe(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(target) = self.next_target(now) else {
            return;
        };
        let Some(p) = self.peers.get(&target) else {
            return;
        };
        let address = p.node.address;
        let start = target.start;
        self.seq = self.seq.wrapping_add(1);
        self.probe = Some(Probe { seq: self.seq, target, sent: now, helpers_asked: false });
        let packet = self.gossip_packet(Purpose::Ping { start }, self.seq);
        out.push(Action::Send(address, packet));
    }

    /// Round robin over a shuffled list, so that every peer is probed within
    /// a bounded time (SWIM, section 4.3).
    fn next_target(&mut self, now: Time) -> Option<NodeId> {
        loop {
            if self.probe_order.is_empty() {
                self.peers.purge_departed(now);
                self.probe_order = self.peers.iter_up().map(|p| p.node.id.clone()).collect();
                self.rng.shuffle(&mut self.probe_order);
            }
            let id = self.probe_order.pop()?;
            if self.peers.get(&id).is_some_and(Peer::is_up) {
                return Some(id);
            }
        }
    }

    pub(super) fn request_indirect_probes(&mut self, now: Time, out: &mut Vec<Action>) {
        let timeout = self.probe_timeout();
        let Some(p) = &mut self.probe else {
            return;
        };
        if p.helpers_asked || now < p.sent + timeout {
            return;
        }
        p.helpers_asked = true;
        let (seq, target) = (p.seq, p.target.clone());
        let Some(node) = self.peers.get(&target).map(|p| p.node.clone()) else {
            return;
        };
        for helper in self.sample(self.tuning.helpers, &target) {
            let packet = self.gossip_packet(Purpose::Ask(node.clone()), seq);
            out.push(Action::Send(helper, packet));
        }
    }

    pub(super) fn fail_probe(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(p) = self.probe.take() else {
            return;
        };
        // A single unanswered probe counts against its target, consecutive ones against this node.
        self.health_score =
            (self.health_score + u32::from(self.last_probe_failed)).min(MAX_HEALTH_SCORE);
        self.last_probe_failed = true;
        let Some(peer) = self.peers.get(&p.target) else {
            return;
        };
        match peer.health {
            Health::Alive => {
                let rumor = Rumor { health: Health::Suspect, ..peer.rumor(now) };
                self.apply_rumor(now, &rumor, out);
            }
            Health::Suspect => {
                self.peers.confirm(&p.target);
                if let Some(peer) = self.peers.get(&p.target) {
                    self.outbox.push(peer.rumor(now));
                }
            }
            _ => {}
        }
    }

    pub(super) fn expire_suspects(&mut self, now: Time, out: &mut Vec<Action>) {
        let t = self.tuning;
        let multiplier = f64::from(self.health_score + 1);
        let wait = |p: &Peer| {
            let share = f64::from(p.confirms + 1).ln() / f64::from(t.confirms + 1).ln();
            let span = t.max_suspicion.saturating_sub(t.min_suspicion).mul_f64(share.min(1.0));
            (t.max_suspicion - span).mul_f64(multiplier.sqrt())
        };
        for id in self.peers.expired(now, wait) {
            self.declare(now, &id, Health::Dead, out);
        }
    }

    pub(super) fn handle_ping(
        &mut self,
        from: SocketAddr,
        start: u64,
        ping: &Packet,
        out: &mut Vec<Action>,
    ) {
        let sender = &ping.from;
        let requests_list = start == 0 && ping.digest != self.digest();
        let is_newcomer = requests_list || self.peers.get(sender).is_none();
        let mut packet = match start {
            0 => self.join_packet(Purpose::Ack, ping.seq),
            _ => self.gossip_packet(Purpose::Ack, ping.seq),
        };
        if start != self.me.id.start {
            packet.rumors.insert(0, self.own_rumor());
        }
        // A node that is suspected or declared dead learns of it from the peers it probes.
        let suspected = self.peers.get(sender).filter(|p| p.health != Health::Alive);
        packet.rumors.extend(suspected.map(|p| p.rumor(self.now)));
        out.push(Action::Send(from, packet));
        if is_newcomer {
            self.push_members(from, out);
        }
    }

    pub(super) fn handle_ack(&mut self, now: Time, from: &NodeId, seq: u32, out: &mut Vec<Action>) {
        if let Some(i) = self.indirect_probes.iter().position(|e| e.seq == seq && e.target == *from)
        {
            let e = self.indirect_probes.swap_remove(i);
            let packet = self.gossip_packet(Purpose::Answered(e.target), e.origin_seq);
            out.push(Action::Send(e.origin, packet));
        }
        let Some(target) = self.probe.as_ref().filter(|p| p.seq == seq).map(|p| p.target.clone())
        else {
            return;
        };
        if target == *from {
            self.record_round_trip(now);
            self.complete_probe(from, seq);
        } else if target.name == from.name {
            // The name was restarted, so the probed start has ended.
            self.probe = None;
            self.declare(now, &target, Health::Dead, out);
        }
    }

    /// Records the round trip of a probe that its target answered directly.
    fn record_round_trip(&mut self, now: Time) {
        let Some(probe) = &self.probe else {
            return;
        };
        if let Some(peer) = self.peers.get(&probe.target) {
            self.round_trips.push((peer.node.domain.clone(), now.since(probe.sent)));
        }
    }

    pub(super) fn complete_probe(&mut self, id: &NodeId, seq: u32) {
        let completed = self.probe.take_if(|p| p.seq == seq && p.target == *id);
        if completed.is_some() {
            self.health_score = self.health_score.saturating_sub(1);
            self.last_probe_failed = false;
        }
    }

    pub(super) fn handle_ask(
        &mut self,
        now: Time,
        from: SocketAddr,
        origin_seq: u32,
        node: Node,
        out: &mut Vec<Action>,
    ) {
        self.seq = self.seq.wrapping_add(1);
        let (seq, start) = (self.seq, node.id.start);
        let expires = now + self.tuning.period;
        self.indirect_probes.push(IndirectProbe {
            seq,
            origin: from,
            origin_seq,
            target: node.id,
            expires,
        });
        let packet = self.gossip_packet(Purpose::Ping { start }, seq);
        out.push(Action::Send(node.address, packet));
    }
}
