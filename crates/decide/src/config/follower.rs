//! Replica of the published configuration on one node.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::manifest::{Chunk, Delta, Manifest, SlotRef};
use model::object::{ObjectSet, Spec};
use model::{Name, Time, hash};

/// Number of past manifests kept, so that peers can be answered with a delta.
const MAX_HISTORY: usize = 32;
/// Time after which an unanswered fetch is abandoned.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Where configuration is fetched from.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// The Object API.
    Store,
    /// Another node, by control address.
    Peer(Name),
}

/// Input to the [`Follower`].
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerEvent {
    /// A source announced the number of its current manifest.
    Announced {
        /// Manifest number.
        number: u64,
        /// Source that has it.
        from: Source,
    },
    /// The manifest was read from the store.
    Manifest(Manifest),
    /// A delta was received from a peer.
    Delta {
        /// The delta.
        delta: Delta,
        /// Sender.
        from: Source,
    },
    /// A chunk was received.
    Chunk {
        /// Content address that was requested.
        hash: Name,
        /// Content received; checked against the address.
        text: Arc<str>,
    },
    /// A fetch from this source failed.
    FetchFailed(Source),
    /// A timer fired.
    Tick,
}

/// Effect to be carried out by the caller of the [`Follower`].
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerAction {
    /// Fetch the changes since manifest `have`.
    FetchDelta {
        /// Source to fetch from.
        from: Source,
        /// Number of the current manifest.
        have: u64,
    },
    /// Fetch chunks.
    FetchChunks {
        /// Source to fetch from.
        from: Source,
        /// Content addresses.
        hashes: Vec<Name>,
    },
    /// A newer manifest was applied completely.
    Applied(Change),
}

/// Difference between two applied manifests.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Number of the manifest now applied.
    pub number: u64,
    /// Objects added or replaced.
    pub upserts: Vec<(Name, Spec)>,
    /// Keys (`Kind/name`) of the objects removed.
    pub removed: Vec<Name>,
}

impl Change {
    /// Updates `set` from the previous manifest to this one.
    pub fn apply_to(self, set: &mut ObjectSet) {
        for key in &self.removed {
            set.remove_key(key);
        }
        for (key, spec) in self.upserts {
            set.insert_key(&key, spec);
        }
    }
}

#[derive(Debug)]
struct Pending {
    number: u64,
    slots: Vec<Name>,
    missing: Vec<Name>,
    from: Source,
    since: Time,
}

/// Replica of the published configuration on one node.
#[derive(Debug, Default)]
pub struct Follower {
    number: u64,
    slots: Vec<Name>,
    chunks: BTreeMap<Name, Arc<str>>,
    history: VecDeque<(u64, Vec<Name>)>,
    pending: Option<Pending>,
    fetching: Option<(Source, Time)>,
    newest: Option<(u64, Source)>,
    items: BTreeMap<Name, Spec>,
}

impl Follower {
    /// Number of the current manifest, 0 before the first.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Chunk addresses of the current manifest, one per slot.
    pub fn slots(&self) -> &[Name] {
        &self.slots
    }

    /// Text of a chunk held by this replica.
    pub fn chunk(&self, hash: &str) -> Option<&Arc<str>> {
        self.chunks.get(hash)
    }

    /// All objects of the current manifest.
    pub fn set(&self) -> ObjectSet {
        let mut set = ObjectSet::default();
        for (key, spec) in &self.items {
            set.insert_key(key, spec.clone());
        }
        set
    }

    /// Total size of the chunks held, in bytes.
    pub fn bytes(&self) -> usize {
        self.chunks.values().map(|t| t.len()).sum()
    }

    /// Slots that differ from manifest `have`; all slots if `have` is not in the history or has
    /// another slot count.
    pub fn delta(&self, have: u64) -> Delta {
        let old = self.history.iter().find(|(n, s)| *n == have && s.len() == self.slots.len());
        let base = old.map_or(0, |(n, _)| *n);
        let differs = |i: usize| old.is_none_or(|(_, s)| s[i] != self.slots[i]);
        let slots = self.slots.iter().enumerate().filter(|(i, _)| differs(*i));
        Delta {
            base,
            number: self.number,
            count: self.slots.len() as u32,
            slots: slots.map(|(i, h)| SlotRef { slot: i as u32, hash: h.clone() }).collect(),
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle_event(&mut self, now: Time, event: FollowerEvent) -> Vec<FollowerAction> {
        let mut out = Vec::new();
        match event {
            FollowerEvent::Announced { number, from } => self.handle_announcement(number, from),
            FollowerEvent::Manifest(m) => {
                self.start_fetch(now, m.number, m.slots, Source::Store, &mut out);
            }
            FollowerEvent::Delta { delta, from } => self.handle_delta(now, delta, from, &mut out),
            FollowerEvent::Chunk { hash, text } => self.handle_chunk(&hash, text),
            FollowerEvent::FetchFailed(from) => self.handle_failure(&from),
            FollowerEvent::Tick => {}
        }
        self.advance(now, &mut out);
        out
    }

    fn handle_announcement(&mut self, number: u64, from: Source) {
        if number > self.number && self.newest.as_ref().is_none_or(|(n, _)| number >= *n) {
            self.newest = Some((number, from));
        }
    }

    fn handle_failure(&mut self, from: &Source) {
        self.fetching.take_if(|(s, _)| s == from);
        self.pending.take_if(|p| p.from == *from);
        self.newest.take_if(|(_, s)| s == from);
    }

    fn handle_delta(&mut self, now: Time, d: Delta, from: Source, out: &mut Vec<FollowerAction>) {
        self.fetching.take_if(|(s, _)| *s == from);
        if d.number <= self.number {
            // The peer has nothing newer, contrary to its announcement.
            self.newest.take_if(|(_, s)| *s == from);
            return;
        }
        let mut slots = match d.base {
            0 => vec![Name::default(); d.count as usize],
            b if b == self.number && self.slots.len() == d.count as usize => self.slots.clone(),
            // The delta is based on another manifest than the current one; fetch again.
            _ => return,
        };
        for s in d.slots {
            match slots.get_mut(s.slot as usize) {
                Some(slot) => *slot = s.hash,
                None => return,
            }
        }
        if slots.iter().any(|s| s.is_empty()) {
            return;
        }
        self.start_fetch(now, d.number, slots, from, out);
    }

    /// Starts to fetch a manifest if it is newer than the current and the pending one.
    fn start_fetch(
        &mut self,
        now: Time,
        number: u64,
        slots: Vec<Name>,
        from: Source,
        out: &mut Vec<FollowerAction>,
    ) {
        if number <= self.number || self.pending.as_ref().is_some_and(|p| p.number >= number) {
            return;
        }
        let mut missing: Vec<Name> =
            slots.iter().filter(|h| !self.chunks.contains_key(*h)).cloned().collect();
        missing.sort_unstable();
        missing.dedup();
        if !missing.is_empty() {
            out.push(FollowerAction::FetchChunks { from: from.clone(), hashes: missing.clone() });
        }
        self.pending = Some(Pending { number, slots, missing, from, since: now });
    }

    fn handle_chunk(&mut self, hash: &Name, text: Arc<str>) {
        let Some(p) = &mut self.pending else {
            return;
        };
        let Ok(at) = p.missing.binary_search(hash) else {
            return;
        };
        let parses = serde_json::from_str::<Chunk>(&text).is_ok();
        if hash::content_address(text.as_bytes()) != **hash || !parses {
            let from = p.from.clone();
            return self.handle_failure(&from);
        }
        p.missing.remove(at);
        self.chunks.insert(hash.clone(), text);
    }

    fn advance(&mut self, now: Time, out: &mut Vec<FollowerAction>) {
        if self.pending.as_ref().is_some_and(|p| p.missing.is_empty())
            && let Some(p) = self.pending.take()
        {
            out.push(FollowerAction::Applied(self.apply(p)));
        }
        self.pending.take_if(|p| now.since(p.since) >= FETCH_TIMEOUT);
        self.fetching.take_if(|(_, at)| now.since(*at) >= FETCH_TIMEOUT);
        self.newest.take_if(|(n, _)| *n <= self.number);
        let pending_number = self.pending.as_ref().map_or(0, |p| p.number);
        if let Some((n, from)) = &self.newest
            && *n > pending_number
            && self.fetching.is_none()
        {
            self.fetching = Some((from.clone(), now));
            out.push(FollowerAction::FetchDelta { from: from.clone(), have: self.number });
        }
    }

    fn apply(&mut self, p: Pending) -> Change {
        let old_items = self.changed_items(&p.slots, false);
        let new_items = self.changed_items(&p.slots, true);
        let mut change = Change { number: p.number, upserts: Vec::new(), removed: Vec::new() };
        for key in old_items.keys() {
            if !new_items.contains_key(key) && self.items.remove(key).is_some() {
                change.removed.push(key.clone());
            }
        }
        for (key, spec) in new_items {
            if self.items.get(&key) != Some(&spec) {
                self.items.insert(key.clone(), spec.clone());
                change.upserts.push((key, spec));
            }
        }
        self.number = p.number;
        self.slots = p.slots;
        self.history.push_back((self.number, self.slots.clone()));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        let live: std::collections::BTreeSet<_> = self.slots.iter().cloned().collect();
        self.chunks.retain(|h, _| live.contains(h));
        change
    }

    /// Items of the slots that differ between the current manifest and `slots`: those of `slots` if
    /// `new`, else those of the current manifest.
    fn changed_items(&self, slots: &[Name], new: bool) -> BTreeMap<Name, Spec> {
        let (selected, other) =
            if new { (slots, &self.slots[..]) } else { (&self.slots[..], slots) };
        let same_shape = selected.len() == other.len();
        let mut items = BTreeMap::new();
        for (i, hash) in selected.iter().enumerate() {
            if same_shape && other[i] == *hash {
                continue;
            }
            let Some(text) = self.chunks.get(hash) else {
                continue;
            };
            let chunk: Chunk = serde_json::from_str(text).unwrap_or_default();
            items.extend(chunk.into_iter().filter_map(|i| i.spec.map(|s| (i.key, s))));
        }
        items
    }
}
