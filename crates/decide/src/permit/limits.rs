//! What one node knows of the limits that targets name.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{NamedLimit, TargetId};

use super::Word;

/// Time for which a word is remembered whose target is known no longer, or names no limit any
/// more: entries that lapse around an outage of the store come back, and peers may tell older words.
const KEPT: Duration = Duration::from_secs(60);

/// Time after which a target is due that this node asked nothing of: it may be faster by now than
/// it was, and that its limit is over shows by its answers alone.
const DUE: Duration = Duration::from_secs(2);

/// What a word changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target names a limit from now on, or another one.
    Named(f64),
    /// It names none any more.
    Ended,
    /// It names one that cannot be read; what was known of it holds.
    Unreadable,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    word: Word,
    /// Until then this node sends nothing there.
    closed: Time,
    /// When this node last asked for a permit.
    asked: Time,
}

/// Limits of the targets that name one.
#[derive(Debug, Default)]
pub struct Limits {
    known: BTreeMap<TargetId, Known>,
    unreadable: BTreeSet<TargetId>,
}

impl Limits {
    /// Whether no target names a limit.
    pub fn is_empty(&self) -> bool {
        self.named().next().is_none()
    }

    /// The limit that a target names, in requests a second.
    pub fn get(&self, id: &TargetId) -> Option<f64> {
        self.known.get(id)?.word.per_s
    }

    /// Targets that name a limit, with it.
    pub fn named(&self) -> impl Iterator<Item = (&TargetId, f64)> {
        self.known.iter().filter_map(|(id, known)| Some((id, known.word.per_s?)))
    }

    /// Until when this node sends nothing to a target, as far as is known.
    pub fn closed(&self, id: &TargetId) -> Option<Time> {
        let known = self.known.get(id)?;
        known.word.per_s.map(|_| known.closed)
    }

    /// Whether this node sends nothing to a target now.
    pub fn is_closed(&self, id: &TargetId, now: Time) -> bool {
        self.closed(id).is_some_and(|until| now < until)
    }

    /// Whether a target that names a limit is to be asked now, however slow it seemed.
    pub fn is_due(&self, id: &TargetId, now: Time) -> bool {
        let known = self.known.get(id).filter(|known| known.word.per_s.is_some());
        known.is_some_and(|k| now >= k.closed && now.since(k.asked) >= DUE)
    }

    /// This node is to send to a target: the last word of it, if it names a limit, so that a
    /// permit is asked for.
    pub fn asks(&mut self, id: &TargetId, now: Time) -> Option<Word> {
        let known = self.known.get_mut(id).filter(|known| known.word.per_s.is_some())?;
        known.asked = now;
        Some(known.word)
    }

    /// Nothing is to be sent to a target before this.
    pub fn close(&mut self, id: &TargetId, until: Time) {
        if let Some(known) = self.known.get_mut(id) {
            known.closed = until;
        }
    }

    /// Takes what an answer says whose request was sent at `sent`.
    pub fn hear(
        &mut self,
        id: &TargetId,
        said: NamedLimit,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let per_s = match said {
            NamedLimit::Unreadable => {
                return self.unreadable.insert(id.clone()).then_some(LimitChange::Unreadable);
            }
            NamedLimit::None => None,
            NamedLimit::PerSecond(per_s) => Some(per_s),
        };
        self.unreadable.remove(id);
        self.learn(id, Word { per_s, sent, came: now })
    }

    /// Takes a word, of an answer or of a peer.
    pub fn learn(&mut self, id: &TargetId, word: Word) -> Option<LimitChange> {
        let Some(known) = self.known.get_mut(id) else {
            let per_s = word.per_s?;
            self.known.insert(id.clone(), Known { word, closed: Time::ZERO, asked: word.came });
            return Some(LimitChange::Named(per_s));
        };
        let before = known.word.per_s;
        known.word = known.word.and(word);
        match known.word.per_s {
            after if after == before => None,
            Some(per_s) => Some(LimitChange::Named(per_s)),
            None => Some(LimitChange::Ended),
        }
    }

    /// Forgets targets that are known no longer, and limits that ended long ago.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        let is_wanted = |id: &TargetId, known: &Known| {
            let is_young = now.since(known.word.came) < KEPT;
            is_young || (known.word.per_s.is_some() && is_known(id))
        };
        self.known.retain(|id, known| is_wanted(id, known));
        self.unreadable.retain(is_known);
    }
}
