//! What a keeper gives out: permits to send requests to targets that name limits.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::TargetId;
use model::{Name, Time};

use super::Word;

/// Part of a limit that is given out. Half as much again may be sent, and some requests: that
/// leaves room for a second keeper, one that others still or already ask, and for requests that
/// arrive later than their permits were given.
const DRAWN: f64 = 0.7;
/// Permits that may be saved up.
const SAVED: f64 = 2.0;
/// Least permits a second: a target that gets no request cannot say that its limit is over.
const LEAST: f64 = 0.1;
/// Longest time for which an asker is sent away beyond that until there is a permit: whoever
/// asked before it may have no request by then.
const QUEUED: Duration = Duration::from_secs(2);
/// Time for which a target is remembered that nobody asks for.
const KEPT: Duration = Duration::from_secs(60);

/// Pieces that a call may have at a maker that names a limit, where others name none: it may
/// count pieces, and saved permits cover so many.
pub const LIMITED_CALL: u32 = SAVED as u32;

/// Permits a second that are given out for a limit.
pub fn pace_of(per_s: f64) -> f64 {
    (per_s * DRAWN).max(LEAST)
}

/// The answer to whoever asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It may send now.
    Now,
    /// It may ask again after this time.
    Later(Duration),
    /// The target names no limit any more.
    Free,
}

#[derive(Debug)]
struct Account {
    word: Word,
    saved: f64,
    filled: Time,
    /// When nodes that were sent away may ask again. One that has several requests waits once.
    queue: BTreeMap<Name, Time>,
    asked: Time,
}

impl Account {
    /// Nothing is saved up: an earlier keeper may have given it out.
    fn new(word: Word, now: Time) -> Self {
        Account { word, saved: 0.0, filled: now, queue: BTreeMap::new(), asked: now }
    }

    fn grant(&mut self, asker: &Name, count: u32, now: Time) -> Grant {
        let Some(per_s) = self.word.per_s else {
            return Grant::Free;
        };
        let pace = pace_of(per_s);
        let new = now.since(self.filled).as_secs_f64() * pace;
        self.saved = (self.saved + new).min(SAVED);
        self.filled = now;
        let wanted = f64::from(count).min(SAVED);
        if self.saved >= wanted {
            self.saved -= wanted;
            return Grant::Now;
        }
        let next = now + Duration::from_secs_f64((wanted - self.saved) / pace);
        let each = Duration::from_secs_f64(1.0 / pace);
        Grant::Later(self.queue_up(asker, next, each, now).since(now))
    }

    /// When an asker may ask again: one after the other, as permits come. `next` is when there is
    /// one, `each` the time between two.
    fn queue_up(&mut self, asker: &Name, next: Time, each: Duration, now: Time) -> Time {
        self.queue.retain(|_, at| *at > now);
        if let Some(at) = self.queue.get(asker) {
            return *at;
        }
        let last = self.queue.values().max();
        let behind = last.map_or(next, |last| *last + each);
        let at = behind.min(next + QUEUED).max(next);
        self.queue.insert(asker.clone(), at);
        at
    }
}

/// Targets that this node keeps, or kept.
#[derive(Debug, Default)]
pub struct Book(BTreeMap<TargetId, Account>);

impl Book {
    /// Takes a word of a target; returns whether it names a limit since then, or none any more.
    pub fn learn(&mut self, id: &TargetId, word: Word, now: Time) -> bool {
        let Some(account) = self.0.get_mut(id) else {
            if word.per_s.is_some() {
                self.0.insert(id.clone(), Account::new(word, now));
            }
            return word.per_s.is_some();
        };
        let was_limited = account.word.per_s.is_some();
        account.word = account.word.and(word);
        account.asked = now;
        was_limited != account.word.per_s.is_some()
    }

    /// A node asks for a permit to send so many requests to a target at once.
    pub fn ask(&mut self, id: &TargetId, asker: &Name, count: u32, now: Time) -> Grant {
        let Some(account) = self.0.get_mut(id) else {
            return Grant::Free;
        };
        account.asked = now;
        account.grant(asker, count, now)
    }

    /// The last word of a target.
    pub fn word(&self, id: &TargetId) -> Option<Word> {
        self.0.get(id).map(|account| account.word)
    }

    /// Forgets targets that nobody asked for in a long time.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, account| now.since(account.asked) < KEPT);
    }
}
