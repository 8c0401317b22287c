//! Log of the targets whose usability may have changed.
//!
//! An index of targets asks for the names that changed since its cursor and re-examines only those.
//! A change that affects all targets, or a cursor older than the log, makes it re-examine every
//! target.

use std::collections::VecDeque;

use model::Name;

/// Maximum number of names in the log: more than change while a frequent reader is busy.
const CAPACITY: usize = 4096;

/// Targets to re-examine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangedTargets {
    /// These names, possibly with duplicates.
    Names(Vec<Name>),
    /// Every target.
    Any,
}

/// Names in the order in which they changed.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    names: VecDeque<Name>,
    /// Sequence number of the oldest name in the log.
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

    /// Makes every earlier cursor see [`ChangedTargets::Any`].
    pub(super) fn invalidate(&mut self) {
        self.first = self.next() + 1;
        self.names.clear();
    }

    /// Sequence number of the next change.
    pub(super) fn next(&self) -> u64 {
        self.first + self.names.len() as u64
    }

    /// Changes with this sequence number or a later one.
    pub(super) fn since(&self, number: u64) -> ChangedTargets {
        let Some(index) = number.checked_sub(self.first) else {
            return ChangedTargets::Any;
        };
        ChangedTargets::Names(self.names.iter().skip(index as usize).cloned().collect())
    }
}
