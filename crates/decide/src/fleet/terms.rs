//! Conditions under which a target may get a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Name;
use model::forward::{Allowed, Side};

/// Requirements of a request, or part of one, for its target.
#[derive(Debug, Clone, Copy)]
pub struct Terms<'a> {
    /// Regions in which it may be served.
    pub allowed: &'a Allowed,
    /// Side of a rollout whose versions serve it.
    pub side: Side,
    /// The only version that may serve it, if it is the rest of a stream.
    pub version: Option<&'a Name>,
}

impl Terms<'static> {
    /// Any region, serving version.
    pub const ANY: Terms<'static> =
        Terms { allowed: &Allowed::ANY, side: Side::Serving, version: None };
}

impl Terms<'_> {
    /// Whether a version may serve the request as far as the stream that it continues is concerned.
    pub(super) fn permits_version(&self, version: &Name) -> bool {
        self.version.is_none_or(|only| only == version)
    }
}

/// Why a target is excluded for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// Its entry cannot be parsed.
    Unreadable,
    /// It is draining.
    Draining,
    /// Its entry vanished and did not reappear in time.
    Missing,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its failure domain is in no allowed region, or its region is unknown.
    Region,
    /// The request belongs to another version.
    Version,
    /// Its entry had been removed before the store was restored from an older copy.
    Restored,
    /// It asked this node for a backoff.
    BackedOff,
}

impl Exclusion {
    /// Label in log lines and metrics.
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

/// Regions of failure domains according to the settings. Clones share one map.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(Arc<BTreeMap<Name, Name>>);

impl Regions {
    /// Creates the map from failure domain to region.
    pub fn new(of_domain: BTreeMap<Name, Name>) -> Self {
        Regions(Arc::new(of_domain))
    }

    /// Region of a failure domain, if known.
    pub fn region_of(&self, domain: &str) -> Option<&Name> {
        self.0.get(domain)
    }

    /// Whether any failure domain lies in an allowed region.
    pub fn any_allowed(&self, allowed: &Allowed) -> bool {
        allowed.is_any() || self.0.values().any(|region| allowed.permits(Some(region)))
    }

    /// Allowed regions that contain no failure domain.
    pub fn unknown<'a>(&self, allowed: &'a Allowed) -> impl Iterator<Item = &'a Name> {
        allowed.names().filter(|name| !self.0.values().any(|region| region == *name))
    }

    /// Whether the failure domains span more than one region.
    pub fn is_multi_region(&self) -> bool {
        let mut regions = self.0.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Failure domains with a known region.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.0.keys()
    }
}
