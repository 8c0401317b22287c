//! Targets as discovery reports them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Rules;
use crate::Name;

/// Identity of one start of a target; a restart has another.
pub type TargetId = Name;

/// One start of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identity, found nowhere else.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens; another target may have had the address before.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is to get no new work.
    pub draining: bool,
}

/// What one node tells another that starts while the store is out of reach.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Rules in force.
    pub rules: Rules,
    /// Targets known.
    pub targets: Vec<Target>,
}
