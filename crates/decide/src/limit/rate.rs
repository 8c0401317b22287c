//! Rate limit of a workspace, shared by all nodes without a central coordinator.
//!
//! The home node of a workspace (rendezvous hashing over the members) lends slices of its rate:
//! each node reports its demand and receives a share, and all shares together never exceed the
//! rate. A slice ends with its lease; a node that cannot reach the home node falls back to
//! `rate / nodes`.
//! Error bound: while the home moves to another node, the slices of the old and of the new one can
//! add up to twice the rate, for at most one [`LEASE_PERIOD`]. In a partition, the sum of the local
//! shares is at most the rate.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Name, Time};

/// Validity of a slice; the borrower counts it from before it sent the request.
pub const LEASE_PERIOD: Duration = Duration::from_secs(2);
/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.5;
/// Fraction of the rate divided evenly, so that a node without prior demand gets a share.
const EVEN_SHARE: f64 = 0.2;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled: Time,
}

impl TokenBucket {
    /// Creates a full bucket of `rate` tokens per second.
    pub fn new(rate: f64, now: Time) -> Self {
        TokenBucket { rate, tokens: (rate * BURST_SECONDS).max(1.0), refilled: now }
    }

    /// Changes the rate and keeps the tokens, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min((rate * BURST_SECONDS).max(1.0));
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes one token, or returns the time until one is available (at most 60 s).
    pub fn try_acquire(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate.max(1e-6);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }

    fn refill(&mut self, now: Time) {
        let new = now.since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + new).min((self.rate * BURST_SECONDS).max(1.0));
        self.refilled = now;
    }
}

/// Share of a rate lent to one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LentSlice {
    /// Requests per second.
    pub rate: f64,
}

/// Lending side of one workspace's rate, on its home node.
#[derive(Debug, Clone)]
pub struct Lender {
    rate: f64,
    borrowers: BTreeMap<Name, Borrower>,
}

#[derive(Debug, Clone)]
struct Borrower {
    demand: f64,
    lent: f64,
    expires: Time,
}

impl Lender {
    /// Creates a lender of `rate` requests per second.
    pub fn new(rate: f64) -> Self {
        Lender { rate, borrowers: BTreeMap::new() }
    }

    /// Changes the rate; slices already lent stay until they expire.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Lends a slice to `node`, which receives `demand` requests per second.
    pub fn lend(&mut self, now: Time, node: &Name, demand: f64, nodes: usize) -> LentSlice {
        self.borrowers.retain(|_, w| w.expires > now);
        let others: f64 =
            self.borrowers.iter().filter(|(n, _)| *n != node).map(|(_, w)| w.lent).sum();
        let demands: f64 =
            self.borrowers.iter().filter(|(n, _)| *n != node).map(|(_, w)| w.demand).sum();
        let even = self.rate * EVEN_SHARE / nodes.max(1) as f64;
        let total = (demands + demand).max(1e-9);
        let fair = even + self.rate * (1.0 - EVEN_SHARE) * demand / total;
        // Rate that other nodes still hold is not lent again; shares converge within one lease.
        let lent = fair.min((self.rate - others).max(0.0));
        self.borrowers.insert(node.clone(), Borrower { demand, lent, expires: now + LEASE_PERIOD });
        LentSlice { rate: lent }
    }
}

/// Share of one workspace's rate on one node.
#[derive(Debug, Clone)]
pub struct RateSlice {
    rate: f64,
    bucket: TokenBucket,
    expires: Time,
    requests: u64,
    window_start: Time,
}

impl RateSlice {
    /// Creates the share used before the home has answered: `rate / nodes`.
    pub fn new(rate: f64, nodes: usize, now: Time) -> Self {
        let bucket = TokenBucket::new(rate / nodes.max(1) as f64, now);
        RateSlice { rate, bucket, expires: now, requests: 0, window_start: now }
    }

    /// Takes the token of one request, or returns the time until one is available.
    pub fn try_acquire(&mut self, now: Time, nodes: usize) -> Result<(), Duration> {
        self.requests += 1;
        if now > self.expires {
            self.bucket.set_rate(self.rate / nodes.max(1) as f64, now);
            self.expires = Time::NEVER;
        }
        self.bucket.try_acquire(now)
    }

    /// Requests per second since the previous call of this method.
    pub fn demand(&mut self, now: Time) -> f64 {
        let seconds = now.since(self.window_start).as_secs_f64().max(0.05);
        let demand = self.requests as f64 / seconds;
        self.requests = 0;
        self.window_start = now;
        demand
    }

    /// Applies a slice that was requested at `sent`.
    pub fn renew(&mut self, now: Time, sent: Time, slice: LentSlice) {
        self.bucket.set_rate(slice.rate, now);
        self.expires = sent + LEASE_PERIOD;
    }
}
