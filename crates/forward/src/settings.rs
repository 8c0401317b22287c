//! Settings of a forwarding node.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use decide::fleet::ColdBounds;
use decide::resend::BudgetTuning;
use model::Name;
use model::forward::Policy;
use serde::Deserialize;
use util::settings::{BadValue, Check, Logs};

/// CPU share, in cores, of the smallest hosts, the last to get work for other nodes.
const MIN_CPU_SHARE: f64 = 0.125;
/// Bandwidth of the smallest hosts, in Mbit/s.
const MIN_LINK_MBPS: f64 = 10.0;

/// Memory of the smallest hosts, in MB.
const MIN_MEMORY_MB: u32 = 120;
/// Memory in MB below which a node cannot hold a large body beside its own state.
const LEAST_MEMORY_MB: u32 = 64;

/// Settings file of `pumicevale-node`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, as peers and log lines show it.
    pub name: Name,
    /// Failure domain that the host is in.
    pub domain: Name,
    /// Address at which peers reach the host.
    pub address: IpAddr,
    /// Address on which the node listens for peers and from which it connects to targets, if traffic
    /// to `address` is forwarded to it or the host has several; default `address`, and any.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// Address on which the node listens for callers.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks readiness; also serves metrics.
    pub readiness: SocketAddr,
    /// Additional address that serves metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// TCP and UDP port for peers, the same on every node.
    pub peer_port: u16,
    /// Addresses of some nodes, to join through; their ports are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the store that holds rules and targets.
    pub store: SocketAddr,
    /// Maximum duration of a graceful stop, in milliseconds.
    pub stop_ms: u64,
    /// Repeat budget.
    pub repeats: Repeats,
    /// Whether operators evacuate failure domains through the store. If so, the node sends no
    /// requests until it knows the evacuated domains.
    #[serde(default)]
    pub evacuations: bool,
    /// Requests that cold targets may get beyond their rate.
    #[serde(default)]
    pub cold: Cold,
    /// Region of each failure domain. If empty, all are in one region without a name, and requests
    /// that are restricted to regions cannot be served.
    #[serde(default)]
    pub regions: BTreeMap<Name, Name>,
    /// Bounds of rollouts, if operators roll out versions of services through the store. If set,
    /// the node sends no requests until it knows all rollouts.
    #[serde(default)]
    pub rollouts: Option<Rollouts>,
    /// Resources of the host that the process may use.
    #[serde(default)]
    pub host: Host,
    /// Whether all nodes start together for the first time, so that no earlier process has used
    /// the repeat budget.
    #[serde(default)]
    pub first_start: bool,
    /// Number of connections, of callers and to targets together, that the process can hold.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
    /// Mechanisms that are enabled.
    #[serde(default)]
    pub policy: Policy,
    /// Log level and format.
    #[serde(default)]
    pub logs: Logs,
}

/// Resources of the host that the process may use.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// CPU share, in cores.
    pub cpu_share: f64,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory, in MB; limits what callers may hold.
    #[serde(default = "memory_mb")]
    pub memory_mb: u32,
}

fn memory_mb() -> u32 {
    MIN_MEMORY_MB
}

impl Default for Host {
    fn default() -> Self {
        Host { cpu_share: MIN_CPU_SHARE, link_mbps: MIN_LINK_MBPS, memory_mb: MIN_MEMORY_MB }
    }
}

impl Host {
    /// Capacity for work on behalf of other nodes: binary logarithm of the ratio to the smallest
    /// hosts.
    pub fn capacity(&self) -> u8 {
        let cpu = self.cpu_share / MIN_CPU_SHARE;
        let link = self.link_mbps / MIN_LINK_MBPS;
        cpu.min(link).max(1.0).log2() as u8
    }

    /// Memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb as usize * 1_000_000
    }
}

/// Repeat budget of one service, shared by all nodes.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeats {
    /// Repeats allowed per request, from 0 to 1.
    pub ratio: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
    /// Additional repeats that all nodes together may send in a window.
    pub slack: f64,
}

/// Requests that cold targets of a service may get from all nodes together, beyond the rate in its
/// rules.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Multiplier of the rate.
    pub overrun: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl Default for Cold {
    fn default() -> Self {
        let ColdBounds { overrun, slack } = ColdBounds::default();
        Cold { overrun, slack }
    }
}

impl Cold {
    /// The same bounds in the type that [`decide`] takes.
    pub fn bounds(&self) -> ColdBounds {
        ColdBounds { overrun: self.overrun, slack: self.slack }
    }
}

/// Bounds on the requests that a trial version gets before it has proved good.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollouts {
    /// Maximum share of the requests to its service, over all nodes and the whole rollout.
    pub share: f64,
    /// Additional requests beyond the share.
    pub slack: f64,
    /// Milliseconds after which a version that has proved bad gets no more requests.
    pub back_ms: u64,
}

fn descriptors() -> usize {
    4096
}

impl Repeats {
    /// The same budget in the type that [`decide`] takes.
    pub fn tuning(&self) -> BudgetTuning {
        BudgetTuning {
            ratio: self.ratio,
            window: Duration::from_secs_f64(self.window_s),
            slack: self.slack,
        }
    }
}

impl Settings {
    /// UDP and TCP address at which peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }

    /// UDP and TCP address on which this node listens for peers.
    pub fn bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(self.address), self.peer_port)
    }

    /// First field that differs from the running settings although it is fixed while a node runs.
    pub fn changed_fixed_field(&self, running: &Settings) -> Option<&'static str> {
        let fields = [
            ("name", self.name == running.name),
            ("domain", self.domain == running.domain),
            ("address", self.address == running.address),
            ("bind", self.bind == running.bind),
            ("callers", self.callers == running.callers),
            ("readiness", self.readiness == running.readiness),
            ("peer_port", self.peer_port == running.peer_port),
            ("evacuations", self.evacuations == running.evacuations),
            ("regions", self.regions == running.regions),
            ("rollouts", self.rollouts == running.rollouts),
            ("policy", self.policy == running.policy),
        ];
        fields.into_iter().find(|(_, same)| !same).map(|(field, _)| field)
    }

    /// Peer addresses of the seeds, without this node's own.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.seeds.iter().map(|s| SocketAddr::new(s.ip(), self.peer_port));
        hosts.filter(|s| s.ip() != self.address).collect()
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), BadValue> {
        if self.name.is_empty() {
            return Err(BadValue::new("name", "is empty; give the node's name"));
        }
        if self.domain.is_empty() {
            return Err(BadValue::new("domain", "is empty; give the failure domain's name"));
        }
        if self.peer_port == 0 {
            return Err(BadValue::new("peer_port", "is 0; give the port that all nodes share"));
        }
        if !(0.0..=1.0).contains(&self.repeats.ratio) {
            return Err(BadValue::new("repeats.ratio", "is not within 0 to 1"));
        }
        if !self.repeats.window_s.is_finite() || self.repeats.window_s <= 0.0 {
            return Err(BadValue::new("repeats.window_s", "is not a time above 0"));
        }
        if !self.repeats.slack.is_finite() || self.repeats.slack < 0.0 {
            return Err(BadValue::new("repeats.slack", "is below 0"));
        }
        if !self.cold.overrun.is_finite() || self.cold.overrun < 0.0 {
            return Err(BadValue::new("cold.overrun", "is below 0"));
        }
        if !self.cold.slack.is_finite() || self.cold.slack < 0.0 {
            return Err(BadValue::new("cold.slack", "is below 0"));
        }
        if !self.host.cpu_share.is_finite() || self.host.cpu_share <= 0.0 {
            return Err(BadValue::new("host.cpu_share", "is not above 0"));
        }
        if !self.host.link_mbps.is_finite() || self.host.link_mbps <= 0.0 {
            return Err(BadValue::new("host.link_mbps", "is not above 0"));
        }
        if self.host.memory_mb < LEAST_MEMORY_MB {
            let reason = "is below 64; large bodies need room beside the node's own state";
            return Err(BadValue::new("host.memory_mb", reason));
        }
        if let Some(rollouts) = &self.rollouts {
            if !(0.0..=1.0).contains(&rollouts.share) {
                return Err(BadValue::new("rollouts.share", "is not within 0 to 1"));
            }
            if !rollouts.slack.is_finite() || rollouts.slack < 0.0 {
                return Err(BadValue::new("rollouts.slack", "is below 0"));
            }
        }
        if self.stop_ms < 1000 {
            return Err(BadValue::new("stop_ms", "is below 1000; streams need time to end"));
        }
        Ok(())
    }
}
