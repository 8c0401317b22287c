//! Which entries of the store cannot be read, and when that is worth a line.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Name, Time};

/// Lines that may be written at once. A store in which a whole service's entries turn bad
/// still names each in most deployments.
const BURST: u32 = 32;
/// Time after which one more line may be written, so that a writer that puts another bad
/// entry in place of a bad one all the time fills no log.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Where an entry is: its name, or its position in an answer if that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKey {
    /// Entry of this name.
    Name(Name),
    /// Entry at this position of the whole list.
    ListIndex(Name),
    /// Entry at this position among changes. It cannot be told from others, nor be seen to
    /// heal, so it is not counted.
    ChangeIndex(Name),
}

/// Entries of one kind that cannot be read now, and why.
///
/// One without a readable name is held until the whole list is read again.
#[derive(Debug)]
pub struct UnreadableEntries {
    current: BTreeMap<EntryKey, Name>,
    /// Entries of the list read before this one.
    previous: BTreeMap<EntryKey, Name>,
    tokens: u32,
    refilled_at: Time,
    suppressed: u64,
}

impl Default for UnreadableEntries {
    fn default() -> Self {
        UnreadableEntries {
            current: BTreeMap::new(),
            previous: BTreeMap::new(),
            tokens: BURST,
            refilled_at: Time::ZERO,
            suppressed: 0,
        }
    }
}

impl UnreadableEntries {
    /// The whole list is read: entries that it does not hold are forgotten.
    pub fn restart(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    /// An entry can be read, or is gone.
    pub fn clear(&mut self, name: &Name) {
        self.current.remove(&EntryKey::Name(name.clone()));
    }

    /// The only entry that a kind has can be read.
    pub fn clear_named(&mut self) {
        self.current.retain(|key, _| !matches!(key, EntryKey::Name(_)));
    }

    /// An entry cannot be read. Returns the count of changes that got no line since the last
    /// one if this is a change that gets one.
    pub fn record(&mut self, key: EntryKey, reason: &Name, now: Time) -> Option<u64> {
        let known = self.previous.remove(&key);
        let known = self.current.insert(key, reason.clone()).or(known);
        if known.as_ref() == Some(reason) {
            return None;
        }
        self.refill(now);
        let Some(remaining) = self.tokens.checked_sub(1) else {
            self.suppressed += 1;
            return None;
        };
        self.tokens = remaining;
        Some(std::mem::take(&mut self.suppressed))
    }

    fn refill(&mut self, now: Time) {
        while self.tokens < BURST && now.since(self.refilled_at) >= LINE_INTERVAL {
            self.tokens += 1;
            self.refilled_at = self.refilled_at + LINE_INTERVAL;
        }
        if self.tokens == BURST {
            self.refilled_at = now;
        }
    }

    /// Count of entries that cannot be read, as far as they can be told apart.
    pub fn count(&self) -> usize {
        self.current.keys().filter(|key| !matches!(key, EntryKey::ChangeIndex(_))).count()
    }
}
