//! Time per routing decision by the number of targets, and memory per target.

use std::time::Instant;

use decide::rng::Rng;
use decide::route::{PolicyKind, PoolTable, RouteQuery, Slot, TargetInfo, make_policy};
use model::Time;

use super::{Figure, counted, timed};

/// Candidate targets: those of a small pool, of a failure domain, and of the whole fleet.
pub const TARGET_COUNTS: [usize; 3] = [20, 217, 1300];
/// Timed decisions at 20 targets; larger tables get proportionally fewer.
const DECISIONS: u64 = 200_000;

/// Routing table of a pool with `n` targets.
pub fn pool_table(n: usize) -> PoolTable {
    let mut table = PoolTable::default();
    let info = |i: usize| TargetInfo {
        name: format!("engine-{i}").into(),
        address: "10.0.0.1:9000".into(),
        domain: "a".into(),
        distance: 0,
    };
    table.set_targets((0..n).map(info).collect());
    table
}

/// Microseconds per decision, and bytes per target slot.
pub fn measure() -> Vec<Figure> {
    let mut out = Vec::new();
    for n in TARGET_COUNTS {
        let table = pool_table(n);
        let mut policy = make_policy(PolicyKind::Home, 1);
        let mut rng = Rng::new(1);
        let mut sum = 0;
        let started = Instant::now();
        for _ in 0..DECISIONS / n as u64 * 20 {
            let query = RouteQuery {
                now: Time::from_millis(5),
                prefix: rng.next_u64(),
                model: None,
                budget: 500.0,
                tried: &[],
            };
            sum += policy.pick(&query, &table).unwrap_or(0);
        }
        let rounds = DECISIONS / n as u64 * 20;
        let micros = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        assert!(sum > 0, "no target was picked");
        out.push(timed("microseconds of one routing decision, by targets", n, micros));
    }
    out.push(counted("bytes of one target's slot, names aside", 1, size_of::<Slot>() as f64));
    out
}
