//! Parsed heads of callers' requests.

use crate::Name;

/// Part of a prompt; requests with the same leading parts share the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's identifier.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Fields of a request head that the node evaluates; all others are forwarded unread.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CallerHead {
    /// Attempt id, as set by the caller.
    pub id: String,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Time that the caller waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Number of prompt tokens.
    pub tokens_in: u64,
    /// Maximum number of tokens in the answer.
    pub tokens_out: u64,
    /// Number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// Key that is the input of pieces of stages without predecessors.
    pub piece_key: Option<String>,
    /// Id of the event after which a stream is to resume.
    pub last_event: Option<u64>,
    /// Attempt that brought the first event of that stream.
    pub resumes: Option<String>,
}

impl CallerHead {
    /// Who sends the request: the workspace of its key if known, else the key.
    pub fn caller<'a>(&'a self, workspace: Option<&'a Name>) -> &'a str {
        workspace.map(|w| &**w).or(self.key.as_deref()).unwrap_or_default()
    }
}
