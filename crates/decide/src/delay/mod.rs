//! How long new connections of this node take, whoever is on the other side.
//!
//! Connections to many targets and peers share this host's link and processor. If even the fastest
//! of the recent ones was slow, the cause is this host, not the other side. Timeouts count only if
//! those to peers time out too: targets that are gone cause them as well.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

/// Length of one bucket of samples.
const BUCKET_TIME: Duration = Duration::from_millis(25);
/// Time from which the samples are compared.
const WINDOW: Duration = Duration::from_millis(100);
/// Samples within [`WINDOW`] that are needed for an estimate.
const MIN_SAMPLES: usize = 3;
/// Time for which the outcome of a connection to a peer counts.
const PEER_TTL: Duration = Duration::from_millis(600);
/// Time after which the shortest connect time is replaced as the base by a more recent one.
const BASE_TTL: Duration = Duration::from_secs(30);
/// Delay from which this node counts as late.
pub const LATE_DELAY: Duration = Duration::from_millis(30);

/// Who was connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Party {
    /// A target.
    Target,
    /// Another node.
    Peer,
}

/// End of a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connect {
    /// The other side accepted or refused it after this time.
    Completed(Duration),
    /// It did not respond within this time.
    TimedOut(Duration),
}

/// Number of samples and the shortest of them.
#[derive(Debug, Clone, Copy, Default)]
struct Shortest {
    count: usize,
    took: Option<Duration>,
}

impl Shortest {
    fn record(&mut self, took: Duration) {
        self.count += 1;
        self.took = Some(self.took.map_or(took, |t| t.min(took)));
    }

    fn merge(self, other: Shortest) -> Shortest {
        let took = self.took.into_iter().chain(other.took).min();
        Shortest { count: self.count + other.count, took }
    }
}

#[derive(Debug)]
struct Bucket {
    begin: Time,
    completed: Shortest,
    timed_out: Shortest,
}

impl Bucket {
    fn new(begin: Time) -> Self {
        Bucket { begin, completed: Shortest::default(), timed_out: Shortest::default() }
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
        self.current = Some(self.current.map_or(took, |t| t.min(took)));
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
    peer_completed: Option<Time>,
    peer_timed_out: Option<Time>,
    is_late: bool,
}

impl LocalDelay {
    /// Records the end of a connection attempt; returns whether the node has become late or prompt.
    pub fn record(&mut self, party: Party, connect: Connect, now: Time) -> bool {
        self.buckets.retain(|b| now.since(b.begin) < WINDOW);
        if self.buckets.back().is_none_or(|b| now.since(b.begin) >= BUCKET_TIME) {
            self.buckets.push_back(Bucket::new(now));
        }
        let bucket = self.buckets.back_mut().expect("one was added");
        match connect {
            Connect::Completed(took) => {
                bucket.completed.record(took);
                self.base.record(took, now);
            }
            Connect::TimedOut(took) => bucket.timed_out.record(took),
        }
        match (party, connect) {
            (Party::Peer, Connect::Completed(_)) => self.peer_completed = Some(now),
            (Party::Peer, Connect::TimedOut(_)) => self.peer_timed_out = Some(now),
            (Party::Target, _) => {}
        }
        let is_late = self.is_late(now);
        std::mem::replace(&mut self.is_late, is_late) != is_late
    }

    /// Delay beyond what connections take at rest; zero if it is not known.
    pub fn current(&self, now: Time) -> Duration {
        let recent = || self.buckets.iter().filter(|b| now.since(b.begin) < WINDOW);
        let completed = recent().map(|b| b.completed).fold(Shortest::default(), Shortest::merge);
        if completed.count >= MIN_SAMPLES {
            return completed.took.unwrap_or_default().saturating_sub(self.base.get());
        }
        let timed_out = recent().map(|b| b.timed_out).fold(Shortest::default(), Shortest::merge);
        if timed_out.count >= MIN_SAMPLES && self.are_peers_silent(now) {
            return timed_out.took.unwrap_or_default();
        }
        Duration::ZERO
    }

    /// Whether connections to peers were tried lately and none was completed.
    fn are_peers_silent(&self, now: Time) -> bool {
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) < PEER_TTL);
        is_recent(self.peer_timed_out) && !is_recent(self.peer_completed)
    }

    /// Whether the node is late.
    pub fn is_late(&self, now: Time) -> bool {
        self.current(now) >= LATE_DELAY
    }

    /// What connections take at rest.
    pub fn base(&self) -> Duration {
        self.base.get()
    }
}
