//! Batches changes in a node's view of its peers, so that a partition or a restart of hundreds of
//! peers produces a single log line.

use std::collections::BTreeMap;
use std::time::Duration;

use model::member::Health;
use model::{Name, Time};

/// Time for which changes are collected after the first one.
const GATHER_WINDOW: Duration = Duration::from_millis(250);
/// Maximum peers named in one log line.
const MAX_NAMED: usize = 6;

/// Changes not reported yet, as the latest health of each changed peer.
#[derive(Debug, Default)]
pub struct PendingChanges {
    since: Option<Time>,
    latest: BTreeMap<Name, Health>,
}

/// Summary of a batch of changes, reported in one log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewChange {
    /// Number of peers that joined or are no longer suspected.
    pub alive: usize,
    /// Number of peers now suspected.
    pub suspected: usize,
    /// Number of peers that failed.
    pub dead: usize,
    /// Number of peers that shut down as planned.
    pub left: usize,
    /// Names of some of them: failed peers first, then suspected, left and alive ones.
    pub names: Vec<Name>,
}

impl PendingChanges {
    /// Records a change of a peer's health.
    pub fn record(&mut self, name: &Name, health: Health, now: Time) {
        self.since.get_or_insert(now);
        self.latest.insert(name.clone(), health);
    }

    /// The summary to report now; `None` if there are no changes or they are still collected.
    pub fn take_due(&mut self, now: Time) -> Option<ViewChange> {
        self.since.filter(|since| now.since(*since) >= GATHER_WINDOW)?;
        self.since = None;
        let mut latest: Vec<(Name, Health)> =
            std::mem::take(&mut self.latest).into_iter().collect();
        latest.sort_by_key(|(_, health)| naming_order(*health));
        let count = |health| latest.iter().filter(|(_, h)| *h == health).count();
        Some(ViewChange {
            alive: count(Health::Alive),
            suspected: count(Health::Suspect),
            dead: count(Health::Dead),
            left: count(Health::Left),
            names: latest.iter().take(MAX_NAMED).map(|(name, _)| name.clone()).collect(),
        })
    }
}

/// Sort key by which peers are named.
fn naming_order(health: Health) -> u8 {
    match health {
        Health::Dead => 0,
        Health::Suspect => 1,
        Health::Left => 2,
        Health::Alive => 3,
    }
}
