//! What a caller's request head says.

/// One part of a prompt; requests that share leading parts share cached memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part, hashed.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u64,
}

/// What a caller's request head says, beyond what is passed on unread.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CallerHead {
    /// The attempt's identity, as the caller gave it.
    pub id: String,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Milliseconds that the caller waits.
    pub wait_ms: Option<u64>,
    /// Key presented.
    pub key: Option<String>,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub tokens_in: u64,
    /// Most tokens of the answer.
    pub tokens_out: u64,
    /// Pieces that each stage has.
    pub pieces: Vec<u32>,
    /// Key that pieces without inputs are made from.
    pub piece_key: Option<String>,
    /// Event after which a stream is to go on.
    pub last_event: Option<u64>,
}
