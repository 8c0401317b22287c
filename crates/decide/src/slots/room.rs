//! Slots of one target: who holds them, who waits, and how many are leased.
//!
//! No more are leased than the target names. It begins with a few, since an earlier keeper may have
//! leased others, and adds to them while all are in use. A rejection halves them, since the target
//! had less room than assumed; after too many rejections in a second none is leased for a while.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::{Name, Time};

use super::LeaseId;

/// Part of the slots that is leased at first, and by which the leased ones grow, as a divisor.
const FIRST_PART: u32 = 4;
const GROWTH_PART: u32 = 8;
/// Interval of growth.
const GROWTH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of growth by one for some time after a rejection.
const CAREFUL_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a rejection in which the slots grow carefully.
const CAREFUL_TIME: Duration = Duration::from_secs(10);
/// Period in which rejections are counted.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);
/// Assumed time for which a slot is held, before the first release.
const FIRST_HOLD_TIME: Duration = Duration::from_millis(100);
/// Weight of the latest release in the mean time for which a slot is held.
const HOLD_WEIGHT: f64 = 0.2;
/// Range of the times after which to ask again.
const MIN_RETRY: Duration = Duration::from_millis(20);
const MAX_RETRY: Duration = Duration::from_secs(2);

/// What a request for a slot says of itself and its target.
#[derive(Debug, Clone, Copy)]
pub struct SlotTerms {
    /// Maximum number of concurrent requests at the target.
    pub slots: u32,
    /// Rejections in a second that the target bears.
    pub max_rejected: u32,
    /// Time for which the request can wait.
    pub wait: Duration,
    /// Time after which the slot counts as free even if it is not released.
    pub lease: Duration,
}

/// Response to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotGrant {
    /// Send now.
    Granted,
    /// It waits for a slot.
    Waiting,
    /// Ask again after this time.
    Later(Duration),
}

#[derive(Debug)]
struct Lease {
    granted_at: Time,
    expires_at: Time,
}

#[derive(Debug)]
struct Waiter {
    id: LeaseId,
    until: Time,
    lease: Duration,
}

/// Slots of one target.
#[derive(Debug)]
pub(super) struct Room {
    slots: u32,
    max_rejected: u32,
    /// Slots that may be leased now.
    limit: u32,
    grown_at: Time,
    leases: BTreeMap<LeaseId, Lease>,
    waiting: VecDeque<Waiter>,
    rejected: VecDeque<Time>,
    rejected_at: Option<Time>,
    hold_time: Duration,
    used_at: Time,
}

impl Room {
    pub fn new(slots: u32, now: Time) -> Self {
        Room {
            slots: slots.max(1),
            max_rejected: 0,
            limit: (slots / FIRST_PART).max(1),
            grown_at: now,
            leases: BTreeMap::new(),
            waiting: VecDeque::new(),
            rejected: VecDeque::new(),
            rejected_at: None,
            hold_time: FIRST_HOLD_TIME,
            used_at: now,
        }
    }

    pub fn request(&mut self, id: LeaseId, terms: SlotTerms, now: Time) -> SlotGrant {
        self.slots = terms.slots.max(1);
        self.limit = self.limit.min(self.slots);
        self.max_rejected = terms.max_rejected;
        self.used_at = now;
        self.update(now);
        if self.waiting.is_empty() && self.has_room(now) {
            self.grant(id, terms.lease, now);
            return SlotGrant::Granted;
        }
        let has_place = self.waiting.len() < self.slots as usize;
        if !has_place || terms.wait < self.next_turn(now) {
            return SlotGrant::Later(self.retry_delay(now));
        }
        self.waiting.push_back(Waiter { id, until: now + terms.wait, lease: terms.lease });
        SlotGrant::Waiting
    }

    pub fn poll(&mut self, id: &LeaseId, now: Time) -> SlotGrant {
        self.update(now);
        if self.leases.contains_key(id) {
            SlotGrant::Granted
        } else if self.waiting.iter().any(|w| w.id == *id) {
            SlotGrant::Waiting
        } else {
            SlotGrant::Later(self.retry_delay(now))
        }
    }

    pub fn release(&mut self, id: &LeaseId, rejected: bool, now: Time) {
        self.waiting.retain(|w| w.id != *id);
        if rejected {
            self.record_rejection(now);
        }
        if let Some(lease) = self.leases.remove(id)
            && !rejected
        {
            let held = now.since(lease.granted_at).as_secs_f64();
            let mean = self.hold_time.as_secs_f64();
            self.hold_time = Duration::from_secs_f64(mean + HOLD_WEIGHT * (held - mean));
        }
        self.update(now);
    }

    /// Releases the slots of nodes that are not up.
    pub fn retain_nodes(&mut self, is_up: impl Fn(&Name) -> bool, now: Time) {
        self.leases.retain(|id, _| is_up(&id.node));
        self.waiting.retain(|w| is_up(&w.id.node));
        self.update(now);
    }

    /// Requests per second that the leased slots serve.
    pub fn rate(&self) -> f64 {
        f64::from(self.limit) / self.hold_time.max(Duration::from_millis(1)).as_secs_f64()
    }

    pub fn usage(&self) -> (usize, usize) {
        (self.leases.len(), self.waiting.len())
    }

    pub fn used_at(&self) -> Time {
        self.used_at
    }

    fn record_rejection(&mut self, now: Time) {
        let in_use = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        self.limit = (self.limit.min(in_use) / 2).max(1);
        self.rejected.push_back(now);
        self.rejected_at = Some(now);
        self.grown_at = now;
    }

    /// Drops what has expired, grows the limit and leases free slots to those that wait.
    fn update(&mut self, now: Time) {
        self.leases.retain(|_, lease| now < lease.expires_at);
        self.waiting.retain(|w| now < w.until);
        while self.rejected.front().is_some_and(|at| now.since(*at) >= REJECTION_PERIOD) {
            self.rejected.pop_front();
        }
        self.grow(now);
        while self.has_room(now) {
            let Some(Waiter { id, lease, .. }) = self.waiting.pop_front() else {
                return;
            };
            self.grant(id, lease, now);
        }
    }

    fn grow(&mut self, now: Time) {
        let is_careful = self.rejected_at.is_some_and(|at| now.since(at) < CAREFUL_TIME);
        let (interval, step) = if is_careful {
            (CAREFUL_INTERVAL, 1)
        } else {
            (GROWTH_INTERVAL, (self.slots / GROWTH_PART).max(1))
        };
        let is_used = self.leases.len() >= self.limit as usize;
        if is_used && now.since(self.grown_at) >= interval {
            self.limit = (self.limit + step).min(self.slots);
            self.grown_at = now;
        }
    }

    fn has_room(&self, now: Time) -> bool {
        self.leases.len() < self.limit as usize && self.paused_until().is_none_or(|at| now >= at)
    }

    /// Until when no slot is leased: half of the rejections that the target bears are left for those
    /// of nodes that do not ask yet.
    fn paused_until(&self) -> Option<Time> {
        let first = *self.rejected.front()?;
        let is_many = self.rejected.len() * 2 > self.max_rejected as usize;
        is_many.then_some(first + REJECTION_PERIOD)
    }

    fn grant(&mut self, id: LeaseId, lease: Duration, now: Time) {
        self.leases.insert(id, Lease { granted_at: now, expires_at: now + lease });
    }

    /// Time after which a slot is expected to be free for one more.
    fn next_turn(&self, now: Time) -> Duration {
        let ahead = self.waiting.len() as f64 + 1.0;
        let turn = Duration::from_secs_f64(ahead / self.rate());
        let pause = self.paused_until().map_or(Duration::ZERO, |at| at.since(now));
        turn + pause
    }

    fn retry_delay(&self, now: Time) -> Duration {
        self.next_turn(now).clamp(MIN_RETRY, MAX_RETRY)
    }
}
