//! Workers of a version on trial beside the serving ones.

#[path = "support/batch.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use decide::batch::{Coordinator, Event, WorkerInfo};
use model::forward::Policy;
use proptest::prelude::*;
use support::{answers, at, calls, made, order, order_event, pool};

fn workers(serving: usize, trial: usize, share: f64) -> Event {
    let info = |id: String, share| WorkerInfo {
        id: id.as_str().into(),
        domain: "a".into(),
        region: None,
        gap: None,
        max_pieces: None,
        share,
    };
    let serving = (0..serving).map(|n| info(format!("old-{n}"), None));
    let trial = (0..trial).map(|n| info(format!("new-{n}"), Some(share)));
    Event::Workers(serving.chain(trial).collect())
}

/// Runs orders one after the other. Returns, after each call, the pieces sent to the version on
/// trial and all pieces sent.
fn run(c: &mut Coordinator, sizes: &[u32]) -> Vec<(usize, usize)> {
    let (mut trial, mut all, mut counts) = (0, 0, Vec::new());
    for (n, size) in sizes.iter().enumerate() {
        let mut actions =
            c.handle_event(at(1), order_event(n as u64, order(&format!("r{n}"), *size)));
        let mut answered = answers(&actions).len();
        loop {
            let started = calls(&actions);
            if started.is_empty() {
                break;
            }
            actions.clear();
            for call in started {
                all += call.pieces.len();
                if call.worker.name.starts_with("new") {
                    trial += call.pieces.len();
                }
                counts.push((trial, all));
                actions.extend(c.handle_event(at(1), Event::CallEnded(call.number, made(&call))));
            }
            answered += answers(&actions).len();
        }
        assert_eq!(answered, 1, "each order is answered");
    }
    counts
}

proptest! {
    /// A version on trial never exceeds its share of all pieces, and comes close to it if its
    /// workers have the capacity.
    #[test]
    fn a_version_on_trial_gets_its_share_of_the_pieces(
        sizes in proptest::collection::vec(1u32..30, 1..60),
        trial in 1usize..6,
        share in prop_oneof![Just(0.0), Just(0.02), Just(0.1), Just(0.5)],
    ) {
        let mut c = Coordinator::new(pool(), Policy::default());
        c.handle_event(at(0), workers(3, trial, share));
        let counts = run(&mut c, &sizes);
        for (trial, all) in &counts {
            prop_assert!(*trial as f64 <= *all as f64 * share, "{trial} of {all}");
        }
        let (trial, all) = counts.last().copied().unwrap_or_default();
        let (batch, able) = (pool().batch as f64, if share > 0.25 { 0.0 } else { share });
        prop_assert!(trial as f64 >= all as f64 * able - 3.0 * batch, "{trial} of {all}");
    }
}

#[test]
fn a_version_no_longer_on_trial_gets_calls_like_any_other() {
    let mut c = Coordinator::new(pool(), Policy::default());
    c.handle_event(at(0), workers(1, 1, 0.0));
    assert!(run(&mut c, &[10; 5]).iter().all(|(trial, _)| *trial == 0));
    let new = WorkerInfo {
        id: "new-0".into(),
        domain: "a".into(),
        region: None,
        gap: None,
        max_pieces: None,
        share: None,
    };
    c.handle_event(at(2), Event::Workers(vec![new]));
    assert_eq!(run(&mut c, &[10; 5]).last(), Some(&(50, 50)));
}
