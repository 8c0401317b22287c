//! On which terms a target may get a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Name;
use model::forward::{Allowed, Side};

/// What a request asks of any target that gets it, or a part of it.
#[derive(Debug, Clone, Copy)]
pub struct Terms<'a> {
    /// Regions in which it may be served.
    pub allowed: &'a Allowed,
    /// Version that it goes to.
    pub side: Side,
}

impl Terms<'static> {
    /// Served anywhere, by the version that serves.
    pub const ANY: Terms<'static> = Terms { allowed: &Allowed::ANY, side: Side::Serving };
}

/// Why a target may not get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// Its entry cannot be read.
    Unreadable,
    /// It is draining.
    Draining,
    /// Its entry vanished, and did not come back in time.
    Missing,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its failure domain lies in no region that is allowed, or in none that is known.
    Region,
    /// The request does not go to its version.
    Version,
    /// Its entry was gone before the store came back from an older copy.
    Restored,
    /// It wants nothing of this node for a while.
    BackedOff,
}

impl Exclusion {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Exclusion::Unreadable => "unreadable",
            Exclusion::Draining => "leaving",
            Exclusion::Missing => "missing",
            Exclusion::Evacuated => "evacuated",
            Exclusion::Region => "region",
            Exclusion::Version => "version",
            Exclusion::Restored => "restored",
            Exclusion::BackedOff => "resting",
        }
    }
}

/// Regions in which failure domains lie, as settings tell. Clones share one copy.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(Arc<BTreeMap<Name, Name>>);

impl Regions {
    /// The region of each failure domain.
    pub fn new(of_domain: BTreeMap<Name, Name>) -> Self {
        Regions(Arc::new(of_domain))
    }

    /// Region of a failure domain, if it is known.
    pub fn of(&self, domain: &str) -> Option<&Name> {
        self.0.get(domain)
    }

    /// Whether any failure domain lies where something may be served.
    pub fn any_allowed(&self, allowed: &Allowed) -> bool {
        allowed.is_any() || self.0.values().any(|region| allowed.permits(Some(region)))
    }

    /// Regions among these that no failure domain lies in.
    pub fn unknown<'a>(&self, allowed: &'a Allowed) -> impl Iterator<Item = &'a Name> {
        allowed.names().filter(|name| !self.0.values().any(|region| region == *name))
    }

    /// Whether failure domains lie in more than one region.
    pub fn is_multi_region(&self) -> bool {
        let mut regions = self.0.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Failure domains whose region is known.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.0.keys()
    }
}
