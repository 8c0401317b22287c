//! Exchange of one request: its stages, its attempts and its final response.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use decide::resend::{Attempts, Ending};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use model::forward::{Allowed, CallerHead, Rank, Route, Side, StreamOrigin, Target, TargetId};
use model::{Name, Time};

use super::proxy;
use super::reply::{self, Body};
use super::send::{Outcome, send_or_replace};
use super::stream;
use crate::events::Event;
use crate::limits::AT_LIMIT;
use crate::memory::HeldBody;
use crate::node::Node;
use crate::phase::LifePhase;
use crate::quarantine::{self, RequestKeys};
use crate::received::ReceivedBody;
use crate::slots::NO_SLOT;
use crate::stages::{self, Job, RequestResults, StageError};
use crate::work::{OpenWork, WorkStage};

/// Part of the caller's deadline that is reserved for returning the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// Retry delay for callers of a service without a usable target.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Reason of a refusal while all targets are backed off.
const ALL_BACKED_OFF: &str = "its targets want no requests before a time that they named";
/// Maximum number of stage runs whose results turn out to be outside of the allowed regions: a
/// coordinator's data may place a target elsewhere than this node's data, but only briefly.
const MAX_STAGE_ROUNDS: usize = 2;

/// A request as it was received.
pub struct ReceivedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: ReceivedBody,
}

/// A target's response with an error status.
pub struct ErrorResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: HeldBody,
}

/// State of a request in progress.
pub struct Progress {
    pub attempts: Attempts,
    /// Targets that must not be chosen again.
    pub excluded: Vec<TargetId>,
    /// Silence that bars another target from replacing a silent one; `None` while no replacement is
    /// sought.
    pub quiet_time: Option<Duration>,
    /// Target of the last attempt.
    pub target: Option<TargetId>,
    /// Version of the target that sent the first event of the stream, in this or an earlier attempt;
    /// no other version may continue it.
    pub begun_at: Option<Name>,
    /// When the first event arrived.
    pub first_event_at: Option<Time>,
    /// Total time that stages took.
    pub stage_time: Duration,
    /// Region where the target's inputs are stored, if there are any.
    pub input_region: Option<Name>,
    /// Error response of a target, forwarded if no other target gives a better one.
    pub error_response: Option<ErrorResponse>,
    /// Why the last attempt gave no response.
    pub reason: String,
    /// Whether the request uses the serving version although it was assigned to the trial version.
    pub left_trial: bool,
    /// Whether the line of the final response has been logged.
    is_logged: bool,
}

impl Progress {
    /// Records an attempt at a target, which must not be chosen again.
    pub(super) fn record_target(&mut self, target: &TargetId) {
        self.excluded.push(target.clone());
        self.target = Some(target.clone());
    }
}

/// An admitted request and what was resolved for it.
pub struct Admitted {
    pub request: ReceivedRequest,
    /// Parsed head of the request.
    pub head: CallerHead,
    /// Identify repeated requests, and the shared parts of prompts.
    pub keys: RequestKeys,
    pub route: Route,
    pub service: Name,
    /// Workspace of the caller's key.
    pub workspace: Option<Name>,
    pub rank: Rank,
    /// Regions allowed at admission.
    pub allowed: Allowed,
    /// Side of the rollout that it was assigned to at admission.
    pub side: Side,
    /// Origin of the stream that it resumes.
    pub origin: Option<StreamOrigin>,
    /// Version of the rules at admission.
    pub rules_version: u64,
    /// Whether another node received the request and sent it through this one.
    pub is_proxied: bool,
    pub arrived: Time,
    /// When the request is abandoned.
    pub deadline: Time,
    /// Until when its caller waits, whatever the route's timeout.
    pub caller_deadline: Time,
}

/// One request in progress.
pub struct Exchange {
    pub node: Rc<Node>,
    admitted: Admitted,
    progress: RefCell<Progress>,
    work: Rc<OpenWork>,
}

impl Deref for Exchange {
    type Target = Admitted;

    fn deref(&self) -> &Admitted {
        &self.admitted
    }
}

impl Exchange {
    /// Starts to serve a request; its deadline is reduced by the margin for the response.
    pub fn new(node: Rc<Node>, admitted: Admitted, work: Rc<OpenWork>) -> Self {
        let route = &admitted.route;
        let progress = Progress {
            attempts: Attempts::new(route.repeat, route.max_attempts),
            excluded: Vec::new(),
            quiet_time: None,
            target: None,
            begun_at: admitted.origin.as_ref().map(|o| o.version.clone()),
            first_event_at: None,
            stage_time: Duration::ZERO,
            input_region: None,
            error_response: None,
            reason: String::new(),
            left_trial: false,
            is_logged: false,
        };
        work.enter(WorkStage::Running);
        work.set_deadline(admitted.caller_deadline);
        node.quarantine.attempt_started(&admitted.head.id, admitted.keys.request);
        let deadline = admitted.deadline - RESPONSE_MARGIN;
        let admitted = Admitted { deadline, ..admitted };
        Exchange { node, admitted, progress: RefCell::new(progress), work }
    }

    /// This request as open work of the node.
    pub(super) fn work(&self) -> &Rc<OpenWork> {
        &self.work
    }

    /// Accesses the progress, which must not be borrowed already.
    pub fn progress<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        f(&mut self.progress.borrow_mut())
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.node.now())
    }

    /// Time left until the route's objective.
    pub(super) fn slack(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms);
        (self.arrived + objective).since(self.node.now())
    }

    /// Serves the request until its final response, its deadline, or the end of this node.
    pub async fn run(self: Rc<Self>) -> Response<Body> {
        let cause = tokio::select! {
            served = self.clone().serve() => return served.unwrap_or_else(|error| error),
            () = self.node.clock.sleep_until(self.deadline) => "time was over",
            () = self.node.wait_for_phase(LifePhase::Ending) => "this node stops",
        };
        self.progress(|p| p.reason = format!("{cause}; before: {}", p.reason));
        self.end_unanswered()
    }

    /// Returns a target's response; `Err` holds one for a request that no target answered.
    async fn serve(self: Rc<Self>) -> Result<Response<Body>, Response<Body>> {
        if self.avoids_links() {
            if let Some(response) = proxy::send(&self).await {
                return Ok(response);
            }
            if self.node.links.is_lost() {
                return Err(self.end_unanswered());
            }
        }
        self.node.count_request(&self.service);
        let chosen = self.choose();
        if chosen.is_none() || self.unserved_service().is_some() {
            // No stage runs for a request that no target could serve.
            let reason = self.no_target_reason();
            self.progress(|p| p.reason = reason);
            return Err(self.end_unanswered());
        }
        let mut results = None;
        if !self.route.stages.is_empty() {
            results = Some(self.run_stages(chosen.as_ref()).await?);
        }
        self.try_targets(chosen, results).await
    }

    /// Sends the request to one target after another until one responds or none is left.
    async fn try_targets(
        self: Rc<Self>,
        mut chosen: Option<Target>,
        mut results: Option<RequestResults>,
    ) -> Result<Response<Body>, Response<Body>> {
        loop {
            let first = chosen.take().filter(|t| self.is_near_inputs(t));
            if self.node.links.is_lost() && self.may_use_peer() {
                return proxy::send(&self).await.ok_or_else(|| self.end_unanswered());
            }
            let Some(choice) = self.next_target(first).await else {
                return Err(self.end_without_target().await);
            };
            let target = choice.target.clone();
            if results.take_if(|m| !self.is_result_allowed(m)).is_some() {
                results = Some(self.run_stages(Some(&target)).await?);
            }
            match send_or_replace(&self, choice, results.as_ref(), None).await {
                Outcome::Complete { status, headers, body } => {
                    self.log_end(status.as_u16(), "answered");
                    self.work.set_answer_whole();
                    return Ok(reply::forward(status, headers, Box::pin(body)));
                }
                // By its first event the target has fetched its inputs, so they are freed. They
                // are recomputed for a second target: resumes are rare, and the space for results
                // at workers is scarce.
                Outcome::Stream(started) => {
                    let kept_results = results.filter(|_| !self.node.settings().policy.early_free);
                    return Ok(stream::response(self, *started, kept_results));
                }
                Outcome::InputLost if !self.node.settings().policy.recompute => {
                    return Err(self.end_unanswered());
                }
                Outcome::InputLost => {
                    results = Some(self.run_stages(Some(&target)).await?);
                    self.progress(|p| p.excluded.clear());
                }
                Outcome::NoResponse => {}
            }
        }
    }

    /// Final response to a request that no further target may get: that of a peer if the links prove
    /// to be lost and one serves it.
    async fn end_without_target(self: &Rc<Self>) -> Response<Body> {
        if self.may_use_peer() {
            self.node.links.wait_for_verdict(self.node.now()).await;
            if self.node.links.is_lost()
                && let Some(response) = proxy::send(self).await
            {
                return response;
            }
        }
        self.end_unanswered()
    }

    async fn run_stages(&self, chosen: Option<&Target>) -> Result<RequestResults, Response<Body>> {
        self.run_stages_within(self.slack(), chosen).await.map_err(|_| self.end_unanswered())
    }

    /// Reruns the stages of a stream that resumes at `target`. Its first event was sent long ago;
    /// what matters is the pause that its caller tolerates, about one objective.
    pub async fn rerun_stages(&self, target: &Target) -> Result<RequestResults, StageError> {
        let objective = Duration::from_millis(self.route.objective_ms);
        let results = self.run_stages_within(objective, Some(target)).await;
        let left_ms = self.time_left().as_millis() as u64;
        let stages = self.route.stages.len();
        Event::Resuming { id: &self.head.id, stages, made: results.is_ok(), left_ms }.emit();
        results
    }

    async fn run_stages_within(
        &self,
        slack: Duration,
        target: Option<&Target>,
    ) -> Result<RequestResults, StageError> {
        let started = self.node.now();
        let results = self.run_allowed_stages(started + slack, target).await;
        let took = self.node.now().since(started);
        self.progress(|p| p.stage_time += took);
        let map = self.node.peers.roster(|r| r.map());
        let input_region =
            results.as_ref().ok().and_then(RequestResults::inputs_domain).map(|d| map.region_of(d));
        self.progress(|p| p.input_region = input_region);
        results.inspect_err(|e| {
            let is_unserved = self.unserved_service().is_some();
            let reason = if is_unserved { self.no_target_reason() } else { e.to_string() };
            self.progress(|p| p.reason = reason);
        })
    }

    /// Runs the stages in the allowed regions, and again if these change meanwhile: the orders are
    /// then cancelled and the results freed.
    async fn run_allowed_stages(
        &self,
        due: Time,
        target: Option<&Target>,
    ) -> Result<RequestResults, StageError> {
        let mut rounds = MAX_STAGE_ROUNDS;
        while rounds > 0 {
            if self.unserved_service().is_some() {
                return Err(StageError::NoAllowedTarget);
            }
            let allowed = self.allowed_regions();
            let near = target.filter(|t| self.is_target_allowed(&t.id)).map(|t| t.domain.clone());
            let job = Job {
                route: &self.route,
                head: &self.head,
                near,
                slack_ms: due.since(self.node.now()).as_millis() as u64,
                left_ms: self.time_left().as_millis() as u64,
                allowed: &allowed,
                rank: if self.node.settings().policy.ranks { self.rank } else { Rank::default() },
            };
            tokio::select! {
                results = stages::run_all(&self.node, job) => match results {
                    Err(StageError::WrongRegion) => rounds -= 1,
                    end => return end,
                },
                () = self.wait_allowed_changed(&allowed) => {}
            }
            Event::Moved { id: &self.head.id, version: self.node.table().rules.version }.emit();
        }
        Err(StageError::NoAllowedTarget)
    }

    /// Records that the request was interrupted at a target that may have started it.
    pub(super) fn record_interruption(&self, target: &Target) {
        self.node.quarantine.request_interrupted(&self.node, target, &self.keys);
    }

    /// Records that a target answered the request completely.
    pub(super) fn record_completion(&self) {
        self.node.quarantine.request_answered(&self.node, &self.keys);
    }

    /// Why the request must not be sent: targets crashed while they ran it or a part of its prompt.
    pub(super) fn quarantine_refusal(&self) -> Option<quarantine::Refusal> {
        self.node.quarantine.refusal(&self.node, &self.keys)
    }

    /// Final response to a request that no target answered successfully.
    pub(super) fn end_unanswered(&self) -> Response<Body> {
        let ending = self.progress(|p| p.attempts.ending());
        if ending == Ending::Unknown
            && let Some(ErrorResponse { status, headers, body }) =
                self.progress(|p| p.error_response.take())
        {
            self.log_end(status.as_u16(), "failed");
            self.work.set_answer_whole();
            return reply::forward(status, headers, Box::pin(body));
        }
        let is_late = self.time_left().is_zero();
        let (status, retry_after, outcome) = match ending {
            Ending::NotRun => {
                if self.unserved_service().is_some() {
                    self.node.metrics.count_region_refusal(&self.route.name);
                }
                let retry_after = match self.quarantine_refusal() {
                    Some(held) => held.retry_after,
                    None => self
                        .earliest_retry()
                        .or(Some(NO_TARGET_RETRY_AFTER).filter(|_| self.has_allowed_domain())),
                };
                (StatusCode::SERVICE_UNAVAILABLE, retry_after, "not_run")
            }
            Ending::Unknown | Ending::BreakOff if is_late => {
                (StatusCode::GATEWAY_TIMEOUT, None, "unknown")
            }
            Ending::Unknown | Ending::BreakOff => (StatusCode::BAD_GATEWAY, None, "unknown"),
        };
        self.log_end(status.as_u16(), outcome);
        let reason = self.progress(|p| p.reason.clone());
        let mut response =
            reply::local(&self.node, status, Some(&self.head.id), retry_after, &reason);
        if self.is_proxied && ending == Ending::NotRun && self.node.links.is_lost() {
            proxy::mark_unserved(&mut response);
        }
        response
    }

    /// Shortest retry delay according to the backoffs and limits of the targets.
    fn earliest_retry(&self) -> Option<Duration> {
        let backoff = self.backoff_retry_after();
        if backoff.is_some() {
            self.progress(|p| p.reason = format!("{ALL_BACKED_OFF}; before: {}", p.reason));
        }
        backoff.into_iter().chain(self.refuse_at_limit()).chain(self.refuse_without_slot()).min()
    }

    /// Retry delay if all targets are at their limits, which is counted and noted as the reason.
    fn refuse_at_limit(&self) -> Option<Duration> {
        let wait = self.limit_retry_after()?;
        self.node.metrics.count_refused_at_limit(&self.route.name);
        self.progress(|p| p.reason = format!("{AT_LIMIT}; before: {}", p.reason));
        Some(wait)
    }

    /// Retry delay if no target has a free slot, which is noted as the reason.
    fn refuse_without_slot(&self) -> Option<Duration> {
        let wait = self.slot_retry_after()?;
        self.progress(|p| p.reason = format!("{NO_SLOT}; before: {}", p.reason));
        Some(wait)
    }

    /// Logs the final response, once.
    pub fn log_end(&self, status: u16, outcome: &str) {
        let mut p = self.progress.borrow_mut();
        if std::mem::replace(&mut p.is_logged, true) {
            return;
        }
        let took_ms = self.node.now().since(self.arrived).as_millis() as u64;
        let first_ms =
            p.first_event_at.map_or(took_ms, |at| at.since(self.arrived).as_millis() as u64);
        self.node.metrics.count_answer(&self.route.name, outcome, status);
        self.node.metrics.record_time("request", &self.route.name, took_ms);
        self.node.metrics.record_time("first", &self.route.name, first_ms);
        Event::Request {
            id: &self.head.id,
            same: &self.keys.request.to_string(),
            route: &self.route.name,
            version: self.rules_version,
            status,
            outcome,
            why: &p.reason,
            target: p.target.as_ref().map_or("", |t| &t.name),
            attempts: p.attempts.reached,
            stages_ms: p.stage_time.as_millis() as u64,
            first_ms,
            took_ms,
        }
        .emit();
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.log_end(0, "caller_left");
        self.node.quarantine.attempt_ended(&self.node, &self.head.id);
        self.work.enter_sending(std::mem::take(&mut self.admitted.head.id));
    }
}
