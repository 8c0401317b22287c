//! What is known of one request.

use std::time::Duration;

use model::forward::{EndNews, Fingerprint, HeldRecord, SuspectNews, TargetId};
use model::{Name, Time};

use super::HELD_FROM;
use super::news::Tellings;

/// Times for which a request is held before it is let through the first time and the second: what
/// ended the targets may have been mended, or may not have been the request. After these it is
/// held until an operator releases it or it has not come for an hour.
const HOLDS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];
/// Ends remembered of one request.
const ENDS_MOST: usize = 16;
/// Time after which others are told again that a held request still comes.
const CAME_TOLD: Duration = Duration::from_secs(10 * 60);

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Targets that ended under it.
    pub ends: usize,
    /// Time after which it is let through once more; `None` if only an operator releases it.
    pub left: Option<Duration>,
}

#[derive(Debug, Clone)]
struct End {
    target: TargetId,
    at: Time,
    cleared: bool,
}

/// One request.
#[derive(Debug)]
pub(super) struct Case {
    service: Name,
    ends: Vec<End>,
    tries: u32,
    tried: Time,
    came: Time,
    came_told: Time,
    /// The store has it.
    pub(super) is_stored: bool,
    pub(super) tellings: Tellings,
}

impl Case {
    pub(super) fn new(service: Name, now: Time) -> Self {
        Case {
            service,
            ends: Vec::new(),
            tries: 0,
            tried: Time::ZERO,
            came: now,
            came_told: now,
            is_stored: false,
            tellings: Tellings::default(),
        }
    }

    /// Targets whose ends speak against it.
    pub(super) fn standing(&self) -> impl Iterator<Item = &TargetId> {
        self.ends.iter().filter(|e| !e.cleared).map(|e| &e.target)
    }

    /// Whether it is held, or was until it may be let through once more.
    pub(super) fn is_held(&self) -> bool {
        self.standing().count() >= HELD_FROM
    }

    /// Whether every node is to know: it is held, or was and some may hold it still.
    pub(super) fn concerns_all(&self) -> bool {
        self.ends.len() >= HELD_FROM
    }

    pub(super) fn hold(&self, now: Time) -> Option<Hold> {
        let ends = self.standing().count();
        if ends < HELD_FROM {
            return None;
        }
        let Some(time) = HOLDS.get(self.tries as usize) else {
            return Some(Hold { ends, left: None });
        };
        let last = self.ends.iter().filter(|e| !e.cleared).map(|e| e.at).max();
        let since = last.unwrap_or_default().max(self.tried);
        let left = time.saturating_sub(now.since(since));
        (!left.is_zero()).then_some(Hold { ends, left: Some(left) })
    }

    /// When something was last known of it.
    pub(super) fn last(&self) -> Time {
        let ends = self.ends.iter().map(|e| e.at).max().unwrap_or_default();
        ends.max(self.came)
    }

    pub(super) fn comes(&mut self, now: Time) {
        self.came = now;
        if now.since(self.came_told) >= CAME_TOLD {
            self.came_told = now;
            self.tellings.changed();
        }
    }

    /// It is sent; if it had been held the others hear at once that it is let through. Returns
    /// whether it had been.
    pub(super) fn sends(&mut self, now: Time) -> bool {
        self.came = now;
        let was_held = self.is_held();
        if was_held {
            self.tries += 1;
            self.tried = now;
            self.tellings.changed();
        }
        was_held
    }

    /// A target ended under it; returns whether that is new.
    pub(super) fn ended(&mut self, target: &TargetId, now: Time) -> bool {
        let is_new = self.add(target, now, false);
        if is_new {
            self.tellings.changed();
        }
        is_new
    }

    fn add(&mut self, target: &TargetId, at: Time, cleared: bool) -> bool {
        if let Some(end) = self.ends.iter_mut().find(|e| e.target == *target) {
            let is_new = cleared && !end.cleared;
            end.cleared |= cleared;
            return is_new;
        }
        if self.ends.len() >= ENDS_MOST {
            let Some(old) = self.ends.iter().position(|e| e.cleared) else {
                return false;
            };
            self.ends.remove(old);
        }
        self.ends.push(End { target: target.clone(), at, cleared });
        true
    }

    /// It is not to blame for the ends of these targets.
    pub(super) fn clear(&mut self, targets: &[TargetId]) {
        let mut has_changed = false;
        for end in self.ends.iter_mut().filter(|e| !e.cleared && targets.contains(&e.target)) {
            end.cleared = true;
            has_changed = true;
        }
        if has_changed {
            self.is_stored &= self.is_held();
            self.tellings.changed();
        }
    }

    /// It is not to blame for any end so far.
    pub(super) fn clear_all(&mut self) {
        self.tries = 0;
        let all: Vec<TargetId> = self.standing().cloned().collect();
        self.clear(&all);
    }

    /// As the store is to keep it, held since so many milliseconds of Unix time.
    pub(super) fn record(&self, request: Fingerprint, since: u64) -> HeldRecord {
        let targets = self.standing().cloned().collect();
        HeldRecord { request, service: self.service.clone(), targets, since }
    }

    /// Takes what another node knows of it; returns whether anything was new.
    pub(super) fn hear(&mut self, news: &SuspectNews, now: Time) -> bool {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        let mut is_new = false;
        for end in &news.ends {
            is_new |= self.add(&end.target, ago(end.age_ms), end.cleared);
        }
        if news.tries > self.tries {
            self.tries = news.tries;
            self.tried = ago(news.tried_ms);
            is_new = true;
        }
        self.came = self.came.max(ago(news.came_ms));
        if is_new {
            self.tellings.heard(now);
        }
        is_new
    }

    /// What this node knows of it.
    pub(super) fn news(&self, request: Fingerprint, now: Time) -> SuspectNews {
        let age = |at: Time| now.since(at).as_millis() as u64;
        let end =
            |e: &End| EndNews { target: e.target.clone(), age_ms: age(e.at), cleared: e.cleared };
        SuspectNews {
            request,
            service: self.service.clone(),
            ends: self.ends.iter().map(end).collect(),
            tries: self.tries,
            tried_ms: age(self.tried),
            came_ms: age(self.came),
        }
    }

    /// Whether this node knows more of it than another one that told this.
    pub(super) fn knows_more(&self, news: &SuspectNews) -> bool {
        let lacks = |e: &End| {
            let known = news.ends.iter().find(|n| n.target == e.target);
            known.is_none_or(|n| e.cleared && !n.cleared)
        };
        self.ends.iter().any(lacks) || self.tries > news.tries
    }
}
