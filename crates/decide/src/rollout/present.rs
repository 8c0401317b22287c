//! Versions of services that currently have targets.

use std::collections::BTreeMap;

use model::Name;

/// Targets of one version since it last had none.
#[derive(Debug, Clone, Copy)]
pub struct VersionTargets {
    /// Number of targets.
    pub count: usize,
    /// Lowest revision of a target's entry in the store.
    pub first_revision: u64,
    /// Earliest start time among the targets; 0 if none reported one.
    pub start: u64,
}

impl VersionTargets {
    /// Whether these targets are known to have started before `other`.
    pub fn started_before(&self, other: &VersionTargets) -> bool {
        self.start > 0 && self.start < other.start
    }

    /// Whether these targets were there before `other`: by start time, which rewriting an entry
    /// does not change, otherwise by the revisions of their entries.
    pub fn appeared_before(&self, other: &VersionTargets) -> bool {
        self.started_before(other)
            || !other.started_before(self) && self.first_revision < other.first_revision
    }
}

/// Live targets by service and version.
#[derive(Debug, Default)]
pub struct LiveVersions {
    services: BTreeMap<Name, BTreeMap<Name, VersionTargets>>,
    /// Number of times that a version appeared, disappeared, or proved to be older than known.
    changes: u64,
}

impl LiveVersions {
    /// Adds a target from an entry of this revision.
    pub fn add_target(&mut self, service: &Name, version: &Name, revision: u64, start: u64) {
        let versions = self.services.entry(service.clone()).or_default();
        let none = VersionTargets { count: 0, first_revision: revision, start };
        let targets = versions.entry(version.clone()).or_insert(none);
        let is_earlier = start > 0 && (targets.start == 0 || start < targets.start);
        self.changes +=
            u64::from(targets.count == 0 || revision < targets.first_revision || is_earlier);
        targets.count += 1;
        targets.first_revision = targets.first_revision.min(revision);
        if is_earlier {
            targets.start = start;
        }
    }

    /// Number of times that a version appeared, disappeared, or proved to be older than known.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Removes a target.
    pub fn remove_target(&mut self, service: &Name, version: &Name) {
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        let before = versions.len();
        if let Some(targets) = versions.get_mut(version) {
            targets.count = targets.count.saturating_sub(1);
        }
        versions.retain(|_, targets| targets.count > 0);
        self.changes += u64::from(versions.len() < before);
        if versions.is_empty() {
            self.services.remove(service);
        }
    }

    /// Replaces the revisions of the epoch before a restore of the store by ranks, which are lower
    /// than all that come and keep their order. Returns the ranks of `marks`, one revision for each
    /// service. The first revision of a version that appeared after `known_up_to` is forgotten
    /// instead.
    pub fn begin_epoch(
        &mut self,
        marks: BTreeMap<Name, u64>,
        known_up_to: u64,
    ) -> BTreeMap<Name, u64> {
        self.changes += 1;
        let mut ranks = BTreeMap::new();
        for (service, versions) in &mut self.services {
            let oldest = versions.values().map(|t| t.first_revision).min().unwrap_or(0);
            let mark = marks.get(service).copied();
            let mut order: Vec<u64> = versions.values().map(|t| t.first_revision).collect();
            order.extend(mark);
            order.sort_unstable();
            order.dedup();
            let rank = |revision: u64| order.partition_point(|r| *r < revision) as u64;
            for targets in versions.values_mut() {
                let first = targets.first_revision;
                let is_settled = first <= known_up_to || first == oldest;
                targets.first_revision = if is_settled { rank(first) } else { u64::MAX };
            }
            ranks.extend(mark.map(|mark| (service.clone(), rank(mark))));
        }
        ranks
    }

    /// Live versions of a service.
    pub fn versions(&self, service: &str) -> impl Iterator<Item = (&Name, &VersionTargets)> {
        self.services.get(service).into_iter().flatten()
    }

    /// Targets of one version.
    pub fn get(&self, service: &str, version: &str) -> Option<&VersionTargets> {
        self.services.get(service)?.get(version)
    }

    /// The version of a service that was there first.
    pub fn oldest(&self, service: &str) -> Option<&Name> {
        let older =
            self.versions(service).reduce(|a, b| if b.1.appeared_before(a.1) { b } else { a });
        older.map(|(version, _)| version)
    }

    /// Highest first revision among versions that joined an existing one.
    pub fn newest_revision(&self) -> Option<u64> {
        let newest = |versions: &BTreeMap<Name, VersionTargets>| {
            let firsts = || versions.values().map(|targets| targets.first_revision);
            let oldest = firsts().min()?;
            firsts().filter(|first| *first > oldest).max()
        };
        self.services.values().filter_map(newest).max()
    }
}
