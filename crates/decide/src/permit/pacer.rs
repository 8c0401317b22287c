//! Retry times for callers of a service whose targets are all at their limits.

use std::collections::HashMap;
use std::time::Duration;

use model::{Name, Time};

/// Maximum retry delay beyond the time when a target accepts the next request. Few callers wait
/// longer than this; those with later times are assumed to have given up, and the delays restart
/// from the earliest time.
const MAX_SPREAD: Duration = Duration::from_secs(10);

/// Spreads the retries of rejected callers of one service at the rate of this node's share of the
/// permits, so that the retries at all nodes together find permits.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPacer {
    last: Time,
}

impl RetryPacer {
    /// Delay after which the next caller should retry. `min_wait` is the time until a target may
    /// get a request, `rate` the permits per second of all targets, shared by `nodes` nodes.
    pub fn next(&mut self, min_wait: Duration, rate: f64, nodes: usize, now: Time) -> Duration {
        let interval =
            Duration::from_secs_f64((nodes.max(1) as f64 / rate).min(MAX_SPREAD.as_secs_f64()));
        let earliest = now + min_wait;
        let next = (self.last + interval).max(earliest);
        self.last = if next > earliest + MAX_SPREAD { earliest } else { next };
        self.last.since(now)
    }
}

/// Retry times for the callers of each service.
#[derive(Debug, Default)]
pub struct RetryPacers(HashMap<Name, RetryPacer>);

impl RetryPacers {
    /// Delay after which the next caller of a service should retry; see [`RetryPacer::next`].
    pub fn next(
        &mut self,
        service: &Name,
        min_wait: Duration,
        rate: f64,
        nodes: usize,
        now: Time,
    ) -> Duration {
        self.0.entry(service.clone()).or_default().next(min_wait, rate, nodes, now)
    }
}
