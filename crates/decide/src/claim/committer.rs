//! The group commit of one node's claims.

use std::collections::BTreeMap;
use std::time::Duration;

use model::claim::{ClaimAsk, ClaimEnd, Claims};
use model::key::{BUCKET_MS, Key};
use model::{Name, Time};

use super::{CLAIM_WINDOW_MS, MAX_CLOCK_ERROR_MS};

/// Least time between the starts of two writes of one object.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Wait after a failed call before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Most keys that one write adds.
const MAX_BATCH: usize = 1000;
/// How long an idle object's content is kept.
const IDLE_TTL: Duration = Duration::from_secs(20);

/// What a read of a claim object found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Never written, as far as the store says.
    NeverWritten,
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
pub enum WriteOutcome {
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
    Claim {
        /// The claim.
        ask: ClaimAsk,
        /// Comes back in [`Action::Answer`].
        ticket: u64,
        /// The node's wall clock, milliseconds.
        unix_ms: u64,
        /// When nobody waits any longer.
        expires: Time,
    },
    /// A read ended.
    Read {
        /// Object.
        object: Name,
        /// What it found.
        found: ReadOutcome,
    },
    /// The floor was read; `None` if that failed.
    Floor(Option<u64>),
    /// A write ended.
    Written {
        /// Object.
        object: Name,
        /// How.
        end: WriteOutcome,
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
        /// From [`Event::Claim`].
        ticket: u64,
        /// How it ended.
        end: ClaimEnd,
    },
}

#[derive(Debug)]
struct PendingClaim {
    ask: ClaimAsk,
    ticket: u64,
    expires: Time,
    /// A write that carried it may have landed.
    maybe_written: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Io {
    Idle,
    Reading,
    Writing,
}

#[derive(Debug)]
struct Shard {
    bucket: u64,
    cached: Option<(u64, Claims)>,
    pending: Vec<PendingClaim>,
    in_flight: Vec<Key>,
    io: Io,
    next_call: Time,
    last_used: Time,
}

/// The claims of one node.
#[derive(Debug, Default)]
pub struct Committer {
    shards: BTreeMap<Name, Shard>,
    floor: Option<u64>,
    floor_requested: bool,
}

impl Committer {
    /// Takes one event; returns what is to be done.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Claim { ask, ticket, unix_ms, expires } => {
                self.enqueue(now, ask, ticket, unix_ms, expires, &mut out);
            }
            Event::Read { object, found } => self.handle_read(now, &object, found, &mut out),
            Event::Floor(floor) => {
                self.floor_requested = false;
                self.floor = floor.or(self.floor);
            }
            Event::Written { object, end } => self.handle_write(now, &object, end, &mut out),
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// When [`Event::Tick`] is wanted next.
    pub fn next_tick(&self) -> Option<Time> {
        let shard = |s: &Shard| {
            let give_up = s.pending.iter().map(|w| w.expires).min();
            let write = (s.io == Io::Idle && !s.pending.is_empty()).then_some(s.next_call);
            give_up.into_iter().chain(write).min()
        };
        self.shards.values().filter_map(shard).min()
    }

    fn enqueue(
        &mut self,
        now: Time,
        ask: ClaimAsk,
        ticket: u64,
        unix_ms: u64,
        expires: Time,
        out: &mut Vec<Action>,
    ) {
        let at = ask.key.unix_ms();
        if at + CLAIM_WINDOW_MS < unix_ms {
            return out.push(Action::Answer { ticket, end: ClaimEnd::Old });
        }
        if at > unix_ms + MAX_CLOCK_ERROR_MS {
            return out.push(Action::Answer { ticket, end: ClaimEnd::Future });
        }
        let shard = self.shards.entry(ask.key.object()).or_insert_with(|| Shard {
            bucket: ask.key.bucket(),
            cached: None,
            pending: Vec::new(),
            in_flight: Vec::new(),
            io: Io::Idle,
            next_call: now,
            last_used: now,
        });
        shard.last_used = now;
        shard.pending.push(PendingClaim { ask, ticket, expires, maybe_written: false });
    }

    fn handle_read(&mut self, now: Time, object: &Name, found: ReadOutcome, out: &mut Vec<Action>) {
        let Some(s) = self.shards.get_mut(object) else {
            return;
        };
        s.io = Io::Idle;
        match found {
            ReadOutcome::Found { version, claims } => {
                s.cached = Some((version, claims));
                s.answer_cached(out);
            }
            ReadOutcome::NeverWritten => s.cached = Some((0, Claims::default())),
            ReadOutcome::Deleted => s.answer_all(&ClaimEnd::Old, out),
            ReadOutcome::Failed => s.next_call = s.next_call.max(now + RETRY_DELAY),
        }
    }

    fn handle_write(&mut self, now: Time, object: &Name, end: WriteOutcome, out: &mut Vec<Action>) {
        let Some(s) = self.shards.get_mut(object) else {
            return;
        };
        s.io = Io::Idle;
        let in_flight = std::mem::take(&mut s.in_flight);
        match end {
            WriteOutcome::Done(version) => {
                if let Some((v, claims)) = &mut s.cached {
                    *v = version;
                    for w in s.pending.iter().filter(|w| in_flight.contains(&w.ask.key)) {
                        claims.keys.entry(w.ask.key).or_insert_with(|| w.ask.request.clone());
                    }
                }
                s.answer_cached(out);
            }
            // Somebody else wrote, or an earlier write of ours landed late: read.
            WriteOutcome::Conflict => s.cached = None,
            WriteOutcome::NotSent => s.next_call = s.next_call.max(now + RETRY_DELAY),
            WriteOutcome::Lost => {
                s.cached = None;
                s.next_call = s.next_call.max(now + RETRY_DELAY);
                for w in s.pending.iter_mut().filter(|w| in_flight.contains(&w.ask.key)) {
                    w.maybe_written = true;
                }
            }
        }
    }

    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        for s in self.shards.values_mut() {
            s.expire(now, out);
        }
        self.shards.retain(|_, s| {
            !s.pending.is_empty() || s.io != Io::Idle || now.since(s.last_used) < IDLE_TTL
        });
        let mut need_floor = false;
        for (object, s) in &mut self.shards {
            if s.io != Io::Idle || s.pending.is_empty() || now < s.next_call {
                continue;
            }
            let Some((version, claims)) = &s.cached else {
                s.io = Io::Reading;
                out.push(Action::Read(object.clone()));
                continue;
            };
            if *version == 0 {
                // Only a new object needs the floor: it must not bring a deleted one back.
                match self.floor {
                    None => {
                        need_floor = true;
                        s.next_call = now + RETRY_DELAY;
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
            for w in s.pending.iter().take(MAX_BATCH) {
                claims.keys.entry(w.ask.key).or_insert_with(|| w.ask.request.clone());
                s.in_flight.push(w.ask.key);
            }
            s.io = Io::Writing;
            s.next_call = now + MIN_WRITE_INTERVAL;
            s.last_used = now;
            out.push(Action::Write { object: object.clone(), expect: *version, claims });
        }
        if need_floor && !self.floor_requested {
            self.floor_requested = true;
            out.push(Action::ReadFloor);
        }
    }

    /// Lowest bucket that is certainly still in use at this wall clock.
    pub fn oldest_bucket(unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(CLAIM_WINDOW_MS + 2 * MAX_CLOCK_ERROR_MS + super::DELETE_MARGIN_MS)
            / BUCKET_MS
    }
}

impl Shard {
    /// Answers every waiting key that the known content holds.
    fn answer_cached(&mut self, out: &mut Vec<Action>) {
        let Some((_, claims)) = &self.cached else {
            return;
        };
        self.pending.retain(|w| {
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
        for w in self.pending.drain(..) {
            out.push(Action::Answer { ticket: w.ticket, end: end.clone() });
        }
    }

    /// Gives up those whose time is over.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let in_flight = &self.in_flight;
        self.pending.retain(|w| {
            if now < w.expires {
                return true;
            }
            let maybe_written = w.maybe_written || in_flight.contains(&w.ask.key);
            let end = if maybe_written { ClaimEnd::Doubt } else { ClaimEnd::Failed };
            out.push(Action::Answer { ticket: w.ticket, end });
            false
        });
    }
}
