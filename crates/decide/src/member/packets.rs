//! Packets that a node sends, and to which peers.

use std::net::SocketAddr;

use model::Time;
use model::member::{Health, NodeId, Packet, Purpose, Rumor};

use super::machine::Member;

/// Most rumors in one packet; keeps it under one Ethernet frame.
const MAX_RUMORS: usize = 6;
/// Most loads in one packet.
const MAX_LOADS: usize = 20;

impl Member {
    pub(super) fn own_rumor(&self) -> Rumor {
        Rumor {
            node: self.me.clone(),
            health: Health::Alive,
            incarnation: self.incarnation,
            number: self.manifest,
            up_ms: self.now.since(Time::ZERO).as_millis() as u64,
        }
    }

    pub(super) fn empty_packet(&self, purpose: Purpose) -> Packet {
        Packet {
            from: self.me.id.clone(),
            seq: 0,
            purpose,
            number: self.manifest,
            digest: self.digest(),
            rumors: Vec::new(),
            loads: Vec::new(),
        }
    }

    pub(super) fn gossip_packet(&mut self, purpose: Purpose, seq: u32) -> Packet {
        let packet = self.join_packet(purpose, seq);
        let loads = self.outbox.take_loads(MAX_LOADS, self.peers.up() + 1);
        Packet { loads, ..packet }
    }

    /// A packet of those that go often between the same two nodes while one of them joins.
    /// It carries no loads: unlike rumors, nothing makes up for loads that the others missed.
    pub(super) fn join_packet(&mut self, purpose: Purpose, seq: u32) -> Packet {
        let nodes = self.peers.up() + 1;
        let mut rumors = self.outbox.take(MAX_RUMORS, nodes);
        // The suspected hear of it first of all from whoever probes them.
        if matches!(purpose, Purpose::Ping { .. })
            && let Some(p) = self.probe.as_ref().and_then(|p| self.peers.get(&p.target))
            && p.health == Health::Suspect
        {
            rumors.push(p.rumor(self.now));
        }
        Packet { seq, rumors, ..self.empty_packet(purpose) }
    }

    pub(super) fn sample(&mut self, n: usize, except: &NodeId) -> Vec<SocketAddr> {
        let drawn = self.peers.sample(n, except, &mut self.rng);
        drawn.into_iter().map(|p| p.node.address).collect()
    }
}
