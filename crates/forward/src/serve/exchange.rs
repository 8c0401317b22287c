//! The exchange of one request: its stages, its sends, and its final answer.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::quarantine::Hold;
use decide::resend::{Attempts, Ending};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use model::forward::{Allowed, CallerHead, Fingerprint, Rank, Route, Side, Target, TargetId};
use model::{Name, Time};

use super::reply::{self, Body};
use super::send::{Outcome, send};
use super::stream;
use crate::events::Event;
use crate::limits::AT_LIMIT;
use crate::node::{Node, OpenGuard};
use crate::phase::LifePhase;
use crate::stages::{self, Job, RequestResults, StageError};

/// Part of a deadline kept for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// When a caller is told to come back to a service that has no free target.
pub(super) const COME_BACK: Duration = Duration::from_millis(300);
/// Why a request is refused whose targets all want nothing.
const ALL_REST: &str = "its targets want no requests before a time that they named";
/// Times that stages are made for results that turn out to rest where they may not: a
/// coordinator may know another place of a target than this node, but for a moment only.
const ROUNDS: usize = 2;

/// A request as it was taken in.
pub struct Taken {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A target's answer that is no success.
pub struct Failure {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What is known so far of a request's way.
pub struct Progress {
    /// Tries.
    pub tries: Attempts,
    /// Targets not to be chosen again.
    pub but: Vec<TargetId>,
    /// The last target.
    pub target: Option<TargetId>,
    /// When the first event came.
    pub first: Option<Time>,
    /// Time that stages took.
    pub stages: Duration,
    /// Region where the target's inputs lie, if there are any.
    pub lies_at: Option<Name>,
    /// A target's own failure, passed on if no other target does better.
    pub failure: Option<Failure>,
    /// Why the last try brought nothing.
    pub why: String,
    /// It goes to the version that serves, although its turn was another one.
    pub left_trial: bool,
    ended: bool,
}

impl Progress {
    /// The request goes to this target now, and to it but once.
    pub(super) fn goes_to(&mut self, target: &TargetId) {
        self.but.push(target.clone());
        self.target = Some(target.clone());
    }
}

/// A request that was taken in, and what was found for it.
pub struct Admitted {
    /// The request.
    pub request: Taken,
    /// What its head says.
    pub head: CallerHead,
    /// What makes it the same as others.
    pub fingerprint: Fingerprint,
    /// Route.
    pub route: Route,
    /// Service.
    pub service: Name,
    /// Workspace of its key.
    pub workspace: Option<Name>,
    /// Rank.
    pub rank: Rank,
    /// Regions in which it may be served.
    pub allowed: Allowed,
    /// Version of its service that it was to go to when it was taken in.
    pub side: Side,
    /// Version of the rules that it was taken in by.
    pub version: u64,
    /// When it arrived.
    pub arrived: Time,
    /// When it is given up.
    pub deadline: Time,
}

/// One request on its way.
pub struct Exchange {
    /// Node.
    pub node: Rc<Node>,
    admitted: Admitted,
    progress: RefCell<Progress>,
    _open: OpenGuard,
}

impl Deref for Exchange {
    type Target = Admitted;

    fn deref(&self) -> &Admitted {
        &self.admitted
    }
}

impl Exchange {
    /// Begins to serve a request.
    pub fn new(node: Rc<Node>, admitted: Admitted) -> Self {
        let route = &admitted.route;
        let progress = Progress {
            tries: Attempts::new(route.repeat, route.max_attempts),
            but: Vec::new(),
            target: None,
            first: None,
            stages: Duration::ZERO,
            lies_at: None,
            failure: None,
            why: String::new(),
            left_trial: false,
            ended: false,
        };
        let _open = node.opened();
        node.quarantine.begins(&admitted.head.id, admitted.fingerprint);
        let deadline = admitted.deadline - ANSWER_MARGIN;
        let admitted = Admitted { deadline, ..admitted };
        Exchange { node, admitted, progress: RefCell::new(progress), _open }
    }

    /// Uses what is known for a moment.
    pub fn progress<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        f(&mut self.progress.borrow_mut())
    }

    /// Time left until the request is given up.
    pub fn left(&self) -> Duration {
        self.deadline.since(self.node.now())
    }

    /// Time left until the answer's value falls.
    pub(super) fn slack(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms);
        (self.arrived + objective).since(self.node.now())
    }

    /// Runs `work` until the target has been silent for too long, if another one can
    /// be asked in its place; `None` then.
    pub async fn patiently<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let objective = Duration::from_millis(self.route.objective_ms);
        let pause = self.route.pause_ms.map(Duration::from_millis);
        let mut work = std::pin::pin!(work);
        let patience = self.progress(|p| p.tries.silence_timeout(objective, pause));
        if let Some(patience) = patience.filter(|_| self.node.settings().policy.patience) {
            let until = self.node.now() + patience;
            if let Some(done) = self.node.clock.until(until, work.as_mut()).await {
                return Some(done);
            }
            if self.node.has_repeat(&self.service) {
                return None;
            }
        }
        Some(work.await)
    }

    /// Serves the request to its end.
    pub async fn run(self: Rc<Self>) -> Response<Body> {
        let end = tokio::select! {
            served = self.clone().serve() => return served.unwrap_or_else(|own| own),
            () = self.node.clock.sleep_until(self.deadline) => "time was over",
            () = self.node.reached(LifePhase::Ending) => "this node stops",
        };
        self.progress(|p| p.why = format!("{end}; before: {}", p.why));
        self.own_ending()
    }

    /// A target's answer; `Err` holds one of this node's own.
    async fn serve(self: Rc<Self>) -> Result<Response<Body>, Response<Body>> {
        self.node.count_request(&self.service);
        let chosen = self.choose();
        if chosen.is_none() || self.unserved().is_some() {
            // Nothing is made for a request that nobody could take.
            let why = self.no_target();
            self.progress(|p| p.why = why);
            return Err(self.own_ending());
        }
        let mut made = None;
        if !self.route.stages.is_empty() {
            made = Some(self.make_stages(chosen.as_ref()).await?);
        }
        self.ask_targets(chosen, made).await
    }

    /// Sends the request to one target after another until one answers or none is left.
    async fn ask_targets(
        self: Rc<Self>,
        mut chosen: Option<Target>,
        mut made: Option<RequestResults>,
    ) -> Result<Response<Body>, Response<Body>> {
        loop {
            let first = chosen.take().filter(|t| self.is_by_inputs(t));
            let Some(choice) = self.next_target(first).await else {
                return Err(self.own_ending());
            };
            let target = choice.target.clone();
            if made.take_if(|m| !self.is_inside(m)).is_some() {
                made = Some(self.make_stages(Some(&target)).await?);
            }
            match send(&self, choice, made.as_ref(), None).await {
                Outcome::Whole { status, headers, body } => {
                    self.log_end(status.as_u16(), "answered");
                    return Ok(reply::whole(status, headers, body));
                }
                // By its first event the target has taken its inputs, so they go. A second
                // target's are made anew: resumes are rare, and room at makers is short.
                Outcome::Stream(begun) => {
                    let kept = made.filter(|_| !self.node.settings().policy.early_free);
                    return Ok(stream::answer(self, *begun, kept));
                }
                Outcome::InputGone if !self.node.settings().policy.recompute => {
                    return Err(self.own_ending());
                }
                Outcome::InputGone => {
                    made = Some(self.make_stages(Some(&target)).await?);
                    self.progress(|p| p.but.clear());
                }
                Outcome::Nothing => {}
            }
        }
    }

    async fn make_stages(&self, chosen: Option<&Target>) -> Result<RequestResults, Response<Body>> {
        self.make_within(self.slack(), chosen).await.map_err(|_| self.own_ending())
    }

    /// Makes the stages of a stream anew that goes on at `target`. Its first event is
    /// long out; what counts is the pause that its caller bears, about one objective.
    pub async fn make_stages_again(&self, target: &Target) -> Result<RequestResults, StageError> {
        let objective = Duration::from_millis(self.route.objective_ms);
        let made = self.make_within(objective, Some(target)).await;
        let left_ms = self.left().as_millis() as u64;
        let stages = self.route.stages.len();
        Event::Resuming { id: &self.head.id, stages, made: made.is_ok(), left_ms }.emit();
        made
    }

    async fn make_within(
        &self,
        slack: Duration,
        target: Option<&Target>,
    ) -> Result<RequestResults, StageError> {
        let begun = self.node.now();
        let made = self.make_inside(begun + slack, target).await;
        let took = self.node.now().since(begun);
        self.progress(|p| p.stages += took);
        let map = self.node.peers.roster(|r| r.map());
        let lies_at =
            made.as_ref().ok().and_then(RequestResults::inputs_domain).map(|d| map.region_of(d));
        self.progress(|p| p.lies_at = lies_at);
        made.inspect_err(|e| {
            let is_unserved = self.unserved().is_some();
            let why = if is_unserved { self.no_target() } else { e.to_string() };
            self.progress(|p| p.why = why);
        })
    }

    /// Makes the stages in the regions that are allowed, and once more if those change
    /// meanwhile: orders are taken back then, and what was made is freed.
    async fn make_inside(
        &self,
        due: Time,
        target: Option<&Target>,
    ) -> Result<RequestResults, StageError> {
        let mut rounds = ROUNDS;
        while rounds > 0 {
            if self.unserved().is_some() {
                return Err(StageError::NoAllowedTarget);
            }
            let allowed = self.allowed_now();
            let near = target.filter(|t| self.is_allowed_at(&t.id)).map(|t| t.domain.clone());
            let job = Job {
                route: &self.route,
                head: &self.head,
                near,
                slack_ms: due.since(self.node.now()).as_millis() as u64,
                left_ms: self.left().as_millis() as u64,
                allowed: &allowed,
                rank: if self.node.settings().policy.ranks { self.rank } else { Rank::default() },
            };
            tokio::select! {
                made = stages::run_all(&self.node, job) => match made {
                    Err(StageError::WrongRegion) => rounds -= 1,
                    end => return end,
                },
                () = self.allowed_changes(&allowed) => {}
            }
            Event::Moved { id: &self.head.id, version: self.node.table().rules.version }.emit();
        }
        Err(StageError::NoAllowedTarget)
    }

    /// What a target had begun of the request broke off there.
    pub(super) fn broke_off_at(&self, target: &Target) {
        self.node.quarantine.broke_off(&self.node, target, self.fingerprint);
    }

    /// A target answered the request to its end.
    pub(super) fn answered_whole(&self) {
        self.node.quarantine.answered(&self.node, self.fingerprint);
    }

    /// Why the request is not to be sent any more, since the targets that ran it ended.
    pub(super) fn held(&self) -> Option<Hold> {
        self.node.quarantine.hold(&self.node, self.fingerprint)
    }

    /// The final answer of a request that no target answered.
    fn own_ending(&self) -> Response<Body> {
        let ending = self.progress(|p| p.tries.ending());
        if ending == Ending::Unknown
            && let Some(Failure { status, headers, body }) = self.progress(|p| p.failure.take())
        {
            self.log_end(status.as_u16(), "failed");
            return reply::whole(status, headers, body);
        }
        let late = self.left().is_zero();
        let (status, come_back, outcome) = match ending {
            Ending::NotRun => {
                if self.unserved().is_some() {
                    self.node.metrics.barred(&self.route.name);
                }
                let come_back = match self.held() {
                    Some(hold) => hold.remaining,
                    None => self.soonest().or(Some(COME_BACK).filter(|_| self.is_reachable())),
                };
                (StatusCode::SERVICE_UNAVAILABLE, come_back, "not_run")
            }
            Ending::Unknown | Ending::BreakOff if late => {
                (StatusCode::GATEWAY_TIMEOUT, None, "unknown")
            }
            Ending::Unknown | Ending::BreakOff => (StatusCode::BAD_GATEWAY, None, "unknown"),
        };
        self.log_end(status.as_u16(), outcome);
        let why = self.progress(|p| p.why.clone());
        reply::own(&self.node, status, Some(&self.head.id), come_back, &why)
    }

    /// Time after which the first target takes a request, as the targets themselves told.
    fn soonest(&self) -> Option<Duration> {
        let rests = self.rest_wait();
        if rests.is_some() {
            self.progress(|p| p.why = format!("{ALL_REST}; before: {}", p.why));
        }
        rests.into_iter().chain(self.at_limit()).min()
    }

    /// Time after which to come back if all targets are at their limits.
    fn at_limit(&self) -> Option<Duration> {
        let wait = self.limit_wait()?;
        self.node.metrics.refused_at_limit(&self.route.name);
        self.progress(|p| p.why = format!("{AT_LIMIT}; before: {}", p.why));
        Some(wait)
    }

    /// Writes the line of the final answer, once.
    pub fn log_end(&self, status: u16, outcome: &str) {
        let mut p = self.progress.borrow_mut();
        if std::mem::replace(&mut p.ended, true) {
            return;
        }
        let took_ms = self.node.now().since(self.arrived).as_millis() as u64;
        let first_ms = p.first.map_or(took_ms, |at| at.since(self.arrived).as_millis() as u64);
        self.node.metrics.request(&self.route.name, outcome, status);
        self.node.metrics.time("request", &self.route.name, took_ms);
        self.node.metrics.time("first", &self.route.name, first_ms);
        Event::Request {
            id: &self.head.id,
            same: &self.fingerprint.to_string(),
            route: &self.route.name,
            version: self.version,
            status,
            outcome,
            why: &p.why,
            target: p.target.as_ref().map_or("", |t| &t.name),
            attempts: p.tries.reached,
            stages_ms: p.stages.as_millis() as u64,
            first_ms,
            took_ms,
        }
        .emit();
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.log_end(0, "caller_left");
        self.node.quarantine.is_over(&self.head.id);
    }
}
