//! Kinds of log lines and their fields.

use std::time::Duration;

use decide::rollout::Verdict;
use model::Name;
use serde::Serialize;

/// Event of a log line. Times and ages are in milliseconds.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process starts.
    Start { domain: &'a str, callers: &'a str },
    /// The process was asked to stop, with `open` requests in progress.
    Stop { open: usize },
    /// The stop of the process ends after this time: requests whose bodies were still on the way, that
    /// still ran, and whose answers had not left, answers to messages, open orders, and bytes that the
    /// other sides had not acknowledged.
    Stopped {
        took_ms: u64,
        receiving: usize,
        running: usize,
        sending: usize,
        messages: usize,
        orders: usize,
        unacknowledged: usize,
    },
    /// A connection ended before an answer had left: of the request with this id, if it is known, or
    /// to a message.
    Undelivered { id: &'a str, stage: &'a str, why: &'a str },
    /// The other side of a connection, at this address, is gone without a word: nothing has come from
    /// it for this time, and these bytes stand in the kernel.
    PeerGone { peer: &'a str, silent_ms: u64, queued: usize },
    /// The settings were reloaded.
    Reload { accepted: bool, why: &'a str },
    /// The machine resumed after being suspended.
    Resumed { suspended_ms: u64 },
    /// A set of rules came into force.
    Rules { version: u64, from: &'a str, routes: usize },
    /// Rules name regions without any failure domain (`unknown`), so that `count` routes and
    /// workspaces are served nowhere; `names` lists the first of them.
    Unserved { version: u64, count: usize, names: &'a [Name], unknown: &'a [Name] },
    /// The store became unreachable or reachable again.
    Store { kind: &'a str, reachable: bool, why: &'a str },
    /// An entry of the store became unreadable, or unreadable for another reason; `untold` further
    /// such lines were omitted.
    Unreadable { kind: &'a str, place: &'a str, why: &'a str, untold: u64 },
    /// What is known of a kind of object became stale, since the store last confirmed it `age_ms`
    /// ago, or is fresh again; `longest_ms` is the maximum age seen.
    Known { kind: &'a str, old: bool, age_ms: u64, longest_ms: u64 },
    /// The store's epoch became known or rose, as after a restore from an older copy; `at` is the
    /// revision up to which the targets were known.
    Epoch {
        epoch: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        before: Option<u64>,
        from: &'a str,
        at: u64,
    },
    /// A followed peer knows the targets only up to an earlier revision than this node.
    Behind { peer: &'a str, at: u64, known_at: u64 },
    /// The node switched to another source of targets.
    Source { from: &'a str, age_ms: u64 },
    /// The set of live peers changed: `up` peers are up now, the other numbers count the peers that
    /// became alive, suspected or dead, or left; `names` lists some of these.
    View { up: usize, alive: usize, suspected: usize, dead: usize, left: usize, names: &'a [Name] },
    /// A target was added, changed or removed.
    Target { target: &'a str, service: &'a str, state: &'a str },
    /// The operator started or cancelled the evacuation of a failure domain: `revision` of the list
    /// that contained it, and the age of that information.
    Evacuation { domain: &'a str, state: &'a str, revision: u64, from: &'a str, age_ms: u64 },
    /// An operator's order to move a service to a version was added, changed or removed (`what`):
    /// its state at a revision, and the age of that information.
    Rollout {
        service: &'a str,
        version: &'a str,
        what: &'a str,
        state: &'a str,
        lasts_ms: u64,
        revision: u64,
        from: &'a str,
        age_ms: u64,
    },
    /// The trial version gets this share of requests from now on; the age is the order's.
    RolloutPhase {
        service: &'a str,
        version: &'a str,
        phase: &'a str,
        share: f64,
        why: &'a str,
        age_ms: u64,
    },
    /// The trial version was judged bad by the requests of `whom`: requests and failed ones of both
    /// versions on the deciding route; the age is the order's.
    RolloutJudged {
        service: &'a str,
        version: &'a str,
        whom: &'a str,
        cause: &'a str,
        route: &'a str,
        trial_sent: u64,
        trial_bad: u64,
        serving_sent: u64,
        serving_bad: u64,
        age_ms: u64,
    },
    /// A write of an order's state completed or failed.
    RolloutWrite {
        service: &'a str,
        version: &'a str,
        state: &'a str,
        revision: u64,
        outcome: &'a str,
        why: &'a str,
        took_ms: u64,
    },
    /// The links to the targets were lost, or are back: `failing` targets failed since the last
    /// answer, and of `probed` others some were unreachable or silent, while `peers` are up and the
    /// `witness` told whether this host is the cause.
    Links {
        state: &'a str,
        failing: usize,
        probed: usize,
        unreachable: usize,
        silent: usize,
        #[serde(skip_serializing_if = "Option::is_none")]
        answer_age_ms: Option<u64>,
        #[serde(skip_serializing_if = "Option::is_none")]
        witness: Option<&'a str>,
        peers: usize,
        took_ms: u64,
    },
    /// Connections of this node take `delay_ms` longer than at rest (`base_ms`), whoever is on the
    /// other side, or no longer do; it has `open` requests.
    Delay { state: &'a str, delay_ms: u64, base_ms: u64, open: usize },
    /// The node begins to take on only so many requests at a time, or again any number, since its
    /// own connections are late by `delay_ms`, or no longer are; it has `open` ones.
    Intake {
        #[serde(skip_serializing_if = "Option::is_none")]
        limit: Option<usize>,
        open: usize,
        delay_ms: u64,
    },
    /// The node begins or ends to say that it is not ready, since it turns callers away again and
    /// again while a peer has room.
    Yielding { is_yielding: bool, open: usize },
    /// A request was sent through a peer that had `open` requests `age_ms` ago, because the links
    /// were lost: the peer's `status`, or why there is none.
    Proxied {
        id: &'a str,
        peer: &'a str,
        outcome: &'a str,
        status: u16,
        why: &'a str,
        open: u32,
        age_ms: u64,
        took_ms: u64,
    },
    /// A target was ejected for its failures.
    Ejected { target: &'a str, why: &'a str },
    /// The nodes of this failure domain were asked whether a target serves any of them: `failed` saw
    /// it fail, `served` were served since its first failure.
    EjectionQuery {
        target: &'a str,
        kind: &'a str,
        since_ms: u64,
        asked: usize,
        failed: usize,
        served: usize,
        eject: bool,
    },
    /// The nodes of this failure domain have agreed that a target serves nothing, or serves again;
    /// `what` is what that changed here.
    SharedEjection { target: &'a str, what: &'a str, from: &'a str },
    /// The limit stated in a target's answers appeared, changed, disappeared or became unreadable:
    /// requests per second from all nodes together.
    Limit {
        target: &'a str,
        service: &'a str,
        what: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        per_s: Option<f64>,
        from: &'a str,
    },
    /// A target announced that it is draining, or asked this node to back off for a time, which may
    /// be unreadable.
    Notice {
        target: &'a str,
        service: &'a str,
        what: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        for_ms: Option<u64>,
    },
    /// A target reported an unreadable load, for the first time or again.
    BadLoad { target: &'a str, service: &'a str },
    /// A permit was requested for a request, or for `count` pieces of a call, to a target with a
    /// limit. `keeper` is the permit issuer, empty for this node itself. If refused, the permit may
    /// be requested again after `after_ms`.
    Permit {
        id: &'a str,
        target: &'a str,
        keeper: &'a str,
        outcome: &'a str,
        count: u32,
        per_s: f64,
        word_age_ms: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
        took_ms: u64,
    },
    /// A slot of a brittle target was requested for an attempt. `keeper` is the node that leases
    /// them, empty for this node itself. If refused, it may be requested again after `after_ms`.
    Slot {
        id: &'a str,
        target: &'a str,
        keeper: &'a str,
        outcome: &'a str,
        max_rejected: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
        took_ms: u64,
    },
    /// A target said how many rejections in a second it bears, or no longer does.
    Brittle {
        target: &'a str,
        service: &'a str,
        what: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        max_rejected: Option<u32>,
    },
    /// The repeat budget of a service was exhausted.
    NoRepeat { service: &'a str, nodes: usize },
    /// A service's batch coordinator was lost or is stopping.
    Coordinator { service: &'a str, coordinator: &'a str, why: &'a str },
    /// A peer's build does not support messages at a path; no more are sent to it.
    Stranger { peer: &'a str, what: &'a str },
    /// Connections to a peer hang: it answered only over a new one.
    Hung { peer: &'a str },
    /// A prompt scheduler did not answer and is bypassed for a short time.
    Scheduler { service: &'a str, domain: &'a str, scheduler: &'a str, why: &'a str },
    /// A peer's order was forwarded to the node that is ranked first.
    PassedOn { id: &'a str, service: &'a str, to: &'a str },
    /// Spilling an order to another region failed; it is executed here.
    NotSpilled { id: &'a str, service: &'a str, region: &'a str, why: &'a str },
    /// Number of lines dropped since the last such line.
    Dropped { lines: u64 },
    /// A request was refused at admission because its first event was expected too late.
    Door {
        id: &'a str,
        route: &'a str,
        least_ms: u64,
        waits_ms: u64,
        longest_service: &'a str,
        longest_ms: u64,
        longest_age_ms: u64,
        objective_ms: u64,
        come_back_ms: u64,
    },
    /// A target was chosen for a request, with `ahead` prompt tokens queued before it. Targets in
    /// the `evacuated` failure domains were excluded, and those outside the `allowed` regions, if
    /// any are named. During a rollout, `side` is the version that the request is for, or says that
    /// it has left the trial version, and `share` is the trial version's share of requests. `limit`
    /// is the target's stated limit, if any; `notice` is its draining or backoff notice in force.
    Chosen {
        id: &'a str,
        target: &'a str,
        region: &'a str,
        allowed: &'a [Name],
        version: &'a str,
        #[serde(skip_serializing_if = "str::is_empty")]
        side: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        share: Option<f64>,
        by: &'a str,
        ahead: u64,
        cold: bool,
        #[serde(skip_serializing_if = "Option::is_none")]
        limit: Option<f64>,
        #[serde(skip_serializing_if = "str::is_empty")]
        notice: &'a str,
        evacuated: &'a [Name],
        left_ms: u64,
        targets_age_ms: u64,
    },
    /// A send brought no usable answer; `same` is equal for identical requests.
    Attempt {
        id: &'a str,
        same: &'a str,
        target: &'a str,
        ran: &'a str,
        why: &'a str,
        after_ms: u64,
    },
    /// A target crashed under requests of this node: `how` it was detected, and the fingerprints of
    /// the first of those requests and of the first shared parts of their prompts.
    Ended {
        target: &'a str,
        service: &'a str,
        how: &'a str,
        running: usize,
        same: &'a [String],
        parts: &'a [String],
        after_ms: u64,
    },
    /// A request, or a part of prompts, is held from now on, or for longer, because targets that ran
    /// it crashed; `targets` names the first of them. `left_ms` is missing if only an operator can
    /// release it.
    Held {
        same: &'a str,
        part: bool,
        from: &'a str,
        ends: usize,
        targets: &'a [Name],
        #[serde(skip_serializing_if = "Option::is_none")]
        left_ms: Option<u64>,
    },
    /// A held request or part was released.
    Released { same: &'a str, from: &'a str, why: &'a str },
    /// A hold or release was written to the store; `why` is the error if that failed.
    Recorded { same: &'a str, what: &'a str, why: &'a str },
    /// A held request is sent once; it stays held until that attempt succeeds.
    LetThrough { id: &'a str, same: &'a str },
    /// A batch call ended; the age is that of the targets when it was sent.
    Call {
        service: &'a str,
        number: u64,
        maker: &'a str,
        pieces: usize,
        made: usize,
        no_room: usize,
        took_ms: u64,
        targets_age_ms: u64,
        why: &'a str,
    },
    /// A batch call is overdue, later than nearly all others; `again` of its pieces were requeued.
    Overdue {
        service: &'a str,
        number: u64,
        maker: &'a str,
        again: usize,
        age_ms: u64,
        limit_ms: u64,
    },
    /// A stage worker has not answered a call in time: its pieces are made elsewhere if possible, and
    /// its answer is awaited for `left_ms` more.
    SilentCall { service: &'a str, number: u64, maker: &'a str, silent_ms: u64, left_ms: u64 },
    /// An input of a stage was no longer stored; the `again` stages that it came from are rerun.
    Remade { id: &'a str, stage: usize, again: usize },
    /// Answers wait for memory that others hold, or none does any more.
    AnswersPaused { is_paused: bool, held_bytes: usize },
    /// Connections or requests of callers wait for room, or none does any more.
    CallersWait { is_waiting: bool, held_bytes: usize, connections: usize },
    /// A connection without a request, or a request with its body on the way, stood still and is
    /// ended, so that others have room.
    CallerYields { what: &'a str, bytes: usize, still_ms: u64, held_bytes: usize },
    /// The head of a request had begun and did not end in time; its connection is closed.
    LateHead { bytes: usize },
    /// Stages are rerun because the allowed regions have changed.
    Moved { id: &'a str, version: u64 },
    /// A target was silent for too long while it ran a request: `outcome` tells what became of its run.
    Silent { id: &'a str, target: &'a str, silent_ms: u64, left_ms: u64, outcome: &'a str },
    /// An interrupted stream resumes on another target; its stages were rerun.
    Resuming { id: &'a str, stages: usize, made: bool, left_ms: u64 },
    /// The origin of a stream that a caller resumes was looked up: known to this node, to one of the
    /// `asked` peers, or to `nobody`, so that it cannot continue.
    StreamOrigin {
        id: &'a str,
        first: &'a str,
        from: &'a str,
        #[serde(skip_serializing_if = "str::is_empty")]
        version: &'a str,
        asked: usize,
        took_ms: u64,
    },
    /// The origins of some streams could not be told to a peer.
    StreamsUntold { peer: &'a str, records: usize, why: &'a str },
    /// A stream that began in the attempt `first`, at the version `begun_at` if that is known, is
    /// requested from a target from the event after `after` on.
    StreamResumed {
        id: &'a str,
        first: &'a str,
        #[serde(skip_serializing_if = "str::is_empty")]
        begun_at: &'a str,
        after: u64,
        target: &'a str,
        version: &'a str,
    },
    /// A stage of a request ended: run in `region`, or in any region if empty; `spilled` if it was
    /// ordered in another one.
    Stage {
        id: &'a str,
        stage: usize,
        service: &'a str,
        coordinator: &'a str,
        region: &'a str,
        spilled: bool,
        pieces: usize,
        near: &'a str,
        elsewhere: usize,
        made: bool,
        why: &'a str,
        slack_ms: u64,
        took_ms: u64,
    },
    /// A request got its final answer; `same` is empty if its body was not read.
    Request {
        id: &'a str,
        same: &'a str,
        route: &'a str,
        version: u64,
        status: u16,
        outcome: &'a str,
        why: &'a str,
        target: &'a str,
        attempts: u32,
        stages_ms: u64,
        first_ms: u64,
        took_ms: u64,
    },
}

/// Outcomes of successful requests.
const SUCCESSFUL: [&str; 2] = ["answered", "streamed"];

impl<'a> Event<'a> {
    /// Builds the line of a verdict on the trial version.
    pub fn rollout_judged(
        service: &'a str,
        version: &'a str,
        whom: &'a str,
        verdict: &'a Verdict,
        age: Duration,
    ) -> Self {
        let Verdict { cause, route, trial, serving } = verdict;
        Event::RolloutJudged {
            service,
            version,
            whom,
            cause: cause.as_str(),
            route: route.as_deref().unwrap_or_default(),
            trial_sent: trial.sent,
            trial_bad: trial.bad,
            serving_sent: serving.sent,
            serving_bad: serving.bad,
            age_ms: age.as_millis() as u64,
        }
    }
}

impl Event<'_> {
    /// Whether the line reports a failure or a state change; such lines have a higher rate limit.
    pub fn is_important(&self) -> bool {
        match self {
            Event::Request { outcome, .. } => !SUCCESSFUL.contains(outcome),
            Event::Stage { made, .. } => !made,
            Event::Call { pieces, made, .. } => made < pieces,
            Event::Permit { after_ms, .. } | Event::Slot { after_ms, .. } => after_ms.is_some(),
            Event::Chosen { .. } => false,
            _ => true,
        }
    }
}
