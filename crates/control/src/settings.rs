//! Settings of a control node.

use std::net::SocketAddr;

use model::Name;
use serde::Deserialize;
use util::settings::{BadValue, Check, Logs};

/// Settings file of `pumicevale-control`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Node name, the same as that of its entry node.
    pub name: Name,
    /// Failure domain of the node.
    pub domain: Name,
    /// Listen address, TCP and UDP; peers must be able to reach it.
    pub address: SocketAddr,
    /// Peer address of the entry node on the same host.
    pub entry: SocketAddr,
    /// Control addresses in the same failure domain through which the node joins.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Control addresses in other failure domains, to which it announces the manifest number.
    #[serde(default)]
    pub links: Vec<SocketAddr>,
    /// Address of the Object API and the host list.
    pub store: SocketAddr,
    /// Maximum Object API calls per second from this node.
    #[serde(default = "store_rate")]
    pub store_rate: f64,
    /// Lease period, milliseconds.
    #[serde(default = "lease_period")]
    pub lease_period: u64,
    /// Interval between polls of a target by its first poller, milliseconds.
    #[serde(default = "poll_period")]
    pub poll_period: u64,
    /// Log settings.
    #[serde(default)]
    pub logs: Logs,
}

/// Minimum lease period: several round trips to the platform.
const MIN_LEASE_PERIOD_MS: u64 = 500;
const MIN_POLL_PERIOD_MS: u64 = 50;

fn store_rate() -> f64 {
    20.0
}

fn lease_period() -> u64 {
    decide::lease::PERIOD.as_millis() as u64
}

fn poll_period() -> u64 {
    4000
}

impl Check for Settings {
    fn check(&self) -> Result<(), BadValue> {
        for (field, name) in [("name", &self.name), ("domain", &self.domain)] {
            model::name::check(name).map_err(|e| BadValue::new(field, e.to_string()))?;
        }
        if self.address.ip().is_unspecified() {
            let reason = "peers must be able to reach it, so it can't be 0.0.0.0";
            return Err(BadValue::new("address", reason));
        }
        if !(self.store_rate > 0.0 && self.store_rate.is_finite()) {
            return Err(BadValue::new("store_rate", "must be more than 0 calls per second"));
        }
        if self.lease_period < MIN_LEASE_PERIOD_MS {
            let reason = format!("must be {MIN_LEASE_PERIOD_MS} milliseconds or more");
            return Err(BadValue::new("lease_period", reason));
        }
        if self.poll_period < MIN_POLL_PERIOD_MS {
            let reason = format!("must be {MIN_POLL_PERIOD_MS} milliseconds or more");
            return Err(BadValue::new("poll_period", reason));
        }
        Ok(())
    }
}
