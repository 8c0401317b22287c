//! Which of several growing answers may hold more memory.
//!
//! An answer is held until it is whole, so answers that share a limit could each hold a part of it
//! and wait for the others for ever. An answer may only grow if, after that, all can still become
//! whole one after the other, each with what those before it have released (the banker's algorithm).

use std::collections::BTreeMap;

/// An answer that holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldId(u64);

#[derive(Debug, Clone, Copy)]
struct Hold {
    bytes: usize,
    max_bytes: usize,
}

impl Hold {
    fn missing(&self) -> usize {
        self.max_bytes - self.bytes
    }
}

/// Memory that answers hold together.
#[derive(Debug)]
pub struct Holds {
    limit: usize,
    holds: BTreeMap<HoldId, Hold>,
    next: u64,
}

impl Holds {
    /// Allows this many bytes in all.
    pub fn new(limit: usize) -> Self {
        Holds { limit, holds: BTreeMap::new(), next: 0 }
    }

    /// Changes the limit for what begins or grows from now on.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Begins to hold an answer that will have at most `max_bytes`.
    pub fn open(&mut self, max_bytes: usize) -> HoldId {
        let id = HoldId(self.next);
        self.next += 1;
        self.holds.insert(id, Hold { bytes: 0, max_bytes: max_bytes.min(self.limit) });
        id
    }

    /// Sets what an answer holds; returns whether that is allowed by now. Less always is.
    pub fn resize(&mut self, id: HoldId, bytes: usize) -> bool {
        let Some(hold) = self.holds.get_mut(&id) else {
            return false;
        };
        let before = *hold;
        hold.bytes = bytes;
        hold.max_bytes = hold.max_bytes.max(bytes);
        if bytes <= before.bytes || self.can_all_end() {
            return true;
        }
        self.holds.insert(id, before);
        false
    }

    /// Records that an answer is whole and will not grow.
    pub fn complete(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.max_bytes = hold.bytes;
        }
    }

    /// Ends a hold.
    pub fn close(&mut self, id: HoldId) {
        self.holds.remove(&id);
    }

    /// Bytes held in all.
    pub fn bytes(&self) -> usize {
        self.holds.values().map(|h| h.bytes).sum()
    }

    fn can_all_end(&self) -> bool {
        let Some(mut free) = self.limit.checked_sub(self.bytes()) else {
            return false;
        };
        let mut holds: Vec<&Hold> = self.holds.values().collect();
        holds.sort_unstable_by_key(|h| h.missing());
        holds.iter().all(|hold| {
            let is_enough = hold.missing() <= free;
            free += hold.bytes;
            is_enough
        })
    }
}
