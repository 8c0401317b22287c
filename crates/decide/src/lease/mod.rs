//! A lease in the Object API with the epoch as fencing token.
//!
//! The holder counts its validity from *before* it sent the renewal, by its own
//! monotonic clock. A taker waits out a full period in which it saw the same
//! version itself, counted from *after* it first read it. So with clocks whose
//! rates differ by less than [`MAX_CLOCK_DRIFT`], no two nodes hold the lease at once, and
//! no wall clock is read. A write whose answer is lost is settled by its nonce.

use std::time::Duration;

use model::lease::Lease;
use model::{Name, Time};

use crate::rng::Rng;

/// Stated bound on the difference of two monotonic clocks' rates.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Period of a lease.
pub const PERIOD: Duration = Duration::from_secs(6);
/// The holder renews after this share of the period.
const RENEW_FRACTION: f64 = 0.3;
/// A follower reads after this share of the period, with jitter on top.
const POLL_FRACTION: f64 = 0.25;
/// Wait after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A read ended: version (0 if never written) and content.
    Read {
        /// Version.
        version: u64,
        /// Content; `None` if there is none.
        lease: Option<Lease>,
    },
    /// A read failed.
    ReadFailed,
    /// The write was accepted at this version.
    Written(u64),
    /// The write met another version.
    Conflict,
    /// The write's answer was lost, or it failed; it may have landed.
    WriteLost,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the lease object.
    Read,
    /// Write it if its version is `expect`.
    Write {
        /// Version expected.
        expect: u64,
        /// New content.
        lease: Lease,
    },
    /// The lease was taken, with this epoch.
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
    /// The write's answer was lost; a read settles it.
    lost: bool,
}

/// One node's part in one lease.
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
    /// A node that would hold the lease; `node` must differ at each start.
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

    /// The epoch, if the lease is held for at least `spare` more.
    pub fn epoch(&self, now: Time, min_left: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now + min_left < held.expires).then_some(held.epoch)
    }

    /// The highest epoch seen, held by anybody.
    pub fn highest_epoch(&self) -> u64 {
        let observed = self.observed.as_ref().and_then(|s| s.lease.as_ref()).map_or(0, |l| l.epoch);
        observed.max(self.held.as_ref().map_or(0, |h| h.epoch))
    }

    /// When [`Event::Tick`] is wanted next.
    pub fn next_tick(&self) -> Time {
        match &self.held {
            Some(h) => self.next_call.min(h.expires),
            None => self.next_call,
        }
    }

    /// Takes one event; returns what is to be done.
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
        let older = self.observed.as_ref().is_some_and(|s| version < s.version);
        if older {
            // A stale read says nothing new.
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
            // Ours landed; its validity counts from before it was sent.
            Some(l) if l.nonce == p.lease.nonce => self.confirm(now, p, out),
            // Not there, but it may still land: the next conditional write settles which.
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
            // Nobody took it since this node's own last write, or the write conflicts.
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
