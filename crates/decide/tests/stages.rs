//! Progress of a request's stages, with results that are gone.

use std::time::Duration;

use decide::stages::{Progress, critical_path, latest_starts};
use proptest::prelude::*;

fn started(p: &mut Progress) -> Vec<usize> {
    std::iter::from_fn(|| p.start_next()).collect()
}

/// Three in a row, and one beside them.
fn chain() -> Progress {
    Progress::new(vec![vec![], vec![0], vec![1], vec![]])
}

#[test]
fn stages_start_once_those_before_are_made_and_free_what_is_used_up() {
    let mut p = chain();
    assert_eq!(started(&mut p), [0, 3]);
    assert!(p.complete(0).is_empty(), "stage 1 still wants it");
    assert_eq!(started(&mut p), [1]);
    assert_eq!(p.complete(1), [0]);
    assert_eq!(started(&mut p), [2]);
    assert_eq!(p.complete(2), [1]);
    assert!(!p.is_done());
    assert!(p.complete(3).is_empty(), "the request itself wants the last ones");
    assert!(p.is_done());
    assert_eq!(p.final_stages(), [2, 3]);
}

#[test]
fn a_result_that_two_stages_want_is_freed_after_both() {
    let mut p = Progress::new(vec![vec![], vec![0], vec![0]]);
    started(&mut p);
    p.complete(0);
    assert_eq!(started(&mut p), [1, 2]);
    assert!(p.complete(1).is_empty());
    assert_eq!(p.complete(2), [0]);
}

#[test]
fn what_is_gone_is_made_again_with_all_that_it_needs() {
    let mut p = chain();
    started(&mut p);
    p.complete(0);
    started(&mut p);
    p.complete(1);
    assert_eq!(started(&mut p), [2]);
    assert_eq!(p.input_lost(2), Some(vec![1, 0]), "what stage 1 is made from was freed");
    assert_eq!(started(&mut p), [0]);
    p.complete(0);
    assert_eq!(started(&mut p), [1]);
    p.complete(1);
    assert_eq!(started(&mut p), [2]);
    assert!(p.input_lost(2).is_some());
    started(&mut p);
    p.complete(0);
    started(&mut p);
    p.complete(1);
    started(&mut p);
    assert_eq!(p.input_lost(2), None, "not for ever");
}

#[test]
fn a_stage_whose_inputs_are_being_made_again_waits_for_them() {
    let mut p = Progress::new(vec![vec![], vec![0], vec![0]]);
    started(&mut p);
    p.complete(0);
    assert_eq!(started(&mut p), [1, 2]);
    assert_eq!(p.input_lost(1), Some(vec![0]));
    assert_eq!(p.input_lost(2), Some(vec![]), "it is made again already");
    assert_eq!(started(&mut p), [0]);
    p.complete(0);
    assert_eq!(started(&mut p), [1, 2]);
}

proptest! {
    /// Whatever is gone, all is made in the end or the request is given up, and nothing
    /// runs without its inputs.
    #[test]
    fn each_request_comes_to_an_end(
        edges in proptest::collection::vec(any::<u8>(), 1..6),
        ends in proptest::collection::vec((any::<u8>(), any::<bool>()), 200),
    ) {
        let after: Vec<Vec<usize>> = edges
            .iter()
            .enumerate()
            .map(|(i, e)| (0..i).filter(|j| e & (1 << j) != 0).collect())
            .collect();
        let mut p = Progress::new(after.clone());
        let (mut running, mut held) = (Vec::new(), vec![false; after.len()]);
        for (which, gone) in ends {
            for stage in started(&mut p) {
                prop_assert!(after[stage].iter().all(|j| held[*j]), "{stage} has its inputs");
                running.push(stage);
            }
            if running.is_empty() {
                break;
            }
            let stage = running.swap_remove(usize::from(which) % running.len());
            if gone && !after[stage].is_empty() {
                let Some(again) = p.input_lost(stage) else {
                    return Ok(());
                };
                again.iter().for_each(|j| held[*j] = false);
            } else {
                held[stage] = true;
                p.complete(stage).iter().for_each(|j| held[*j] = false);
            }
        }
        prop_assert!(p.is_done());
        prop_assert!(p.final_stages().iter().all(|i| held[*i]));
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_branch_may_start_so_late_that_it_ends_with_the_longest_path() {
    let chain_and_one = vec![vec![], vec![0], vec![1], vec![]];
    let cases = [
        ([300, 300, 300, 250], [0, 300, 600, 650]),
        ([300, 300, 300, 0], [0, 300, 600, 900]),
        ([100, 0, 0, 250], [150, 250, 250, 0]),
        ([0, 0, 0, 0], [0, 0, 0, 0]),
    ];
    for (takes, wanted) in cases {
        let starts = latest_starts(&chain_and_one, &takes.map(ms));
        assert_eq!(starts, wanted.map(ms), "{takes:?}");
    }
}

#[test]
fn a_postponed_stage_starts_once_it_is_released() {
    let mut p = chain();
    p.postpone(3);
    assert_eq!(started(&mut p), [0]);
    p.release(3);
    assert_eq!(started(&mut p), [3]);
}

proptest! {
    /// Starting each stage as late as allowed keeps to the order and makes nothing longer.
    #[test]
    fn latest_starts_keep_the_order_and_the_whole_time(
        stages in proptest::collection::vec((0u64..500, proptest::collection::vec(any::<bool>(), 6)), 1..6),
    ) {
        let after: Vec<Vec<usize>> = stages.iter().enumerate()
            .map(|(i, (_, on))| (0..i).filter(|j| on[*j]).collect()).collect();
        let takes: Vec<Duration> = stages.iter().map(|(t, _)| ms(*t)).collect();
        let starts = latest_starts(&after, &takes);
        let whole = critical_path(&after, &takes);
        for (i, before) in after.iter().enumerate() {
            prop_assert!(starts[i] + takes[i] <= whole);
            for j in before {
                prop_assert!(starts[*j] + takes[*j] <= starts[i]);
            }
        }
        prop_assert!(starts.iter().zip(&takes).any(|(s, t)| *s + *t == whole));
    }
}
