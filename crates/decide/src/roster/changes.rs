//! Gathers what changes in a node's view of its peers, so that one line of the log tells of
//! a cut or a restart of hundreds of them.

use std::collections::BTreeMap;
use std::time::Duration;

use model::member::Health;
use model::{Name, Time};

/// Time for changes to gather after the first one.
const GATHER_WINDOW: Duration = Duration::from_millis(250);
/// Peers that one line names.
const MAX_NAMED: usize = 6;

/// Changes that no line tells of yet; the latest health of each peer counts.
#[derive(Debug, Default)]
pub struct PendingChanges {
    since: Option<Time>,
    latest: BTreeMap<Name, Health>,
}

/// What one line tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewChange {
    /// Peers that came, or that no longer are suspected.
    pub alive: usize,
    /// Peers suspected.
    pub suspected: usize,
    /// Peers that failed.
    pub dead: usize,
    /// Peers that stopped as planned.
    pub left: usize,
    /// Names of some: those that failed, then those suspected, that left and that came.
    pub names: Vec<Name>,
}

impl PendingChanges {
    /// A peer's health changed.
    pub fn note(&mut self, name: &Name, health: Health, now: Time) {
        self.since.get_or_insert(now);
        self.latest.insert(name.clone(), health);
    }

    /// What a line is to tell by now; `None` while changes gather or there are none.
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

/// Place of a health in the order in which peers are named.
fn naming_order(health: Health) -> u8 {
    match health {
        Health::Dead => 0,
        Health::Suspect => 1,
        Health::Left => 2,
        Health::Alive => 3,
    }
}
