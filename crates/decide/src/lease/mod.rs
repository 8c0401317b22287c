//! Lease in the Object API with its epoch as fencing token.
//!
//! The holder counts the validity from *before* it sent the renewal, on its own monotonic clock. A
//! node that acquires the lease waits a full period in which it observed the same version, counted
//! from *after* it first read that version. With clock rates that differ by less than
//! [`MAX_CLOCK_DRIFT`], two nodes therefore never hold the lease at once, without reading a wall
//! clock. If the response to a write is lost, a read resolves it by the nonce.

use std::time::Duration;

use model::lease::Lease;
use model::{Name, Time};

use crate::rng::Rng;

/// Assumed bound on the relative rate difference of two monotonic clocks.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Default validity of a lease after a renewal.
pub const PERIOD: Duration = Duration::from_secs(6);
/// Fraction of the period after which the holder renews.
const RENEW_FRACTION: f64 = 0.3;
/// Fraction of the period between two reads by a node without the lease; as much again is jitter.
const POLL_FRACTION: f64 = 0.25;
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Input to the [`LeaseClient`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A timer fired.
    Tick,
    /// The lease object was read.
    Read {
        /// Version; 0 if never written.
        version: u64,
        /// Content; `None` if absent.
        lease: Option<Lease>,
    },
    /// The read failed.
    ReadFailed,
    /// The write was accepted at this version.
    Written(u64),
    /// The write was rejected: the expected version did not match.
    Conflict,
    /// The write failed or its response was lost; it may have been applied.
    WriteLost,
}

/// Effect to be carried out by the caller of the [`LeaseClient`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the lease object.
    Read,
    /// Write the lease object if its stored version equals `expect`.
    Write {
        /// Expected version.
        expect: u64,
        /// New content.
        lease: Lease,
    },
    /// The lease was acquired with this epoch.
    Acquired(u64),
    /// The lease is no longer held.
    Lost,
}

#[derive(Debug, Clone, PartialEq)]
struct Held {
    epoch: u64,
    expires: Time,
}

#[derive(Debug, Clone, PartialEq)]
struct Observed {
    version: u64,
    lease: Option<Lease>,
    since: Time,
}

#[derive(Debug, Clone, PartialEq)]
struct Pending {
    sent: Time,
    lease: Lease,
    /// The response was lost; a read resolves it.
    lost: bool,
}

/// State of one lease as seen by one node.
#[derive(Debug)]
pub struct LeaseClient {
    node: Name,
    period: Duration,
    held: Option<Held>,
    observed: Option<Observed>,
    pending: Option<Pending>,
    reading: bool,
    next_call: Time,
    rng: Rng,
}

impl LeaseClient {
    /// Creates a client that tries to acquire the lease; `node` must differ at each process start.
    pub fn new(node: Name, period: Duration, seed: u64) -> Self {
        LeaseClient {
            node,
            period,
            held: None,
            observed: None,
            pending: None,
            reading: false,
            next_call: Time::ZERO,
            rng: Rng::new(seed),
        }
    }

    /// Epoch of this node if it holds the lease for longer than `min_left`.
    pub fn epoch(&self, now: Time, min_left: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now + min_left < held.expires).then_some(held.epoch)
    }

    /// Highest epoch observed, of any holder.
    pub fn highest_epoch(&self) -> u64 {
        let observed = self.observed.as_ref().and_then(|s| s.lease.as_ref()).map_or(0, |l| l.epoch);
        observed.max(self.held.as_ref().map_or(0, |h| h.epoch))
    }

    /// Time at which [`Event::Tick`] is due next.
    pub fn next_tick(&self) -> Time {
        match &self.held {
            Some(h) => self.next_call.min(h.expires),
            None => self.next_call,
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match event {
            Event::Tick => {}
            Event::Read { version, lease } => self.handle_read(now, version, lease, &mut out),
            Event::ReadFailed => {
                self.reading = false;
                self.next_call = now + RETRY_DELAY;
            }
            Event::Written(version) => self.handle_written(now, version, &mut out),
            Event::Conflict => {
                self.pending = None;
                self.observed = None;
                self.next_call = now;
            }
            Event::WriteLost => {
                if let Some(p) = &mut self.pending {
                    p.lost = true;
                }
                self.next_call = now + RETRY_DELAY;
            }
        }
        self.advance(now, &mut out);
        out
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.as_ref().is_some_and(|h| now >= h.expires) {
            self.held = None;
            out.push(Action::Lost);
        }
    }

    fn handle_read(
        &mut self,
        now: Time,
        version: u64,
        lease: Option<Lease>,
        out: &mut Vec<Action>,
    ) {
        self.reading = false;
        self.next_call = now
            + self.period.mul_f64(POLL_FRACTION)
            + self.rng.jitter(self.period.mul_f64(POLL_FRACTION));
        let stale = self.observed.as_ref().is_some_and(|s| version < s.version);
        if stale {
            // Ignore a stale read.
            return;
        }
        let same = self.observed.as_ref().is_some_and(|s| s.version == version);
        if !same {
            self.observed = Some(Observed { version, lease: lease.clone(), since: now });
        }
        let superseded =
            lease.as_ref().is_some_and(|l| self.held.as_ref().is_some_and(|h| l.epoch > h.epoch));
        if superseded {
            self.held = None;
            out.push(Action::Lost);
        }
        let Some(p) = self.pending.take_if(|p| p.lost) else {
            return;
        };
        match lease {
            // The write was applied; its validity counts from before it was sent.
            Some(l) if l.nonce == p.lease.nonce => self.confirm(now, p, out),
            // Not applied yet, but it may still be: the next conditional write decides.
            _ if same => self.next_call = now,
            _ => {}
        }
    }

    fn handle_written(&mut self, now: Time, version: u64, out: &mut Vec<Action>) {
        let Some(p) = self.pending.take() else {
            return;
        };
        self.observed = Some(Observed { version, lease: Some(p.lease.clone()), since: now });
        self.confirm(now, p, out);
    }

    fn confirm(&mut self, now: Time, p: Pending, out: &mut Vec<Action>) {
        let expires = p.sent + self.period;
        self.next_call = p.sent + self.period.mul_f64(RENEW_FRACTION);
        if now >= expires {
            return;
        }
        let acquired = self.held.as_ref().is_none_or(|h| h.epoch != p.lease.epoch);
        self.held = Some(Held { epoch: p.lease.epoch, expires });
        if acquired {
            out.push(Action::Acquired(p.lease.epoch));
        }
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        let lost = self.pending.as_ref().is_some_and(|p| p.lost);
        if now < self.next_call || self.reading || (self.pending.is_some() && !lost) {
            return;
        }
        let Some(observed) = self.observed.clone().filter(|_| !lost) else {
            self.reading = true;
            return out.push(Action::Read);
        };
        if let Some(h) = self.held.clone() {
            return self.write(now, observed.version, h.epoch, out);
        }
        let free = match &observed.lease {
            None => true,
            // This node wrote last; if another node has written since, the write conflicts.
            Some(l) if l.holder == self.node => true,
            Some(l) => {
                let period = Duration::from_millis(l.period).max(self.period);
                now.since(observed.since) >= period.mul_f64(1.0 + MAX_CLOCK_DRIFT)
            }
        };
        if free {
            let epoch = observed.lease.as_ref().map_or(1, |l| l.epoch + 1);
            return self.write(now, observed.version, epoch, out);
        }
        self.reading = true;
        out.push(Action::Read);
    }

    fn write(&mut self, now: Time, expect: u64, epoch: u64, out: &mut Vec<Action>) {
        let lease = Lease {
            holder: self.node.clone(),
            epoch,
            nonce: self.rng.next_u64(),
            period: self.period.as_millis() as u64,
        };
        self.next_call = now + RETRY_DELAY;
        self.pending = Some(Pending { sent: now, lease: lease.clone(), lost: false });
        out.push(Action::Write { expect, lease });
    }
}
