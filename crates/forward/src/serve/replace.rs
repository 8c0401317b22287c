//! Replacement of a run whose target is silent.
//!
//! A target that is silent may be sound and go on, so its run ends only once another target has
//! begun to answer in its place. Until then the run is read as before, and its answer ends the
//! search for a replacement. While several targets are silent and none is heard, a second run would
//! only add to their work, so none is started.

use std::time::Duration;

use model::forward::TargetId;

use super::exchange::Exchange;
use crate::events::Event;

/// Divisor of the silence timeout; other targets count as silent after the quotient.
const QUIET_DIVISOR: u32 = 2;

/// End of a run.
pub(super) enum RunEnd<T, R> {
    /// Its outcome.
    Outcome(T),
    /// Another run took its place; the outcome is that of this one if it failed before.
    Replaced(R, Option<T>),
}

impl Exchange {
    /// Waits for the outcome of `run`. Whenever its target has been silent for too long, `replace`
    /// looks for another target meanwhile. The run is dropped once there is a replacement.
    pub(super) async fn run_or_replace<T, R>(
        &self,
        target: &TargetId,
        run: impl Future<Output = T>,
        is_answer: impl Fn(&T) -> bool,
        replace: impl AsyncFn() -> Option<R>,
    ) -> RunEnd<T, R> {
        let mut run = std::pin::pin!(run);
        let mut silent = Duration::ZERO;
        while let Some(timeout) = self.silence_timeout() {
            let until = self.node.now() + timeout;
            if let Some(outcome) = self.node.clock.timeout_at(until, run.as_mut()).await {
                return RunEnd::Outcome(outcome);
            }
            silent += timeout;
            if let Some(reason) = self.no_replacement_reason(timeout) {
                self.log_silence(target, silent, reason);
                continue;
            }
            let before = self.progress(|p| p.quiet_time.replace(timeout / QUIET_DIVISOR));
            let end = race(run.as_mut(), &is_answer, replace()).await;
            self.progress(|p| p.quiet_time = before);
            if !matches!(end, Some(RunEnd::Replaced(..))) {
                self.progress(|p| p.target = Some(target.clone()));
            }
            self.log_silence(target, silent, outcome_name(end.as_ref(), &is_answer));
            if let Some(end) = end {
                return end;
            }
        }
        RunEnd::Outcome(run.await)
    }

    /// Time for which a target may be silent before a replacement is sought.
    fn silence_timeout(&self) -> Option<Duration> {
        let objective = Duration::from_millis(self.route.objective_ms);
        let pause = self.route.pause_ms.map(Duration::from_millis);
        let timeout = self.progress(|p| p.attempts.silence_timeout(objective, pause));
        timeout.filter(|_| self.node.settings().policy.patience)
    }

    /// Why no replacement is sought now.
    fn no_replacement_reason(&self, timeout: Duration) -> Option<&'static str> {
        let since = self.node.now() - timeout / QUIET_DIVISOR;
        if self.node.fleet(|f| f.is_service_silent(&self.service, since)) {
            return Some("all_silent");
        }
        (!self.node.permits_repeat(&self.service)).then_some("no_repeat")
    }

    fn log_silence(&self, target: &TargetId, silent: Duration, outcome: &str) {
        Event::Silent {
            id: &self.head.id,
            target: &target.name,
            silent_ms: silent.as_millis() as u64,
            left_ms: self.time_left().as_millis() as u64,
            outcome,
        }
        .emit();
    }
}

/// Name in log lines of what became of a run; `None` if it goes on.
fn outcome_name<T, R>(end: Option<&RunEnd<T, R>>, is_answer: impl Fn(&T) -> bool) -> &'static str {
    match end {
        None => "not_replaced",
        Some(RunEnd::Outcome(outcome)) if is_answer(outcome) => "answered",
        Some(RunEnd::Replaced(_, None)) => "replaced",
        Some(RunEnd::Outcome(_) | RunEnd::Replaced(_, Some(_))) => "failed",
    }
}

/// Waits for an answer of `run` or the end of `search`, whichever is first; a run that fails does
/// not end the search. `None` if the search has found nothing and the run goes on.
async fn race<T, R>(
    mut run: impl Future<Output = T> + Unpin,
    is_answer: impl Fn(&T) -> bool,
    search: impl Future<Output = Option<R>>,
) -> Option<RunEnd<T, R>> {
    let mut search = std::pin::pin!(search);
    let outcome = tokio::select! {
        biased;
        outcome = &mut run => outcome,
        found = &mut search => {
            return found.map(|replacement| RunEnd::Replaced(replacement, None));
        }
    };
    if is_answer(&outcome) {
        return Some(RunEnd::Outcome(outcome));
    }
    Some(match search.await {
        Some(replacement) => RunEnd::Replaced(replacement, Some(outcome)),
        None => RunEnd::Outcome(outcome),
    })
}
