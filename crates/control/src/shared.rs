//! State that the parts of a control node share.

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

/// Configuration applied on this node.
#[derive(Debug, Default)]
pub struct AppliedConfig {
    /// Manifest number.
    pub number: u64,
    pub set: ObjectSet,
}

/// Latest snapshot of the membership actor.
#[derive(Debug, Default)]
pub struct Members {
    /// Nodes that are up, this one included.
    pub nodes: Vec<Node>,
    /// Names of the nodes that watch the store and may take leases.
    pub relays: Vec<Name>,
    /// Number of nodes up, how many of them have this node's manifest or a higher one, and the
    /// lowest manifest number.
    pub manifest_progress: (usize, usize, u64),
}

/// Clients, settings and snapshots shared by all parts.
pub struct Shared {
    pub settings: Settings,
    pub clock: Clock,
    pub client: Client,
    /// Object API, with this node's call budget.
    pub store: Arc<BudgetedStore>,
    pub hosts: Box<dyn HostList>,
    pub members: ArcSwap<Members>,
    pub applied: ArcSwap<AppliedConfig>,
    /// Loads of targets, from polls and gossip.
    pub load_table: Mutex<LoadTable>,
    /// Hosts that were leaving when this node last read the host list.
    pub leaving: ArcSwap<BTreeSet<Name>>,
}

impl Shared {
    /// Whether this node watches the store and may take leases.
    pub fn is_relay(&self) -> bool {
        self.members.load().relays.contains(&self.settings.name)
    }

    pub fn load_table(&self) -> std::sync::MutexGuard<'_, LoadTable> {
        self.load_table.lock().expect("no panic while held")
    }
}
