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
pub struct Counts {
    calls: [AtomicU64; REASONS],
    refused: [AtomicU64; REASONS],
}

impl Counts {
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
pub struct Budgeted {
    inner: Box<dyn Store>,
    rate: f64,
    tokens: Mutex<Tokens>,
    counts: Counts,
}

impl Budgeted {
    /// At most `rate` calls a second over time, in bursts of four seconds' worth.
    pub fn new(inner: Box<dyn Store>, rate: f64) -> Self {
        let tokens = Mutex::new(Tokens { left: rate * BURST, at: Instant::now() });
        Budgeted { inner, rate, tokens, counts: Counts::default() }
    }

    /// Calls so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The store for one reason.
    pub fn with(&self, reason: Reason) -> For<'_> {
        For { budget: self, reason }
    }

    fn take(&self, reason: Reason, step: impl Fn() -> String) -> Result<(), StoreError> {
        let mut t = self.tokens.lock().expect("no panic while held");
        let now = Instant::now();
        let most = self.rate * BURST;
        t.left = (t.left + now.duration_since(t.at).as_secs_f64() * self.rate).min(most);
        t.at = now;
        if t.left - 1.0 < most * reason.reserve() {
            self.counts.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
            return Err(StoreError {
                step: step(),
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
const BURST: f64 = 4.0;

/// A [`Budgeted`] store on behalf of one reason.
#[derive(Clone, Copy)]
pub struct For<'b> {
    budget: &'b Budgeted,
    reason: Reason,
}

impl Store for For<'_> {
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Future<'a, Result<Stored, StoreError>> {
        Box::pin(async move {
            self.budget.take(self.reason, || format!("get {kind}/{name}"))?;
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
            self.budget.take(self.reason, || format!("put {kind}/{name}"))?;
            self.budget.inner.put(kind, name, expect, value).await
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> Future<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.budget.take(self.reason, || format!("list {kind}"))?;
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
            self.budget.take(self.reason, || format!("watch {kind}"))?;
            self.budget.inner.watch(kind, revision, wait).await
        })
    }
}
