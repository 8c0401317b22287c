//! A list of objects that operators keep, as one reader of the store follows it from revision
//! to revision.

use std::collections::BTreeMap;

use model::Name;

/// What became of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry<T> {
    /// It is like this now.
    Now(T),
    /// It is there but cannot be read: what was known of it holds on.
    Unreadable,
    /// It is gone.
    Gone,
}

/// The list.
#[derive(Debug)]
pub struct List<T> {
    at: Option<u64>,
    objects: BTreeMap<Name, T>,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        List { at: None, objects: BTreeMap::new() }
    }
}

impl<T> List<T> {
    /// Revision to go on from; `None` if the whole list is to be read.
    pub fn at(&self) -> Option<u64> {
        self.at
    }

    /// The store does not reach back to this revision: the whole list is read next.
    pub fn restart(&mut self) {
        self.at = None;
    }

    /// These objects are in force: what cannot be read in the next whole list holds on.
    pub fn know(&mut self, objects: BTreeMap<Name, T>) {
        self.objects = objects;
    }

    /// Takes the whole list, which is to be followed from `at` on by what changed since.
    pub fn whole(&mut self, at: u64, entries: impl IntoIterator<Item = (Name, Entry<T>)>) {
        let mut before = std::mem::take(&mut self.objects);
        let kept = |(name, entry)| {
            let object = match entry {
                Entry::Now(object) => Some(object),
                Entry::Unreadable => before.remove(&name),
                Entry::Gone => None,
            };
            object.map(|o| (name, o))
        };
        self.objects = entries.into_iter().filter_map(kept).collect();
        self.at = Some(at);
    }

    /// Takes what changed up to `at`, oldest first.
    pub fn change(&mut self, at: u64, entries: impl IntoIterator<Item = (Name, Entry<T>)>) {
        self.at = Some(at);
        for (name, entry) in entries {
            match entry {
                Entry::Now(object) => _ = self.objects.insert(name, object),
                Entry::Unreadable => {}
                Entry::Gone => _ = self.objects.remove(&name),
            }
        }
    }

    /// The objects by name, and the revision at which they are so; `None` if the whole list is
    /// to be read.
    pub fn known(&self) -> Option<(u64, &BTreeMap<Name, T>)> {
        Some((self.at?, &self.objects))
    }
}
