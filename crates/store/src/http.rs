//! Client of the Object API over HTTP and JSON.

use std::time::Duration;

use hyper::Method;
use model::Name;
use model::store::{Listing, Stored, Written};
use serde::Serialize;
use serde_json::Value;
use util::http::{CallError, CallKind, Client};

use crate::store::{Future, Store};
use crate::{ErrorKind, StoreError};

/// Timeout of a response, in addition to the wait of a watch.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the Object API at a fixed address.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: Client,
    address: Name,
}

impl HttpStore {
    /// Creates a client of the API at `address`.
    pub fn new(client: Client, address: Name) -> Self {
        HttpStore { client, address }
    }

    async fn call<Q: Serialize, A: serde::de::DeserializeOwned>(
        &self,
        operation: String,
        method: Method,
        path: String,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, StoreError> {
        let call = self.client.json(&self.address, method, &path, body, timeout);
        call.await.map_err(|e| error(operation, e))
    }
}

fn error(operation: String, e: CallError) -> StoreError {
    let kind = match e.kind {
        CallKind::NotSent(why) => ErrorKind::NotSent(why),
        CallKind::Status(409, _) => ErrorKind::Conflict,
        CallKind::Status(code @ 400..=499, why) => ErrorKind::Refused(format!("{code}: {why}")),
        CallKind::Status(code, why) => ErrorKind::Lost(format!("{code}: {why}")),
        other => ErrorKind::Lost(other.to_string()),
    };
    StoreError { operation, peer: e.peer, kind }
}

impl Store for HttpStore {
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Future<'a, Result<Stored, StoreError>> {
        let operation = format!("get {kind}/{name}");
        let path = format!("/v1/{kind}/{name}");
        Box::pin(self.call(operation, Method::GET, path, None::<&()>, TIMEOUT))
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expect: u64,
        value: Option<Value>,
    ) -> Future<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let operation = format!("put {kind}/{name}");
            let path = format!("/v1/{kind}/{name}?expect={expect}");
            let method = if value.is_some() { Method::PUT } else { Method::DELETE };
            let written: Written =
                self.call(operation, method, path, value.as_ref(), TIMEOUT).await?;
            Ok(written.version)
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> Future<'a, Result<Listing, StoreError>> {
        let path = format!("/v1/{kind}");
        Box::pin(self.call(format!("list {kind}"), Method::GET, path, None::<&()>, TIMEOUT))
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        revision: u64,
        wait: Duration,
    ) -> Future<'a, Result<Listing, StoreError>> {
        let path = format!("/v1/{kind}?watch={revision}&wait={}", wait.as_millis());
        let operation = format!("watch {kind}");
        Box::pin(self.call(operation, Method::GET, path, None::<&()>, wait + TIMEOUT))
    }
}
