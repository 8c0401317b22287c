//! The decision after an attempt that brought no answer to pass on.

use std::time::Duration;

use model::forward::Repeat;

/// Minimum time left for a further attempt to be worthwhile.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Multiple of the longest pause between events for which a silent stream is waited for.
const SILENT_PAUSES: u32 = 5;
/// Minimum time for which a stream that has begun may be silent.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// Whether a request may have run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No byte was sent, or the target reported that it did not run it.
    Excluded,
    /// Bytes were sent, and whether it ran is unknown.
    Possible,
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Maximum number of targets that may run it.
    pub max_targets: u32,
    /// Targets that it reached, including those that reported not to have run it.
    pub reached: u32,
    /// Whether any of its attempts may have run.
    pub execution: Execution,
    /// Attempts in flight, whose bytes may be at a target.
    pub in_flight: u32,
    /// Whether the caller already has part of the response.
    pub response_begun: bool,
}

/// Outcome of a request that is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It has not run and never will; the caller may retry.
    NotRun,
    /// It may have run; no guarantee is given.
    Unknown,
    /// Its response has begun and cannot be completed: the connection is closed.
    BreakOff,
}

/// Next step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another target, from the start or from the last event on.
    Resend,
    /// End it with this outcome.
    End(Ending),
}

impl Attempts {
    /// Attempts of a request that was not sent yet.
    pub fn new(repeat: Repeat, max_targets: u32) -> Self {
        Attempts {
            repeat,
            max_targets: max_targets.max(1),
            reached: 0,
            execution: Execution::Excluded,
            in_flight: 0,
            response_begun: false,
        }
    }

    /// Records a connection to a target, which gets bytes from now on.
    pub fn connected(&mut self) {
        self.reached += 1;
        self.in_flight += 1;
    }

    /// Records whether the target that was reached may have run the request.
    pub fn record(&mut self, execution: Execution) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.execution = self.execution.max(execution);
    }

    /// Outcome of the request if it ends now.
    pub fn ending(&self) -> Ending {
        match (self.response_begun, self.may_have_run()) {
            (true, _) => Ending::BreakOff,
            (false, false) => Ending::NotRun,
            (false, true) => Ending::Unknown,
        }
    }

    fn may_have_run(&self) -> bool {
        self.execution == Execution::Possible || self.in_flight > 0
    }

    /// Whether the retry rules allow a further attempt with this time left; the budget is asked
    /// only then.
    pub fn may_resend(&self, left: Duration) -> bool {
        if left < MIN_TIME_LEFT {
            return false;
        }
        if !self.may_have_run() {
            return self.reached < self.max_targets.max(MAX_REJECTIONS);
        }
        let resumable = !self.response_begun || self.repeat == Repeat::StreamResumable;
        self.repeat.may_repeat() && resumable && self.reached < self.max_targets
    }

    /// Time for which a target may be silent before the request is sent to another one in its
    /// place; `None` if it is waited for without limit. `pause` is the longest pause between
    /// events.
    pub fn silence_timeout(
        &self,
        objective: Duration,
        pause: Option<Duration>,
    ) -> Option<Duration> {
        if !self.repeat.may_repeat() || self.reached >= self.max_targets {
            return None;
        }
        let pauses = pause.unwrap_or_default() * SILENT_PAUSES;
        Some(if self.response_begun { pauses.max(MIN_SILENCE) } else { objective.max(pauses) })
    }

    /// The next step, given the time left and whether the budget grants a repeat.
    pub fn next(&self, left: Duration, granted: impl FnOnce() -> bool) -> Next {
        let first = self.reached == 0 && left >= MIN_TIME_LEFT;
        if first || (self.may_resend(left) && granted()) {
            return Next::Resend;
        }
        Next::End(self.ending())
    }
}

/// Number of consecutive targets that may reject a request before it is given up.
const MAX_REJECTIONS: u32 = 2;
