//! Times along the paths of one request's stages.
//!
//! Stages are identified by position. `predecessors` lists for each the stages before it, all at
//! lower positions, and `durations` the time of each, zero if it is skipped.

use std::time::Duration;

/// For each stage, the time of the longest path after it, excluding the stage itself.
pub fn remaining_times(predecessors: &[Vec<usize>], durations: &[Duration]) -> Vec<Duration> {
    let mut remaining = vec![Duration::ZERO; predecessors.len()];
    for stage in (0..predecessors.len()).rev() {
        let total = durations[stage] + remaining[stage];
        for before in &predecessors[stage] {
            remaining[*before] = remaining[*before].max(total);
        }
    }
    remaining
}

/// Time of the longest path.
pub fn critical_path(predecessors: &[Vec<usize>], durations: &[Duration]) -> Duration {
    paths(predecessors, durations).into_iter().max().unwrap_or_default()
}

/// For each stage, the time of the longest path from its start.
fn paths(predecessors: &[Vec<usize>], durations: &[Duration]) -> Vec<Duration> {
    durations
        .iter()
        .zip(remaining_times(predecessors, durations))
        .map(|(own, rest)| *own + rest)
        .collect()
}

/// For each stage, the latest start after the first one that does not extend the critical path.
pub fn latest_starts(predecessors: &[Vec<usize>], durations: &[Duration]) -> Vec<Duration> {
    let paths = paths(predecessors, durations);
    let longest = paths.iter().max().copied().unwrap_or_default();
    paths.into_iter().map(|path| longest - path).collect()
}
