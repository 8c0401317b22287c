//! Progress of a request's stages when results are lost.

use std::time::Duration;

use decide::stages::{Progress, critical_path, latest_starts};
use proptest::prelude::*;

fn start_all(p: &mut Progress) -> Vec<usize> {
    std::iter::from_fn(|| p.start_next()).collect()
}

/// Three stages in sequence and one in parallel.
fn chain() -> Progress {
    Progress::new(vec![vec![], vec![0], vec![1], vec![]])
}

#[test]
fn stages_start_once_their_inputs_are_complete_and_free_consumed_results() {
    let mut p = chain();
    assert_eq!(start_all(&mut p), [0, 3]);
    assert!(p.complete(0).is_empty(), "stage 1 still needs it");
    assert_eq!(start_all(&mut p), [1]);
    assert_eq!(p.complete(1), [0]);
    assert_eq!(start_all(&mut p), [2]);
    assert_eq!(p.complete(2), [1]);
    assert!(!p.is_done());
    assert!(p.complete(3).is_empty(), "the request itself needs the final results");
    assert!(p.is_done());
    assert_eq!(p.final_stages(), [2, 3]);
}

#[test]
fn a_result_used_by_two_stages_is_freed_after_both() {
    let mut p = Progress::new(vec![vec![], vec![0], vec![0]]);
    start_all(&mut p);
    p.complete(0);
    assert_eq!(start_all(&mut p), [1, 2]);
    assert!(p.complete(1).is_empty());
    assert_eq!(p.complete(2), [0]);
}

#[test]
fn a_lost_input_is_recomputed_with_its_freed_predecessors() {
    let mut p = chain();
    start_all(&mut p);
    p.complete(0);
    start_all(&mut p);
    p.complete(1);
    assert_eq!(start_all(&mut p), [2]);
    assert_eq!(p.input_lost(2), Some(vec![1, 0]), "the input of stage 1 was freed");
    assert_eq!(start_all(&mut p), [0]);
    p.complete(0);
    assert_eq!(start_all(&mut p), [1]);
    p.complete(1);
    assert_eq!(start_all(&mut p), [2]);
    assert!(p.input_lost(2).is_some());
    start_all(&mut p);
    p.complete(0);
    start_all(&mut p);
    p.complete(1);
    start_all(&mut p);
    assert_eq!(p.input_lost(2), None, "the limit is reached");
}

#[test]
fn a_stage_waits_for_inputs_that_are_recomputed() {
    let mut p = Progress::new(vec![vec![], vec![0], vec![0]]);
    start_all(&mut p);
    p.complete(0);
    assert_eq!(start_all(&mut p), [1, 2]);
    assert_eq!(p.input_lost(1), Some(vec![0]));
    assert_eq!(p.input_lost(2), Some(vec![]), "it is already being recomputed");
    assert_eq!(start_all(&mut p), [0]);
    p.complete(0);
    assert_eq!(start_all(&mut p), [1, 2]);
}

proptest! {
    /// For any lost results, all stages complete or the request is given up, and no stage runs
    /// without its inputs.
    #[test]
    fn each_request_ends(
        edges in proptest::collection::vec(any::<u8>(), 1..6),
        ends in proptest::collection::vec((any::<u8>(), any::<bool>()), 200),
    ) {
        let predecessors: Vec<Vec<usize>> = edges
            .iter()
            .enumerate()
            .map(|(i, e)| (0..i).filter(|j| e & (1 << j) != 0).collect())
            .collect();
        let mut p = Progress::new(predecessors.clone());
        let (mut running, mut held) = (Vec::new(), vec![false; predecessors.len()]);
        for (which, lost) in ends {
            for stage in start_all(&mut p) {
                prop_assert!(predecessors[stage].iter().all(|j| held[*j]), "{stage} has its inputs");
                running.push(stage);
            }
            if running.is_empty() {
                break;
            }
            let stage = running.swap_remove(usize::from(which) % running.len());
            if lost && !predecessors[stage].is_empty() {
                let Some(recomputed) = p.input_lost(stage) else {
                    return Ok(());
                };
                recomputed.iter().for_each(|j| held[*j] = false);
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
fn a_branch_may_start_so_late_that_it_ends_with_the_critical_path() {
    let chain_and_one = vec![vec![], vec![0], vec![1], vec![]];
    let cases = [
        ([300, 300, 300, 250], [0, 300, 600, 650]),
        ([300, 300, 300, 0], [0, 300, 600, 900]),
        ([100, 0, 0, 250], [150, 250, 250, 0]),
        ([0, 0, 0, 0], [0, 0, 0, 0]),
    ];
    for (durations, expected) in cases {
        let starts = latest_starts(&chain_and_one, &durations.map(ms));
        assert_eq!(starts, expected.map(ms), "{durations:?}");
    }
}

#[test]
fn a_postponed_stage_starts_once_it_is_released() {
    let mut p = chain();
    p.postpone(3);
    assert_eq!(start_all(&mut p), [0]);
    p.release(3);
    assert_eq!(start_all(&mut p), [3]);
}

proptest! {
    /// Starting each stage as late as allowed keeps the order and does not extend the total time.
    #[test]
    fn latest_starts_keep_the_order_and_the_total_time(
        stages in proptest::collection::vec((0u64..500, proptest::collection::vec(any::<bool>(), 6)), 1..6),
    ) {
        let predecessors: Vec<Vec<usize>> = stages.iter().enumerate()
            .map(|(i, (_, on))| (0..i).filter(|j| on[*j]).collect()).collect();
        let durations: Vec<Duration> = stages.iter().map(|(t, _)| ms(*t)).collect();
        let starts = latest_starts(&predecessors, &durations);
        let total = critical_path(&predecessors, &durations);
        for (i, before) in predecessors.iter().enumerate() {
            prop_assert!(starts[i] + durations[i] <= total);
            for j in before {
                prop_assert!(starts[*j] + durations[*j] <= starts[i]);
            }
        }
        prop_assert!(starts.iter().zip(&durations).any(|(s, t)| *s + *t == total));
    }
}
