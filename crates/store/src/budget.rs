//! Budget of one node's calls of the Object API. Calls are counted by reason, and the more
//! important reasons have precedence.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use model::store::{Listing, Stored};
use serde_json::Value;
use tokio::time::Instant;

use crate::store::{Future, Store};
use crate::{ErrorKind, StoreError};

/// Reason of a call; earlier reasons may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Claims, which requests wait for.
    Claim,
    /// Leases.
    Lease,
    /// Configuration.
    Config,
    /// Status for operators.
    Status,
    /// Deletion of old objects.
    Sweep,
}

/// Number of reasons.
const REASONS: usize = 5;

impl Reason {
    /// All reasons, in order of precedence.
    pub const ALL: [Reason; REASONS] =
        [Reason::Claim, Reason::Lease, Reason::Config, Reason::Status, Reason::Sweep];

    /// Name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Claim => "claim",
            Reason::Lease => "lease",
            Reason::Config => "config",
            Reason::Status => "status",
            Reason::Sweep => "sweep",
        }
    }

    /// Fraction of the token bucket that is reserved for earlier reasons.
    fn reserve(self) -> f64 {
        self as usize as f64 / REASONS as f64 * 0.75
    }
}

/// Numbers of calls by reason.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: [AtomicU64; REASONS],
    refused: [AtomicU64; REASONS],
}

impl CallCounts {
    /// Number of calls sent for a reason.
    pub fn calls(&self, reason: Reason) -> u64 {
        self.calls[reason as usize].load(Ordering::Relaxed)
    }

    /// Number of calls not sent because the budget was exhausted.
    pub fn refused(&self, reason: Reason) -> u64 {
        self.refused[reason as usize].load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct Tokens {
    left: f64,
    at: Instant,
}

/// Store whose calls are counted and rate-limited.
pub struct BudgetedStore {
    inner: Box<dyn Store>,
    rate: f64,
    tokens: Mutex<Tokens>,
    counts: CallCounts,
}

impl BudgetedStore {
    /// Allows `rate` calls per second on average, in bursts of up to four seconds' worth.
    pub fn new(inner: Box<dyn Store>, rate: f64) -> Self {
        let tokens = Mutex::new(Tokens { left: rate * BURST_SECONDS, at: Instant::now() });
        BudgetedStore { inner, rate, tokens, counts: CallCounts::default() }
    }

    /// Numbers of calls so far.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Store whose calls are charged to `reason`.
    pub fn for_reason(&self, reason: Reason) -> ReasonStore<'_> {
        ReasonStore { budget: self, reason }
    }

    fn spend(&self, reason: Reason, operation: impl Fn() -> String) -> Result<(), StoreError> {
        let mut t = self.tokens.lock().expect("no panic while held");
        let now = Instant::now();
        let capacity = self.rate * BURST_SECONDS;
        t.left = (t.left + now.duration_since(t.at).as_secs_f64() * self.rate).min(capacity);
        t.at = now;
        if t.left - 1.0 < capacity * reason.reserve() {
            self.counts.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
            return Err(StoreError {
                operation: operation(),
                peer: "budget".into(),
                kind: ErrorKind::Budget,
            });
        }
        t.left -= 1.0;
        self.counts.calls[reason as usize].fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Size of the token bucket, in seconds of the call rate.
const BURST_SECONDS: f64 = 4.0;

/// View of a [`BudgetedStore`] that charges calls to one reason.
#[derive(Clone, Copy)]
pub struct ReasonStore<'b> {
    budget: &'b BudgetedStore,
    reason: Reason,
}

impl Store for ReasonStore<'_> {
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Future<'a, Result<Stored, StoreError>> {
        Box::pin(async move {
            self.budget.spend(self.reason, || format!("get {kind}/{name}"))?;
            self.budget.inner.get(kind, name).await
        })
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expect: u64,
        value: Option<Value>,
    ) -> Future<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.budget.spend(self.reason, || format!("put {kind}/{name}"))?;
            self.budget.inner.put(kind, name, expect, value).await
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> Future<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.budget.spend(self.reason, || format!("list {kind}"))?;
            self.budget.inner.list(kind).await
        })
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        revision: u64,
        wait: Duration,
    ) -> Future<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.budget.spend(self.reason, || format!("watch {kind}"))?;
            self.budget.inner.watch(kind, revision, wait).await
        })
    }
}
