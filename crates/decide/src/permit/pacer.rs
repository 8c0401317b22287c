//! When callers are told to come back to a service all of whose targets are at their limits.

use std::time::Duration;

use model::Time;

/// Longest time that a caller is told, beyond that until any target gets a request. Few wait for
/// longer; those told later times are taken to have given up, and the next are told early ones.
const MAX_SPREAD: Duration = Duration::from_secs(10);

/// Callers of one service that were sent away: one after the other, as fast as this node's part of
/// the permits comes, so that those of all nodes together find some.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPacer {
    last: Time,
}

impl RetryPacer {
    /// Time after which the next caller may come back. `soonest` is the time until a target may
    /// get a request, `pace` the permits a second of all targets, of which this is one of `nodes`.
    pub fn next(&mut self, min_wait: Duration, rate: f64, nodes: usize, now: Time) -> Duration {
        let interval =
            Duration::from_secs_f64((nodes.max(1) as f64 / rate).min(MAX_SPREAD.as_secs_f64()));
        let earliest = now + min_wait;
        let next = (self.last + interval).max(earliest);
        self.last = if next > earliest + MAX_SPREAD { earliest } else { next };
        self.last.since(now)
    }
}
