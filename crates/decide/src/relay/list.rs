//! A list of objects that operators keep, as one reader of the store follows it from revision
//! to revision.

use std::collections::{BTreeMap, BTreeSet};

use model::Name;

/// What became of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry<T> {
    /// It is like this now.
    Present(T),
    /// It is there but cannot be read: what was known of it holds on.
    Unreadable,
    /// It is gone.
    Removed,
}

/// The list.
#[derive(Debug)]
pub struct List<T> {
    at: Option<u64>,
    objects: BTreeMap<Name, T>,
    /// Those that are there and cannot be read, whether or not they were known before.
    unreadable: BTreeSet<Name>,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        List { at: None, objects: BTreeMap::new(), unreadable: BTreeSet::new() }
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
    pub fn set_objects(&mut self, objects: BTreeMap<Name, T>) {
        self.objects = objects;
    }

    /// Takes the whole list, which is to be followed from `at` on by what changed since.
    pub fn replace(&mut self, at: u64, entries: impl IntoIterator<Item = (Name, Entry<T>)>) {
        let mut before = std::mem::take(&mut self.objects);
        self.unreadable.clear();
        for (name, entry) in entries {
            if let (Entry::Unreadable, Some(object)) = (&entry, before.remove(&name)) {
                self.objects.insert(name.clone(), object);
            }
            self.put(name, entry);
        }
        self.at = Some(at);
    }

    /// Takes what changed up to `at`, oldest first.
    pub fn apply(&mut self, at: u64, entries: impl IntoIterator<Item = (Name, Entry<T>)>) {
        self.at = Some(at);
        for (name, entry) in entries {
            self.put(name, entry);
        }
    }

    fn put(&mut self, name: Name, entry: Entry<T>) {
        self.unreadable.remove(&name);
        match entry {
            Entry::Present(object) => _ = self.objects.insert(name, object),
            Entry::Unreadable => _ = self.unreadable.insert(name),
            Entry::Removed => _ = self.objects.remove(&name),
        }
    }

    /// The objects by name.
    pub fn objects(&self) -> &BTreeMap<Name, T> {
        &self.objects
    }

    /// Names of objects that are there and cannot be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &Name> {
        self.unreadable.iter()
    }

    /// The objects by name, and the revision at which they are so; `None` if the whole list is
    /// to be read.
    pub fn snapshot(&self) -> Option<(u64, &BTreeMap<Name, T>)> {
        Some((self.at?, &self.objects))
    }
}
