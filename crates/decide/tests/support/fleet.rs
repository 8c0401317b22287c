//! Targets for the tests of the fleet.

use model::Time;
use model::forward::Target;

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
