//! Which source a node reads the store's state from.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::member::{Node, NodeId};

/// Time for which a relay that did not answer is passed over.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a relay that was out of touch itself is asked after the others.
const STALE_BACKOFF: Duration = Duration::from_secs(3);
/// First time for which a relay leaves the store alone after a failed call.
const STORE_BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest such time.
const STORE_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Such time of a node that is no relay, and whose relays do not answer or are out of touch.
const STORE_BACKOFF_FOLLOWER: Duration = Duration::from_secs(2);
/// Such time of a node whose relays answer but are out of touch, for each follower in its
/// failure domain: most likely nobody reaches the store, and all of them together ask it
/// less often than their relays do.
const FALLBACK_PER_FOLLOWER: Duration = Duration::from_millis(150);
/// Longest such time: half of what a configuration may take where the store is in trouble.
const FALLBACK_MAX: Duration = Duration::from_secs(8);
/// Longest wait before a source that rests is tried all the same.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// Wait of a node that has just started and knows no relay yet.
const PAUSE_STARTUP: Duration = Duration::from_millis(20);

/// What a node is to those that follow the store through others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// It has just started and does not know its peers yet.
    #[default]
    Unknown,
    /// It reads the store.
    Relay,
    /// It reads the relay, often enough to take its place at any moment.
    Standby,
    /// It reads the relay, or the standby.
    Follower,
}

/// Who relays the store's state, as one node sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Relays {
    /// What this node is.
    pub role: Role,
    /// Nodes of its failure domain that do not read the store.
    pub followers: usize,
    /// The relays but this node, in the order in which it asks them.
    pub peers: Vec<Node>,
}

/// Where the state is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// A relay. While none is in touch with the store one is asked to answer once it is.
    Peer {
        /// The relay.
        node: Node,
        /// Whether it holds its answer back until it is in touch.
        await_fresh: bool,
    },
    /// None yet.
    Unavailable,
}

/// A source, and the pause before it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Source.
    pub source: Source,
    /// Zero unless all sources failed a moment ago.
    pub pause: Duration,
}

impl Choice {
    fn now(source: Source) -> Self {
        Choice { source, pause: Duration::ZERO }
    }
}

/// Sources that failed, and until when they are passed over.
#[derive(Debug, Default)]
pub struct Sources {
    store_until: Option<Time>,
    failures: u32,
    unresponsive: BTreeMap<NodeId, Time>,
    stale: BTreeMap<NodeId, Time>,
    /// When a follower of stale relays asks the store by itself.
    fallback_at: Option<Time>,
}

impl Sources {
    /// The source to read from now: a relay reads the store, the others a relay, each
    /// the other kind when that fails; `jitter` draws a part of a time.
    pub fn choose(
        &mut self,
        relays: &Relays,
        now: Time,
        jitter: impl FnOnce(Duration) -> Duration,
    ) -> Choice {
        self.unresponsive.retain(|_, until| now < *until);
        self.stale.retain(|_, until| now < *until);
        let store_backed_off = self.store_until.is_some_and(|until| now < until);
        if relays.role == Role::Relay && !store_backed_off {
            return Choice::now(Source::Store);
        }
        // A standby takes the place of a relay that is out of touch: the store may turn away the
        // relays of all domains and serve everybody else.
        let relay_is_stale = relays.peers.first().is_some_and(|n| self.stale.contains_key(&n.id));
        if relays.role == Role::Standby && relay_is_stale && !store_backed_off {
            return Choice::now(Source::Store);
        }
        let is_responsive = |n: &&Node| !self.unresponsive.contains_key(&n.id);
        let is_fresh = |n: &&Node| !self.stale.contains_key(&n.id);
        if let Some(peer) = relays.peers.iter().filter(is_responsive).find(is_fresh) {
            self.fallback_at = None;
            let await_fresh = relays.role == Role::Unknown;
            return Choice::now(Source::Peer { node: peer.clone(), await_fresh });
        }
        if relays.role == Role::Unknown && relays.peers.is_empty() {
            return Choice { source: Source::Unavailable, pause: PAUSE_STARTUP };
        }
        // The relay that was found stale first is the likeliest to be well again.
        let stale = relays.peers.iter().filter(is_responsive).min_by_key(|n| self.stale.get(&n.id));
        let Some(stale) = stale.cloned() else {
            return self.without_peers(relays, now);
        };
        let backoff = match relays.role {
            // Its followers are better off with it than each with the store.
            Role::Standby => STORE_BACKOFF_MAX,
            _ => fallback_delay(relays.followers),
        };
        let ask_store_at = *self.fallback_at.get_or_insert_with(|| now + jitter(backoff));
        let may_ask_store = matches!(relays.role, Role::Follower | Role::Standby);
        if may_ask_store && now >= ask_store_at && !store_backed_off {
            self.fallback_at = None;
            return Choice::now(Source::Store);
        }
        Choice::now(Source::Peer { node: stale, await_fresh: true })
    }

    /// The source where no relay answers.
    fn without_peers(&self, relays: &Relays, now: Time) -> Choice {
        let pending = |until: Option<Time>| until.filter(|until| now < *until);
        let peer = |n: &Node| {
            let source = Source::Peer { node: n.clone(), await_fresh: false };
            (pending(self.unresponsive.get(&n.id).copied()), source)
        };
        let store = (pending(self.store_until), Source::Store);
        let all = std::iter::once(store).chain(relays.peers.iter().map(peer));
        let earliest = all.min_by_key(|(until, _)| *until);
        let (until, source) = earliest.unwrap_or((None, Source::Store));
        let pause = until.map_or(Duration::ZERO, |until| until.since(now));
        Choice { source, pause: pause.min(PAUSE_MAX) }
    }

    /// A relay did not answer.
    pub fn relay_failed(&mut self, id: &NodeId, now: Time) {
        self.unresponsive.insert(id.clone(), now + UNRESPONSIVE_BACKOFF);
    }

    /// A relay answered, but was out of touch with the store.
    pub fn relay_stale(&mut self, id: &NodeId, now: Time) {
        self.stale.insert(id.clone(), now + STALE_BACKOFF);
    }

    /// A relay answered, and was in touch with the store.
    pub fn relay_fresh(&mut self, id: &NodeId) {
        self.stale.remove(id);
    }

    /// A call of the store failed; `jitter` draws a part of a time.
    pub fn store_failed(
        &mut self,
        role: Role,
        now: Time,
        jitter: impl FnOnce(Duration) -> Duration,
    ) {
        let bound = STORE_BACKOFF_MIN * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        let backoff = match role {
            Role::Relay => bound.min(STORE_BACKOFF_MAX),
            // A standby's relay asks sooner; if neither is answered, most likely nobody is.
            Role::Standby | Role::Follower | Role::Unknown => STORE_BACKOFF_FOLLOWER,
        };
        self.store_until = Some(now + STORE_BACKOFF_MIN / 2 + jitter(backoff));
    }

    /// The store answered.
    pub fn store_answered(&mut self) {
        self.store_until = None;
        self.failures = 0;
    }
}

/// Time out of which a follower of stale relays draws when it asks the store.
fn fallback_delay(followers: usize) -> Duration {
    let total = FALLBACK_PER_FOLLOWER * u32::try_from(followers).unwrap_or(u32::MAX);
    total.min(FALLBACK_MAX)
}
