//! Cost of version lookup for a service without an order. Run by hand, since it measures time.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use decide::fleet::{Fleet, Terms};
use model::forward::{Rollouts, Target};
use support::at;

#[test]
#[ignore = "a timing report: cargo test --release -p pumicevale-decide --test rollout_cost -- --ignored --nocapture"]
fn target_selection_time_without_an_order() {
    const TARGETS: u32 = 80;
    const CALLS: u32 = 20_000;
    let mut fleet = Fleet::default();
    fleet.versions_mut().follow();
    for n in 0..TARGETS {
        let plain = support::target(&format!("t{n}"), "a");
        fleet.upsert(Target { version: "v1".into(), revision: 5, ..plain }, at(0));
    }
    fleet.versions_mut().apply(Rollouts { at: 10, ..Rollouts::default() }, at(0));
    let each = || {
        let all = fleet.service_targets("engine");
        all.filter(|b| fleet.exclusion(b, Terms::ANY, at(1)).is_none()).count()
    };
    let once = || fleet.usable("engine", Terms::ANY, at(1)).count();
    let ways: [(&str, &dyn Fn() -> usize); 2] = [("each target", &each), ("once", &once)];
    for (way, choice) in ways {
        let begun = std::time::Instant::now();
        for _ in 0..CALLS {
            assert_eq!(std::hint::black_box(choice()), TARGETS as usize);
        }
        println!("version lookup for {way}: {:?} per selection", begun.elapsed() / CALLS);
    }
}
