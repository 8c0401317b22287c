//! Store entries that cannot be parsed, and rate limiting of their log lines.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Name, Time};

/// Maximum burst of log lines: enough to name each entry of a whole service in most deployments.
const BURST: u32 = 32;
/// Interval at which further log lines are allowed, so that a writer that keeps replacing one bad
/// entry by another does not flood the log.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies an entry: by name, or by its position in an answer if the name cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKey {
    /// Entry with this name.
    Name(Name),
    /// Entry at this position of a complete list.
    ListIndex(Name),
    /// Entry at this position among changes. It cannot be told apart from others, nor seen to be
    /// corrected, so it is not counted.
    ChangeIndex(Name),
}

/// Entries of one kind that cannot be parsed now, each with the reason.
///
/// An entry without a parsable name is kept until the next complete list.
#[derive(Debug)]
pub struct UnreadableEntries {
    current: BTreeMap<EntryKey, Name>,
    /// Entries of the previous complete list.
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
    /// Starts a new complete list: entries that it lacks are dropped.
    pub fn restart(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    /// Drops an entry that can be parsed or was deleted.
    pub fn clear(&mut self, name: &Name) {
        self.current.remove(&EntryKey::Name(name.clone()));
    }

    /// Drops all named entries, for a kind that has a single object.
    pub fn clear_named(&mut self) {
        self.current.retain(|key, _| !matches!(key, EntryKey::Name(_)));
    }

    /// Records an entry that cannot be parsed. If this is a change and the rate limit allows a log
    /// line, returns the number of changes suppressed since the last line.
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

    /// Number of entries that cannot be parsed, as far as they can be told apart.
    pub fn count(&self) -> usize {
        self.current.keys().filter(|key| !matches!(key, EntryKey::ChangeIndex(_))).count()
    }
}
