//! One batch call to a worker: its permit if the worker has a limit, its request and its outcome.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::batch::{Call, CallEnd, Event as BatchEvent};
use decide::fleet::Observation;
use decide::permit::MAX_LIMITED_PIECES;
use http_body_util::Full;
use hyper::{Request, header};
use model::Time;
use model::forward::{PieceResult, Target, TargetId};

use super::runner::Runner;
use crate::border::Post;
use crate::crossed::{MessageKind, RegionTraffic};
use crate::events::Event;
use crate::heard;
use crate::limits;
use crate::memory;
use crate::node::Node;
use crate::rollout::{self, TrackedSend};
use crate::upstream::{self, Answer};

/// Fixed part of a call's timeout, on top of twice its expected time.
const CALL_SLACK: Duration = Duration::from_millis(1500);
/// Maximum time for which the answer of a silent worker is awaited.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);
/// Cap on the recorded ratio of a call's time to its expected time.
const MAX_TIME_RATIO: f64 = 1000.0;
/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Builds a request that only this incarnation of a worker may accept.
pub fn request(
    node: &Node,
    worker: &TargetId,
    address: SocketAddr,
    post: Post,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(post.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, post.content_type)
        .body(Full::new(Bytes::from(post.body)))
        .expect("path and media type are valid");
    request.headers_mut().extend(node.dialect.instance_headers(worker));
    request
}

/// Executes a coordinator's call.
pub(super) async fn execute(runner: &Rc<Runner>, node: &Rc<Node>, call: Call) -> CallEnd {
    let Some(target) = node.fleet(|f| f.get(&call.worker).map(|b| b.target.clone())) else {
        return CallEnd::Failed;
    };
    let address = target.address;
    let _in_flight = InFlightGuard::new(node, &call.worker);
    let post = node.dialect.stage_call(&call.pieces);
    let request = request(node, &call.worker, address, post);
    let id = || call_id(runner, &call);
    let Some(permit) = limits::request_permit(node, &target, permit_count(&call), id).await else {
        let why = limits::AT_LIMIT;
        log_call(runner, &call, &[], 0, node.targets_age_ms(), why);
        return CallEnd::Full;
    };
    let started = node.now();
    let targets_age_ms = node.targets_age_ms();
    let (pieces, timeout) = (call.pieces.len(), runner.call_timeout(node, call.pieces.len()));
    let sent = rollout::track_send(node, &target, &runner.pool.service, pieces, started + timeout);
    let crossing = RegionTraffic::to_target(node, MessageKind::Call, &call.worker);
    let work = async {
        let socket = match upstream::connect_target(node, &target).await {
            Ok(_) if permit.is_expired(node.now()) => {
                return (CallEnd::Full, Observation::NotSent, "its permit ran out".into());
            }
            Ok(socket) => socket,
            Err(e) => return (CallEnd::Failed, Observation::Unreachable, e.to_string()),
        };
        heard::record_send(node, &target);
        match upstream::send_over(socket, address, request, crossing).await {
            Ok(answer) => {
                let sent_call =
                    SentCall { target: &target, started, took: node.now().since(started) };
                read_answer(node, sent_call, answer, sent.as_ref()).await
            }
            Err(e) => (CallEnd::Failed, Observation::Interrupted, e.to_string()),
        }
    };
    // The timeout covers the whole body: a worker may stall in the middle of an answer.
    let too_long = || (CallEnd::Failed, Observation::Interrupted, "call took too long".to_string());
    let mut work = std::pin::pin!(work);
    let mut ended = tokio::time::timeout(timeout, work.as_mut()).await.ok();
    let answer_time = answer_time(&call);
    if ended.is_none() && answer_time > timeout {
        runner.record_silence(node, &call, node.now().since(started), answer_time);
        ended = node.clock.timeout_at(started + answer_time, work).await;
    }
    let (end, observed, why) = ended.unwrap_or_else(too_long);
    match observed {
        Observation::Interrupted => node.quarantine.call_interrupted(node, &target, &call.pieces),
        Observation::Replaced => node.quarantine.crash_observed(&target, "replaced"),
        _ => {}
    }
    let results = match &end {
        CallEnd::Answered(results) => results.as_slice(),
        CallEnd::Full | CallEnd::Failed => &[],
    };
    node.metrics.count_batch(&runner.pool.service, pieces);
    let took_ms = node.now().since(started).as_millis() as u64;
    log_call(runner, &call, results, took_ms, targets_age_ms, &why);
    if let (Some(sent), Observation::Answered(took)) = (&sent, observed) {
        record_answer(sent, results, took, runner.expected_time(node, pieces));
    }
    node.observe(&call.worker, observed, &why);
    end
}

/// Time for which the answer of a call is worth waiting for: that left to the requests of its pieces.
fn answer_time(call: &Call) -> Duration {
    let left_ms = call.pieces.iter().filter_map(|p| p.left_ms).max();
    Duration::from_millis(left_ms.unwrap_or_default()).min(MAX_ANSWER_TIME)
}

/// Number of requests that a call counts as towards a worker's limit: one per piece. A call of more
/// than [`MAX_LIMITED_PIECES`] is built only where all workers have limits, and counts as one.
fn permit_count(call: &Call) -> u32 {
    let pieces = call.pieces.len() as u32;
    if pieces <= MAX_LIMITED_PIECES { pieces } else { 1 }
}

/// Id of a call in the log lines of permits; calls have no attempt id.
fn call_id(runner: &Runner, call: &Call) -> String {
    format!("{} {}", runner.pool.service, call.number)
}

fn log_call(
    runner: &Runner,
    call: &Call,
    results: &[PieceResult],
    took_ms: u64,
    targets_age_ms: u64,
    why: &str,
) {
    let count =
        |is_counted: fn(&PieceResult) -> bool| results.iter().filter(|r| is_counted(r)).count();
    Event::Call {
        service: &runner.pool.service,
        number: call.number,
        maker: &call.worker.name,
        pieces: call.pieces.len(),
        made: count(|r| matches!(r, PieceResult::Made(_))),
        no_room: count(|r| *r == PieceResult::NoRoom),
        took_ms,
        targets_age_ms,
        why,
    }
    .emit();
}

/// Counts a call as outstanding at its worker until dropped.
struct InFlightGuard {
    node: Rc<Node>,
    id: TargetId,
}

impl InFlightGuard {
    fn new(node: &Rc<Node>, id: &TargetId) -> Self {
        node.fleet(|f| f.request_sent(id, 0));
        InFlightGuard { node: node.clone(), id: id.clone() }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.fleet(|f| f.request_done(&self.id));
    }
}

/// Records a call as evidence on the worker's version. The time of a call depends on its number of
/// pieces, so the ratio of its time to the expected time is recorded, as seconds.
fn record_answer(sent: &TrackedSend, results: &[PieceResult], took: Duration, expected: Duration) {
    let failed = results.iter().filter(|r| **r == PieceResult::Failed).count();
    let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
    sent.record_call(failed, Duration::from_secs_f64(ratio.min(MAX_TIME_RATIO)));
}

/// Target and timing of a call whose response head has arrived.
struct SentCall<'a> {
    target: &'a Target,
    started: Time,
    took: Duration,
}

async fn read_answer(
    node: &Rc<Node>,
    call: SentCall<'_>,
    answer: Answer,
    sent: Option<&TrackedSend>,
) -> (CallEnd, Observation, String) {
    let SentCall { target, started, took } = call;
    let (head, body) = answer.response.into_parts();
    let answer_head = node.dialect.read_answer(&head);
    if answer_head.misdirected {
        return (CallEnd::Failed, Observation::Replaced, "another target answered".into());
    }
    heard::record_answer(node, target, &answer_head, started);
    if answer_head.not_run {
        return (CallEnd::Full, Observation::Rejected, "full".into());
    }
    if !head.status.is_success() {
        sent.inspect(|sent| sent.record_failure());
        return (CallEnd::Failed, Observation::Failed, format!("status {}", head.status));
    }
    let body = match memory::read_body(&node.answer_memory, body, MAX_ANSWER_BYTES).await {
        Ok(body) => body.into_bytes(),
        Err(e) => return (CallEnd::Failed, Observation::Interrupted, e.to_string()),
    };
    if !answer.connection.wait_sent().await {
        let why = "it closed before it had read the call".to_string();
        return (CallEnd::Failed, Observation::Interrupted, why);
    }
    match node.dialect.stage_answer(&target.id, &body) {
        Ok(results) => (CallEnd::Answered(results), Observation::Answered(took), String::new()),
        Err(e) => {
            sent.inspect(|sent| sent.record_failure());
            (CallEnd::Failed, Observation::Failed, e.to_string())
        }
    }
}

impl Runner {
    /// Records that a worker has not answered a call in time; its answer is awaited until
    /// `answer_time` after the start of the call.
    fn record_silence(
        self: &Rc<Self>,
        node: &Rc<Node>,
        call: &Call,
        silent: Duration,
        answer_time: Duration,
    ) {
        Event::SilentCall {
            service: &self.pool.service,
            number: call.number,
            maker: &call.worker.name,
            silent_ms: silent.as_millis() as u64,
            left_ms: answer_time.saturating_sub(silent).as_millis() as u64,
        }
        .emit();
        self.handle_event(node, BatchEvent::CallSilent(call.number));
    }

    fn call_timeout(&self, node: &Node, pieces: usize) -> Duration {
        2 * self.expected_time(node, pieces) + CALL_SLACK
    }

    /// Time of a call by the rules in force; zero for an unknown service.
    fn expected_time(&self, node: &Node, pieces: usize) -> Duration {
        let table = node.table();
        let pool = table.service(&self.pool.service).and_then(|s| s.pool.as_ref());
        pool.map_or(Duration::ZERO, |p| p.call_time(pieces as u32))
    }
}
