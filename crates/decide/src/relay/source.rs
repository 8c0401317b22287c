//! Which source a node reads the store's state from.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use model::member::{Node, NodeId};

/// Time for which a relay that did not answer is passed over.
const SILENT_REST: Duration = Duration::from_secs(3);
/// Time for which a relay that was out of touch itself is asked after the others.
const STALE_REST: Duration = Duration::from_secs(3);
/// First time for which a relay leaves the store alone after a failed call.
const STORE_REST_FIRST: Duration = Duration::from_millis(100);
/// Longest such time.
const STORE_REST_LONGEST: Duration = Duration::from_millis(800);
/// Such time of a node that is no relay, and whose relays do not answer or are out of touch.
const STORE_REST_FOLLOWER: Duration = Duration::from_secs(2);
/// Such time of a node whose relays answer but are out of touch, for each follower in its
/// failure domain: most likely nobody reaches the store, and all of them together ask it
/// less often than their relays do.
const LAST_RESORT_EACH: Duration = Duration::from_millis(150);
/// Longest such time: half of what a configuration may take where the store is in trouble.
const LAST_RESORT_LONGEST: Duration = Duration::from_secs(8);
/// Longest wait before a source that rests is tried all the same.
const PAUSE_LONGEST: Duration = Duration::from_millis(500);
/// Wait of a node that has just started and knows no relay yet.
const PAUSE_FORMING: Duration = Duration::from_millis(20);

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
        patient: bool,
    },
    /// None yet.
    Nobody,
}

/// A source, and the pause before it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    /// Source.
    pub source: Source,
    /// Zero unless all sources failed a moment ago.
    pub pause: Duration,
}

impl Chosen {
    fn now(source: Source) -> Self {
        Chosen { source, pause: Duration::ZERO }
    }
}

/// Sources that failed, and until when they are passed over.
#[derive(Debug, Default)]
pub struct Sources {
    store: Option<Time>,
    failures: u32,
    silent: BTreeMap<NodeId, Time>,
    stale: BTreeMap<NodeId, Time>,
    /// When a follower of stale relays asks the store by itself.
    last_resort: Option<Time>,
}

impl Sources {
    /// The source to read from now: a relay reads the store, the others a relay, each
    /// the other kind when that fails; `jitter` draws a part of a time.
    pub fn choose(
        &mut self,
        relays: &Relays,
        now: Time,
        jitter: impl FnOnce(Duration) -> Duration,
    ) -> Chosen {
        self.silent.retain(|_, until| now < *until);
        self.stale.retain(|_, until| now < *until);
        let store_rests = self.store.is_some_and(|until| now < until);
        if relays.role == Role::Relay && !store_rests {
            return Chosen::now(Source::Store);
        }
        // A standby takes the place of a relay that is out of touch: the store may turn away the
        // relays of all domains and serve everybody else.
        let relay_is_stale = relays.peers.first().is_some_and(|n| self.stale.contains_key(&n.id));
        if relays.role == Role::Standby && relay_is_stale && !store_rests {
            return Chosen::now(Source::Store);
        }
        let answers = |n: &&Node| !self.silent.contains_key(&n.id);
        let is_fresh = |n: &&Node| !self.stale.contains_key(&n.id);
        if let Some(peer) = relays.peers.iter().filter(answers).find(is_fresh) {
            self.last_resort = None;
            let patient = relays.role == Role::Unknown;
            return Chosen::now(Source::Peer { node: peer.clone(), patient });
        }
        if relays.role == Role::Unknown && relays.peers.is_empty() {
            return Chosen { source: Source::Nobody, pause: PAUSE_FORMING };
        }
        // The relay that was found stale first is the likeliest to be well again.
        let stale = relays.peers.iter().filter(answers).min_by_key(|n| self.stale.get(&n.id));
        let Some(stale) = stale.cloned() else {
            return self.without_peers(relays, now);
        };
        let rest = match relays.role {
            // Its followers are better off with it than each with the store.
            Role::Standby => STORE_REST_LONGEST,
            _ => last_resort(relays.followers),
        };
        let store_at = *self.last_resort.get_or_insert_with(|| now + jitter(rest));
        let may_ask_store = matches!(relays.role, Role::Follower | Role::Standby);
        if may_ask_store && now >= store_at && !store_rests {
            self.last_resort = None;
            return Chosen::now(Source::Store);
        }
        Chosen::now(Source::Peer { node: stale, patient: true })
    }

    /// The source where no relay answers.
    fn without_peers(&self, relays: &Relays, now: Time) -> Chosen {
        let rests = |until: Option<Time>| until.filter(|until| now < *until);
        let peer = |n: &Node| {
            let source = Source::Peer { node: n.clone(), patient: false };
            (rests(self.silent.get(&n.id).copied()), source)
        };
        let store = (rests(self.store), Source::Store);
        let all = std::iter::once(store).chain(relays.peers.iter().map(peer));
        let soonest = all.min_by_key(|(until, _)| *until);
        let (until, source) = soonest.unwrap_or((None, Source::Store));
        let pause = until.map_or(Duration::ZERO, |until| until.since(now));
        Chosen { source, pause: pause.min(PAUSE_LONGEST) }
    }

    /// A relay did not answer.
    pub fn relay_silent(&mut self, id: &NodeId, now: Time) {
        self.silent.insert(id.clone(), now + SILENT_REST);
    }

    /// A relay answered, but was out of touch with the store.
    pub fn relay_stale(&mut self, id: &NodeId, now: Time) {
        self.stale.insert(id.clone(), now + STALE_REST);
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
        let bound = STORE_REST_FIRST * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        let rest = match role {
            Role::Relay => bound.min(STORE_REST_LONGEST),
            // A standby's relay asks sooner; if neither is answered, most likely nobody is.
            Role::Standby | Role::Follower | Role::Unknown => STORE_REST_FOLLOWER,
        };
        self.store = Some(now + STORE_REST_FIRST / 2 + jitter(rest));
    }

    /// The store answered.
    pub fn store_answered(&mut self) {
        self.store = None;
        self.failures = 0;
    }
}

/// Time out of which a follower of stale relays draws when it asks the store.
fn last_resort(followers: usize) -> Duration {
    let all = LAST_RESORT_EACH * u32::try_from(followers).unwrap_or(u32::MAX);
    all.min(LAST_RESORT_LONGEST)
}
