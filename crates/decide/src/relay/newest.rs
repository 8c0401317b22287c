//! The newest of the lists that a node hears of from several sources. The store's revisions
//! order them, so that a slow source never brings an older one back. Where the store came back from
//! an older copy they begin anew: what is known holds until the next list, whatever its revision.

/// A list and its revisions.
#[derive(Debug)]
struct Known<T> {
    /// Revision of the newest list that was heard of.
    at: u64,
    /// Revision of the first list that was like it.
    since: u64,
    list: T,
}

/// What a node knows of a list, if it is to follow it.
#[derive(Debug)]
pub struct LatestList<T> {
    followed: bool,
    known: Option<Known<T>>,
    /// What is known is of an earlier epoch of the store.
    outdated: bool,
}

impl<T> Default for LatestList<T> {
    fn default() -> Self {
        LatestList { followed: false, known: None, outdated: false }
    }
}

impl<T: Default + PartialEq> LatestList<T> {
    /// The list is followed from now on.
    pub fn follow(&mut self) {
        self.followed = true;
    }

    /// Whether the list is followed.
    pub fn is_followed(&self) -> bool {
        self.followed
    }

    /// Whether the list is known, or is not followed.
    pub fn is_known(&self) -> bool {
        !self.followed || self.known.is_some()
    }

    /// The list, if one was heard of.
    pub fn list(&self) -> Option<&T> {
        self.known.as_ref().map(|k| &k.list)
    }

    /// Revision of the newest list; `None` if none is known.
    pub fn at(&self) -> Option<u64> {
        self.known.as_ref().map(|k| k.at)
    }

    /// Whether a node that knows the list of a revision, if any, lacks a change.
    pub fn changed_since(&self, at: Option<u64>) -> bool {
        let is_newer = |k: &Known<T>| at.is_none_or(|at| at < k.since);
        self.is_current() && self.known.as_ref().is_some_and(is_newer)
    }

    /// Whether a list of this epoch of the store is known.
    pub fn is_current(&self) -> bool {
        self.known.is_some() && !self.outdated
    }

    /// The store came back from an older copy.
    pub fn begin_epoch(&mut self) {
        self.outdated = self.known.is_some();
    }

    /// Takes the list of a revision unless a newer one is known; returns the one before if it
    /// was another, an empty one if none was known.
    pub fn update(&mut self, at: u64, list: T) -> Option<T> {
        let Some(known) = &mut self.known else {
            self.known = Some(Known { at, since: at, list });
            return Some(T::default());
        };
        let is_new_epoch = std::mem::take(&mut self.outdated);
        if at < known.at && !is_new_epoch {
            return None;
        }
        if is_new_epoch {
            known.since = at;
        }
        known.at = at;
        if list == known.list {
            return None;
        }
        known.since = at;
        Some(std::mem::replace(&mut known.list, list))
    }
}
