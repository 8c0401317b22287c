//! Makers: their calls, their failures and their room for results.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Allowed, Handle, StagePool, TargetId};
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

#[derive(Debug)]
struct Kept {
    bytes: u64,
    made: Time,
}

/// Whether a maker that failed has been asked for a sign of life since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    None,
    Unasked,
    Asked,
}

#[derive(Debug)]
struct Maker {
    domain: Name,
    region: Option<Name>,
    calls: u32,
    present: bool,
    gap: Option<Duration>,
    most: Option<usize>,
    share: Option<f64>,
    last_call: Time,
    ejected: Time,
    strikes: u32,
    /// It answered last, late or that it is full: left out, it is asked again soon.
    answers: bool,
    doubt: Doubt,
    /// Size of a result that had no room, and until when that is held for true.
    tight: Option<(u64, Time)>,
    in_flight: u64,
    kept: BTreeMap<String, Kept>,
}

impl Maker {
    fn new(domain: Name) -> Self {
        Maker {
            domain,
            region: None,
            calls: 0,
            present: true,
            gap: None,
            most: None,
            share: None,
            last_call: Time::ZERO,
            ejected: Time::ZERO,
            strikes: 0,
            answers: false,
            doubt: Doubt::None,
            tight: None,
            in_flight: 0,
            kept: BTreeMap::new(),
        }
    }

    fn works(&self, now: Time) -> bool {
        let is_left_out = self.ejected > now || self.doubt != Doubt::None;
        self.present && !is_left_out && !self.is_left_alone()
    }

    /// Whether this coordinator is not to start calls there, since it is cold.
    fn is_left_alone(&self) -> bool {
        self.gap == Some(Duration::MAX)
    }

    /// Whether it had a call too short a time ago.
    fn is_held_back(&self, now: Time) -> bool {
        let had_one = self.last_call > Time::ZERO;
        had_one && self.gap.is_some_and(|gap| now.since(self.last_call) < gap)
    }

    fn eject(&mut self, now: Time) {
        let time = EJECT_FIRST * 2u32.pow(self.strikes.min(3));
        self.ejected = now + time.min(EJECT_LONGEST);
        self.strikes += 1;
        self.doubt = Doubt::Unasked;
    }

    fn kept_bytes(&self) -> u64 {
        self.kept.values().map(|k| k.bytes).sum()
    }
}

/// Where a maker is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) domain: Name,
    /// Region of that, if it is known.
    pub(super) region: Option<Name>,
}

/// A maker that can take a call now.
#[derive(Debug, Clone)]
pub(super) struct Free {
    pub(super) id: TargetId,
    pub(super) place: Place,
    /// Bytes of results for which there is room.
    pub(super) room: u64,
    /// Most pieces of its call.
    pub(super) most: Option<usize>,
    /// Part of all pieces that makers of its version may get, if that is on trial.
    pub(super) share: Option<f64>,
}

/// All makers that the coordinator was told of.
#[derive(Debug, Default)]
pub(super) struct Makers(BTreeMap<TargetId, Maker>);

impl Makers {
    /// Takes the makers as they are; those gone stay while they have calls.
    pub(super) fn set(&mut self, makers: Vec<MakerInfo>) {
        for m in self.0.values_mut() {
            m.present = false;
        }
        for MakerInfo { id, domain, region, gap, most, share } in makers {
            let maker = self.0.entry(id).or_insert_with(|| Maker::new(domain));
            maker.present = true;
            maker.region = region;
            maker.gap = gap;
            maker.most = most;
            maker.share = share;
        }
        self.forget_idle();
    }

    fn forget_idle(&mut self) {
        self.0.retain(|_, m| m.present || m.calls > 0);
    }

    /// Count of makers that work, but for those of a version on trial, which get few calls.
    pub(super) fn working(&self, now: Time) -> usize {
        self.0.values().filter(|m| m.works(now) && m.share.is_none()).count()
    }

    /// Count of makers that work, else of those that answered late or were full and are asked
    /// again soon, and the time until the first of them takes a call. `None` if none is known to
    /// answer.
    pub(super) fn working_or_back(&self, now: Time) -> Option<(usize, Duration)> {
        let working = self.working(now);
        if working > 0 {
            return Some((working, Duration::ZERO));
        }
        let is_back_soon =
            |m: &&Maker| m.present && m.share.is_none() && m.answers && !m.is_left_alone();
        let back = self.0.values().filter(is_back_soon).map(|m| m.ejected.since(now));
        Some((back.clone().count(), back.min()?))
    }

    /// Whether a version is on trial.
    pub(super) fn has_trial(&self) -> bool {
        self.0.values().any(|m| m.present && m.share.is_some())
    }

    /// Where working makers are, each place once if its makers stand side by side.
    pub(super) fn working_places(&self, now: Time) -> Vec<Place> {
        let working = self.0.values().filter(|m| m.works(now));
        let place = |m: &Maker| Place { domain: m.domain.clone(), region: m.region.clone() };
        let mut places: Vec<Place> = working.map(place).collect();
        places.dedup();
        places
    }

    /// Whether a maker is there in a region that is allowed, one that is busy or has just
    /// failed included: those come back.
    pub(super) fn has_any_in(&self, allowed: &Allowed) -> bool {
        let is_inside = |m: &Maker| m.present && allowed.permits(m.region.as_deref());
        self.0.values().any(is_inside)
    }

    /// Makers that can take a call now, those with most room first; before them those of a
    /// version on trial, which get few pieces and are to be judged by them soon.
    pub(super) fn free(&mut self, pool: &StagePool, now: Time) -> Vec<Free> {
        let whole = (pool.room_mb * 1e6 * ROOM_USED) as u64;
        let keep = Duration::from_millis(pool.keep_ms);
        let mut free = Vec::new();
        for (id, m) in &mut self.0 {
            if !m.works(now) || m.calls >= pool.slots.max(1) || m.is_held_back(now) {
                continue;
            }
            m.kept.retain(|_, k| now.since(k.made) < keep);
            let reckoned = whole.saturating_sub(m.kept_bytes() + m.in_flight);
            let seen = m.tight.filter(|(_, until)| now < *until);
            let room = seen.map_or(reckoned, |(size, _)| reckoned.min(size.saturating_sub(1)));
            let place = Place { domain: m.domain.clone(), region: m.region.clone() };
            free.push(Free { id: id.clone(), place, room, most: m.most, share: m.share });
        }
        free.sort_by_key(|f| (f.share.is_none(), std::cmp::Reverse(f.room)));
        free
    }

    /// A call starts at a maker, whose results will take this many bytes.
    pub(super) fn started(&mut self, id: &TargetId, bytes: u64, now: Time) {
        if let Some(m) = self.0.get_mut(id) {
            m.calls += 1;
            m.last_call = now;
            m.in_flight += bytes;
        }
    }

    /// A call ended at a maker.
    pub(super) fn ended(
        &mut self,
        id: &TargetId,
        bytes: u64,
        end: &CallEnd,
        was_slow: bool,
        now: Time,
    ) {
        if let Some(m) = self.0.get_mut(id) {
            m.calls = m.calls.saturating_sub(1);
            m.in_flight = m.in_flight.saturating_sub(bytes);
            m.answers = !matches!(end, CallEnd::Failed);
            match end {
                CallEnd::Answered(_) if was_slow => m.eject(now),
                CallEnd::Answered(_) => m.strikes = 0,
                CallEnd::Full => m.ejected = now + FULL,
                CallEnd::Failed => m.eject(now),
            }
        }
        self.forget_idle();
    }

    /// Count of makers that are known.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    /// Makers that failed and are to be asked for a sign of life now.
    pub(super) fn take_probes_due(&mut self, now: Time) -> Vec<TargetId> {
        let due = |m: &Maker| m.present && m.doubt == Doubt::Unasked && m.ejected <= now;
        let mut due_now = Vec::new();
        for (id, m) in self.0.iter_mut().filter(|(_, m)| due(m)) {
            m.doubt = Doubt::Asked;
            due_now.push(id.clone());
        }
        due_now
    }

    /// A maker gave a sign of life, or none.
    pub(super) fn probed(&mut self, id: &TargetId, alive: bool, now: Time) {
        let Some(m) = self.0.get_mut(id).filter(|m| m.doubt == Doubt::Asked) else {
            return;
        };
        if alive {
            m.doubt = Doubt::None;
        } else {
            m.answers = false;
            m.eject(now);
        }
    }

    /// A maker had less room than was reckoned: results of this size or more are not
    /// made there for a while, smaller ones are.
    pub(super) fn had_no_room(&mut self, id: &TargetId, size: u64, now: Time) {
        if let Some(m) = self.0.get_mut(id) {
            m.tight = Some((size, now + NO_ROOM));
        }
    }

    /// A result rests at its maker from now on.
    pub(super) fn kept(&mut self, handle: &Handle, bytes: u64, now: Time) {
        if let Some(m) = self.0.get_mut(&handle.maker) {
            m.kept.insert(handle.text.clone(), Kept { bytes, made: now });
        }
    }

    /// Results no longer take room.
    pub(super) fn freed(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some(m) = self.0.get_mut(&handle.maker) {
                m.kept.remove(&handle.text);
            }
        }
    }
}
