//! Settings of a control node.

use std::net::SocketAddr;

use model::Name;
use serde::Deserialize;
use util::settings::{BadValue, Check, Logs};

/// Settings file of `pumicevale-control`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node; the same as its entry node's.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Where it listens, TCP and UDP; peers reach it there.
    pub address: SocketAddr,
    /// Where the entry node of the same host takes other entry nodes' messages.
    pub entry: SocketAddr,
    /// Control addresses of the same failure domain to try first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Control addresses in other failure domains, to tell the manifest number.
    #[serde(default)]
    pub links: Vec<SocketAddr>,
    /// The Object API and the host list.
    pub store: SocketAddr,
    /// Calls of the Object API a second that this node may make.
    #[serde(default = "store_rate")]
    pub store_rate: f64,
    /// Milliseconds of a lease's period.
    #[serde(default = "lease_period")]
    pub lease_period: u64,
    /// Milliseconds between two polls of one target by its first poller.
    #[serde(default = "poll_period")]
    pub poll_period: u64,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

/// Least lease period, milliseconds: several round trips to the platform.
const MIN_LEASE_PERIOD_MS: u64 = 500;
/// Least poll period, milliseconds.
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
            return Err(BadValue::new("store_rate", "must be more than 0 calls a second"));
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
