//! Latest version of a list that a node receives from several sources. The store's revisions order
//! the versions, so that a slow source never restores an older one. Revisions restart when the
//! store is restored from an older copy: the known list then stays in force until the next one,
//! whatever its revision.

use std::time::Duration;

use model::Time;

/// Time after a restore of the store from an older copy in which lost writes are repeated. What is
/// in the copy alone may be obsolete until then, and what it lacks may still be valid.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(10);

/// A list and its revisions.
#[derive(Debug)]
struct Known<T> {
    /// Revision of the newest list received.
    at: u64,
    /// Revision at which the list took its present value.
    since: u64,
    list: T,
}

/// Latest version of a list, if the node follows it.
#[derive(Debug)]
pub struct LatestList<T> {
    followed: bool,
    known: Option<Known<T>>,
    /// The known list belongs to an earlier epoch of the store.
    outdated: bool,
    /// When the writes that the store lost in a restore have been repeated.
    settled_at: Option<Time>,
}

impl<T> Default for LatestList<T> {
    fn default() -> Self {
        LatestList { followed: false, known: None, outdated: false, settled_at: None }
    }
}

impl<T: PartialEq> LatestList<T> {
    /// Follows the list from now on.
    pub fn follow(&mut self) {
        self.followed = true;
    }

    /// Whether the list is followed.
    pub fn is_followed(&self) -> bool {
        self.followed
    }

    /// Whether the list is known or not followed.
    pub fn is_known(&self) -> bool {
        !self.followed || self.known.is_some()
    }

    /// The list; `None` before the first one was received.
    pub fn list(&self) -> Option<&T> {
        self.known.as_ref().map(|k| &k.list)
    }

    /// Revision of the newest list; `None` if none is known.
    pub fn revision(&self) -> Option<u64> {
        self.known.as_ref().map(|k| k.at)
    }

    /// Whether a node with the list of this revision, if any, lacks a change.
    pub fn has_changed_since(&self, at: Option<u64>) -> bool {
        let is_newer = |k: &Known<T>| at.is_none_or(|at| at < k.since);
        self.is_current() && self.known.as_ref().is_some_and(is_newer)
    }

    /// Whether the known list belongs to the current epoch of the store.
    pub fn is_current(&self) -> bool {
        self.known.is_some() && !self.outdated
    }

    /// Handles a restore of the store from an older copy.
    pub fn begin_epoch(&mut self, now: Time) {
        self.outdated = self.known.is_some();
        self.settled_at = Some(now + RESTORE_SETTLE_TIME);
    }

    /// Whether writes that the store lost in a restore may still be repeated.
    pub fn is_settling(&self, now: Time) -> bool {
        self.settled_at.is_some_and(|at| now < at)
    }

    /// Whether the time in which lost writes are repeated has ended since the last call of
    /// [`LatestList::settle`].
    pub fn is_settle_due(&self, now: Time) -> bool {
        self.settled_at.is_some_and(|at| now >= at) && self.is_current()
    }

    /// Takes the list as complete: what has not been repeated by now was removed.
    pub fn settle(&mut self) {
        self.settled_at = None;
    }

    /// Whether a newer list than that of revision `at` is known.
    pub fn is_older(&self, at: u64) -> bool {
        self.is_current() && self.revision().is_some_and(|known| at < known)
    }

    /// Applies a list unless a newer one is known.
    pub fn update(&mut self, at: u64, list: T) {
        if self.is_older(at) {
            return;
        }
        let is_new_epoch = std::mem::take(&mut self.outdated);
        let before = self.known.take().filter(|known| known.list == list && !is_new_epoch);
        self.known = Some(Known { at, since: before.map_or(at, |known| known.since), list });
    }
}
