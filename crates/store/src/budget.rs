//! One node's calls of the Object API: counted by reason, and held to a budget
//! in which what matters most goes first.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use model::store::{Listing, Stored};
use serde_json::Value;
use tokio::time::Instant;

use crate::store::{Future, Store};
use crate::{ErrorKind, StoreError};

/// Why a call is made; earlier reasons may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Claims of requests that wait.
    Claim,
    /// Leases.
    Lease,
    /// Configuration.
    Config,
    /// Status for operators.
    Status,
    /// Cleaning up.
    Sweep,
}

/// Count of reasons.
const REASONS: usize = 5;

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; REASONS] =
        [Reason::Claim, Reason::Lease, Reason::Config, Reason::Status, Reason::Sweep];

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Claim => "claim",
            Reason::Lease => "lease",
            Reason::Config => "config",
            Reason::Status => "status",
            Reason::Sweep => "sweep",
        }
    }

    /// Share of the bucket that must be left for earlier reasons.
    fn reserve(self) -> f64 {
        self as usize as f64 / REASONS as f64 * 0.75
    }
}

/// Calls made, by reason.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: [AtomicU64; REASONS],
    refused: [AtomicU64; REASONS],
}

impl CallCounts {
    /// Calls sent for a reason.
    pub fn calls(&self, reason: Reason) -> u64 {
        self.calls[reason as usize].load(Ordering::Relaxed)
    }

    /// Calls not sent, for want of budget.
    pub fn refused(&self, reason: Reason) -> u64 {
        self.refused[reason as usize].load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct Tokens {
    left: f64,
    at: Instant,
}

/// A store whose calls are counted and held to a rate.
pub struct BudgetedStore {
    inner: Box<dyn Store>,
    rate: f64,
    tokens: Mutex<Tokens>,
    counts: CallCounts,
}

impl BudgetedStore {
    /// At most `rate` calls a second over time, in bursts of four seconds' worth.
    pub fn new(inner: Box<dyn Store>, rate: f64) -> Self {
        let tokens = Mutex::new(Tokens { left: rate * BURST_SECONDS, at: Instant::now() });
        BudgetedStore { inner, rate, tokens, counts: CallCounts::default() }
    }

    /// Calls so far.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// The store for one reason.
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

/// Seconds' worth of calls that may be made at once.
const BURST_SECONDS: f64 = 4.0;

/// A [`BudgetedStore`] store on behalf of one reason.
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
