//! Versions whose order was withdrawn or replaced before it completed.
//!
//! The store no longer holds them, so nodes exchange them: a starting node learns from its peers
//! which orders were withdrawn before it read its first list.

use std::collections::BTreeMap;

use model::Name;
use model::forward::Withdrawn;

/// Versions kept for each service. Those of more orders than this were stopped long ago, and
/// keeping them only costs memory and lookup time.
const MAX_PER_SERVICE: usize = 8;

/// Withdrawn versions by service, oldest first.
#[derive(Debug, Default)]
pub struct WithdrawnVersions(BTreeMap<Name, Vec<Withdrawn>>);

impl WithdrawnVersions {
    /// Adds a version, replacing an earlier entry of the same one.
    pub fn add(&mut self, withdrawn: Withdrawn) {
        self.remove(&withdrawn.service, &withdrawn.version);
        let versions = self.0.entry(withdrawn.service.clone()).or_default();
        let place = versions.partition_point(|known| known.at <= withdrawn.at);
        versions.insert(place, withdrawn);
        if versions.len() > MAX_PER_SERVICE {
            versions.remove(0);
        }
    }

    /// Removes a version that was ordered again.
    pub fn remove(&mut self, service: &str, version: &str) {
        let Some(versions) = self.0.get_mut(service) else {
            return;
        };
        versions.retain(|known| *known.version != *version);
        if versions.is_empty() {
            self.0.remove(service);
        }
    }

    /// Entry of a version.
    pub fn get(&self, service: &str, version: &str) -> Option<&Withdrawn> {
        self.0.get(service)?.iter().find(|known| *known.version == *version)
    }

    /// All entries, to send to another node.
    pub fn all(&self) -> Vec<Withdrawn> {
        self.0.values().flatten().cloned().collect()
    }
}
