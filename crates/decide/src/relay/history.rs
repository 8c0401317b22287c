//! Bounded log of changes, indexed by store revision.

use std::collections::VecDeque;

/// Maximum number of changes; a follower that is further behind reads the complete state.
const MAX_CHANGES: usize = 1024;

#[derive(Debug)]
struct Batch<T> {
    to: u64,
    changes: Vec<T>,
}

/// Changes since a revision, as far back as the log reaches.
#[derive(Debug)]
pub struct History<T> {
    from: u64,
    at: u64,
    batches: VecDeque<Batch<T>>,
    len: usize,
}

impl<T> Default for History<T> {
    fn default() -> Self {
        History { from: 0, at: 0, batches: VecDeque::new(), len: 0 }
    }
}

impl<T: Clone> History<T> {
    /// Revision of the state; 0 if none was read yet.
    pub fn revision(&self) -> u64 {
        self.at
    }

    /// Restarts the log after the complete state was read at this revision; earlier changes are
    /// unknown.
    pub fn restart(&mut self, at: u64) {
        *self = History { from: at, at, ..History::default() };
    }

    /// Appends the changes after the current revision up to `at`.
    pub fn append(&mut self, at: u64, changes: Vec<T>) {
        if at <= self.at {
            return;
        }
        self.at = at;
        if changes.is_empty() {
            return;
        }
        self.len += changes.len();
        self.batches.push_back(Batch { to: at, changes });
        while self.len > MAX_CHANGES {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.len -= oldest.changes.len();
            self.from = oldest.to;
        }
    }

    /// Changes after a revision, oldest first, possibly with some before it: applying a change
    /// twice has no effect. `None` if the log does not reach back that far.
    pub fn since(&self, at: u64) -> Option<Vec<T>> {
        if at < self.from {
            return None;
        }
        let newer = self.batches.iter().filter(|b| b.to > at);
        Some(newer.flat_map(|b| b.changes.iter().cloned()).collect())
    }
}
