//! Which entries of the store cannot be read, and when that is worth a line.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Name, Time};

/// Lines that may be written at once. A store in which a whole service's entries turn bad
/// still names each in most deployments.
const BURST: u32 = 32;
/// Time after which one more line may be written, so that a writer that puts another bad
/// entry in place of a bad one all the time fills no log.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// Where an entry is: its name, or its position in an answer if that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Entry of this name.
    Name(Name),
    /// Entry at this position of the whole list.
    Listed(Name),
    /// Entry at this position among changes. It cannot be told from others, nor be seen to
    /// heal, so it is not counted.
    Passing(Name),
}

/// Entries of one kind that cannot be read now, and why.
///
/// One without a readable name is held until the whole list is read again.
#[derive(Debug)]
pub struct Unreadable {
    now: BTreeMap<Place, Name>,
    /// Entries of the list read before this one.
    before: BTreeMap<Place, Name>,
    lines: u32,
    refilled: Time,
    untold: u64,
}

impl Default for Unreadable {
    fn default() -> Self {
        Unreadable {
            now: BTreeMap::new(),
            before: BTreeMap::new(),
            lines: BURST,
            refilled: Time::ZERO,
            untold: 0,
        }
    }
}

impl Unreadable {
    /// The whole list is read: entries that it does not hold are forgotten.
    pub fn restart(&mut self) {
        self.before = std::mem::take(&mut self.now);
    }

    /// An entry can be read, or is gone.
    pub fn heal(&mut self, name: &Name) {
        self.now.remove(&Place::Name(name.clone()));
    }

    /// The only entry that a kind has can be read.
    pub fn heal_named(&mut self) {
        self.now.retain(|place, _| !matches!(place, Place::Name(_)));
    }

    /// An entry cannot be read. Returns the count of changes that got no line since the last
    /// one if this is a change that gets one.
    pub fn note(&mut self, place: Place, why: &Name, now: Time) -> Option<u64> {
        let known = self.before.remove(&place);
        let known = self.now.insert(place, why.clone()).or(known);
        if known.as_ref() == Some(why) {
            return None;
        }
        self.refill(now);
        let Some(left) = self.lines.checked_sub(1) else {
            self.untold += 1;
            return None;
        };
        self.lines = left;
        Some(std::mem::take(&mut self.untold))
    }

    fn refill(&mut self, now: Time) {
        while self.lines < BURST && now.since(self.refilled) >= LINE_EVERY {
            self.lines += 1;
            self.refilled = self.refilled + LINE_EVERY;
        }
        if self.lines == BURST {
            self.refilled = now;
        }
    }

    /// Count of entries that cannot be read, as far as they can be told apart.
    pub fn count(&self) -> usize {
        self.now.keys().filter(|place| !matches!(place, Place::Passing(_))).count()
    }
}
