//! Lease objects.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Lease as stored in the Object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds the lease.
    pub holder: Name,
    /// Fencing token; increases with each change of holder.
    pub epoch: u64,
    /// Nonce of the write; after a lost response it shows whether the write was applied.
    pub nonce: u64,
    /// Validity in milliseconds, counted from before the write was sent.
    pub period: u64,
}
