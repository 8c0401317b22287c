//! The verdict after a send that brought no answer to pass on.

use std::time::Duration;

use model::forward::Repeat;

/// Least time that a further send is worth starting with.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Pauses between events that a silent stream is waited for.
const SILENT_PAUSES: u32 = 5;
/// Least time for which a begun stream may be silent.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// What is known of a request's run at the target that it was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No byte was sent, or the target said that it did not run it.
    Excluded,
    /// Bytes were sent and nothing certain came back.
    Possible,
}

/// The tries that one request has behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may be run again.
    pub repeat: Repeat,
    /// Most targets that may run it.
    pub max_targets: u32,
    /// Targets that it reached, those that said they did not run it included.
    pub reached: u32,
    /// The surest that is known of all its runs together.
    pub execution: Execution,
    /// Whether a send is under way, so that bytes may be at a target.
    pub in_flight: bool,
    /// Whether part of the answer is with the caller already.
    pub response_begun: bool,
}

/// How a request ends that is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It has not run and never will; the caller may come back.
    NotRun,
    /// It may have run; nothing is promised.
    Unknown,
    /// Its answer has begun and cannot be completed: the connection is broken off.
    BreakOff,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another target, from the beginning or from the last event on.
    Resend,
    /// End it.
    End(Ending),
}

impl Attempts {
    /// Tries of a request that was not sent yet.
    pub fn new(repeat: Repeat, max_targets: u32) -> Self {
        Attempts {
            repeat,
            max_targets: max_targets.max(1),
            reached: 0,
            execution: Execution::Excluded,
            in_flight: false,
            response_begun: false,
        }
    }

    /// A connection to a target is up, and bytes go to it from now on.
    pub fn connected(&mut self) {
        self.reached += 1;
        self.in_flight = true;
    }

    /// Notes whether the target that was reached may have run the request.
    pub fn record(&mut self, execution: Execution) {
        self.in_flight = false;
        self.execution = self.execution.max(execution);
    }

    /// How the request ends if it ends now.
    pub fn ending(&self) -> Ending {
        match (self.response_begun, self.execution, self.in_flight) {
            (true, _, _) => Ending::BreakOff,
            (false, Execution::Excluded, false) => Ending::NotRun,
            (false, _, _) => Ending::Unknown,
        }
    }

    /// Whether the rules of repetition allow a further send with this time left;
    /// the budget is asked only then.
    pub fn may_resend(&self, left: Duration) -> bool {
        if left < MIN_TIME_LEFT {
            return false;
        }
        if self.execution == Execution::Excluded {
            return self.reached < self.max_targets.max(MAX_REJECTIONS);
        }
        let resumable = !self.response_begun || self.repeat == Repeat::StreamResumable;
        self.repeat.may_repeat() && resumable && self.reached < self.max_targets
    }

    /// How long a target may be silent before another one is asked in its place;
    /// `None` if it is waited for to the end. `pause` is the longest between events.
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

    /// The verdict, given the time left and whether the budget grants a repeat.
    pub fn next(&self, left: Duration, granted: impl FnOnce() -> bool) -> Next {
        let first = self.reached == 0 && left >= MIN_TIME_LEFT;
        if first || (self.may_resend(left) && granted()) {
            return Next::Resend;
        }
        Next::End(self.ending())
    }
}

/// Targets that may reject a request one after the other before it is given up.
const MAX_REJECTIONS: u32 = 2;
