//! Membership messages between control nodes of one failure domain.
//!
//! A packet is one datagram. It probes or answers a probe, and it gossips: rumors about nodes,
//! the applied manifest number and changed loads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Identity of a node at its peers. A restarted node has a new `start` and is a new member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId {
    /// Name from the settings.
    pub name: Name,
    /// Random number drawn at each start, because nodes store nothing on disk.
    pub start: u64,
}

/// Node and its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Identity.
    pub id: NodeId,
    /// Address for datagrams and of the control server.
    pub address: SocketAddr,
    /// Address at which its entry node accepts messages of other entry nodes.
    pub entry: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Capacity for work on behalf of other nodes: the logarithm of its processor and link
    /// relative to those of the smallest hosts.
    pub capacity: u8,
}

/// Believed state of a node; later variants win at the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers probes.
    Alive,
    /// A probe failed; the node can still refute the suspicion.
    Suspect,
    /// Considered failed.
    Dead,
    /// Shut down as planned.
    Left,
}

/// Rumor about a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Node that the rumor is about.
    pub node: Node,
    /// Believed state of the node.
    pub health: Health,
    /// Counter that the node increments to refute a suspicion.
    pub incarnation: u32,
    /// Manifest applied on the node when the rumor was created.
    pub number: u64,
    /// Uptime of the node's process in milliseconds when the rumor was sent or created.
    pub up_ms: u64,
}

/// Changed load of a target, compact for gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRumor {
    /// Upper half of the hash of the target's name.
    pub target: u32,
    /// Expected queueing time in milliseconds, rounded to within about a quarter.
    pub wait: u16,
    /// Sequence number at the node that polls the target; wraps around.
    pub seq: u16,
    /// Bit 0: ready; bit 1: draining.
    pub flags: u8,
}

/// Purpose of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Probes one start of the receiver, or any if `start` is 0.
    Ping {
        /// Start to probe.
        start: u64,
    },
    /// Answers a probe.
    Ack,
    /// Asks the receiver to probe this node (indirect probe).
    Ask(Node),
    /// Reports that the indirectly probed node answered.
    Answered(NodeId),
    /// Carries gossip only.
    News,
}

/// Membership datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender of the packet.
    pub from: NodeId,
    /// Sequence number of the probe that the packet belongs to.
    pub seq: u32,
    /// Purpose of the packet.
    pub purpose: Purpose,
    /// Manifest applied on the sender.
    pub number: u64,
    /// Digest of the nodes that the sender considers up.
    pub digest: u32,
    /// Rumors, most urgent first.
    pub rumors: Vec<Rumor>,
    /// Loads that changed.
    pub loads: Vec<LoadRumor>,
}
