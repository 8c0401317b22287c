//! What the membership machine is tuned by, hears and wants done.

use std::net::SocketAddr;
use std::time::Duration;

use model::member::{LoadRumor, Packet, Rumor};

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
    pub min_suspicion: Duration,
    /// Longest time to refute.
    pub max_suspicion: Duration,
    /// Confirmations that bring the shortest time.
    pub confirms: u32,
    /// How often seeds are tried while no peer is known.
    pub seed_interval: Duration,
}

impl Tuning {
    /// Of the nodes that serve customers: a lost peer is known within two seconds.
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

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "taken one by one, never held in numbers")]
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
    NewerManifest(u64, SocketAddr),
    /// A peer came up, or its health changed.
    Changed(Rumor),
    /// A load was heard.
    Load(LoadRumor),
}
