//! Targets for the tests of the fleet.

use std::sync::LazyLock;

use decide::fleet::{ColdStarts, PickCriteria, Regions, Terms};
use decide::region::Map;
use model::Time;
use model::forward::{Target, TargetId};

/// A time after the start.
pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A warm engine.
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

/// Failure domains of one region, seen from one of them.
pub fn one_region() -> &'static Map {
    static MAP: LazyLock<Map> = LazyLock::new(|| Map::new("a".into(), Regions::default()));
    &MAP
}

/// What a request to a warm engine asks for; it was sent to these before.
pub fn wanted<'a>(but: &'a [TargetId]) -> PickCriteria<'a> {
    PickCriteria {
        service: "engine",
        terms: Terms::ANY,
        domain: "a",
        map: one_region(),
        home_region: None,
        exclude: but,
        max_per_target: 100,
        shares: &[],
        cold_limit: None,
        may_repeat: true,
        cold_starts: ColdStarts::Avoid,
    }
}
