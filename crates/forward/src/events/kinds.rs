//! The kinds of lines and their fields.

use std::time::Duration;

use decide::rollout::Verdict;
use model::Name;
use serde::Serialize;

/// What happened. Times are in milliseconds, ages too.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process starts.
    Start { domain: &'a str, callers: &'a str },
    /// The process was told to stop.
    Stop { open: usize },
    /// The settings were read again.
    Reload { accepted: bool, why: &'a str },
    /// The machine was suspended for that long.
    Resumed { suspended_ms: u64 },
    /// A set of rules came into force.
    Rules { version: u64, from: &'a str, routes: usize },
    /// Rules name regions that no failure domain lies in: `count` routes and workspaces
    /// are served nowhere for it, `names` are the first of them.
    Unserved { version: u64, count: usize, names: &'a [Name], unknown: &'a [Name] },
    /// The store was lost or regained.
    Store { kind: &'a str, reachable: bool, why: &'a str },
    /// An entry of the store cannot be read, or for another reason than before; `untold` further
    /// such lines were not written.
    Unreadable { kind: &'a str, place: &'a str, why: &'a str, untold: u64 },
    /// What is known of a kind has become old, or is no longer: the store's last word on it.
    Known { kind: &'a str, old: bool, age_ms: u64, longest_ms: u64 },
    /// The store was heard to be in a later epoch, since it came back from an older copy, or in any;
    /// `at` is the revision up to which the targets were known.
    Epoch {
        epoch: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        before: Option<u64>,
        from: &'a str,
        at: u64,
    },
    /// A peer that is followed knows the targets up to an earlier revision than this node.
    Behind { peer: &'a str, at: u64, known_at: u64 },
    /// The targets are followed through another source from now on.
    Source { from: &'a str, age_ms: u64 },
    /// Which peers are up changed: how many are now, and what became of others.
    View { up: usize, alive: usize, suspected: usize, dead: usize, left: usize, names: &'a [Name] },
    /// A target came, changed or went.
    Target { target: &'a str, service: &'a str, state: &'a str },
    /// The operator evacuates a failure domain, or has taken that back: `revision` of the list
    /// that told of it, and the age of what is known.
    Evacuation { domain: &'a str, state: &'a str, revision: u64, from: &'a str, age_ms: u64 },
    /// An operator's order to move a service to a version came, changed or went: `what` it was,
    /// where it stands at a revision, and the age of what is known.
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
    /// The version on trial gets this share of the requests from now on; the age is the order's.
    RolloutPhase {
        service: &'a str,
        version: &'a str,
        phase: &'a str,
        share: f64,
        why: &'a str,
        age_ms: u64,
    },
    /// The version on trial was judged bad, by the requests of `whom`: requests and bad ones
    /// of the route that told, of both versions; the age is the order's.
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
    /// A write of an order's state ended.
    RolloutWrite {
        service: &'a str,
        version: &'a str,
        state: &'a str,
        revision: u64,
        outcome: &'a str,
        why: &'a str,
        took_ms: u64,
    },
    /// A target is left out for its failures.
    Ejected { target: &'a str, why: &'a str },
    /// A target names a limit in its answers, another one, none any more, or one that cannot be
    /// read: requests a second from all nodes together.
    Limit {
        target: &'a str,
        service: &'a str,
        what: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        per_s: Option<f64>,
        from: &'a str,
    },
    /// A target says that it leaves, wants nothing of this node for a while, or for a time that
    /// cannot be read.
    Notice {
        target: &'a str,
        service: &'a str,
        what: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        for_ms: Option<u64>,
    },
    /// A target tells a load that cannot be read, for the first time or again.
    BadLoad { target: &'a str, service: &'a str },
    /// A permit was asked for, to send a request, or so many pieces of a call, to a target that
    /// names a limit: of its keeper, of this node itself where that is empty. It may be asked for
    /// again `after_ms` later if it was not granted.
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
    /// The budget for repeats of a service granted none.
    NoRepeat { service: &'a str, nodes: usize },
    /// A service's batch coordinator was lost, or stops.
    Coordinator { service: &'a str, coordinator: &'a str, why: &'a str },
    /// A peer's build does not know messages at a path, and is sent none of them.
    Stranger { peer: &'a str, what: &'a str },
    /// Connections to a peer have fallen silent: it answered over a new one only.
    Hung { peer: &'a str },
    /// A scheduler of prompts did not answer; it is done without for a moment.
    Scheduler { service: &'a str, domain: &'a str, scheduler: &'a str, why: &'a str },
    /// A peer's order went on to the node that comes first.
    PassedOn { id: &'a str, service: &'a str, to: &'a str },
    /// An order that another region was to make is made here after all.
    NotSpilled { id: &'a str, service: &'a str, region: &'a str, why: &'a str },
    /// Lines that were not written since the last such line.
    Dropped { lines: u64 },
    /// A request was refused at the door, since its first event was expected too late.
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
    /// A target was chosen for a request; it has `ahead` prompt tokens to read before. Those of
    /// the `evacuated` failure domains were left out, and those outside of the regions that
    /// are `allowed`, if any are named. While its service moves to another version `side` tells
    /// which one it is for, or that it has left the one on trial, and `share` the part of
    /// requests that goes to that. `limit` is the one that the target names, if it
    /// does; `notice` is what it said of further requests that still holds.
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
    /// A send brought no answer to pass on; `same` is alike for all requests that are the same.
    Attempt {
        id: &'a str,
        same: &'a str,
        target: &'a str,
        ran: &'a str,
        why: &'a str,
        after_ms: u64,
    },
    /// A target ended, without having said so, under requests of this node: how that shows, and
    /// the first of them by what makes them the same.
    Ended {
        target: &'a str,
        service: &'a str,
        how: &'a str,
        running: usize,
        same: &'a [String],
        after_ms: u64,
    },
    /// A request is held back from now on, or for longer: the targets that ran it ended, the
    /// first of them by name. `left_ms` is missing if only an operator lets it go again.
    Held {
        same: &'a str,
        from: &'a str,
        ends: usize,
        targets: &'a [Name],
        #[serde(skip_serializing_if = "Option::is_none")]
        left_ms: Option<u64>,
    },
    /// A request is held back no more, and why.
    Released { same: &'a str, from: &'a str, why: &'a str },
    /// The store was told that a request is held or released; `why` if it was not.
    Recorded { same: &'a str, what: &'a str, why: &'a str },
    /// A request that was held is sent once, and held on until that has ended well.
    LetThrough { id: &'a str, same: &'a str },
    /// A batch call ended at its maker; the age is that of the targets when it was sent.
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
    /// A batch call is later than nearly all: `again` of its pieces are asked for once more.
    Overdue {
        service: &'a str,
        number: u64,
        maker: &'a str,
        again: usize,
        age_ms: u64,
        limit_ms: u64,
    },
    /// An input of a stage was gone; the stages that it came from are made again.
    Remade { id: &'a str, stage: usize, again: usize },
    /// Stages are made once more, since other regions are allowed by now.
    Moved { id: &'a str, version: u64 },
    /// A stream broke off and is taken up at another target; its stages were made again.
    Resuming { id: &'a str, stages: usize, made: bool, left_ms: u64 },
    /// A stage of a request ended: made in `region`, or in any where that is empty; `spilled` if
    /// it was ordered in another one.
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

/// Outcomes of requests that ended as their callers wished.
const SUCCESSFUL: [&str; 2] = ["answered", "streamed"];

impl<'a> Event<'a> {
    /// The line of a judgement.
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
    /// Whether the line tells of a failure or a change of belief, which are kept first.
    pub fn is_important(&self) -> bool {
        match self {
            Event::Request { outcome, .. } => !SUCCESSFUL.contains(outcome),
            Event::Stage { made, .. } => !made,
            Event::Call { pieces, made, .. } => made < pieces,
            Event::Permit { after_ms, .. } => after_ms.is_some(),
            Event::Chosen { .. } => false,
            _ => true,
        }
    }
}
