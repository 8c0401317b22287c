//! Construction of packets and selection of their recipients.

use std::net::SocketAddr;

use model::Time;
use model::member::{Health, NodeId, Packet, Purpose, Rumor};

use super::machine::Member;

/// Maximum rumors piggybacked on one packet, which keeps it within one Ethernet frame.
const MAX_RUMORS: usize = 6;
/// Maximum loads in one packet.
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

    /// A packet with rumors but no loads, for traffic that repeats between the same two nodes while
    /// one of them joins. Unlike rumors, loads that other nodes miss are never made up for.
    pub(super) fn join_packet(&mut self, purpose: Purpose, seq: u32) -> Packet {
        let nodes = self.peers.up() + 1;
        let mut rumors = self.outbox.take(MAX_RUMORS, nodes);
        // A suspect learns of the suspicion soonest from the node that probes it.
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
