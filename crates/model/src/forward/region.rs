//! Regions in which a request may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Regions in which data may be served, cached and stored; all unless some are listed.
///
/// Unknown region names and an empty list permit nothing: in doubt, no data leaves the regions that
/// are certainly intended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allowed(Option<BTreeSet<Name>>);

impl Allowed {
    /// Any region.
    pub const ANY: Allowed = Allowed(None);

    /// Only these regions.
    pub fn only(regions: impl IntoIterator<Item = Name>) -> Self {
        Allowed(Some(regions.into_iter().collect()))
    }

    /// Whether all regions are allowed.
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Regions that both allow.
    pub fn intersection(&self, other: &Allowed) -> Allowed {
        match (&self.0, &other.0) {
            (None, regions) | (regions, None) => Allowed(regions.clone()),
            (Some(a), Some(b)) => Allowed(Some(a.intersection(b).cloned().collect())),
        }
    }

    /// Whether a region is allowed; `None` is an unknown region.
    pub fn permits(&self, region: Option<&str>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(regions), Some(region)) => regions.contains(region),
            (Some(_), None) => false,
        }
    }

    /// Listed regions, in order; empty if all are allowed.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().flatten()
    }
}
