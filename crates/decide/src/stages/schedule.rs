//! Times along the paths of one request's stages.
//!
//! Stages are named by position, `after` lists for each those that come before it, all
//! at lower positions, and `takes` how long each takes. A stage that is left out takes
//! no time.

use std::time::Duration;

/// For each stage, the time of the longest path behind it, itself not counted.
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

/// The time of the longest path.
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

/// For each stage, how long after the first one it may start without making the whole
/// longer.
pub fn latest_starts(predecessors: &[Vec<usize>], durations: &[Duration]) -> Vec<Duration> {
    let paths = paths(predecessors, durations);
    let longest = paths.iter().max().copied().unwrap_or_default();
    paths.into_iter().map(|path| longest - path).collect()
}
