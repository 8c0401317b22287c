//! Versions of services whose targets are there now.

use std::collections::BTreeMap;

use model::Name;

/// Targets of one version, since there were none before.
#[derive(Debug, Clone, Copy)]
pub struct Targets {
    /// How many there are.
    pub count: usize,
    /// Lowest revision of an entry that told of one.
    pub first: u64,
    /// Earliest start that one of them told; 0 if none did.
    pub start: u64,
}

impl Targets {
    /// Whether the first of these surely started before the first of others.
    pub fn started_before(&self, other: &Targets) -> bool {
        self.start > 0 && self.start < other.start
    }

    /// Whether these were there before others: by their starts, which an entry that is written
    /// anew does not change, or else by the revisions of their entries.
    pub fn came_before(&self, other: &Targets) -> bool {
        self.started_before(other) || !other.started_before(self) && self.first < other.first
    }
}

/// By service and version.
#[derive(Debug, Default)]
pub struct Present {
    of: BTreeMap<Name, BTreeMap<Name, Targets>>,
    /// Times that a version came or went, or began earlier than was known.
    changes: u64,
}

impl Present {
    /// A target came, by an entry of this revision.
    pub fn saw(&mut self, service: &Name, version: &Name, revision: u64, start: u64) {
        let versions = self.of.entry(service.clone()).or_default();
        let none = Targets { count: 0, first: revision, start };
        let targets = versions.entry(version.clone()).or_insert(none);
        let is_earlier = start > 0 && (targets.start == 0 || start < targets.start);
        self.changes += u64::from(targets.count == 0 || revision < targets.first || is_earlier);
        targets.count += 1;
        targets.first = targets.first.min(revision);
        if is_earlier {
            targets.start = start;
        }
    }

    /// Times that a version came or went, or began earlier than was known.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// A target is gone.
    pub fn gone(&mut self, service: &Name, version: &Name) {
        let Some(versions) = self.of.get_mut(service) else {
            return;
        };
        let before = versions.len();
        if let Some(targets) = versions.get_mut(version) {
            targets.count = targets.count.saturating_sub(1);
        }
        versions.retain(|_, targets| targets.count > 0);
        self.changes += u64::from(versions.len() < before);
        if versions.is_empty() {
            self.of.remove(service);
        }
    }

    /// Versions of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = (&Name, &Targets)> {
        self.of.get(service).into_iter().flatten()
    }

    /// Targets of one version.
    pub fn get(&self, service: &str, version: &str) -> Option<&Targets> {
        self.of.get(service)?.get(version)
    }

    /// The version of a service that was there before all others.
    pub fn oldest(&self, service: &str) -> Option<&Name> {
        let older = self.of(service).reduce(|a, b| if b.1.came_before(a.1) { b } else { a });
        older.map(|(version, _)| version)
    }

    /// Highest first revision of a version that came beside another one.
    pub fn newest(&self) -> Option<u64> {
        let newest = |versions: &BTreeMap<Name, Targets>| {
            let firsts = || versions.values().map(|targets| targets.first);
            let oldest = firsts().min()?;
            firsts().filter(|first| *first > oldest).max()
        };
        self.of.values().filter_map(newest).max()
    }
}
