//! Versions whose order was withdrawn or replaced before it was completed.
//!
//! The store tells nothing of them any more, so nodes tell each other: one that starts takes
//! from the others what happened before it heard of any orders itself.

use std::collections::BTreeMap;

use model::Name;
use model::forward::Withdrawn;

/// Versions of one service that are remembered. Those of more orders than this have been
/// stopped long ago, and their targets take memory and time to look them up no more.
const MAX_PER_SERVICE: usize = 8;

/// By service, the oldest first.
#[derive(Debug, Default)]
pub struct WithdrawnVersions(BTreeMap<Name, Vec<Withdrawn>>);

impl WithdrawnVersions {
    /// Remembers one; what was known of the same version before is forgotten.
    pub fn add(&mut self, withdrawn: Withdrawn) {
        self.remove(&withdrawn.service, &withdrawn.version);
        let versions = self.0.entry(withdrawn.service.clone()).or_default();
        let place = versions.partition_point(|known| known.at <= withdrawn.at);
        versions.insert(place, withdrawn);
        if versions.len() > MAX_PER_SERVICE {
            versions.remove(0);
        }
    }

    /// The version was ordered again.
    pub fn remove(&mut self, service: &str, version: &str) {
        let Some(versions) = self.0.get_mut(service) else {
            return;
        };
        versions.retain(|known| *known.version != *version);
        if versions.is_empty() {
            self.0.remove(service);
        }
    }

    /// What is known of a version.
    pub fn get(&self, service: &str, version: &str) -> Option<&Withdrawn> {
        self.0.get(service)?.iter().find(|known| *known.version == *version)
    }

    /// All of them, for another node.
    pub fn all(&self) -> Vec<Withdrawn> {
        self.0.values().flatten().cloned().collect()
    }
}
