//! Choice of the source from which a node reads the store's state.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::member::{Node, NodeId};

/// Time for which a relay that did not answer is skipped.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a relay that had no contact with the store is tried after the others.
const STALE_BACKOFF: Duration = Duration::from_secs(3);
/// First delay of a relay after a failed call to the store.
const STORE_BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum delay of a relay after failed calls to the store.
const STORE_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Delay after a failed call to the store of a node that is not a relay, and whose relays do not
/// answer or have no contact with the store.
const STORE_BACKOFF_FOLLOWER: Duration = Duration::from_secs(2);
/// Delay per follower in the failure domain before a node calls the store because its relays answer
/// but have no contact with it. Most likely no node reaches the store then, and all followers
/// together call it less often than their relays do.
const FALLBACK_PER_FOLLOWER: Duration = Duration::from_millis(150);
/// Maximum of that delay: half of the time allowed for distributing a configuration while the store
/// is failing.
const FALLBACK_MAX: Duration = Duration::from_secs(8);
/// Maximum pause before a source is tried although its backoff has not ended.
const PAUSE_MAX: Duration = Duration::from_millis(500);
/// Pause of a node that has just started and knows no relay yet.
const PAUSE_STARTUP: Duration = Duration::from_millis(20);

/// Role of a node in following the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// Just started; its peers are not known yet.
    #[default]
    Unknown,
    /// Reads from the store.
    Relay,
    /// Reads from the relay, often enough to replace it at any moment.
    Standby,
    /// Reads from the relay or the standby.
    Follower,
}

/// Relays of the store's state, as seen by one node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Relays {
    /// Role of this node.
    pub role: Role,
    /// Number of nodes in its failure domain that do not read from the store.
    pub followers: usize,
    /// Other relays, in order of preference.
    pub peers: Vec<Node>,
}

/// Source to read the state from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// A relay. If none has contact with the store, one is asked to answer once it has.
    Peer {
        /// The relay.
        node: Node,
        /// Whether the relay delays its answer until it has contact with the store.
        await_fresh: bool,
    },
    /// No source is known yet.
    Unavailable,
}

/// A source, and the pause before it is called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Source to call.
    pub source: Source,
    /// Zero unless all sources have just failed.
    pub pause: Duration,
}

impl Choice {
    fn immediate(source: Source) -> Self {
        Choice { source, pause: Duration::ZERO }
    }
}

/// Sources that failed, each with the end of its backoff.
#[derive(Debug, Default)]
pub struct Sources {
    store_until: Option<Time>,
    failures: u32,
    unresponsive: BTreeMap<NodeId, Time>,
    stale: BTreeMap<NodeId, Time>,
    /// When a follower whose relays are all stale calls the store itself.
    fallback_at: Option<Time>,
}

impl Sources {
    /// Chooses the source to read from now: a relay reads from the store and other nodes from a
    /// relay, and each falls back to the other kind. `jitter` draws a random part of a duration.
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
            return Choice::immediate(Source::Store);
        }
        // A standby replaces a relay that has lost contact: the store may reject the relays of all
        // failure domains and still serve other nodes.
        let relay_is_stale = relays.peers.first().is_some_and(|n| self.stale.contains_key(&n.id));
        if relays.role == Role::Standby && relay_is_stale && !store_backed_off {
            return Choice::immediate(Source::Store);
        }
        let is_responsive = |n: &&Node| !self.unresponsive.contains_key(&n.id);
        let is_fresh = |n: &&Node| !self.stale.contains_key(&n.id);
        if let Some(peer) = relays.peers.iter().filter(is_responsive).find(is_fresh) {
            self.fallback_at = None;
            let await_fresh = relays.role == Role::Unknown;
            return Choice::immediate(Source::Peer { node: peer.clone(), await_fresh });
        }
        if relays.role == Role::Unknown && relays.peers.is_empty() {
            return Choice { source: Source::Unavailable, pause: PAUSE_STARTUP };
        }
        // The relay that became stale first is the most likely to have recovered.
        let stale = relays.peers.iter().filter(is_responsive).min_by_key(|n| self.stale.get(&n.id));
        let Some(stale) = stale.cloned() else {
            return self.without_peers(relays, now);
        };
        let backoff = match relays.role {
            // For its followers, a standby with store contact is better than each of them calling
            // the store.
            Role::Standby => STORE_BACKOFF_MAX,
            _ => fallback_delay(relays.followers),
        };
        let ask_store_at = *self.fallback_at.get_or_insert_with(|| now + jitter(backoff));
        let may_ask_store = matches!(relays.role, Role::Follower | Role::Standby);
        if may_ask_store && now >= ask_store_at && !store_backed_off {
            self.fallback_at = None;
            return Choice::immediate(Source::Store);
        }
        Choice::immediate(Source::Peer { node: stale, await_fresh: true })
    }

    /// Source to use while no relay answers.
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

    /// Records that a relay did not answer.
    pub fn relay_failed(&mut self, id: &NodeId, now: Time) {
        self.unresponsive.insert(id.clone(), now + UNRESPONSIVE_BACKOFF);
    }

    /// Records that a relay answered but had no contact with the store.
    pub fn relay_stale(&mut self, id: &NodeId, now: Time) {
        self.stale.insert(id.clone(), now + STALE_BACKOFF);
    }

    /// Records that a relay answered and had contact with the store.
    pub fn relay_fresh(&mut self, id: &NodeId) {
        self.stale.remove(id);
    }

    /// Records a failed call to the store; `jitter` draws a random part of a duration.
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
            // The relay of a standby retries sooner; if neither gets an answer, most likely no node
            // does.
            Role::Standby | Role::Follower | Role::Unknown => STORE_BACKOFF_FOLLOWER,
        };
        self.store_until = Some(now + STORE_BACKOFF_MIN / 2 + jitter(backoff));
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self) {
        self.store_until = None;
        self.failures = 0;
    }
}

/// Upper bound of the random delay before a follower of stale relays calls the store.
fn fallback_delay(followers: usize) -> Duration {
    let total = FALLBACK_PER_FOLLOWER * u32::try_from(followers).unwrap_or(u32::MAX);
    total.min(FALLBACK_MAX)
}
