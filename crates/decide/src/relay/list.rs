//! A list of objects maintained by operators, as one reader of the store follows it from revision
//! to revision.

use std::collections::{BTreeMap, BTreeSet};

use model::Name;

/// State of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry<T> {
    /// The current value.
    Present(T),
    /// It exists but cannot be parsed; the last known value stays in force.
    Unreadable,
    /// It was deleted.
    Removed,
}

/// Objects by name, with the revision they were read at.
#[derive(Debug)]
pub struct List<T> {
    at: Option<u64>,
    objects: BTreeMap<Name, T>,
    /// Objects that exist but cannot be parsed, whether or not they were known before.
    unreadable: BTreeSet<Name>,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        List { at: None, objects: BTreeMap::new(), unreadable: BTreeSet::new() }
    }
}

impl<T> List<T> {
    /// Revision to continue from; `None` if the complete list has to be read.
    pub fn at(&self) -> Option<u64> {
        self.at
    }

    /// Requires the complete list to be read next, since the store's history does not reach back to
    /// the current revision.
    pub fn restart(&mut self) {
        self.at = None;
    }

    /// Sets the objects in force, which stay in force if the next complete list has them in a form
    /// that cannot be parsed.
    pub fn set_objects(&mut self, objects: BTreeMap<Name, T>) {
        self.objects = objects;
    }

    /// Replaces the list by the complete one at revision `at`.
    pub fn replace(&mut self, at: u64, entries: impl IntoIterator<Item = (Name, Entry<T>)>) {
        let mut before = std::mem::take(&mut self.objects);
        self.unreadable.clear();
        for (name, entry) in entries {
            if let (Entry::Unreadable, Some(object)) = (&entry, before.remove(&name)) {
                self.objects.insert(name.clone(), object);
            }
            self.apply_entry(name, entry);
        }
        self.at = Some(at);
    }

    /// Applies the changes up to `at`, oldest first.
    pub fn apply(&mut self, at: u64, entries: impl IntoIterator<Item = (Name, Entry<T>)>) {
        self.at = Some(at);
        for (name, entry) in entries {
            self.apply_entry(name, entry);
        }
    }

    fn apply_entry(&mut self, name: Name, entry: Entry<T>) {
        self.unreadable.remove(&name);
        match entry {
            Entry::Present(object) => _ = self.objects.insert(name, object),
            Entry::Unreadable => _ = self.unreadable.insert(name),
            Entry::Removed => _ = self.objects.remove(&name),
        }
    }

    /// Objects by name.
    pub fn objects(&self) -> &BTreeMap<Name, T> {
        &self.objects
    }

    /// Names of objects that exist but cannot be parsed.
    pub fn unreadable(&self) -> impl Iterator<Item = &Name> {
        self.unreadable.iter()
    }

    /// Objects by name and the revision of that state; `None` if the complete list has to be read.
    pub fn snapshot(&self) -> Option<(u64, &BTreeMap<Name, T>)> {
        Some((self.at?, &self.objects))
    }
}
