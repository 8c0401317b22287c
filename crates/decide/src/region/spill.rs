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
const WAITS_TTL: Duration = Duration::from_millis(600);
/// Least time between two questions to the same region.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Wait here from which on other regions are asked for theirs: less never makes an order late.
const QUERY_MIN_WAIT_MS: u32 = 60;
/// Longest wait of a region that takes orders of others: about a call. One that is overrun
/// itself takes none, so that an overflow does not go round.
const MAX_REMOTE_WAIT_MS: u32 = 200;
/// Time by which another region has to be sooner, and by which a wait here may be longer than
/// reckoned. Half of a call: that is how wrong both are.
const MIN_GAIN_MS: u32 = 100;
/// Bytes of inputs above which an order stays where they lie: a few hundred times what an
/// answer takes, and as dear to move between regions as a request is worth.
const MAX_MOVED_BYTES: u64 = 128 << 10;

/// What is so at the coordinator's own makers.
#[derive(Debug, Clone, Copy)]
pub struct LocalLoad {
    /// Wait of the order here; [`Waits::NOBODY`] if no maker works.
    pub wait: u32,
    /// Time of a call that takes the order.
    pub call_time: Duration,
    /// Time that each piece adds to the wait of those behind it.
    pub piece_ms: f64,
}

#[derive(Debug)]
struct RegionWaits {
    waits: Waits,
    received_at: Time,
    /// Milliseconds of work passed on to it since.
    spilled_ms: f64,
}

/// What the coordinator of one region's makers knows of the other regions.
#[derive(Debug, Default)]
pub struct Spill {
    waits: BTreeMap<Name, RegionWaits>,
    queried: BTreeMap<Name, Time>,
}

impl Spill {
    /// A coordinator of another region told what an order would wait there.
    pub fn update_waits(&mut self, region: Name, waits: Waits, now: Time) {
        self.waits.insert(region, RegionWaits { waits, received_at: now, spilled_ms: 0.0 });
    }

    /// A coordinator of another region did not answer.
    pub fn remove_region(&mut self, region: &Name) {
        self.waits.remove(region);
    }

    /// Regions to be asked for their waits, of these, when an order would wait this long here.
    pub fn take_due_queries(&mut self, regions: &[Name], wait: u32, now: Time) -> Vec<Name> {
        if wait < QUERY_MIN_WAIT_MS {
            return Vec::new();
        }
        let queried = &mut self.queried;
        let is_due = |r: &&Name| queried.get(*r).is_none_or(|at| now.since(*at) >= QUERY_INTERVAL);
        let due: Vec<Name> = regions.iter().filter(is_due).cloned().collect();
        queried.extend(due.iter().map(|r| (r.clone(), now)));
        due
    }

    /// Whether any other region told of its waits lately.
    pub fn has_fresh_waits(&self, now: Time) -> bool {
        self.waits.values().any(|t| now.since(t.received_at) < WAITS_TTL)
    }

    /// Waits here, none longer than where the orders would be passed on to; large ones are
    /// only if no maker works here.
    pub fn bound_waits(
        &self,
        local: Waits,
        regions: &[(Name, Duration)],
        is_large: bool,
        now: Time,
    ) -> Waits {
        let bounded = |(rank, wait): (Rank, u32)| {
            let none_available = wait == Waits::NOBODY;
            let shortest = self
                .shortest_wait(regions, rank, none_available, now)
                .filter(|_| none_available || !is_large);
            (rank, shortest.map_or(wait, |(_, remote)| wait.min(remote)))
        };
        Waits(local.0.into_iter().map(bounded).collect())
    }

    /// Wait of an order in another region, if it takes one. One that has told nothing does
    /// only if no maker works here.
    fn region_wait(
        &self,
        region: &Name,
        rank: Rank,
        none_available: bool,
        now: Time,
    ) -> Option<u32> {
        let Some(known) = self.waits.get(region).filter(|t| now.since(t.received_at) < WAITS_TTL)
        else {
            return none_available.then_some(0);
        };
        let remote = f64::from(known.waits.of(rank)) + known.spilled_ms;
        (remote <= f64::from(MAX_REMOTE_WAIT_MS)).then_some(remote as u32)
    }

    /// Least wait of an order in these regions, each with the time to it and back, which counts.
    fn shortest_wait(
        &self,
        regions: &[(Name, Duration)],
        rank: Rank,
        none_available: bool,
        now: Time,
    ) -> Option<(Name, u32)> {
        let waits = regions.iter().filter_map(|(region, round_trip)| {
            let remote = self.region_wait(region, rank, none_available, now)?;
            Some((remote + round_trip.as_millis() as u32, region))
        });
        waits.min().map(|(wait, region)| (region.clone(), wait))
    }

    /// The region, of these, to which an order goes in place of waiting here: one where it is
    /// in time while it would be late here, or any if no maker works here.
    pub fn choose(
        &mut self,
        regions: &[(Name, Duration)],
        order: &BatchOrder,
        local: LocalLoad,
        now: Time,
    ) -> Option<Name> {
        let none_available = local.wait == Waits::NOBODY;
        let can_move = order.result_bytes < LARGE_RESULT && order.moved_bytes <= MAX_MOVED_BYTES;
        if order.spilled || !(none_available || can_move) {
            return None;
        }
        let (region, remote_wait) = self.shortest_wait(regions, order.rank, none_available, now)?;
        let slack = order.slack_ms;
        let call_ms = local.call_time.as_millis() as u64;
        let is_late_local = u64::from(local.wait) + u64::from(MIN_GAIN_MS) + call_ms > slack;
        let is_late_remote = u64::from(remote_wait) + call_ms > slack;
        let is_faster = remote_wait.saturating_add(MIN_GAIN_MS) < local.wait;
        if !none_available && (!is_late_local || is_late_remote || !is_faster) {
            return None;
        }
        if let Some(known) = self.waits.get_mut(&region) {
            known.spilled_ms += local.piece_ms * f64::from(order.pieces);
        }
        Some(region)
    }
}
