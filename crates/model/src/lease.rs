//! The lease object.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A lease as kept in the Object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds it.
    pub holder: Name,
    /// Fencing token; grows with each change of holder.
    pub epoch: u64,
    /// Nonce of the write, to settle a lost answer.
    pub nonce: u64,
    /// Milliseconds of validity from before the write was sent.
    pub period: u64,
}
