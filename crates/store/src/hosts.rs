//! The host list: which hosts are live and which are leaving, with a lag.

use std::time::Duration;

use hyper::Method;
use model::Name;
use serde::{Deserialize, Serialize};
use util::http::{CallError, Client};

use crate::store::Future;

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostState {
    /// Host.
    pub host: Name,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Reads the host list.
pub trait HostList: Send + Sync {
    /// The list as the platform has it.
    fn hosts(&self) -> Future<'_, Result<Vec<HostState>, CallError>>;
}

/// The host list over HTTP and JSON.
#[derive(Debug, Clone)]
pub struct HttpHosts {
    client: Client,
    address: Name,
}

impl HttpHosts {
    /// A client of the list at `address`.
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
