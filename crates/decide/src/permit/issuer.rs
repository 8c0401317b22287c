//! What a keeper gives out: permits to send requests to targets that name limits.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::TargetId;
use model::{Name, Time};

use super::LimitObservation;

/// Part of a limit that is given out. Half as much again may be sent, and some requests: that
/// leaves room for a second keeper, one that others still or already ask, and for requests that
/// arrive later than their permits were given.
const ISSUED_SHARE: f64 = 0.7;
/// Permits that may be saved up.
const BURST: f64 = 2.0;
/// Least permits a second: a target that gets no request cannot say that its limit is over.
const MIN_RATE: f64 = 0.1;
/// Longest time for which an asker is sent away beyond that until there is a permit: whoever
/// asked before it may have no request by then.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Time for which a target is remembered that nobody asks for.
const RETENTION: Duration = Duration::from_secs(60);

/// Pieces that a call may have at a maker that names a limit, where others name none: it may
/// count pieces, and saved permits cover so many.
pub const MAX_LIMITED_PIECES: u32 = BURST as u32;

/// Permits a second that are given out for a limit.
pub fn issue_rate(per_s: f64) -> f64 {
    (per_s * ISSUED_SHARE).max(MIN_RATE)
}

/// The answer to whoever asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It may send now.
    Now,
    /// It may ask again after this time.
    Later(Duration),
    /// The target names no limit any more.
    Unlimited,
}

#[derive(Debug)]
struct Bucket {
    limit: LimitObservation,
    tokens: f64,
    refilled_at: Time,
    /// When nodes that were sent away may ask again. One that has several requests waits once.
    queue: BTreeMap<Name, Time>,
    requested_at: Time,
}

impl Bucket {
    /// Nothing is saved up: an earlier keeper may have given it out.
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
        let wanted = f64::from(count).min(BURST);
        if self.tokens >= wanted {
            self.tokens -= wanted;
            return Grant::Now;
        }
        let next = now + Duration::from_secs_f64((wanted - self.tokens) / rate);
        let interval = Duration::from_secs_f64(1.0 / rate);
        Grant::Later(self.enqueue(node, next, interval, now).since(now))
    }

    /// When an asker may ask again: one after the other, as permits come. `next` is when there is
    /// one, `each` the time between two.
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

/// Targets that this node keeps, or kept.
#[derive(Debug, Default)]
pub struct PermitIssuer(BTreeMap<TargetId, Bucket>);

impl PermitIssuer {
    /// Takes a word of a target; returns whether it names a limit since then, or none any more.
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

    /// A node asks for a permit to send so many requests to a target at once.
    pub fn request(&mut self, id: &TargetId, node: &Name, count: u32, now: Time) -> Grant {
        let Some(bucket) = self.0.get_mut(id) else {
            return Grant::Unlimited;
        };
        bucket.requested_at = now;
        bucket.grant(node, count, now)
    }

    /// The last word of a target.
    pub fn observation(&self, id: &TargetId) -> Option<LimitObservation> {
        self.0.get(id).map(|bucket| bucket.limit)
    }

    /// Forgets targets that nobody asked for in a long time.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, bucket| now.since(bucket.requested_at) < RETENTION);
    }
}
