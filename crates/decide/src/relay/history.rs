//! Changes by the store's revision, bounded.

use std::collections::VecDeque;

/// Most changes held; a follower that is further behind takes the whole state.
const MAX_CHANGES: usize = 1024;

#[derive(Debug)]
struct Batch<T> {
    to: u64,
    changes: Vec<T>,
}

/// What changed since a revision, as far back as it is held.
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
    /// Revision that the state is at; 0 if none was ever read.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// The whole state was read at this revision: what came before is not known.
    pub fn restart(&mut self, at: u64) {
        *self = History { from: at, at, ..History::default() };
    }

    /// Takes the changes after the current revision up to `at`.
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

    /// Changes after a revision, oldest first, and maybe some before it: taking a change
    /// twice changes nothing. `None` if it is further back than the history goes.
    pub fn since(&self, at: u64) -> Option<Vec<T>> {
        if at < self.from {
            return None;
        }
        let newer = self.batches.iter().filter(|b| b.to > at);
        Some(newer.flat_map(|b| b.changes.iter().cloned()).collect())
    }
}
