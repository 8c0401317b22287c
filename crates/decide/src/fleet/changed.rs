//! Which targets may have changed since somebody last looked.
//!
//! Whoever keeps an index of targets asks for the names that changed since, and looks only
//! at those. What concerns all targets alike, or lies too far back, makes them look at all.

use std::collections::VecDeque;

use model::Name;

/// Changed names remembered: more than change while one who looks often is busy.
const CAPACITY: usize = 4096;

/// What may have changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangedTargets {
    /// These names, the same one several times perhaps.
    Names(Vec<Name>),
    /// Any target.
    Any,
}

/// Names in the order in which they changed.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    names: VecDeque<Name>,
    /// Number of the first one; names before it are not known any more.
    first: u64,
}

impl ChangeLog {
    pub(super) fn push(&mut self, name: &Name) {
        self.names.push_back(name.clone());
        if self.names.len() > CAPACITY {
            self.names.pop_front();
            self.first += 1;
        }
    }

    /// Any target may have changed.
    pub(super) fn invalidate(&mut self) {
        self.first = self.next() + 1;
        self.names.clear();
    }

    /// Number of the next one.
    pub(super) fn next(&self) -> u64 {
        self.first + self.names.len() as u64
    }

    /// What changed since the next one had this number.
    pub(super) fn since(&self, number: u64) -> ChangedTargets {
        let Some(index) = number.checked_sub(self.first) else {
            return ChangedTargets::Any;
        };
        ChangedTargets::Names(self.names.iter().skip(index as usize).cloned().collect())
    }
}
