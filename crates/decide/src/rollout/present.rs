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
pub struct Present(BTreeMap<Name, BTreeMap<Name, Targets>>);

impl Present {
    /// A target came, by an entry of this revision.
    pub fn saw(&mut self, service: &Name, version: &Name, revision: u64, start: u64) {
        let versions = self.0.entry(service.clone()).or_default();
        let none = Targets { count: 0, first: revision, start };
        let targets = versions.entry(version.clone()).or_insert(none);
        targets.count += 1;
        targets.first = targets.first.min(revision);
        if targets.start == 0 || (start > 0 && start < targets.start) {
            targets.start = start;
        }
    }

    /// A target is gone.
    pub fn gone(&mut self, service: &Name, version: &Name) {
        let Some(versions) = self.0.get_mut(service) else {
            return;
        };
        if let Some(targets) = versions.get_mut(version) {
            targets.count = targets.count.saturating_sub(1);
        }
        versions.retain(|_, targets| targets.count > 0);
        if versions.is_empty() {
            self.0.remove(service);
        }
    }

    /// Versions of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = (&Name, &Targets)> {
        self.0.get(service).into_iter().flatten()
    }

    /// Targets of one version.
    pub fn get(&self, service: &str, version: &str) -> Option<&Targets> {
        self.0.get(service)?.get(version)
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
        self.0.values().filter_map(newest).max()
    }
}
