//! A lease in the Object API with the epoch as fencing token.
//!
//! The holder counts its validity from *before* it sent the renewal, by its own
//! monotonic clock. A taker waits out a full period in which it saw the same
//! version itself, counted from *after* it first read it. So with clocks whose
//! rates differ by less than [`DRIFT`], no two nodes hold the lease at once, and
//! no wall clock is read. A write whose answer is lost is settled by its nonce.

use std::time::Duration;

use model::lease::Lease;
use model::{Name, Time};

use crate::rng::Rng;

/// Stated bound on the difference of two monotonic clocks' rates.
pub const DRIFT: f64 = 0.01;
/// Period of a lease.
pub const PERIOD: Duration = Duration::from_secs(6);
/// The holder renews after this share of the period.
const RENEW: f64 = 0.3;
/// A follower reads after this share of the period, with jitter on top.
const WATCH: f64 = 0.25;
/// Wait after a failed call.
const PAUSE: Duration = Duration::from_millis(300);

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
    Wrote(u64),
    /// The write met another version.
    Conflict,
    /// The write's answer was lost, or it failed; it may have landed.
    Lost,
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
    Taken(u64),
    /// The lease is no longer held.
    Dropped,
}

#[derive(Debug, Clone, PartialEq)]
struct Held {
    epoch: u64,
    until: Time,
}

#[derive(Debug, Clone, PartialEq)]
struct Seen {
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
pub struct Holder {
    node: Name,
    period: Duration,
    held: Option<Held>,
    seen: Option<Seen>,
    pending: Option<Pending>,
    reading: bool,
    next: Time,
    rng: Rng,
}

impl Holder {
    /// A node that would hold the lease; `node` must differ at each start.
    pub fn new(node: Name, period: Duration, seed: u64) -> Self {
        Holder {
            node,
            period,
            held: None,
            seen: None,
            pending: None,
            reading: false,
            next: Time::ZERO,
            rng: Rng::new(seed),
        }
    }

    /// The epoch, if the lease is held for at least `spare` more.
    pub fn epoch(&self, now: Time, spare: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now + spare < held.until).then_some(held.epoch)
    }

    /// The highest epoch seen, held by anybody.
    pub fn highest(&self) -> u64 {
        let seen = self.seen.as_ref().and_then(|s| s.lease.as_ref()).map_or(0, |l| l.epoch);
        seen.max(self.held.as_ref().map_or(0, |h| h.epoch))
    }

    /// When [`Event::Tick`] is wanted next.
    pub fn next_tick(&self) -> Time {
        match &self.held {
            Some(h) => self.next.min(h.until),
            None => self.next,
        }
    }

    /// Takes one event; returns what is to be done.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.lapse(now, &mut out);
        match event {
            Event::Tick => {}
            Event::Read { version, lease } => self.read(now, version, lease, &mut out),
            Event::ReadFailed => {
                self.reading = false;
                self.next = now + PAUSE;
            }
            Event::Wrote(version) => self.wrote(now, version, &mut out),
            Event::Conflict => {
                self.pending = None;
                self.seen = None;
                self.next = now;
            }
            Event::Lost => {
                if let Some(p) = &mut self.pending {
                    p.lost = true;
                }
                self.next = now + PAUSE;
            }
        }
        self.advance(now, &mut out);
        out
    }

    fn lapse(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.as_ref().is_some_and(|h| now >= h.until) {
            self.held = None;
            out.push(Action::Dropped);
        }
    }

    fn read(&mut self, now: Time, version: u64, lease: Option<Lease>, out: &mut Vec<Action>) {
        self.reading = false;
        self.next = now + self.period.mul_f64(WATCH) + self.rng.jitter(self.period.mul_f64(WATCH));
        let older = self.seen.as_ref().is_some_and(|s| version < s.version);
        if older {
            // A stale read says nothing new.
            return;
        }
        let same = self.seen.as_ref().is_some_and(|s| s.version == version);
        if !same {
            self.seen = Some(Seen { version, lease: lease.clone(), since: now });
        }
        let theirs =
            lease.as_ref().is_some_and(|l| self.held.as_ref().is_some_and(|h| l.epoch > h.epoch));
        if theirs {
            self.held = None;
            out.push(Action::Dropped);
        }
        let Some(p) = self.pending.take_if(|p| p.lost) else {
            return;
        };
        match lease {
            // Ours landed; its validity counts from before it was sent.
            Some(l) if l.nonce == p.lease.nonce => self.hold(now, p, out),
            // Not there, but it may still land: the next conditional write settles which.
            _ if same => self.next = now,
            _ => {}
        }
    }

    fn wrote(&mut self, now: Time, version: u64, out: &mut Vec<Action>) {
        let Some(p) = self.pending.take() else {
            return;
        };
        self.seen = Some(Seen { version, lease: Some(p.lease.clone()), since: now });
        self.hold(now, p, out);
    }

    fn hold(&mut self, now: Time, p: Pending, out: &mut Vec<Action>) {
        let until = p.sent + self.period;
        self.next = p.sent + self.period.mul_f64(RENEW);
        if now >= until {
            return;
        }
        let new = self.held.as_ref().is_none_or(|h| h.epoch != p.lease.epoch);
        self.held = Some(Held { epoch: p.lease.epoch, until });
        if new {
            out.push(Action::Taken(p.lease.epoch));
        }
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        let lost = self.pending.as_ref().is_some_and(|p| p.lost);
        if now < self.next || self.reading || (self.pending.is_some() && !lost) {
            return;
        }
        let Some(seen) = self.seen.clone().filter(|_| !lost) else {
            self.reading = true;
            return out.push(Action::Read);
        };
        if let Some(h) = self.held.clone() {
            return self.write(now, seen.version, h.epoch, out);
        }
        let free = match &seen.lease {
            None => true,
            // Nobody took it since this node's own last write, or the write conflicts.
            Some(l) if l.holder == self.node => true,
            Some(l) => {
                let period = Duration::from_millis(l.period).max(self.period);
                now.since(seen.since) >= period.mul_f64(1.0 + DRIFT)
            }
        };
        if free {
            let epoch = seen.lease.as_ref().map_or(1, |l| l.epoch + 1);
            return self.write(now, seen.version, epoch, out);
        }
        self.reading = true;
        out.push(Action::Read);
    }

    fn write(&mut self, now: Time, expect: u64, epoch: u64, out: &mut Vec<Action>) {
        let lease = Lease {
            holder: self.node.clone(),
            epoch,
            nonce: self.rng.draw(),
            period: self.period.as_millis() as u64,
        };
        self.next = now + PAUSE;
        self.pending = Some(Pending { sent: now, lease: lease.clone(), lost: false });
        out.push(Action::Write { expect, lease });
    }
}
