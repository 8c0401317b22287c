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

/// Share of a core of a host that bears no work for others first.
const MIN_CPU_SHARE: f64 = 0.125;
/// Bandwidth of such a host, in Mbit/s.
const MIN_LINK_MBPS: f64 = 10.0;

/// Settings file of `pumicevale-node`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address at which peers reach the host.
    pub address: IpAddr,
    /// Address at which the node listens for peers, where a forwarder stands before it;
    /// otherwise `address`.
    #[serde(default)]
    pub bind: Option<IpAddr>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where figures are told, besides at `readiness`.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Port, TCP and UDP, that every node keeps for its peers.
    pub peer_port: u16,
    /// Addresses of some nodes; only the hosts are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The store that holds rules and targets.
    pub store: SocketAddr,
    /// Milliseconds within which a stop must be over.
    pub stop_ms: u64,
    /// Repeats of requests.
    pub repeats: Repeats,
    /// Whether operators evacuate failure domains through the store. Then nothing is sent
    /// before the node knows which.
    #[serde(default)]
    pub evacuations: bool,
    /// What cold targets may get beyond what they bear.
    #[serde(default)]
    pub cold: Cold,
    /// Region of each failure domain. Where none is named all lie in one, and requests that
    /// name regions are served nowhere.
    #[serde(default)]
    pub regions: BTreeMap<Name, Name>,
    /// Whether operators roll versions of services out through the store, and within which
    /// bounds. Then nothing is sent before the node knows of all orders.
    #[serde(default)]
    pub rollouts: Option<Rollouts>,
    /// What the host gives the process.
    #[serde(default)]
    pub host: Host,
    /// Whether all nodes start for the first time, together.
    #[serde(default)]
    pub first_start: bool,
    /// Connections held by one process, callers' and targets' together.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
    /// Mechanisms that are on.
    #[serde(default)]
    pub policy: Policy,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

/// What the host gives the process.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Share of a core.
    pub cpu_share: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for Host {
    fn default() -> Self {
        Host { cpu_share: MIN_CPU_SHARE, link_mbps: MIN_LINK_MBPS }
    }
}

impl Host {
    /// How much work for other nodes it can bear, as powers of two of the smallest hosts.
    pub fn capacity(&self) -> u8 {
        let processor = self.cpu_share / MIN_CPU_SHARE;
        let link = self.link_mbps / MIN_LINK_MBPS;
        processor.min(link).max(1.0).log2() as u8
    }
}

/// The budget that all nodes share for repeats of one service.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeats {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window, in seconds.
    pub window_s: f64,
    /// Repeats that all nodes together may add.
    pub slack: f64,
}

/// What cold targets of a service may get, all nodes together, beyond the requests a second
/// that its rules say they bear.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Factor.
    pub overrun: f64,
    /// Requests in a second on top.
    pub slack: f64,
}

impl Default for Cold {
    fn default() -> Self {
        let ColdBounds { overrun, slack } = ColdBounds::default();
        Cold { overrun, slack }
    }
}

impl Cold {
    /// As the limits of services take it.
    pub fn bounds(&self) -> ColdBounds {
        ColdBounds { overrun: self.overrun, slack: self.slack }
    }
}

/// Bounds on what a version on trial gets before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollouts {
    /// Share of the requests to its service, over all nodes and the order's whole time.
    pub share: f64,
    /// Requests on top.
    pub slack: f64,
    /// Milliseconds after which a version that proved bad gets nothing more.
    pub back_ms: u64,
}

fn descriptors() -> usize {
    4096
}

impl Repeats {
    /// As the budget machine takes it.
    pub fn tuning(&self) -> BudgetTuning {
        BudgetTuning {
            ratio: self.ratio,
            window: Duration::from_secs_f64(self.window_s),
            slack: self.slack,
        }
    }
}

impl Settings {
    /// Where peers reach this node, UDP and TCP.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }

    /// Where this node listens for peers, UDP and TCP.
    pub fn bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(self.address), self.peer_port)
    }

    /// The first field that cannot change while a node runs, and does.
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

    /// Where the seeds are reached.
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
