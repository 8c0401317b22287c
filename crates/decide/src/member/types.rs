//! Settings, events and actions of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use model::member::{LoadRumor, Packet, Rumor};

/// Intervals, timeouts and fanouts of the failure detector.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Interval between two probes.
    pub period: Duration,
    /// Wait for a direct answer before indirect probes are requested.
    pub timeout: Duration,
    /// Peers asked to probe indirectly.
    pub helpers: usize,
    /// Minimum time to refute a suspicion, once others confirm it.
    pub min_suspicion: Duration,
    /// Maximum time to refute a suspicion.
    pub max_suspicion: Duration,
    /// Confirmations that reduce the time to refute to the minimum.
    pub confirms: u32,
    /// Interval between attempts to reach a seed while no peer is known.
    pub seed_interval: Duration,
}

impl Tuning {
    /// Settings of the nodes that serve customers, where a failed peer is detected within two
    /// seconds.
    pub fn for_serving_nodes() -> Self {
        Tuning {
            period: Duration::from_millis(400),
            timeout: Duration::from_millis(120),
            min_suspicion: Duration::from_millis(600),
            max_suspicion: Duration::from_millis(1200),
            seed_interval: Duration::from_millis(250),
            ..Tuning::default()
        }
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            period: Duration::from_millis(700),
            timeout: Duration::from_millis(200),
            helpers: 3,
            min_suspicion: Duration::from_millis(800),
            max_suspicion: Duration::from_millis(1600),
            confirms: 2,
            seed_interval: Duration::from_millis(500),
        }
    }
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "handled one at a time, never stored in bulk")]
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
    /// Addresses in other failure domains that are sent the manifest number.
    Links(Vec<SocketAddr>),
    /// A manifest is in force on this node.
    Applied(u64),
    /// A load changed here or was received from a peer.
    Load(LoadRumor),
    /// This node begins a planned shutdown.
    Leave,
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Packet),
    /// The peer at this address has a newer manifest, of this number, in force.
    NewerManifest(u64, SocketAddr),
    /// A peer joined, or its health changed.
    Changed(Rumor),
    /// A load was received from a peer.
    Load(LoadRumor),
}
