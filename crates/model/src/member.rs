//! Messages of membership between control nodes of one failure domain.
//!
//! One packet is one datagram. It probes or answers a probe, and carries news:
//! rumors about nodes, the manifest number in force, and changed loads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// A node as its peers know it. A restart has a new `start`, so it is a new member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId {
    /// Name from settings.
    pub name: Name,
    /// Drawn at random at each start; nodes keep nothing on disk.
    pub start: u64,
}

/// A node and how to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Identity.
    pub id: NodeId,
    /// Where its datagrams go, and its control server listens.
    pub address: SocketAddr,
    /// Where its entry node takes messages of other entry nodes.
    pub entry: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// How much work for others it can bear: the logarithm of its processor and link beside
    /// those of the smallest hosts.
    pub capacity: u8,
}

/// What is believed of a node; later variants win at the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers.
    Alive,
    /// A probe failed; the node can refute.
    Suspect,
    /// Failed.
    Dead,
    /// Stopped as planned.
    Left,
}

/// News about one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The node.
    pub node: Node,
    /// What is believed.
    pub health: Health,
    /// Counter by which the node refutes a suspicion.
    pub incarnation: u32,
    /// Manifest in force on the node when the rumor began.
    pub number: u64,
    /// Milliseconds that the node's process had run when the rumor was sent or began.
    pub up_ms: u64,
}

/// A changed load, packed for gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRumor {
    /// First half of the target name's hash.
    pub target: u32,
    /// Expected wait, milliseconds, rounded to about a quarter.
    pub wait: u16,
    /// Sequence at the poller, wrapping.
    pub seq: u16,
    /// Bit 0: ready; bit 1: leaving.
    pub flags: u8,
}

/// What a packet is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Are you alive? Addressed to one start of the node, 0 for any.
    Ping {
        /// Start that is meant.
        start: u64,
    },
    /// Yes.
    Ack,
    /// Probe this node for me.
    Ask(Node),
    /// The node that you asked for answered.
    Answered(NodeId),
    /// Only news.
    News,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender.
    pub from: NodeId,
    /// Sequence of the probe that this belongs to.
    pub seq: u32,
    /// Purpose.
    pub purpose: Purpose,
    /// Manifest in force on the sender.
    pub number: u64,
    /// Digest of the nodes that the sender takes to be up.
    pub digest: u32,
    /// Rumors, most urgent first.
    pub rumors: Vec<Rumor>,
    /// Changed loads.
    pub loads: Vec<LoadRumor>,
}
