//! How far regions lie from one another, as one node measures it.
//!
//! Settings say in which region a failure domain lies; round trips of membership's probes say
//! how far that is. Regions as near as failure domains are to each other count as one. All
//! nodes measure the same links and so come to agree; a wrong view for a moment costs batches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Name;

use crate::fleet::Regions;

/// Round trip to another region of which nothing is measured yet: regions are drawn far apart
/// until they prove near, since work that crosses them for nothing is paid at once.
const DEFAULT_REMOTE_RTT: Duration = Duration::from_millis(40);
/// Round trip to another failure domain of the own region of which nothing is measured yet.
const DEFAULT_LOCAL_RTT: Duration = Duration::from_millis(2);
/// Round trip from which on regions are apart: a stage crosses it twice, which is one part in
/// twenty of a usual call (200 ms) and more than fuller calls gain.
const SPLIT_RTT: Duration = Duration::from_millis(10);
/// Round trip under which they are one again.
const MERGE_RTT: Duration = Duration::from_millis(6);
/// Part by which a measured time rises towards a longer one. It falls at once: what a busy host
/// adds is no distance.
const RISE_WEIGHT: f64 = 0.02;

/// Regions as one node sees them.
#[derive(Debug, Clone)]
pub struct Map {
    domain: Name,
    regions: Regions,
    round_trips: BTreeMap<Name, Duration>,
    is_split: bool,
}

impl Map {
    /// Seen from a failure domain, with nothing measured.
    pub fn new(domain: Name, regions: Regions) -> Self {
        let mut map = Map { domain, regions, round_trips: BTreeMap::new(), is_split: false };
        map.is_split = map.max_round_trip() >= SPLIT_RTT;
        map
    }

    /// A probe of a node in a failure domain was answered after this time.
    pub fn record_round_trip(&mut self, domain: &Name, took: Duration) {
        let estimate = self.round_trips.entry(domain.clone()).or_insert(took);
        *estimate = match took.checked_sub(*estimate) {
            Some(excess) => *estimate + excess.mul_f64(RISE_WEIGHT),
            None => took,
        };
        let farthest = self.max_round_trip();
        self.is_split = farthest >= if self.is_split { MERGE_RTT } else { SPLIT_RTT };
    }

    /// Region of a failure domain. One that settings place nowhere is a region by itself.
    pub fn region_of(&self, domain: &Name) -> Name {
        self.regions.of(domain).unwrap_or(domain).clone()
    }

    /// Region of this node.
    pub fn local_region(&self) -> Name {
        self.region_of(&self.domain)
    }

    /// Whether regions are so far apart that each works by itself.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Whether a failure domain is in this node's region, or regions are as good as one.
    pub fn is_near(&self, domain: &Name) -> bool {
        !self.is_split || self.region_of(domain) == self.local_region()
    }

    /// Time to a failure domain and back.
    pub fn round_trip(&self, domain: &Name) -> Duration {
        if *domain == self.domain {
            return Duration::ZERO;
        }
        let is_local = self.region_of(domain) == self.local_region();
        let default = if is_local { DEFAULT_LOCAL_RTT } else { DEFAULT_REMOTE_RTT };
        self.round_trips.get(domain).copied().unwrap_or(default)
    }

    /// Time to the nearest failure domain of a region and back.
    pub fn region_round_trip(&self, region: &Name) -> Duration {
        let of_region = self.regions.domains().filter(|d| self.region_of(d) == *region);
        of_region.map(|d| self.round_trip(d)).min().unwrap_or(DEFAULT_REMOTE_RTT)
    }

    /// Regions but this node's.
    pub fn other_regions(&self) -> BTreeSet<Name> {
        let regions = self.regions.domains().map(|d| self.region_of(d));
        regions.filter(|r| *r != self.local_region()).collect()
    }

    /// Round trip to the farthest region.
    fn max_round_trip(&self) -> Duration {
        self.other_regions().iter().map(|r| self.region_round_trip(r)).max().unwrap_or_default()
    }

    /// The region whose makers are to make an order, of those that have any: the wanted one,
    /// else the own one, else the nearest. `None` if regions are as good as one.
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

    /// The regions whose makers are to make the stages of a chain, each where its inputs lie;
    /// given the stages that come before each, and the regions that have makers for it. `None`
    /// there is a stage that is left out.
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
