//! Distances between regions, as measured by one node.
//!
//! The configuration assigns failure domains to regions; round trips of membership probes give the
//! distances. Regions as near to each other as failure domains are count as one. All nodes measure
//! the same links and so converge; a wrong view for a moment only makes batches smaller.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Name;

use crate::fleet::Regions;

/// Round trip assumed to another region before any measurement. Unmeasured regions count as far
/// apart, since needless traffic between regions has an immediate cost.
const DEFAULT_REMOTE_RTT: Duration = Duration::from_millis(40);
/// Round trip assumed to another failure domain of the local region before any measurement.
const DEFAULT_LOCAL_RTT: Duration = Duration::from_millis(2);
/// Round trip from which regions count as separate. A stage crosses the link twice, which is a
/// twentieth of a typical call (200 ms) and more than fuller calls gain.
const SPLIT_RTT: Duration = Duration::from_millis(10);
/// Round trip below which separate regions count as one again.
const MERGE_RTT: Duration = Duration::from_millis(6);
/// Weight of a longer sample in the estimate. A shorter sample replaces it at once, since delay
/// added by a busy host is not distance.
const RISE_WEIGHT: f64 = 0.02;

/// Regions and their distances as seen by one node.
#[derive(Debug, Clone)]
pub struct Map {
    domain: Name,
    regions: Regions,
    round_trips: BTreeMap<Name, Duration>,
    is_split: bool,
}

impl Map {
    /// A map for a node in `domain`, without measurements.
    pub fn new(domain: Name, regions: Regions) -> Self {
        let mut map = Map { domain, regions, round_trips: BTreeMap::new(), is_split: false };
        map.is_split = map.max_round_trip() >= SPLIT_RTT;
        map
    }

    /// Records the round trip of a membership probe to a node in a failure domain.
    pub fn record_round_trip(&mut self, domain: &Name, took: Duration) {
        let estimate = self.round_trips.entry(domain.clone()).or_insert(took);
        *estimate = match took.checked_sub(*estimate) {
            Some(excess) => *estimate + excess.mul_f64(RISE_WEIGHT),
            None => took,
        };
        let farthest = self.max_round_trip();
        self.is_split = farthest >= if self.is_split { MERGE_RTT } else { SPLIT_RTT };
    }

    /// Region of a failure domain; one without a configured region is a region of its own.
    pub fn region_of(&self, domain: &Name) -> Name {
        self.regions.region_of(domain).unwrap_or(domain).clone()
    }

    /// Region of this node.
    pub fn local_region(&self) -> Name {
        self.region_of(&self.domain)
    }

    /// Whether regions are so far apart that each works on its own.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Whether a failure domain is in the local region, or regions count as one.
    pub fn is_near(&self, domain: &Name) -> bool {
        !self.is_split || self.region_of(domain) == self.local_region()
    }

    /// Round trip to a failure domain, zero for this node's own.
    pub fn round_trip(&self, domain: &Name) -> Duration {
        if *domain == self.domain {
            return Duration::ZERO;
        }
        let is_local = self.region_of(domain) == self.local_region();
        let default = if is_local { DEFAULT_LOCAL_RTT } else { DEFAULT_REMOTE_RTT };
        self.round_trips.get(domain).copied().unwrap_or(default)
    }

    /// Round trip to the nearest failure domain of a region.
    pub fn region_round_trip(&self, region: &Name) -> Duration {
        let of_region = self.regions.domains().filter(|d| self.region_of(d) == *region);
        of_region.map(|d| self.round_trip(d)).min().unwrap_or(DEFAULT_REMOTE_RTT)
    }

    /// All regions except this node's.
    pub fn other_regions(&self) -> BTreeSet<Name> {
        let regions = self.regions.domains().map(|d| self.region_of(d));
        regions.filter(|r| *r != self.local_region()).collect()
    }

    /// Round trip to the farthest region.
    fn max_round_trip(&self) -> Duration {
        self.other_regions().iter().map(|r| self.region_round_trip(r)).max().unwrap_or_default()
    }

    /// The region to run an order in, among those with workers: the preferred one, else the local
    /// one, else the nearest. `None` if regions count as one.
    pub fn choose_region(
        &self,
        preferred: Option<Name>,
        available: &BTreeSet<Name>,
    ) -> Option<Name> {
        if !self.is_split {
            return None;
        }
        let local = self.local_region();
        let preferred = preferred.unwrap_or_else(|| local.clone());
        if available.is_empty() || available.contains(&preferred) {
            return Some(preferred);
        }
        let nearest = available.iter().min_by_key(|r| (**r != local, self.region_round_trip(r)));
        nearest.cloned()
    }

    /// The regions to run the stages of a chain in, each where its inputs are. Takes the
    /// predecessors of each stage and the regions with workers for it; `None` there marks a skipped
    /// stage.
    pub fn choose_regions(
        &self,
        predecessors: &[Vec<usize>],
        available: &[Option<BTreeSet<Name>>],
    ) -> Vec<Option<Name>> {
        let mut chosen: Vec<Option<Name>> = Vec::new();
        for (predecessors, available) in predecessors.iter().zip(available) {
            let inputs = predecessors.iter().find_map(|j| chosen.get(*j).cloned().flatten());
            chosen.push(
                available.as_ref().and_then(|available| self.choose_region(inputs, available)),
            );
        }
        chosen
    }
}
