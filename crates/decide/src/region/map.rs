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
const UNKNOWN_FAR: Duration = Duration::from_millis(40);
/// Round trip to another failure domain of the own region of which nothing is measured yet.
const UNKNOWN_NEAR: Duration = Duration::from_millis(2);
/// Round trip from which on regions are apart: a stage crosses it twice, which is one part in
/// twenty of a usual call (200 ms) and more than fuller calls gain.
const APART: Duration = Duration::from_millis(10);
/// Round trip under which they are one again.
const TOGETHER: Duration = Duration::from_millis(6);
/// Part by which a measured time rises towards a longer one. It falls at once: what a busy host
/// adds is no distance.
const RISE: f64 = 0.02;

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
        map.is_split = map.farthest() >= APART;
        map
    }

    /// A probe of a node in a failure domain was answered after this time.
    pub fn measured(&mut self, domain: &Name, took: Duration) {
        let known = self.round_trips.entry(domain.clone()).or_insert(took);
        *known = match took.checked_sub(*known) {
            Some(longer) => *known + longer.mul_f64(RISE),
            None => took,
        };
        let farthest = self.farthest();
        self.is_split = farthest >= if self.is_split { TOGETHER } else { APART };
    }

    /// Region of a failure domain. One that settings place nowhere is a region by itself.
    pub fn region_of(&self, domain: &Name) -> Name {
        self.regions.of(domain).unwrap_or(domain).clone()
    }

    /// Region of this node.
    pub fn own(&self) -> Name {
        self.region_of(&self.domain)
    }

    /// Whether regions are so far apart that each works by itself.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Whether a failure domain is in this node's region, or regions are as good as one.
    pub fn is_near(&self, domain: &Name) -> bool {
        !self.is_split || self.region_of(domain) == self.own()
    }

    /// Time to a failure domain and back.
    pub fn round_trip(&self, domain: &Name) -> Duration {
        if *domain == self.domain {
            return Duration::ZERO;
        }
        let is_own = self.region_of(domain) == self.own();
        let unknown = if is_own { UNKNOWN_NEAR } else { UNKNOWN_FAR };
        self.round_trips.get(domain).copied().unwrap_or(unknown)
    }

    /// Time to the nearest failure domain of a region and back.
    pub fn to_region(&self, region: &Name) -> Duration {
        let of_region = self.regions.domains().filter(|d| self.region_of(d) == *region);
        of_region.map(|d| self.round_trip(d)).min().unwrap_or(UNKNOWN_FAR)
    }

    /// Regions but this node's.
    pub fn others(&self) -> BTreeSet<Name> {
        let regions = self.regions.domains().map(|d| self.region_of(d));
        regions.filter(|r| *r != self.own()).collect()
    }

    /// Round trip to the farthest region.
    fn farthest(&self) -> Duration {
        self.others().iter().map(|r| self.to_region(r)).max().unwrap_or_default()
    }

    /// The region whose makers are to make an order, of those that have any: the wanted one,
    /// else the own one, else the nearest. `None` if regions are as good as one.
    pub fn place(&self, wanted: Option<Name>, able: &BTreeSet<Name>) -> Option<Name> {
        if !self.is_split {
            return None;
        }
        let own = self.own();
        let wanted = wanted.unwrap_or_else(|| own.clone());
        if able.is_empty() || able.contains(&wanted) {
            return Some(wanted);
        }
        let nearest = able.iter().min_by_key(|r| (**r != own, self.to_region(r)));
        nearest.cloned()
    }

    /// The regions whose makers are to make the stages of a chain, each where its inputs lie;
    /// given the stages that come before each, and the regions that have makers for it. `None`
    /// there is a stage that is left out.
    pub fn places(
        &self,
        after: &[Vec<usize>],
        able: &[Option<BTreeSet<Name>>],
    ) -> Vec<Option<Name>> {
        let mut places: Vec<Option<Name>> = Vec::new();
        for (after, able) in after.iter().zip(able) {
            let inputs = after.iter().find_map(|j| places.get(*j).cloned().flatten());
            places.push(able.as_ref().and_then(|able| self.place(inputs, able)));
        }
        places
    }
}
