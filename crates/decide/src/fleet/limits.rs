//! Limits that targets name: the requests a second that one takes from all nodes together, for as
//! long as its answers say so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;
use model::forward::{NamedLimit, TargetId};

/// Time for which the limit of a target is remembered that is known no longer: entries that lapse
/// around an outage of the store come back, with what their targets named.
const KEPT: Duration = Duration::from_secs(60);

/// What is known of one target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limited {
    /// Requests a second.
    pub per_s: f64,
    /// When the last answer came that names it.
    pub named: Time,
}

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target names a limit from now on, or another one.
    Named(f64),
    /// It names none any more.
    Ended,
    /// It names one that cannot be read; what was known of it holds.
    Unreadable,
}

/// Limits of the targets that name one.
#[derive(Debug, Default)]
pub struct Limits {
    named: BTreeMap<TargetId, Limited>,
    unreadable: BTreeSet<TargetId>,
}

impl Limits {
    /// The limit of a target, if it names one.
    pub fn get(&self, id: &TargetId) -> Option<&Limited> {
        self.named.get(id)
    }

    /// Count of targets that name one.
    pub fn count(&self) -> usize {
        self.named.len()
    }

    /// Takes what an answer says whose request was sent at `sent`.
    ///
    /// Answers overtake one another: only one whose request was sent after the limit was last
    /// named shows that it is over.
    pub fn hear(
        &mut self,
        id: &TargetId,
        said: NamedLimit,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        if said == NamedLimit::Unreadable {
            return self.unreadable.insert(id.clone()).then_some(LimitChange::Unreadable);
        }
        self.unreadable.remove(id);
        if let NamedLimit::PerSecond(per_s) = said {
            let before = self.named.insert(id.clone(), Limited { per_s, named: now });
            let is_new = before.is_none_or(|b| b.per_s != per_s);
            return is_new.then_some(LimitChange::Named(per_s));
        }
        self.named.get(id).filter(|l| l.named <= sent)?;
        self.named.remove(id);
        Some(LimitChange::Ended)
    }

    /// Forgets targets that are known no longer.
    pub fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Time) {
        self.named.retain(|id, l| is_known(id) || now.since(l.named) < KEPT);
        self.unreadable.retain(is_known);
    }
}
