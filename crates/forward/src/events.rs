//! Structured log lines: one JSON object for each decision that touches a request
//! or changes a belief. docs/OPERATIONS.md lists them.

use serde::Serialize;

/// What happened.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process starts.
    Start { node: &'a str, domain: &'a str },
    /// The process was told to stop.
    Stop { open: usize },
    /// The settings were read again.
    Reload { accepted: bool, why: &'a str },
    /// A set of rules came into force.
    Rules { version: u64, from: &'a str, routes: usize },
    /// The store was lost or regained.
    Store { kind: &'a str, reachable: bool, why: &'a str },
    /// A peer's health changed.
    Peer { name: &'a str, health: &'a str },
    /// A target is left out for its failures.
    Ejected { target: &'a str, why: &'a str },
    /// A request was sent to a target and brought no answer to pass on.
    Attempt { id: &'a str, target: &'a str, ran: &'a str, why: &'a str, after_ms: u64 },
    /// A batch call ended at its maker.
    Call {
        service: &'a str,
        number: u64,
        maker: &'a str,
        pieces: usize,
        made: usize,
        no_room: usize,
        took_ms: u64,
        why: &'a str,
    },
    /// A stage of a request ended.
    Stage {
        id: &'a str,
        stage: usize,
        service: &'a str,
        pieces: usize,
        near: &'a str,
        elsewhere: usize,
        made: bool,
        took_ms: u64,
    },
    /// A request got its final answer.
    Request {
        id: &'a str,
        route: &'a str,
        version: u64,
        status: u16,
        outcome: &'a str,
        why: &'a str,
        target: &'a str,
        attempts: u32,
        stages_ms: u64,
        took_ms: u64,
    },
}

impl Event<'_> {
    /// Writes the line.
    pub fn emit(&self) {
        match serde_json::to_string(self) {
            Ok(line) => log::info!("{line}"),
            Err(e) => log::warn!("event not written: {e}"),
        }
    }
}
