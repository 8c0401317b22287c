//! Interface to the platform that the node runs on.
//!
//! A [`Dialect`] only translates between the platform's messages and this crate's types. It
//! does no I/O, makes no decisions and keeps no state.

use hyper::HeaderMap;
use hyper::http::{request, response};
use model::Name;
use model::forward::{
    CallerHead, Fingerprint, Handle, HeldRecord, Notice, PieceOrder, PieceResult, ReportedLimit,
    ReportedLoad, Rollout, RolloutState, Rules, Target, TargetId,
};

/// A message that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("{place}: {reason}")]
pub struct Malformed {
    /// Header, field or message in which the error is.
    pub place: String,
    /// Description of the error.
    pub reason: String,
}

impl Malformed {
    /// An error at `place`, described by `reason`.
    pub fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Malformed { place: place.into(), reason: reason.into() }
    }
}

/// Values that this node adds to a request that it forwards.
#[derive(Debug, Clone)]
pub struct ForwardContext<'a> {
    /// Milliseconds until the target must have answered.
    pub left_ms: u64,
    /// The target, and its start: no other instance may run the request.
    pub target: &'a TargetId,
    /// Workspace that the caller's key belongs to.
    pub workspace: Option<&'a Name>,
    /// Priority among the target's requests; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Handles of the stage results that the request takes as inputs.
    pub inputs: &'a [String],
    /// Number of the event after which an interrupted stream resumes.
    pub resume_after: Option<u64>,
}

/// Parsed head of a target's answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerHead {
    /// Id of the attempt that it answers.
    pub id: Option<String>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether another instance than the addressed one answered.
    pub misdirected: bool,
    /// Whether an input of the request no longer exists.
    pub input_gone: bool,
    /// Whether the answer carries the target's signature.
    pub is_signed: bool,
    /// Whether the body is an event stream.
    pub is_event_stream: bool,
    /// Requests per second that the target accepts from all nodes together.
    pub limit: ReportedLimit,
    /// Rejections in a second that the target bears, if it is brittle.
    pub max_rejected: Option<u32>,
    /// Load that the target reports.
    pub load: ReportedLoad,
    /// Whether, and when, the target accepts further requests.
    pub notice: Notice,
}

/// A POST request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Post {
    /// Path.
    pub path: String,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// A PUT request that replaces an object, or its status, only at a given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Path.
    pub path: String,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// Kind of store object that the node watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// Routes, services, workspaces and limits.
    Rules,
    /// Targets that requests are sent to.
    Targets,
    /// Failure domains whose targets get no new requests.
    Evacuations,
    /// Rollouts ordered by operators.
    Rollouts,
    /// Held requests.
    Quarantine,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [ObjectKind; 5] = [
        ObjectKind::Rules,
        ObjectKind::Targets,
        ObjectKind::Evacuations,
        ObjectKind::Rollouts,
        ObjectKind::Quarantine,
    ];
    /// Kinds that routing decisions depend on; metrics report the age of their data.
    pub const AGE_TRACKED: [ObjectKind; 4] =
        [ObjectKind::Rules, ObjectKind::Targets, ObjectKind::Evacuations, ObjectKind::Rollouts];

    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Rules => "rules",
            ObjectKind::Targets => "targets",
            ObjectKind::Evacuations => "evacuations",
            ObjectKind::Rollouts => "rollouts",
            ObjectKind::Quarantine => "quarantine",
        }
    }
}

/// Change of one object of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Current rules.
    Rules(Box<Rules>),
    /// Current entry of a target.
    Target(Target),
    /// A failure domain that is evacuated.
    Evacuated(Name),
    /// Current state of a rollout.
    Rollout(Rollout),
    /// A held request.
    Held(HeldRecord),
    /// The entry of this name exists but could not be parsed.
    Unreadable(Name),
    /// The entry of this name was removed.
    Removed(Name),
}

impl Change {
    /// Name of a target, evacuation or rollout whose entry could be parsed or was removed.
    pub fn entry_name(&self) -> Option<&Name> {
        match self {
            Change::Target(target) => Some(&target.id.name),
            Change::Evacuated(name) | Change::Removed(name) => Some(name),
            Change::Rollout(rollout) => Some(&rollout.service),
            Change::Rules(_) | Change::Held(_) | Change::Unreadable(_) => None,
        }
    }
}

/// An entry of the store that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadEntry {
    /// Its name, if that could be parsed.
    pub name: Option<Name>,
    /// Its name, or else its position in the answer, and the field in which the error is.
    pub place: String,
    /// Description of the error.
    pub reason: String,
}

/// Maximum length of the place and of the reason, in characters: other writers control the text
/// of their entries.
const MAX_ERROR_CHARS: usize = 160;

impl BadEntry {
    /// An entry with an error at `place`; truncates both texts.
    pub fn new(name: Option<Name>, place: impl Into<String>, reason: impl Into<String>) -> Self {
        let truncate = |text: String| text.chars().take(MAX_ERROR_CHARS).collect();
        BadEntry { name, place: truncate(place.into()), reason: truncate(reason.into()) }
    }
}

/// One page of a list, or the events since a revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Entries that could not be parsed; those with a name are also among the changes.
    pub malformed: Vec<BadEntry>,
    /// Name after which the next page of the list starts, if there is one.
    pub continue_after: Option<Name>,
    /// Whether more entries follow, but no name to continue after could be parsed.
    pub truncated: bool,
    /// Revision from which to watch.
    pub revision: u64,
}

impl Page {
    /// Adds an entry that could not be parsed.
    pub fn add_bad(&mut self, entry: BadEntry) {
        self.changes.extend(entry.name.clone().map(Change::Unreadable));
        self.malformed.push(entry);
    }
}

/// Translates between this crate's types and the platform's messages.
pub trait Dialect {
    /// Parses the head of a caller's request.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, Malformed>;
    /// Headers of a request that is forwarded to a target.
    fn forward_headers(&self, head: &HeaderMap, context: &ForwardContext<'_>) -> HeaderMap;
    /// Parses the head of a target's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;
    /// Headers of a target's answer that is returned to the caller.
    fn return_headers(&self, head: &HeaderMap) -> HeaderMap;
    /// Headers of an answer that this node generates; `retry_after_ms` is the time after which the
    /// caller may retry.
    fn local_headers(&self, id: Option<&str>, retry_after_ms: Option<u64>) -> HeaderMap;
    /// Number of a stream event, if it has one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
    /// Call that runs pieces of a stage.
    fn stage_call(&self, pieces: &[PieceOrder]) -> Post;
    /// Headers of a call that only this instance of a target may run.
    fn instance_headers(&self, target: &TargetId) -> HeaderMap;
    /// Parses the answer to a stage call; `worker` is the one that ran it.
    fn stage_answer(&self, worker: &TargetId, body: &[u8]) -> Result<Vec<PieceResult>, Malformed>;
    /// Call that frees results at the worker that holds them.
    fn stage_free(&self, handles: &[Handle]) -> Post;
    /// Epoch of the store, from the head of one of its answers: the number of times that it was
    /// restored from an older copy. `None` if the head has none or it cannot be parsed.
    fn epoch(&self, head: &HeaderMap) -> Option<u64>;
    /// Path of a list of objects, from the start or after a name.
    fn list_path(&self, kind: ObjectKind, after: Option<&Name>) -> String;
    /// Path of a list that costs the store less and may be some seconds stale.
    fn stale_list_path(&self, kind: ObjectKind, after: Option<&Name>) -> String;
    /// Call that creates the object of a held request.
    fn create_hold(&self, record: &HeldRecord) -> Post;
    /// Path of the object of a held request.
    fn hold_path(&self, request: Fingerprint) -> String;
    /// Path of a watch for changes after a revision.
    fn watch_path(&self, kind: ObjectKind, revision: u64, wait_ms: u64) -> String;
    /// Parses one page of a list.
    fn read_page(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, Malformed>;
    /// Parses the answer to a watch.
    fn read_changes(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, Malformed>;
    /// Call that sets the state of a rollout, unless its revision has changed since `order`.
    fn set_rollout(&self, order: &Rollout, state: RolloutState) -> Put;
    /// Path at which a target tells its health.
    fn health_path(&self) -> &str;
    /// Path at which a load balancer asks for readiness.
    fn ready_path(&self) -> &str;
}
