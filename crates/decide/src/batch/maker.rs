//! One maker: its calls, its failures and its room for results.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::forward::StagePool;
use model::{Name, Time};

use super::types::{CallEnd, MakerInfo};

/// First time for which a failing maker is left out.
const EJECT_FIRST: Duration = Duration::from_millis(300);
/// Longest time for which a failing maker is left out.
const EJECT_LONGEST: Duration = Duration::from_millis(2400);
/// Time for which a maker that was full is left out.
const FULL: Duration = Duration::from_millis(60);
/// Time for which a maker's want of room is held for true.
const NO_ROOM: Duration = Duration::from_millis(120);
/// Part of a maker's room that is used; sizes are known only roughly.
const ROOM_USED: f64 = 0.9;

/// What each maker of a pool bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bounds {
    slots: u32,
    /// Bytes of results.
    room: u64,
    /// Time for which a result rests at most.
    keep: Duration,
}

impl From<&StagePool> for Bounds {
    fn from(pool: &StagePool) -> Self {
        Bounds {
            slots: pool.slots.max(1),
            room: (pool.room_mb * 1e6 * ROOM_USED) as u64,
            keep: Duration::from_millis(pool.keep_ms),
        }
    }
}

/// Where a maker is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) domain: Name,
    /// Region of that, if it is known.
    pub(super) region: Option<Name>,
}

/// Whether a maker that failed has been asked for a sign of life since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Breaker {
    Closed,
    /// It failed; it is to be asked for a sign of life once its time is over.
    Open,
    /// It is being asked.
    HalfOpen,
}

/// How a maker stands at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Standing {
    /// It may get calls, now or once one of its own ends.
    pub(super) works: bool,
    /// Bytes of results that it takes with a call now; `None` if it takes no call.
    pub(super) room: Option<u64>,
    /// When it takes calls again, if it is known to answer.
    pub(super) back: Option<Time>,
    /// When it is to be asked for a sign of life.
    pub(super) probe: Option<Time>,
    /// When this changes without an event.
    pub(super) until: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Maker {
    pub(super) place: Place,
    /// Most pieces of its call.
    pub(super) most: Option<usize>,
    /// Part of all pieces that makers of its version may get, if that is on trial.
    pub(super) share: Option<f64>,
    pub(super) present: bool,
    pub(super) calls: u32,
    gap: Option<Duration>,
    last_call: Option<Time>,
    ejected: Time,
    strikes: u32,
    /// It answered last, late or that it is full: left out, it is asked again soon.
    answers: bool,
    breaker: Breaker,
    /// Size of a result that had no room, and until when that is held for true.
    capped: Option<(u64, Time)>,
    in_flight: u64,
    /// Bytes of each result that rests here.
    kept: BTreeMap<String, u64>,
    kept_bytes: u64,
    /// Results in the order in which they were made; freed ones stay until they would run out.
    made: VecDeque<(Time, String)>,
}

impl Maker {
    pub(super) fn new(info: MakerInfo) -> Self {
        let MakerInfo { id: _, domain, region, gap, most, share } = info;
        Maker {
            place: Place { domain, region },
            most,
            share,
            present: true,
            calls: 0,
            gap,
            last_call: None,
            ejected: Time::ZERO,
            strikes: 0,
            answers: false,
            breaker: Breaker::Closed,
            capped: None,
            in_flight: 0,
            kept: BTreeMap::new(),
            kept_bytes: 0,
            made: VecDeque::new(),
        }
    }

    /// Whether it is there just as discovery tells.
    pub(super) fn is_as(&self, info: &MakerInfo) -> bool {
        self.present
            && self.place.domain == info.domain
            && self.place.region == info.region
            && self.gap == info.gap
            && self.most == info.most
            && self.share == info.share
    }

    /// Takes what discovery tells.
    pub(super) fn set(&mut self, info: MakerInfo) {
        let MakerInfo { id: _, domain, region, gap, most, share } = info;
        self.place = Place { domain, region };
        self.present = true;
        self.gap = gap;
        self.most = most;
        self.share = share;
    }

    /// Whether this coordinator is not to start calls there, since it is cold.
    fn is_left_alone(&self) -> bool {
        self.gap == Some(Duration::MAX)
    }

    fn works(&self, now: Time) -> bool {
        let is_left_out = self.ejected > now || self.breaker != Breaker::Closed;
        self.present && !is_left_out && !self.is_left_alone()
    }

    /// Until when it is held back, since it had a call too short a time ago.
    fn held_until(&self) -> Option<Time> {
        let gap = self.gap.filter(|gap| *gap < Duration::MAX)?;
        Some(self.last_call? + gap)
    }

    /// Forgets results that have run out by now.
    pub(super) fn expire(&mut self, bounds: Bounds, now: Time) {
        while let Some((_, text)) = self.made.pop_front_if(|(at, _)| now.since(*at) >= bounds.keep)
        {
            self.freed(&text);
        }
    }

    /// How it stands now.
    pub(super) fn standing(&self, bounds: Bounds, now: Time) -> Standing {
        let works = self.works(now);
        let is_held = self.held_until().is_some_and(|until| now < until);
        let takes = works && self.calls < bounds.slots && !is_held;
        let is_serving = self.present && self.share.is_none();
        let is_back_soon = is_serving && self.answers && !self.is_left_alone();
        let is_open = self.present && self.breaker == Breaker::Open;
        let changes = [
            Some(self.ejected),
            self.held_until(),
            self.capped.map(|(_, until)| until),
            self.made.front().map(|(at, _)| *at + bounds.keep),
        ];
        Standing {
            works,
            room: takes.then(|| self.room(bounds, now)),
            back: is_back_soon.then_some(self.ejected),
            probe: is_open.then_some(self.ejected),
            until: changes.into_iter().flatten().filter(|at| *at > now).min(),
        }
    }

    fn room(&self, bounds: Bounds, now: Time) -> u64 {
        let reckoned = bounds.room.saturating_sub(self.kept_bytes + self.in_flight);
        let seen = self.capped.filter(|(_, until)| now < *until);
        seen.map_or(reckoned, |(size, _)| reckoned.min(size.saturating_sub(1)))
    }

    fn eject(&mut self, now: Time) {
        let time = EJECT_FIRST * 2u32.pow(self.strikes.min(3));
        self.ejected = now + time.min(EJECT_LONGEST);
        self.strikes += 1;
        self.breaker = Breaker::Open;
    }

    /// A call starts, whose results will take this many bytes.
    pub(super) fn started(&mut self, bytes: u64, now: Time) {
        self.calls += 1;
        self.last_call = Some(now);
        self.in_flight += bytes;
    }

    /// A call ended.
    pub(super) fn ended(&mut self, bytes: u64, end: &CallEnd, was_slow: bool, now: Time) {
        self.calls = self.calls.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(bytes);
        self.answers = !matches!(end, CallEnd::Failed);
        match end {
            CallEnd::Answered(_) if was_slow => self.eject(now),
            CallEnd::Answered(_) => self.strikes = 0,
            CallEnd::Full => self.ejected = now + FULL,
            CallEnd::Failed => self.eject(now),
        }
    }

    /// It is being asked for a sign of life.
    pub(super) fn asked(&mut self) {
        self.breaker = Breaker::HalfOpen;
    }

    /// It gave a sign of life, or none.
    pub(super) fn probed(&mut self, alive: bool, now: Time) {
        if self.breaker != Breaker::HalfOpen {
            return;
        }
        if alive {
            self.breaker = Breaker::Closed;
        } else {
            self.answers = false;
            self.eject(now);
        }
    }

    /// It had less room than was reckoned: results of this size or more are not made there for a
    /// while, smaller ones are.
    pub(super) fn had_no_room(&mut self, size: u64, now: Time) {
        self.capped = Some((size, now + NO_ROOM));
    }

    /// A result rests here from now on.
    pub(super) fn keep(&mut self, text: &str, bytes: u64, now: Time) {
        self.freed(text);
        self.kept.insert(text.to_string(), bytes);
        self.kept_bytes += bytes;
        self.made.push_back((now, text.to_string()));
    }

    /// A result no longer takes room.
    pub(super) fn freed(&mut self, text: &str) {
        if let Some(bytes) = self.kept.remove(text) {
            self.kept_bytes -= bytes;
        }
    }
}
