//! Times along the paths of one request's stages.
//!
//! Stages are named by position, `after` lists for each those that come before it, all
//! at lower positions, and `takes` how long each takes. A stage that is left out takes
//! no time.

use std::time::Duration;

/// For each stage, the time of the longest path behind it, itself not counted.
pub fn tails(after: &[Vec<usize>], takes: &[Duration]) -> Vec<Duration> {
    let mut tails = vec![Duration::ZERO; after.len()];
    for stage in (0..after.len()).rev() {
        let whole = takes[stage] + tails[stage];
        for before in &after[stage] {
            tails[*before] = tails[*before].max(whole);
        }
    }
    tails
}

/// The time of the longest path.
pub fn longest(after: &[Vec<usize>], takes: &[Duration]) -> Duration {
    paths(after, takes).into_iter().max().unwrap_or_default()
}

/// For each stage, the time of the longest path from its start.
fn paths(after: &[Vec<usize>], takes: &[Duration]) -> Vec<Duration> {
    takes.iter().zip(tails(after, takes)).map(|(own, tail)| *own + tail).collect()
}

/// For each stage, how long after the first one it may start without making the whole
/// longer.
pub fn latest_starts(after: &[Vec<usize>], takes: &[Duration]) -> Vec<Duration> {
    let paths = paths(after, takes);
    let longest = paths.iter().max().copied().unwrap_or_default();
    paths.into_iter().map(|path| longest - path).collect()
}
