//! Targets for the fleet tests.

use std::sync::LazyLock;

use decide::fleet::{ColdStarts, PickCriteria, Regions, Terms};
use decide::region::Map;
use model::Time;
use model::forward::{Target, TargetId};

/// Time since the start.
pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A warm target of the `engine` service.
pub fn target(id: &str, domain: &str) -> Target {
    Target {
        id: id.into(),
        service: "engine".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        cold_ms: 0,
        revision: 0,
    }
}

/// Map of failure domains within a single region, as seen from domain `a`.
pub fn one_region() -> &'static Map {
    static MAP: LazyLock<Map> = LazyLock::new(|| Map::new("a".into(), Regions::default()));
    &MAP
}

/// Criteria for a request to a warm engine that was already sent to the targets in `exclude`.
pub fn criteria<'a>(exclude: &'a [TargetId]) -> PickCriteria<'a> {
    PickCriteria {
        service: "engine",
        terms: Terms::ANY,
        domain: "a",
        map: one_region(),
        home_region: None,
        exclude,
        max_per_target: 100,
        home_weights: &[],
        cold_limit: None,
        may_repeat: true,
        cold_starts: ColdStarts::Avoid,
    }
}
