//! When the coordinator of a region's workers passes an order on to another region.
//!
//! Only the coordinator decides: it knows the local queue exactly, so nodes do not all react to the
//! same number at once. It learns the waits of other regions from their coordinators and adds the
//! work spilled there since. An order spills at most once. Times are in milliseconds.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{BatchOrder, LARGE_RESULT_BYTES, Rank, Waits};
use model::{Name, Time};

/// Time for which the reported waits of another region are valid.
const WAITS_TTL: Duration = Duration::from_millis(600);
/// Minimum interval between queries to one region.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Local wait from which other regions are queried. Shorter waits never make an order late.
const QUERY_MIN_WAIT_MS: u32 = 60;
/// Maximum wait of a region that accepts spilled orders, about one call. An overloaded region
/// accepts none, so that overflow does not circulate.
const MAX_REMOTE_WAIT_MS: u32 = 200;
/// Minimum gain of a spill, and the margin added to the local wait. It is half of a call, the error
/// of both estimates.
const MIN_GAIN_MS: u32 = 100;
/// Maximum input size of an order that may spill: a few hundred times the size of an answer, and as
/// expensive to move between regions as the request is worth.
const MAX_MOVED_BYTES: u64 = 128 << 10;

/// Wait and call time at the coordinator's own workers.
#[derive(Debug, Clone, Copy)]
pub struct LocalLoad {
    /// Wait of the order in milliseconds; [`Waits::NOBODY`] if no worker is available.
    pub wait: u32,
    /// Time of a call that takes the order.
    pub call_time: Duration,
    /// Wait that each piece adds for those behind it, in milliseconds.
    pub piece_ms: f64,
}

#[derive(Debug)]
struct RegionWaits {
    waits: Waits,
    received_at: Time,
    /// Milliseconds of work spilled to the region since.
    spilled_ms: f64,
}

/// What a region's coordinator knows about the other regions.
#[derive(Debug, Default)]
pub struct Spill {
    waits: BTreeMap<Name, RegionWaits>,
    queried: BTreeMap<Name, Time>,
}

impl Spill {
    /// Records the waits reported by the coordinator of another region.
    pub fn update_waits(&mut self, region: Name, waits: Waits, now: Time) {
        self.waits.insert(region, RegionWaits { waits, received_at: now, spilled_ms: 0.0 });
    }

    /// Forgets a region whose coordinator did not respond.
    pub fn remove_region(&mut self, region: &Name) {
        self.waits.remove(region);
    }

    /// The given regions that are due for a query, if the local wait calls for it; marks them as
    /// queried.
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

    /// Whether the waits of any other region are still valid.
    pub fn has_fresh_waits(&self, now: Time) -> bool {
        self.waits.values().any(|t| now.since(t.received_at) < WAITS_TTL)
    }

    /// Local waits, capped at the wait where orders would spill to. Waits of large orders are
    /// capped only if no local worker is available.
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

    /// Wait of an order in another region, if that accepts it. A region without valid waits accepts
    /// orders only if no local worker is available.
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
        let remote = f64::from(known.waits.for_rank(rank)) + known.spilled_ms;
        (remote <= f64::from(MAX_REMOTE_WAIT_MS)).then_some(remote as u32)
    }

    /// The region with the shortest wait, the round trip to it included.
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

    /// The region to spill an order to: one where it is in time while it would be late here, or any
    /// that accepts it if no local worker is available.
    pub fn choose(
        &mut self,
        regions: &[(Name, Duration)],
        order: &BatchOrder,
        local: LocalLoad,
        now: Time,
    ) -> Option<Name> {
        let none_available = local.wait == Waits::NOBODY;
        let can_move =
            order.result_bytes < LARGE_RESULT_BYTES && order.moved_bytes <= MAX_MOVED_BYTES;
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
