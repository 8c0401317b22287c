//! Whether this node has lost its links to the targets.
//!
//! Failures at several targets without an answer in between may be the targets' fault or that of
//! the node's own links. Probes of further targets tell: if none of them can be reached either, the
//! links are lost. While they are, probes go on, and once one gets through, requests return to the
//! links by a growing share. Only connections opened after the first failure count, since old ones
//! can outlive a partition.
//!
//! Probes that fail show a loss only if another connection of this node was prompt meanwhile, since
//! a full link or processor fails them too. Without such a witness the links count as lost only if a
//! peer could serve; otherwise requests are tried, and their answers are what the verdict needs.

mod peers;

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Name, Time};

use crate::delay::Witness;

pub use peers::{LinkPeer, LinkPeers, MAX_ASKED};

/// Targets that must fail without an answer in between before the links are probed.
const MIN_FAILING: usize = 2;
/// Minimum time between two rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time without any answer after which silence of the targets counts as a failure of the links; a
/// sound target may pause for a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time in which the share of requests sent over links that are back grows to all.
const RETURN_TIME: Duration = Duration::from_millis(1500);
/// Time for which an answer proves that the links work.
const ANSWER_TTL: Duration = Duration::from_secs(1);

/// Result of probing one target over a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It answered, whatever the answer.
    Answered,
    /// It accepted the connection and did not answer in time.
    Silent,
    /// It accepted no connection.
    Unreachable,
}

/// State of the links to the targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// They work, as far as known.
    #[default]
    Up,
    /// No target can be reached.
    Lost,
    /// They have worked again since this time.
    Returning(Time),
}

impl LinkState {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkState::Up => "up",
            LinkState::Lost => "lost",
            LinkState::Returning(_) => "returning",
        }
    }
}

/// Whether missing answers prove no loss of the links. Without a witness they do only where the
/// verdict is of use, as a peer could serve; a late host disproves a loss that is not known yet.
pub fn is_unproven(witness: Witness, is_lost: bool, has_peer: bool) -> bool {
    match witness {
        Witness::Prompt => false,
        Witness::Late => !(is_lost && has_peer),
        Witness::Missing => !has_peer,
    }
}

/// Links of this node to all targets.
#[derive(Debug, Default)]
pub struct Links {
    state: LinkState,
    /// Targets that failed since the last answer.
    failing: BTreeSet<Name>,
    failing_since: Option<Time>,
    /// Since when targets have been asked without any answer.
    doubted_since: Option<Time>,
    answered_at: Option<Time>,
    lost_at: Option<Time>,
    is_probing: bool,
    next_round: Time,
}

impl Links {
    /// Current state.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether no target can be reached.
    pub fn is_lost(&self) -> bool {
        self.state == LinkState::Lost
    }

    /// Whether recent failures may be due to the links.
    pub fn is_suspect(&self) -> bool {
        self.state != LinkState::Up || self.is_probing || self.failing.len() >= MIN_FAILING
    }

    /// Whether the links were lost at any time since `since`, or may be now.
    pub fn was_lost_since(&self, since: Time) -> bool {
        self.is_suspect() || self.lost_at.is_some_and(|at| at >= since)
    }

    /// Whether a target answered recently and nothing puts the links in doubt.
    pub fn is_proven(&self, now: Time) -> bool {
        !self.is_suspect() && self.was_answered(now)
    }

    /// Whether a target answered recently, whatever has failed since.
    pub fn was_answered(&self, now: Time) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < ANSWER_TTL)
    }

    /// Time since the last answer; `None` before the first.
    pub fn answer_age(&self, now: Time) -> Option<Duration> {
        self.answered_at.map(|at| now.since(at))
    }

    /// Targets that failed since the last answer.
    pub fn failing(&self) -> &BTreeSet<Name> {
        &self.failing
    }

    /// Records an answer over a connection opened at `opened`; returns whether the state has
    /// changed.
    pub fn record_answer(&mut self, opened: Time, now: Time) -> bool {
        if self.failing_since.is_some_and(|since| opened < since) {
            return false;
        }
        self.confirm(now)
    }

    /// Records that the links work; returns whether the state has changed.
    fn confirm(&mut self, now: Time) -> bool {
        self.answered_at = Some(now);
        self.failing.clear();
        self.failing_since = None;
        self.doubted_since = None;
        let was_lost = self.is_lost();
        if was_lost {
            self.state = LinkState::Returning(now);
        }
        was_lost
    }

    /// Records that a target could not be reached, or that its connection broke or fell silent.
    pub fn record_failure(&mut self, target: &Name, now: Time) {
        self.failing_since.get_or_insert(now);
        self.failing.insert(target.clone());
    }

    /// Whether to begin a round of probes now, which the caller must then do and report to
    /// [`Links::end_round`]. `count_silent` counts the targets with a request in flight that have
    /// been silent since a time.
    pub fn begin_round(&mut self, count_silent: impl FnOnce(Time) -> usize, now: Time) -> bool {
        if self.is_probing || now < self.next_round {
            return false;
        }
        let is_failing = self.failing.len() >= MIN_FAILING;
        let has_cause = self.is_lost() || is_failing || self.doubted_since.is_some();
        let silent_since = now - SILENCE_TIMEOUT;
        self.is_probing =
            has_cause || (self.is_silent(now) && count_silent(silent_since) >= MIN_FAILING);
        if self.is_probing {
            let since = if has_cause { self.failing_since.unwrap_or(now) } else { silent_since };
            self.doubted_since.get_or_insert(since);
        }
        self.is_probing
    }

    /// Whether to begin a round of probes in order to answer a peer, as [`Links::begin_round`].
    pub fn begin_check(&mut self, now: Time) -> bool {
        let begins = !self.is_probing && now >= self.next_round;
        self.is_probing |= begins;
        if begins {
            self.doubted_since.get_or_insert(self.failing_since.unwrap_or(now));
        }
        begins
    }

    fn is_silent(&self, now: Time) -> bool {
        self.answered_at.is_none_or(|at| now.since(at) >= SILENCE_TIMEOUT)
    }

    /// Ends a round of probes; returns whether the state has changed. Missing answers prove no loss,
    /// and do not uphold one, while this host may be the cause ([`is_unproven`]).
    pub fn end_round(&mut self, contacts: &[Contact], is_unproven: bool, now: Time) -> bool {
        self.is_probing = false;
        self.next_round = now + ROUND_INTERVAL;
        let before = self.state;
        if contacts.contains(&Contact::Answered) {
            self.confirm(now);
        } else if is_unproven && self.is_lost() {
            self.state = LinkState::Up;
        } else if !contacts.is_empty() && !is_unproven && self.confirms_loss(contacts, now) {
            self.state = LinkState::Lost;
            self.lost_at = Some(now);
        }
        if contacts.is_empty() {
            self.doubted_since = None;
        }
        self.state != before
    }

    fn confirms_loss(&self, contacts: &[Contact], now: Time) -> bool {
        let is_unreachable = contacts.iter().all(|c| *c == Contact::Unreachable);
        // A node that asked nothing has no answers either, and a sound target may pause.
        let was_asked = self.doubted_since.is_some_and(|at| now.since(at) >= SILENCE_TIMEOUT);
        is_unreachable || self.is_lost() || (was_asked && self.is_silent(now))
    }

    /// Ends the return of the links once its time is over; returns whether the state has changed.
    pub fn end_return(&mut self, now: Time) -> bool {
        let LinkState::Returning(since) = self.state else {
            return false;
        };
        let is_over = now.since(since) >= RETURN_TIME;
        if is_over {
            self.state = LinkState::Up;
        }
        is_over
    }

    /// Share of the requests to send over the links, not through peers.
    pub fn share(&self, now: Time) -> f64 {
        match self.state {
            LinkState::Up => 1.0,
            LinkState::Lost => 0.0,
            LinkState::Returning(since) => {
                (now.since(since).as_secs_f64() / RETURN_TIME.as_secs_f64()).min(1.0)
            }
        }
    }
}
