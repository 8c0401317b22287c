//! The group commit of one node's claims.

use std::collections::BTreeMap;
use std::time::Duration;

use model::claim::{ClaimAsk, ClaimEnd, Claims};
use model::key::{BUCKET_MS, Key};
use model::{Name, Time};

use super::{CLOCK_ERROR_MS, WINDOW_MS};

/// Least time between the starts of two writes of one object.
const SPACING: Duration = Duration::from_millis(50);
/// Wait after a failed call before the next one.
const PAUSE: Duration = Duration::from_millis(20);
/// Most keys that one write adds.
const BATCH_MAX: usize = 1000;
/// How long an idle object's content is kept.
const IDLE: Duration = Duration::from_secs(20);

/// What a read of a claim object found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBack {
    /// Never written, as far as the store says.
    Never,
    /// Deleted: its keys are too old.
    Deleted,
    /// Content at a version.
    Found {
        /// Version.
        version: u64,
        /// Content.
        claims: Claims,
    },
    /// The read failed.
    Failed,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteEnd {
    /// Accepted at this version.
    Done(u64),
    /// The version did not match.
    Conflict,
    /// Certainly not taken.
    NotSent,
    /// The answer was lost.
    Lost,
}

/// What the machine hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request wants a key; `ticket` comes back with the answer.
    Ask {
        /// The claim.
        ask: ClaimAsk,
        /// Comes back in [`Action::Answer`].
        ticket: u64,
        /// The node's wall clock, milliseconds.
        unix_ms: u64,
        /// When nobody waits any longer.
        until: Time,
    },
    /// A read ended.
    Read {
        /// Object.
        object: Name,
        /// What it found.
        found: ReadBack,
    },
    /// The floor was read; `None` if that failed.
    Floor(Option<u64>),
    /// A write ended.
    Wrote {
        /// Object.
        object: Name,
        /// How.
        end: WriteEnd,
    },
    /// Time passed.
    Tick,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read a claim object.
    Read(Name),
    /// Read the floor.
    ReadFloor,
    /// Write a claim object if its version is `expect` (0: never written).
    Write {
        /// Object.
        object: Name,
        /// Version expected.
        expect: u64,
        /// New content.
        claims: Claims,
    },
    /// Answer a claim.
    Answer {
        /// From [`Event::Ask`].
        ticket: u64,
        /// How it ended.
        end: ClaimEnd,
    },
}

#[derive(Debug)]
struct Waiting {
    ask: ClaimAsk,
    ticket: u64,
    until: Time,
    /// A write that carried it may have landed.
    doubt: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Busy {
    No,
    Reading,
    Writing,
}

#[derive(Debug)]
struct Shard {
    bucket: u64,
    known: Option<(u64, Claims)>,
    waiting: Vec<Waiting>,
    flying: Vec<Key>,
    busy: Busy,
    next: Time,
    used: Time,
}

/// The claims of one node.
#[derive(Debug, Default)]
pub struct Committer {
    shards: BTreeMap<Name, Shard>,
    floor: Option<u64>,
    floor_asked: bool,
}

impl Committer {
    /// Takes one event; returns what is to be done.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Ask { ask, ticket, unix_ms, until } => {
                self.ask(now, ask, ticket, unix_ms, until, &mut out);
            }
            Event::Read { object, found } => self.read(now, &object, found, &mut out),
            Event::Floor(floor) => {
                self.floor_asked = false;
                self.floor = floor.or(self.floor);
            }
            Event::Wrote { object, end } => self.wrote(now, &object, end, &mut out),
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// When [`Event::Tick`] is wanted next.
    pub fn next_tick(&self) -> Option<Time> {
        let shard = |s: &Shard| {
            let give_up = s.waiting.iter().map(|w| w.until).min();
            let write = (s.busy == Busy::No && !s.waiting.is_empty()).then_some(s.next);
            give_up.into_iter().chain(write).min()
        };
        self.shards.values().filter_map(shard).min()
    }

    fn ask(
        &mut self,
        now: Time,
        ask: ClaimAsk,
        ticket: u64,
        unix_ms: u64,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        let at = ask.key.unix_ms();
        if at + WINDOW_MS < unix_ms {
            return out.push(Action::Answer { ticket, end: ClaimEnd::Old });
        }
        if at > unix_ms + CLOCK_ERROR_MS {
            return out.push(Action::Answer { ticket, end: ClaimEnd::Future });
        }
        let shard = self.shards.entry(ask.key.object()).or_insert_with(|| Shard {
            bucket: ask.key.bucket(),
            known: None,
            waiting: Vec::new(),
            flying: Vec::new(),
            busy: Busy::No,
            next: now,
            used: now,
        });
        shard.used = now;
        shard.waiting.push(Waiting { ask, ticket, until, doubt: false });
    }

    fn read(&mut self, now: Time, object: &Name, found: ReadBack, out: &mut Vec<Action>) {
        let Some(s) = self.shards.get_mut(object) else {
            return;
        };
        s.busy = Busy::No;
        match found {
            ReadBack::Found { version, claims } => {
                s.known = Some((version, claims));
                s.settle(out);
            }
            ReadBack::Never => s.known = Some((0, Claims::default())),
            ReadBack::Deleted => s.answer_all(&ClaimEnd::Old, out),
            ReadBack::Failed => s.next = s.next.max(now + PAUSE),
        }
    }

    fn wrote(&mut self, now: Time, object: &Name, end: WriteEnd, out: &mut Vec<Action>) {
        let Some(s) = self.shards.get_mut(object) else {
            return;
        };
        s.busy = Busy::No;
        let flying = std::mem::take(&mut s.flying);
        match end {
            WriteEnd::Done(version) => {
                if let Some((v, claims)) = &mut s.known {
                    *v = version;
                    for w in s.waiting.iter().filter(|w| flying.contains(&w.ask.key)) {
                        claims.keys.entry(w.ask.key).or_insert_with(|| w.ask.request.clone());
                    }
                }
                s.settle(out);
            }
            // Somebody else wrote, or an earlier write of ours landed late: read.
            WriteEnd::Conflict => s.known = None,
            WriteEnd::NotSent => s.next = s.next.max(now + PAUSE),
            WriteEnd::Lost => {
                s.known = None;
                s.next = s.next.max(now + PAUSE);
                for w in s.waiting.iter_mut().filter(|w| flying.contains(&w.ask.key)) {
                    w.doubt = true;
                }
            }
        }
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        for s in self.shards.values_mut() {
            s.expire(now, out);
        }
        self.shards
            .retain(|_, s| !s.waiting.is_empty() || s.busy != Busy::No || now.since(s.used) < IDLE);
        let mut need_floor = false;
        for (object, s) in &mut self.shards {
            if s.busy != Busy::No || s.waiting.is_empty() || now < s.next {
                continue;
            }
            let Some((version, claims)) = &s.known else {
                s.busy = Busy::Reading;
                out.push(Action::Read(object.clone()));
                continue;
            };
            if *version == 0 {
                // Only a new object needs the floor: it must not bring a deleted one back.
                match self.floor {
                    None => {
                        need_floor = true;
                        s.next = now + PAUSE;
                        continue;
                    }
                    Some(f) if s.bucket < f => {
                        s.answer_all(&ClaimEnd::Old, out);
                        continue;
                    }
                    Some(_) => {}
                }
            }
            let mut claims = claims.clone();
            for w in s.waiting.iter().take(BATCH_MAX) {
                claims.keys.entry(w.ask.key).or_insert_with(|| w.ask.request.clone());
                s.flying.push(w.ask.key);
            }
            s.busy = Busy::Writing;
            s.next = now + SPACING;
            s.used = now;
            out.push(Action::Write { object: object.clone(), expect: *version, claims });
        }
        if need_floor && !self.floor_asked {
            self.floor_asked = true;
            out.push(Action::ReadFloor);
        }
    }

    /// Lowest bucket that is certainly still in use at this wall clock.
    pub fn oldest_bucket(unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(WINDOW_MS + 2 * CLOCK_ERROR_MS + super::MARGIN_MS) / BUCKET_MS
    }
}

impl Shard {
    /// Answers every waiting key that the known content holds.
    fn settle(&mut self, out: &mut Vec<Action>) {
        let Some((_, claims)) = &self.known else {
            return;
        };
        self.waiting.retain(|w| {
            let Some(holder) = claims.keys.get(&w.ask.key) else {
                return true;
            };
            let won = *holder == w.ask.request;
            let end = if won { ClaimEnd::Won } else { ClaimEnd::Lost(holder.clone()) };
            out.push(Action::Answer { ticket: w.ticket, end });
            false
        });
    }

    fn answer_all(&mut self, end: &ClaimEnd, out: &mut Vec<Action>) {
        for w in self.waiting.drain(..) {
            out.push(Action::Answer { ticket: w.ticket, end: end.clone() });
        }
    }

    /// Gives up those whose time is over.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let flying = &self.flying;
        self.waiting.retain(|w| {
            if now < w.until {
                return true;
            }
            let doubt = w.doubt || flying.contains(&w.ask.key);
            let end = if doubt { ClaimEnd::Doubt } else { ClaimEnd::Failed };
            out.push(Action::Answer { ticket: w.ticket, end });
            false
        });
    }
}
