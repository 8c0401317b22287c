//! Issues permits for requests to targets that name limits.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::TargetId;
use model::{Name, Time};

use super::LimitObservation;

/// Share of a limit that is issued as permits. The platform tolerates 1.5 times the limit and a few
/// requests more. The rest leaves room for a second keeper, which some nodes may still or already
/// ask, and for requests that arrive later than their permits were issued.
const ISSUED_SHARE: f64 = 0.7;
/// Maximum number of accumulated permits.
const BURST: f64 = 2.0;
/// Minimum permits per second: a target that gets no requests cannot report the end of its limit.
const MIN_RATE: f64 = 0.1;
/// Maximum retry delay beyond the time of the next permit: the nodes queued ahead may have no
/// request left by then.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Time for which a target is kept after the last request for a permit.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum pieces per call to a target that names a limit, if no other maximum applies: the target
/// may count pieces, and accumulated permits cover this many.
pub const MAX_LIMITED_PIECES: u32 = BURST as u32;

/// Permits issued per second for a limit.
pub fn issue_rate(per_s: f64) -> f64 {
    (per_s * ISSUED_SHARE).max(MIN_RATE)
}

/// Response to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// Send now.
    Now,
    /// Ask again after this time.
    Later(Duration),
    /// The target no longer names a limit.
    Unlimited,
}

#[derive(Debug)]
struct Bucket {
    limit: LimitObservation,
    tokens: f64,
    refilled_at: Time,
    /// When rejected nodes may ask again. A node has one place, however many requests it has.
    queue: BTreeMap<Name, Time>,
    requested_at: Time,
}

impl Bucket {
    /// Starts without accumulated permits, since an earlier keeper may have issued them.
    fn new(limit: LimitObservation, now: Time) -> Self {
        Bucket { limit, tokens: 0.0, refilled_at: now, queue: BTreeMap::new(), requested_at: now }
    }

    fn grant(&mut self, node: &Name, count: u32, now: Time) -> Grant {
        let Some(per_s) = self.limit.per_s else {
            return Grant::Unlimited;
        };
        let rate = issue_rate(per_s);
        let refill = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(BURST);
        self.refilled_at = now;
        let needed = f64::from(count).min(BURST);
        if self.tokens >= needed {
            self.tokens -= needed;
            return Grant::Now;
        }
        let next = now + Duration::from_secs_f64((needed - self.tokens) / rate);
        let interval = Duration::from_secs_f64(1.0 / rate);
        Grant::Later(self.enqueue(node, next, interval, now).since(now))
    }

    /// When a node may ask again: one after the other, at the rate of the permits. `next` is the
    /// time of the next permit, `interval` the time between two.
    fn enqueue(&mut self, node: &Name, next: Time, interval: Duration, now: Time) -> Time {
        self.queue.retain(|_, at| *at > now);
        if let Some(at) = self.queue.get(node) {
            return *at;
        }
        let last = self.queue.values().max();
        let after_last = last.map_or(next, |last| *last + interval);
        let at = after_last.min(next + MAX_QUEUE_WAIT).max(next);
        self.queue.insert(node.clone(), at);
        at
    }
}

/// Targets that this node is or was the keeper of.
#[derive(Debug, Default)]
pub struct PermitIssuer(BTreeMap<TargetId, Bucket>);

impl PermitIssuer {
    /// Merges an observation of a target's limit; returns whether the target has started or stopped
    /// naming one.
    pub fn merge(&mut self, id: &TargetId, limit: LimitObservation, now: Time) -> bool {
        let Some(bucket) = self.0.get_mut(id) else {
            if limit.per_s.is_some() {
                self.0.insert(id.clone(), Bucket::new(limit, now));
            }
            return limit.per_s.is_some();
        };
        let was_limited = bucket.limit.per_s.is_some();
        bucket.limit = bucket.limit.merge(limit);
        bucket.requested_at = now;
        was_limited != bucket.limit.per_s.is_some()
    }

    /// Requests a permit for `count` requests to a target at once.
    pub fn request(&mut self, id: &TargetId, node: &Name, count: u32, now: Time) -> Grant {
        let Some(bucket) = self.0.get_mut(id) else {
            return Grant::Unlimited;
        };
        bucket.requested_at = now;
        bucket.grant(node, count, now)
    }

    /// Latest observation of a target's limit.
    pub fn observation(&self, id: &TargetId) -> Option<LimitObservation> {
        self.0.get(id).map(|bucket| bucket.limit)
    }

    /// Drops targets for which no node has requested a permit for a long time.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, bucket| now.since(bucket.requested_at) < RETENTION);
    }
}
