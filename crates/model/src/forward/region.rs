//! Regions: where failure domains lie, and where a request may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Regions in which something may be served, cached and kept; all unless some are named.
///
/// Names that no failure domain has permit nothing, and so does an empty list: when in doubt,
/// nothing leaves the regions that are surely meant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allowed(Option<BTreeSet<Name>>);

impl Allowed {
    /// Any region.
    pub const ANY: Allowed = Allowed(None);

    /// These regions alone.
    pub fn only(regions: impl IntoIterator<Item = Name>) -> Self {
        Allowed(Some(regions.into_iter().collect()))
    }

    /// Whether any region is allowed.
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// What both allow.
    pub fn intersection(&self, other: &Allowed) -> Allowed {
        match (&self.0, &other.0) {
            (None, regions) | (regions, None) => Allowed(regions.clone()),
            (Some(a), Some(b)) => Allowed(Some(a.intersection(b).cloned().collect())),
        }
    }

    /// Whether a region is allowed; `None` is one that is not known.
    pub fn permits(&self, region: Option<&str>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(regions), Some(region)) => regions.contains(region),
            (Some(_), None) => false,
        }
    }

    /// The regions named, in order; none if any is allowed.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().flatten()
    }
}
