//! Settings of an entry node.

use std::net::SocketAddr;

use decide::route::PolicyKind;
use model::Name;
use serde::Deserialize;
use util::settings::{BadValue, Check, Logs};

/// Settings file of `pumicevale-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Node name, the same as that of its control node.
    pub name: Name,
    /// Failure domain of the node.
    pub domain: Name,
    /// Other failure domains of the same region.
    #[serde(default)]
    pub near: Vec<Name>,
    /// Listen address for callers.
    pub callers: String,
    /// Listen address for other entry nodes.
    pub peers: String,
    /// Address of the control node on the same host.
    #[serde(default)]
    pub control: Option<String>,
    /// Address of the Object API.
    #[serde(default)]
    pub store: Option<String>,
    /// Maximum Object API calls per second from this node.
    #[serde(default = "store_rate")]
    pub store_rate: f64,
    /// Maximum number of requests that run at once.
    #[serde(default = "width")]
    pub width: usize,
    /// Maximum number of queued requests.
    #[serde(default = "depth")]
    pub depth: usize,
    /// Maximum size of a request body, bytes.
    #[serde(default = "body_max")]
    pub body_max: usize,
    /// Time limit for receiving a request body, milliseconds.
    #[serde(default = "body_time")]
    pub body_time: u64,
    /// Time the load balancer needs to notice that the node is not ready, milliseconds.
    #[serde(default = "balancer_lag")]
    pub balancer_lag: u64,
    /// Routing policy of engine pools; other pools are routed by load alone.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Whether admission rejects requests that cannot finish in time.
    #[serde(default = "yes")]
    pub admission: bool,
    /// Whether a late, short, repeatable step gets a second attempt.
    #[serde(default = "yes")]
    pub hedging: bool,
    /// Log settings.
    #[serde(default)]
    pub logs: Logs,
}

impl Settings {
    /// Default settings on free loopback ports, with neither control node nor store, for tests,
    /// experiments and the quick start.
    pub fn local(name: Name, domain: Name) -> Self {
        /// Any free port.
        const ANY: &str = "127.0.0.1:0";
        Settings {
            name,
            domain,
            near: Vec::new(),
            callers: ANY.into(),
            peers: ANY.into(),
            control: None,
            store: None,
            store_rate: store_rate(),
            width: width(),
            depth: depth(),
            body_max: body_max(),
            body_time: body_time(),
            balancer_lag: 0,
            policy: PolicyKind::default(),
            admission: true,
            hedging: true,
            logs: Logs::default(),
        }
    }
}

fn store_rate() -> f64 {
    50.0
}

fn width() -> usize {
    512
}

fn depth() -> usize {
    1024
}

fn body_max() -> usize {
    1 << 20
}

fn body_time() -> u64 {
    5000
}

fn balancer_lag() -> u64 {
    2000
}

fn yes() -> bool {
    true
}

impl Check for Settings {
    fn check(&self) -> Result<(), BadValue> {
        check_name("name", &self.name)?;
        check_name("domain", &self.domain)?;
        check_address("callers", Some(&self.callers))?;
        check_address("peers", Some(&self.peers))?;
        check_address("control", self.control.as_ref())?;
        check_address("store", self.store.as_ref())?;
        if self.width == 0 {
            return Err(BadValue::new("width", "must be 1 or more"));
        }
        if !(self.store_rate > 0.0 && self.store_rate.is_finite()) {
            return Err(BadValue::new("store_rate", "must be more than 0 calls per second"));
        }
        Ok(())
    }
}

fn check_name(field: &str, name: &str) -> Result<(), BadValue> {
    model::name::check(name).map_err(|e| BadValue::new(field, e.to_string()))
}

fn check_address(field: &str, address: Option<&String>) -> Result<(), BadValue> {
    let Some(a) = address else {
        return Ok(());
    };
    if a.parse::<SocketAddr>().is_err() {
        let why = format!("{a:?} is not an IP address and port such as 127.0.0.1:7000");
        return Err(BadValue::new(field, why));
    }
    Ok(())
}
