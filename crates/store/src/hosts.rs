//! Host list of the platform: live hosts and hosts about to be withdrawn, updated with a delay.

use std::time::Duration;

use hyper::Method;
use model::Name;
use serde::{Deserialize, Serialize};
use util::http::{CallError, Client};

use crate::store::Future;

/// State of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostState {
    /// Name of the host.
    pub host: Name,
    /// Whether the host is about to be withdrawn.
    pub leaving: bool,
}

/// Source of the host list.
pub trait HostList: Send + Sync {
    /// Fetches the platform's current list.
    fn hosts(&self) -> Future<'_, Result<Vec<HostState>, CallError>>;
}

/// Host list over HTTP and JSON.
#[derive(Debug, Clone)]
pub struct HttpHosts {
    client: Client,
    address: Name,
}

impl HttpHosts {
    /// Creates a client of the host list at `address`.
    pub fn new(client: Client, address: Name) -> Self {
        HttpHosts { client, address }
    }
}

impl HostList for HttpHosts {
    fn hosts(&self) -> Future<'_, Result<Vec<HostState>, CallError>> {
        let timeout = Duration::from_millis(1500);
        Box::pin(self.client.json(&self.address, Method::GET, "/hosts", None::<&()>, timeout))
    }
}
