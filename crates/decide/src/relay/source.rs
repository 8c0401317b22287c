//! Which source a node reads the store's state from.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::member::{Node, NodeId};

/// Time for which a relay that did not answer, or was out of touch itself, is passed over.
const RELAY_REST: Duration = Duration::from_secs(3);
/// First time for which a relay leaves the store alone after a failed call.
const STORE_REST_FIRST: Duration = Duration::from_millis(100);
/// Longest such time.
const STORE_REST_LONGEST: Duration = Duration::from_millis(800);
/// Such time of a node that is no relay: there are many of them.
const STORE_REST_FOLLOWER: Duration = Duration::from_secs(2);
/// Longest wait before a source that rests is tried all the same.
const PAUSE_LONGEST: Duration = Duration::from_millis(500);

/// Who relays the store's state, as one node sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Relays {
    /// Whether this node is one of them.
    pub own: bool,
    /// Whether others of its failure domain are none.
    pub followed: bool,
    /// The others, in the order in which this node asks them.
    pub peers: Vec<Node>,
}

/// Where the state is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// A relay.
    Peer(Node),
}

/// A source, and the pause before it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    /// Source.
    pub source: Source,
    /// Zero unless all sources failed a moment ago.
    pub pause: Duration,
}

/// Sources that failed, and until when they are passed over.
#[derive(Debug, Default)]
pub struct Sources {
    store: Option<Time>,
    failures: u32,
    peers: BTreeMap<NodeId, Time>,
}

impl Sources {
    /// The source to read from now: a relay reads the store, the others a relay, each
    /// the other kind when that fails.
    pub fn choose(&mut self, relays: &Relays, now: Time) -> Chosen {
        self.peers.retain(|_, until| now < *until);
        let store = (self.store.filter(|until| now < *until), Source::Store);
        let peer = |p: &Node| (self.peers.get(&p.id).copied(), Source::Peer(p.clone()));
        let mut order: Vec<(Option<Time>, Source)> = relays.peers.iter().map(peer).collect();
        order.insert(if relays.own { 0 } else { order.len() }, store);
        if let Some((_, source)) = order.iter().find(|(rests, _)| rests.is_none()) {
            return Chosen { source: source.clone(), pause: Duration::ZERO };
        }
        let soonest = order.into_iter().min_by_key(|(rests, _)| *rests);
        let (rests, source) = soonest.unwrap_or((None, Source::Store));
        let pause = rests.map_or(Duration::ZERO, |until| until.since(now));
        Chosen { source, pause: pause.min(PAUSE_LONGEST) }
    }

    /// A relay did not answer, or was out of touch with the store.
    pub fn relay_failed(&mut self, id: &NodeId, now: Time) {
        self.peers.insert(id.clone(), now + RELAY_REST);
    }

    /// A call of the store failed; `jitter` draws a part of a time.
    pub fn store_failed(
        &mut self,
        own: bool,
        now: Time,
        jitter: impl FnOnce(Duration) -> Duration,
    ) {
        let bound = STORE_REST_FIRST * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        let rest = if own { bound.min(STORE_REST_LONGEST) } else { STORE_REST_FOLLOWER };
        self.store = Some(now + STORE_REST_FIRST / 2 + jitter(rest));
    }

    /// The store answered.
    pub fn store_answered(&mut self) {
        self.store = None;
        self.failures = 0;
    }
}
