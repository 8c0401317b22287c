//! How long new connections of this node take, whoever is on the other side.
//!
//! Connections to many targets share this host's link and processor. If even the fastest of the
//! recent ones was slow, the cause is this host, not the targets. If most were not completed at all,
//! the cause is open: lost links look the same, until a connection to a peer tells.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use model::Time;

/// Length of one bucket of samples.
const BUCKET_TIME: Duration = Duration::from_millis(25);
/// Time from which the samples are compared.
const WINDOW: Duration = Duration::from_millis(100);
/// Samples within [`WINDOW`] that are needed for an estimate.
const MIN_SAMPLES: usize = 3;
/// Time for which a connection to a peer tells how late this node is.
const PEER_TTL: Duration = Duration::from_millis(500);
/// Time after which the shortest connect time is replaced as the base by a more recent one.
const BASE_TTL: Duration = Duration::from_secs(30);
/// Delay from which this node counts as late.
const LATE_DELAY: Duration = Duration::from_millis(30);

/// How late this node's connections are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As at rest.
    Prompt,
    /// Slower, within what is tolerated.
    Slowed,
    /// Late.
    Late,
}

/// End of a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connect {
    /// The other side accepted or refused it after this time.
    Completed(Duration),
    /// It did not respond in time.
    TimedOut,
}

/// What recent connections show of missing answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Witness {
    /// Another connection was prompt: this host is not the cause.
    Prompt,
    /// This host is the cause.
    Late,
    /// No connection tells.
    Missing,
}

impl Witness {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Witness::Prompt => "prompt",
            Witness::Late => "late",
            Witness::Missing => "missing",
        }
    }
}

/// Attempts of a short time.
#[derive(Debug)]
struct Bucket {
    begin: Time,
    completed: usize,
    shortest: Option<Duration>,
    timed_out: usize,
}

impl Bucket {
    fn new(begin: Time) -> Self {
        Bucket { begin, completed: 0, shortest: None, timed_out: 0 }
    }

    fn record(&mut self, connect: Connect) {
        match connect {
            Connect::Completed(took) => {
                self.completed += 1;
                self.shortest = self.shortest.into_iter().chain([took]).min();
            }
            Connect::TimedOut => self.timed_out += 1,
        }
    }
}

/// Shortest connect time of the current period and of the one before.
#[derive(Debug, Default)]
struct Base {
    began: Time,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl Base {
    fn record(&mut self, took: Duration, now: Time) {
        if now.since(self.began) >= BASE_TTL {
            self.began = now;
            self.previous = self.current.take();
        }
        self.current = self.current.into_iter().chain([took]).min();
    }

    fn get(&self) -> Duration {
        self.current.into_iter().chain(self.previous).min().unwrap_or_default()
    }
}

/// Delay that this node adds to its own connections.
#[derive(Debug, Default)]
pub struct LocalDelay {
    buckets: VecDeque<Bucket>,
    base: Base,
    /// When each attempt in progress began.
    pending: BTreeMap<u64, Time>,
    next_attempt: u64,
    /// When the latest attempt at a peer ended, and whether it was slow.
    peer: Option<(Time, bool)>,
    /// When the latest prompt attempt ended, whoever was on the other side.
    prompt_at: Option<Time>,
    was_late: bool,
}

impl LocalDelay {
    /// Records that a connection to a target is attempted; returns the attempt's number.
    pub fn begin(&mut self, now: Time) -> u64 {
        self.next_attempt += 1;
        self.pending.insert(self.next_attempt, now);
        self.next_attempt
    }

    /// Records that an attempt ended, with `None` if the end tells nothing.
    pub fn end(&mut self, attempt: u64, connect: Option<Connect>, now: Time) {
        self.pending.remove(&attempt);
        let Some(connect) = connect else {
            return;
        };
        self.buckets.retain(|b| now.since(b.begin) < WINDOW);
        if self.buckets.back().is_none_or(|b| now.since(b.begin) >= BUCKET_TIME) {
            self.buckets.push_back(Bucket::new(now));
        }
        self.buckets.back_mut().expect("one was added").record(connect);
        if let Connect::Completed(took) = connect {
            self.base.record(took, now);
        }
        self.record_prompt(connect, now);
    }

    fn record_prompt(&mut self, connect: Connect, now: Time) {
        if !self.is_slow(connect) {
            self.prompt_at = Some(now);
        }
    }

    fn is_slow(&self, connect: Connect) -> bool {
        match connect {
            Connect::Completed(took) => self.takes_long(took),
            Connect::TimedOut => true,
        }
    }

    /// Whether this is far longer than connections take at rest.
    fn takes_long(&self, took: Duration) -> bool {
        took.saturating_sub(self.base.get()) >= LATE_DELAY
    }

    /// Records the end of an attempt at a peer.
    pub fn record_peer(&mut self, connect: Connect, now: Time) {
        self.peer = Some((now, self.is_slow(connect)));
        self.record_prompt(connect, now);
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &Bucket> {
        self.buckets.iter().filter(move |b| now.since(b.begin) < WINDOW)
    }

    /// Time that even the fastest of the recent connections took longer than at rest; zero if it is
    /// not known.
    pub fn current(&self, now: Time) -> Duration {
        let completed: usize = self.recent(now).map(|b| b.completed).sum();
        let shortest = self.recent(now).filter_map(|b| b.shortest).min();
        let shortest = shortest.filter(|_| completed >= MIN_SAMPLES);
        shortest.unwrap_or_default().saturating_sub(self.base.get())
    }

    /// Whether several connections were attempted and none was completed promptly of late.
    fn is_stuck(&self, now: Time) -> bool {
        if self.recent(now).filter_map(|b| b.shortest).any(|took| !self.takes_long(took)) {
            return false;
        }
        let ended: usize = self.recent(now).map(|b| b.completed + b.timed_out).sum();
        let pending = self.pending.values().filter(|since| self.takes_long(now.since(**since)));
        ended + pending.count() >= MIN_SAMPLES
    }

    /// Whether recent connections were late, so that a timeout is no evidence against a target.
    pub fn is_late(&self, now: Time) -> bool {
        self.current(now) >= LATE_DELAY || self.is_stuck(now)
    }

    /// How late recent connections were. While the links are known to be lost, targets that take no
    /// connection say nothing of this node.
    pub fn pace(&self, are_links_lost: bool, now: Time) -> Pace {
        let is_late = if are_links_lost { self.is_host_late(now) } else { self.is_late(now) };
        match self.current(now) {
            _ if is_late => Pace::Late,
            delay if delay * 2 >= LATE_DELAY => Pace::Slowed,
            _ => Pace::Prompt,
        }
    }

    /// Whether this host is known to be the cause, rather than lost links to the targets.
    pub fn is_host_late(&self, now: Time) -> bool {
        let is_peer_slow = self.peer.is_some_and(|(at, slow)| slow && now.since(at) < PEER_TTL);
        self.current(now) >= LATE_DELAY || (self.is_stuck(now) && is_peer_slow)
    }

    /// What the connections since `since` show of answers that are missing now.
    pub fn witness(&self, since: Time, now: Time) -> Witness {
        match self.prompt_at {
            _ if self.is_host_late(now) => Witness::Late,
            Some(at) if at >= since => Witness::Prompt,
            _ => Witness::Missing,
        }
    }

    /// Whether the node has become late, or no longer is, since the last call.
    pub fn take_change(&mut self, now: Time) -> Option<bool> {
        let is_late = self.is_late(now);
        (std::mem::replace(&mut self.was_late, is_late) != is_late).then_some(is_late)
    }

    /// What connections take at rest.
    pub fn base(&self) -> Duration {
        self.base.get()
    }
}
