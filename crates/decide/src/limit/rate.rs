//! A workspace's rate, held over all nodes without a centre.
//!
//! The home node of a workspace (rendezvous over members) lends slices of its
//! rate: each node says how much it wants, and gets a share that together never
//! exceeds the rate. A slice ends with its lease; a node that cannot reach the
//! home falls back to `rate / nodes`. Error: while a home changes, the old
//! home's slices and the new one's can add up to twice the rate, for one
//! [`LEASE_PERIOD`] at most; cut off, the sum of local shares is at most the rate.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Name, Time};

/// How long a slice lasts.
pub const LEASE_PERIOD: Duration = Duration::from_secs(2);
/// Burst that a bucket holds, seconds of its rate.
const BURST_SECONDS: f64 = 0.5;
/// Share of the rate divided evenly, so that a newcomer is never shut out.
const EVEN_SHARE: f64 = 0.2;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled: Time,
}

impl TokenBucket {
    /// A full bucket of `rate` a second.
    pub fn new(rate: f64, now: Time) -> Self {
        TokenBucket { rate, tokens: (rate * BURST_SECONDS).max(1.0), refilled: now }
    }

    /// Changes the rate, keeping what is in the bucket.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min((rate * BURST_SECONDS).max(1.0));
    }

    /// The rate.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes one token, or says when there will be one.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
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

/// A slice as lent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LentSlice {
    /// Requests a second.
    pub rate: f64,
}

/// The lender of one workspace's rate.
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
    /// A lender of `rate` a second.
    pub fn new(rate: f64) -> Self {
        Lender { rate, borrowers: BTreeMap::new() }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Lends to `node`, which sees `demand` requests a second.
    pub fn lend(&mut self, now: Time, node: &Name, demand: f64, nodes: usize) -> LentSlice {
        self.borrowers.retain(|_, w| w.expires > now);
        let others: f64 =
            self.borrowers.iter().filter(|(n, _)| *n != node).map(|(_, w)| w.lent).sum();
        let demands: f64 =
            self.borrowers.iter().filter(|(n, _)| *n != node).map(|(_, w)| w.demand).sum();
        let even = self.rate * EVEN_SHARE / nodes.max(1) as f64;
        let total = (demands + demand).max(1e-9);
        let fair = even + self.rate * (1.0 - EVEN_SHARE) * demand / total;
        // What others still hold is not lent twice; shares settle within a lease.
        let lent = fair.min((self.rate - others).max(0.0));
        self.borrowers.insert(node.clone(), Borrower { demand, lent, expires: now + LEASE_PERIOD });
        LentSlice { rate: lent }
    }
}

/// A node's share of one workspace's rate.
#[derive(Debug, Clone)]
pub struct RateSlice {
    rate: f64,
    bucket: TokenBucket,
    expires: Time,
    requests: u64,
    window_start: Time,
}

impl RateSlice {
    /// A share of `rate` before the home was heard: an even part.
    pub fn new(rate: f64, nodes: usize, now: Time) -> Self {
        let bucket = TokenBucket::new(rate / nodes.max(1) as f64, now);
        RateSlice { rate, bucket, expires: now, requests: 0, window_start: now }
    }

    /// Takes one request's token.
    pub fn take(&mut self, now: Time, nodes: usize) -> Result<(), Duration> {
        self.requests += 1;
        if now > self.expires {
            self.bucket.set_rate(self.rate / nodes.max(1) as f64, now);
            self.expires = Time::NEVER;
        }
        self.bucket.take(now)
    }

    /// Requests a second seen since the last call of this.
    pub fn demand(&mut self, now: Time) -> f64 {
        let seconds = now.since(self.window_start).as_secs_f64().max(0.05);
        let demand = self.requests as f64 / seconds;
        self.requests = 0;
        self.window_start = now;
        demand
    }

    /// Takes a slice whose request was sent at `sent`.
    pub fn renew(&mut self, now: Time, sent: Time, slice: LentSlice) {
        self.bucket.set_rate(slice.rate, now);
        self.expires = sent + LEASE_PERIOD;
    }
}
