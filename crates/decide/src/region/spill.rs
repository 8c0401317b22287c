//! When the coordinator of one region's makers passes an order on to another region.
//!
//! Only the coordinator decides: it knows what waits here to the piece, so no herd of nodes
//! follows one figure. What waits elsewhere it hears from the coordinators there, and adds what
//! it has passed on since. An order is passed on once at most. Times in milliseconds.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{BatchOrder, LARGE_RESULT, Rank, Waits};
use model::{Name, Time};

/// Time for which it holds what another region's coordinator told.
const TOLD_KEPT: Duration = Duration::from_millis(600);
/// Least time between two questions to the same region.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// Wait here from which on other regions are asked for theirs: less never makes an order late.
const ASK_FROM: u32 = 60;
/// Longest wait of a region that takes orders of others: about a call. One that is overrun
/// itself takes none, so that an overflow does not go round.
const GUEST_WAIT: u32 = 200;
/// Time by which another region has to be sooner, and by which a wait here may be longer than
/// reckoned. Half of a call: that is how wrong both are.
const SOONER: u32 = 100;
/// Bytes of inputs above which an order stays where they lie: a few hundred times what an
/// answer takes, and as dear to move between regions as a request is worth.
const MOVED_MOST: u64 = 128 << 10;

/// What is so at the coordinator's own makers.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    /// Wait of the order here; [`Waits::NOBODY`] if no maker works.
    pub wait: u32,
    /// Time of a call that takes the order.
    pub call: Duration,
    /// Time that each piece adds to the wait of those behind it.
    pub piece_ms: f64,
}

#[derive(Debug)]
struct Told {
    waits: Waits,
    at: Time,
    /// Milliseconds of work passed on to it since.
    passed: f64,
}

/// What the coordinator of one region's makers knows of the other regions.
#[derive(Debug, Default)]
pub struct Spill {
    told: BTreeMap<Name, Told>,
    asked: BTreeMap<Name, Time>,
}

impl Spill {
    /// A coordinator of another region told what an order would wait there.
    pub fn hear(&mut self, region: Name, waits: Waits, now: Time) {
        self.told.insert(region, Told { waits, at: now, passed: 0.0 });
    }

    /// A coordinator of another region did not answer.
    pub fn lost(&mut self, region: &Name) {
        self.told.remove(region);
    }

    /// Regions to be asked for their waits, of these, when an order would wait this long here.
    pub fn take_due(&mut self, others: &[Name], wait: u32, now: Time) -> Vec<Name> {
        if wait < ASK_FROM {
            return Vec::new();
        }
        let asked = &mut self.asked;
        let is_due = |r: &&Name| asked.get(*r).is_none_or(|at| now.since(*at) >= ASK_EVERY);
        let due: Vec<Name> = others.iter().filter(is_due).cloned().collect();
        asked.extend(due.iter().map(|r| (r.clone(), now)));
        due
    }

    /// Whether any other region told of its waits lately.
    pub fn knows_any(&self, now: Time) -> bool {
        self.told.values().any(|t| now.since(t.at) < TOLD_KEPT)
    }

    /// Waits here, none longer than where the orders would be passed on to; large ones are
    /// only if no maker works here.
    pub fn bound(
        &self,
        own: Waits,
        others: &[(Name, Duration)],
        is_large: bool,
        now: Time,
    ) -> Waits {
        let bound = |(rank, wait): (Rank, u32)| {
            let is_dead = wait == Waits::NOBODY;
            let least = self.least(others, rank, is_dead, now).filter(|_| is_dead || !is_large);
            (rank, least.map_or(wait, |(_, there)| wait.min(there)))
        };
        Waits(own.0.into_iter().map(bound).collect())
    }

    /// Wait of an order in another region, if it takes one. One that has told nothing does
    /// only if no maker works here.
    fn wait_at(&self, region: &Name, rank: Rank, is_dead: bool, now: Time) -> Option<u32> {
        let Some(told) = self.told.get(region).filter(|t| now.since(t.at) < TOLD_KEPT) else {
            return is_dead.then_some(0);
        };
        let there = f64::from(told.waits.of(rank)) + told.passed;
        (there <= f64::from(GUEST_WAIT)).then_some(there as u32)
    }

    /// Least wait of an order in these regions, each with the time to it and back, which counts.
    fn least(
        &self,
        others: &[(Name, Duration)],
        rank: Rank,
        is_dead: bool,
        now: Time,
    ) -> Option<(Name, u32)> {
        let waits = others.iter().filter_map(|(region, crossing)| {
            let there = self.wait_at(region, rank, is_dead, now)?;
            Some((there + crossing.as_millis() as u32, region))
        });
        waits.min().map(|(wait, region)| (region.clone(), wait))
    }

    /// The region, of these, to which an order goes in place of waiting here: one where it is
    /// in time while it would be late here, or any if no maker works here.
    pub fn choose(
        &mut self,
        others: &[(Name, Duration)],
        order: &BatchOrder,
        own: Own,
        now: Time,
    ) -> Option<Name> {
        let is_dead = own.wait == Waits::NOBODY;
        let is_movable = order.result_bytes < LARGE_RESULT && order.moved_bytes <= MOVED_MOST;
        if order.spilled || !(is_dead || is_movable) {
            return None;
        }
        let (region, there) = self.least(others, order.rank, is_dead, now)?;
        let slack = order.slack_ms;
        let call_ms = own.call.as_millis() as u64;
        let is_late_here = u64::from(own.wait) + u64::from(SOONER) + call_ms > slack;
        let is_late_there = u64::from(there) + call_ms > slack;
        let is_sooner = there.saturating_add(SOONER) < own.wait;
        if !is_dead && (!is_late_here || is_late_there || !is_sooner) {
            return None;
        }
        if let Some(told) = self.told.get_mut(&region) {
            told.passed += own.piece_ms * f64::from(order.pieces);
        }
        Some(region)
    }
}
