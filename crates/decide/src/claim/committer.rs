//! Group commit of the claims of one node.

use std::collections::BTreeMap;
use std::time::Duration;

use model::claim::{ClaimOutcome, ClaimRequest, Claims};
use model::key::{BUCKET_MS, Key};
use model::{Name, Time};

use super::{CLAIM_WINDOW_MS, MAX_CLOCK_ERROR_MS};

/// Minimum time between the starts of two writes of one object.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit on the keys added by one write.
const MAX_BATCH: usize = 1000;
/// Time for which the cached content of an idle object is kept.
const IDLE_TTL: Duration = Duration::from_secs(20);

/// Result of the read of a claim object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Never written, according to a possibly stale read.
    NeverWritten,
    /// Deleted, so its keys are too old.
    Deleted,
    /// Content and its version.
    Found {
        /// Version.
        version: u64,
        /// Content.
        claims: Claims,
    },
    /// The read failed.
    Failed,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Accepted at this version.
    Done(u64),
    /// Rejected: the expected version did not match.
    Conflict,
    /// Certainly not applied.
    NotSent,
    /// The response was lost; the write may have been applied.
    Lost,
}

/// Input to the [`Committer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request claims a key.
    Claim {
        /// Key and request.
        ask: ClaimRequest,
        /// Correlation id, returned in [`Action::Answer`].
        ticket: u64,
        /// The node's wall clock, in milliseconds.
        unix_ms: u64,
        /// Time after which the claim is abandoned.
        expires: Time,
    },
    /// Result of [`Action::Read`].
    Read {
        /// Object.
        object: Name,
        /// Result.
        found: ReadOutcome,
    },
    /// Result of [`Action::ReadFloor`]; `None` if the read failed.
    Floor(Option<u64>),
    /// Result of [`Action::Write`].
    Written {
        /// Object.
        object: Name,
        /// Result.
        end: WriteOutcome,
    },
    /// A timer fired.
    Tick,
}

/// Effect to be carried out by the caller of the [`Committer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read a claim object.
    Read(Name),
    /// Read the floor.
    ReadFloor,
    /// Write a claim object if its stored version equals `expect` (0: never written).
    Write {
        /// Object.
        object: Name,
        /// Expected version.
        expect: u64,
        /// New content.
        claims: Claims,
    },
    /// Answer a claim.
    Answer {
        /// Correlation id from [`Event::Claim`].
        ticket: u64,
        /// Result of the claim.
        end: ClaimOutcome,
    },
}

#[derive(Debug)]
struct PendingClaim {
    ask: ClaimRequest,
    ticket: u64,
    expires: Time,
    /// A write that contained the key may have been applied.
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

/// Pending claims of one node, grouped by claim object.
#[derive(Debug, Default)]
pub struct Committer {
    shards: BTreeMap<Name, Shard>,
    floor: Option<u64>,
    floor_requested: bool,
}

impl Committer {
    /// Handles one event and returns the resulting actions.
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

    /// Time at which [`Event::Tick`] is due next, if any.
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
        ask: ClaimRequest,
        ticket: u64,
        unix_ms: u64,
        expires: Time,
        out: &mut Vec<Action>,
    ) {
        let at = ask.key.unix_ms();
        if at + CLAIM_WINDOW_MS < unix_ms {
            return out.push(Action::Answer { ticket, end: ClaimOutcome::Old });
        }
        if at > unix_ms + MAX_CLOCK_ERROR_MS {
            return out.push(Action::Answer { ticket, end: ClaimOutcome::Future });
        }
        let shard = self.shards.entry(ask.key.claim_object()).or_insert_with(|| Shard {
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
            ReadOutcome::Deleted => s.answer_all(&ClaimOutcome::Old, out),
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
            // Another node wrote, or an earlier write of this node was applied late: read again.
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
                // Only creation checks the floor, so that a deleted object is not recreated.
                match self.floor {
                    None => {
                        need_floor = true;
                        s.next_call = now + RETRY_DELAY;
                        continue;
                    }
                    Some(f) if s.bucket < f => {
                        s.answer_all(&ClaimOutcome::Old, out);
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

    /// Lowest bucket that may still be in use at this wall clock; lower ones can be swept.
    pub fn oldest_bucket(unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(CLAIM_WINDOW_MS + 2 * MAX_CLOCK_ERROR_MS + super::DELETE_MARGIN_MS)
            / BUCKET_MS
    }
}

impl Shard {
    /// Answers each pending claim whose key is in the cached content.
    fn answer_cached(&mut self, out: &mut Vec<Action>) {
        let Some((_, claims)) = &self.cached else {
            return;
        };
        self.pending.retain(|w| {
            let Some(holder) = claims.keys.get(&w.ask.key) else {
                return true;
            };
            let won = *holder == w.ask.request;
            let end = if won { ClaimOutcome::Won } else { ClaimOutcome::Lost(holder.clone()) };
            out.push(Action::Answer { ticket: w.ticket, end });
            false
        });
    }

    fn answer_all(&mut self, end: &ClaimOutcome, out: &mut Vec<Action>) {
        for w in self.pending.drain(..) {
            out.push(Action::Answer { ticket: w.ticket, end: end.clone() });
        }
    }

    /// Answers expired claims: in doubt if a write that contained the key may have been applied.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let in_flight = &self.in_flight;
        self.pending.retain(|w| {
            if now < w.expires {
                return true;
            }
            let maybe_written = w.maybe_written || in_flight.contains(&w.ask.key);
            let end = if maybe_written { ClaimOutcome::Doubt } else { ClaimOutcome::Failed };
            out.push(Action::Answer { ticket: w.ticket, end });
            false
        });
    }
}
