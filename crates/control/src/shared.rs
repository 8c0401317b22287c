//! What the parts of a control node share.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use decide::load::LoadTable;
use model::Name;
use model::member::Node;
use model::object::ObjectSet;
use store::{BudgetedStore, HostList};
use util::clock::Clock;
use util::http::Client;

use crate::settings::Settings;

/// Accepted configuration on this node.
#[derive(Debug, Default)]
pub struct AppliedConfig {
    /// Manifest in force.
    pub number: u64,
    /// Objects.
    pub set: ObjectSet,
}

/// What membership last said.
#[derive(Debug, Default)]
pub struct Members {
    /// Nodes that are up, this one included.
    pub nodes: Vec<Node>,
    /// Names of the nodes that hold watches and may take leases.
    pub relays: Vec<Name>,
    /// Nodes up, those with this node's manifest in force, and the lowest manifest.
    pub manifest_progress: (usize, usize, u64),
}

/// Shared by all parts.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// HTTP client.
    pub client: Client,
    /// Object API.
    pub store: Arc<BudgetedStore>,
    /// Host list.
    pub hosts: Box<dyn HostList>,
    /// Membership.
    pub members: ArcSwap<Members>,
    /// Configuration.
    pub applied: ArcSwap<AppliedConfig>,
    /// Loads.
    pub load_table: Mutex<LoadTable>,
    /// Hosts that are leaving, as this node knows.
    pub leaving: ArcSwap<BTreeSet<Name>>,
}

impl Shared {
    /// Whether this node holds watches and may take leases.
    pub fn is_relay(&self) -> bool {
        self.members.load().relays.contains(&self.settings.name)
    }

    /// Locks the loads.
    pub fn load_table(&self) -> std::sync::MutexGuard<'_, LoadTable> {
        self.load_table.lock().expect("no panic while held")
    }
}
