//! Where the stages of a request will be made, in which region and queue.

use std::collections::BTreeSet;
use std::time::Duration;

use decide::fleet::TargetState;
use decide::region::Map;
use model::Name;
use model::forward::{Allowed, PoolId, QueueId, Route, Stage};

use crate::node::Node;

impl Node {
    /// The time that each stage of a request takes without any wait, with the way to its makers
    /// and back, and the queue that it will wait in, by all that is known before the first begins.
    pub fn stage_estimates(
        &self,
        route: &Route,
        pieces: &[u32],
        allowed: &Allowed,
        least: &[Duration],
    ) -> (Vec<Duration>, Vec<QueueId>) {
        let map = self.peers.roster(|r| r.map());
        let places = self.stage_regions(&map, route, pieces, allowed);
        let own = map.local_region();
        let crossing = |region: &Option<Name>| {
            let elsewhere = region.as_ref().filter(|r| **r != own);
            elsewhere.map_or(Duration::ZERO, |r| map.region_round_trip(r))
        };
        let with_way = |(least, region): (&Duration, &Option<Name>)| match *least {
            Duration::ZERO => Duration::ZERO,
            least => least + crossing(region),
        };
        let times = least.iter().zip(&places).map(with_way).collect();
        let queue = |(stage, region): (&Stage, Option<Name>)| {
            let pool = PoolId { service: stage.service.clone(), region };
            QueueId::new(pool, allowed, stage.bytes)
        };
        (times, route.stages.iter().zip(places).map(queue).collect())
    }

    /// Region in which each stage of a request will be made; none where all are one pool.
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
        let able = |(i, stage): (usize, &Stage)| {
            let is_made = pieces.get(i).is_some_and(|n| *n > 0);
            is_made.then(|| self.eligible_regions(map, &stage.service, allowed))
        };
        let able: Vec<_> = route.stages.iter().enumerate().map(able).collect();
        map.choose_regions(&route.order(), &able)
    }

    /// Regions with makers of a service that may be used.
    pub fn eligible_regions(&self, map: &Map, service: &str, allowed: &Allowed) -> BTreeSet<Name> {
        let region = |b: &TargetState| map.region_of(&b.target.domain);
        self.fleet(|f| f.eligible_in(service, allowed, self.now()).map(region).collect())
    }

    /// The region whose makers are to make an order, of those that have any.
    pub fn region_for(
        &self,
        service: &str,
        allowed: &Allowed,
        wanted: Option<Name>,
    ) -> Option<Name> {
        let map = self.peers.roster(|r| r.map());
        if !map.is_split() {
            return None;
        }
        map.choose_region(wanted, &self.eligible_regions(&map, service, allowed))
    }
}
