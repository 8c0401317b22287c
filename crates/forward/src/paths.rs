//! Predicts the region and queue in which each stage of a request will run.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::fleet::TargetState;
use decide::region::Map;
use model::Name;
use model::forward::{Allowed, PoolId, QueueId, Route, Stage};

use crate::node::Node;

impl Node {
    /// Estimates, before the first stage starts, the time of each stage without queueing,
    /// including the round trip to its workers, and the queue that it will wait in.
    ///
    /// `least` is the time of each stage without queueing or round trip; zero stays zero.
    pub fn stage_estimates(
        &self,
        route: &Route,
        pieces: &[u32],
        allowed: &Allowed,
        least: &[Duration],
    ) -> (Vec<Duration>, Vec<QueueId>) {
        let map = self.peers.roster(|r| r.map());
        let regions = self.stage_regions(&map, route, pieces, allowed);
        let local = map.local_region();
        let round_trip = |region: &Option<Name>| {
            let remote = region.as_ref().filter(|r| **r != local);
            remote.map_or(Duration::ZERO, |r| map.region_round_trip(r))
        };
        let with_round_trip = |(least, region): (&Duration, &Option<Name>)| match *least {
            Duration::ZERO => Duration::ZERO,
            least => least + round_trip(region),
        };
        let times = least.iter().zip(&regions).map(with_round_trip).collect();
        let queue = |(stage, region): (&Stage, Option<Name>)| {
            let pool = PoolId { service: stage.service.clone(), region };
            QueueId::new(pool, allowed, stage.bytes)
        };
        (times, route.stages.iter().zip(regions).map(queue).collect())
    }

    /// Region in which each stage of a request will run; `None` for a stage that does not run, and
    /// for all if the map has no separate regions.
    fn stage_regions(
        &self,
        map: &Map,
        route: &Route,
        pieces: &[u32],
        allowed: &Allowed,
    ) -> Vec<Option<Name>> {
        if !map.is_split() {
            return vec![None; route.stages.len()];
        }
        let eligible = |(i, stage): (usize, &Stage)| {
            let has_pieces = pieces.get(i).is_some_and(|n| *n > 0);
            has_pieces.then(|| self.eligible_regions(map, &stage.service, allowed))
        };
        let eligible: Vec<_> = route.stages.iter().enumerate().map(eligible).collect();
        map.choose_regions(&route.order(), &eligible)
    }

    /// Allowed regions with eligible workers of a service.
    pub fn eligible_regions(&self, map: &Map, service: &str, allowed: &Allowed) -> BTreeSet<Name> {
        let region = |b: &TargetState| map.region_of(&b.target.domain);
        self.fleet(|f| f.eligible_in(service, allowed, self.now()).map(region).collect())
    }

    /// Region in which an order will run: `requested`, or else the local region, if it has eligible
    /// workers or none has; otherwise the nearest that has. `None` if the map has no separate
    /// regions.
    pub fn region_for(
        &self,
        service: &str,
        allowed: &Allowed,
        requested: Option<Name>,
    ) -> Option<Name> {
        let map = self.peers.roster(|r| r.map());
        if !map.is_split() {
            return None;
        }
        map.choose_region(requested, &self.eligible_regions(&map, service, allowed))
    }
}
