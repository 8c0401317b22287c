//! Trait of the Object API.

use std::pin::Pin;
use std::time::Duration;

use model::store::{Listing, Stored};
use serde_json::Value;

use crate::StoreError;

/// Boxed future, which makes [`Store`] usable as a trait object.
pub type Future<'a, T> = Pin<Box<dyn std::future::Future<Output = T> + Send + 'a>>;

/// The Object API. Only versions, conditional updates and watches are required of it.
pub trait Store: Send + Sync {
    /// Reads an object; one that was never written has version 0 and no value.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Future<'a, Result<Stored, StoreError>>;

    /// Writes (`Some`) or deletes (`None`) an object if its version is `expect`; returns the new
    /// version.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expect: u64,
        value: Option<Value>,
    ) -> Future<'a, Result<u64, StoreError>>;

    /// Lists all objects of a kind, with the revision to watch from.
    fn list<'a>(&'a self, kind: &'a str) -> Future<'a, Result<Listing, StoreError>>;

    /// Waits for changes after `revision`, including deletions; empty if none come within `wait`.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        revision: u64,
        wait: Duration,
    ) -> Future<'a, Result<Listing, StoreError>>;
}
