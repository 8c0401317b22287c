//! The Object API as a trait object.

use std::pin::Pin;
use std::time::Duration;

use model::store::{Listing, Stored};
use serde_json::Value;

use crate::StoreError;

/// A boxed future, so that [`Store`] can be a trait object.
pub type Future<'a, T> = Pin<Box<dyn std::future::Future<Output = T> + Send + 'a>>;

/// Versions, conditional updates and watches; no more is assumed.
pub trait Store: Send + Sync {
    /// Reads one object; version 0 and no value if it was never written.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Future<'a, Result<Stored, StoreError>>;

    /// Writes (`Some`) or deletes (`None`) if the version is `expect`; returns the new version.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expect: u64,
        value: Option<Value>,
    ) -> Future<'a, Result<u64, StoreError>>;

    /// Every object of a kind, and the revision to watch from.
    fn list<'a>(&'a self, kind: &'a str) -> Future<'a, Result<Listing, StoreError>>;

    /// What changed after `revision`, deletions included; empty after `wait`.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        revision: u64,
        wait: Duration,
    ) -> Future<'a, Result<Listing, StoreError>>;
}
