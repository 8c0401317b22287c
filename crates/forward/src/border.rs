//! The border to the system that the node runs in.
//!
//! A [`Dialect`] only translates messages: it reads heads and bodies of that
//! system into this product's types, and writes them. It does no I/O, decides
//! nothing and remembers nothing.

use hyper::HeaderMap;
use hyper::http::{request, response};
use model::Name;
use model::forward::{
    CallerHead, Fingerprint, Handle, HeldRecord, Notice, PieceOrder, PieceResult, ReportedLimit,
    ReportedLoad, Rollout, RolloutState, Rules, Target, TargetId,
};

/// A message that could not be understood.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("{place}: {reason}")]
pub struct Malformed {
    /// Header, field or message.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Malformed {
    /// Names a place and what is wrong there.
    pub fn new(place: impl Into<String>, why: impl Into<String>) -> Self {
        Malformed { place: place.into(), reason: why.into() }
    }
}

/// What a request is sent on with.
#[derive(Debug, Clone)]
pub struct ForwardContext<'a> {
    /// Milliseconds that the target has.
    pub left_ms: u64,
    /// The only start of a target that may run it.
    pub target: &'a TargetId,
    /// Workspace of the caller's key.
    pub workspace: Option<&'a Name>,
    /// Rank among the target's requests; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Handles of the stages' results.
    pub inputs: &'a [String],
    /// Event after which a stream is to go on.
    pub resume_after: Option<u64>,
}

/// What a target's answer head says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerHead {
    /// Attempt that it answers.
    pub id: Option<String>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The target is another one than was meant.
    pub misdirected: bool,
    /// An input of the request is gone.
    pub input_gone: bool,
    /// It carries the target's signature.
    pub is_signed: bool,
    /// The body is a stream of events.
    pub is_event_stream: bool,
    /// Requests that the target takes.
    pub limit: ReportedLimit,
    /// Load of the target.
    pub load: ReportedLoad,
    /// What it says of further requests.
    pub notice: Notice,
}

/// A call with a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Post {
    /// Path.
    pub path: String,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// A replacement of an object, or of its state, that only a given revision allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Path.
    pub path: String,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// Kind of object that the node follows in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// The rules.
    Rules,
    /// The targets.
    Targets,
    /// Failure domains whose targets are to get nothing new.
    Evacuations,
    /// Roll-outs that the operator ordered.
    Rollouts,
    /// Requests that are held back.
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
    /// Kinds on which choices rest, so that it is told how old what is known of them is.
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

/// One object of the store, read.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Rules as they are now.
    Rules(Box<Rules>),
    /// A target as it is now.
    Target(Target),
    /// A failure domain is evacuated.
    Evacuated(Name),
    /// A roll-out as it is now.
    Rollout(Rollout),
    /// A request is held back.
    Held(HeldRecord),
    /// The entry of this name is there but cannot be read.
    Unreadable(Name),
    /// The entry of this name is gone.
    Removed(Name),
}

impl Change {
    /// Name of the entry, unless that cannot be read.
    pub fn entry_name(&self) -> Option<&Name> {
        match self {
            Change::Target(target) => Some(&target.id.name),
            Change::Evacuated(name) | Change::Removed(name) => Some(name),
            Change::Rollout(rollout) => Some(&rollout.service),
            Change::Rules(_) | Change::Held(_) | Change::Unreadable(_) => None,
        }
    }
}

/// An entry of the store that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadEntry {
    /// Its name, if that can be read.
    pub name: Option<Name>,
    /// Its name, else its position in the answer, and what of it cannot be read.
    pub place: String,
    /// What is wrong there.
    pub reason: String,
}

/// Most characters that are told of a place or of what is wrong there: other writers put
/// what they like into their entries.
const MAX_ERROR_CHARS: usize = 160;

impl BadEntry {
    /// An entry that cannot be read at a place.
    pub fn new(name: Option<Name>, place: impl Into<String>, why: impl Into<String>) -> Self {
        let told = |text: String| text.chars().take(MAX_ERROR_CHARS).collect();
        BadEntry { name, place: told(place.into()), reason: told(why.into()) }
    }
}

/// Part of a list, or the events since a revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// Objects and what became of them, oldest first.
    pub changes: Vec<Change>,
    /// Objects that could not be understood; those with a name are among the changes too.
    pub malformed: Vec<BadEntry>,
    /// Name to continue a list after, if it is not whole.
    pub continue_after: Option<Name>,
    /// More follows, but nothing tells after which name to continue.
    pub truncated: bool,
    /// Revision to watch from.
    pub revision: u64,
}

impl Page {
    /// Adds an entry that cannot be read.
    pub fn add_bad(&mut self, entry: BadEntry) {
        self.changes.extend(entry.name.clone().map(Change::Unreadable));
        self.malformed.push(entry);
    }
}

/// Translates between this product and the system that it runs in.
pub trait Dialect {
    /// Reads a caller's request head.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, Malformed>;
    /// Headers with which a request goes on to a target.
    fn forward_headers(&self, head: &HeaderMap, onward: &ForwardContext<'_>) -> HeaderMap;
    /// Reads a target's answer head.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;
    /// Headers with which a target's answer goes on to the caller.
    fn return_headers(&self, head: &HeaderMap) -> HeaderMap;
    /// Headers of an answer of this node's own; `come_back_ms` tells when to try again.
    fn local_headers(&self, id: Option<&str>, come_back_ms: Option<u64>) -> HeaderMap;
    /// Number of a stream's event, if it has one.
    fn event_number(&self, event: &[u8]) -> Option<u64>;
    /// A call that makes pieces.
    fn stage_call(&self, pieces: &[PieceOrder]) -> Post;
    /// Headers of a call that only one start of a target may take.
    fn instance_headers(&self, target: &TargetId) -> HeaderMap;
    /// Reads the answer to a call that makes pieces.
    fn stage_answer(&self, maker: &TargetId, body: &[u8]) -> Result<Vec<PieceResult>, Malformed>;
    /// A call that frees results at their maker.
    fn stage_free(&self, handles: &[Handle]) -> Post;
    /// How often the store has come back from an older copy, as the head of each of its answers
    /// tells; `None` if this one does not, or it cannot be read.
    fn epoch(&self, head: &HeaderMap) -> Option<u64>;
    /// Path of a list of objects.
    fn list_path(&self, kind: ObjectKind, after: Option<&Name>) -> String;
    /// The same, cheaper, and possibly some seconds old.
    fn stale_list_path(&self, kind: ObjectKind, after: Option<&Name>) -> String;
    /// Creates the object of a request that is held.
    fn create_hold(&self, record: &HeldRecord) -> Post;
    /// Path of that object.
    fn hold_path(&self, request: Fingerprint) -> String;
    /// Path of a watch from a revision on.
    fn watch_path(&self, kind: ObjectKind, at: u64, wait_ms: u64) -> String;
    /// Reads a list.
    fn read_page(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, Malformed>;
    /// Reads the answer to a watch.
    fn read_changes(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, Malformed>;
    /// Sets the state of a roll-out in the store, unless the order has changed since `order`.
    fn set_rollout(&self, order: &Rollout, state: RolloutState) -> Put;
    /// Path that a balancer asks for readiness at.
    fn ready_path(&self) -> &str;
}
