//! Failure domains whose targets get no new requests.
//!
//! An operator evacuates a failure domain through the store. Relays read the list there and forward
//! it with the target changes; its revision orders the lists that a node receives from several
//! sources, so that a slow source never restores an older one. A node that follows evacuations and
//! has received no list yet treats every domain as evacuated: it sends nothing until it has one.

use std::collections::{BTreeMap, BTreeSet};

use model::forward::Evacuations;
use model::{Name, Time};

use crate::relay::LatestList;

/// Change of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// Its targets get no new requests from now on.
    Began(Name),
    /// The operator ended the evacuation.
    Ended(Name),
}

/// Evacuations known to this node.
#[derive(Debug, Default)]
pub struct Evacuated {
    /// If followed, nothing is sent before the first list has arrived.
    domains: LatestList<BTreeSet<Name>>,
    ended_at: BTreeMap<Name, Time>,
}

impl Evacuated {
    /// Follows evacuations from now on.
    pub fn follow(&mut self) {
        self.domains.follow();
    }

    /// Whether the node may send: a list is known, or none is followed.
    pub fn is_known(&self) -> bool {
        self.domains.is_known()
    }

    /// Whether the targets of a failure domain get no new requests.
    pub fn contains(&self, domain: &str) -> bool {
        match self.domains.list() {
            Some(domains) => domains.contains(domain),
            None => self.domains.is_followed(),
        }
    }

    /// Failure domains known to be evacuated.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.list().into_iter().flatten()
    }

    /// When the evacuation of a failure domain last ended, if it did.
    pub fn ended_at(&self, domain: &str) -> Option<Time> {
        self.ended_at.get(domain).copied()
    }

    /// Applies a list unless a newer one is known; returns the resulting changes.
    pub fn update(&mut self, list: Evacuations, now: Time) -> Vec<EvacuationChange> {
        let after: BTreeSet<Name> = list.domains.into_iter().collect();
        let Some(before) = self.domains.update(list.at, after.clone()) else {
            return Vec::new();
        };
        for domain in before.difference(&after) {
            self.ended_at.insert(domain.clone(), now);
        }
        let ended = before.difference(&after).cloned().map(EvacuationChange::Ended);
        let began = after.difference(&before).cloned().map(EvacuationChange::Began);
        ended.chain(began).collect()
    }

    /// Revision of the newest list; `None` if none is known.
    pub fn revision(&self) -> Option<u64> {
        self.domains.revision()
    }

    /// The list, to be sent to another node.
    pub fn list(&self) -> Option<Evacuations> {
        let domains = self.domains.list()?.iter().cloned().collect();
        Some(Evacuations { at: self.revision()?, domains })
    }

    /// Whether the list belongs to the current epoch of the store.
    pub fn is_current(&self) -> bool {
        self.domains.is_current()
    }

    /// Handles a restore of the store from an older copy.
    pub fn begin_epoch(&mut self) {
        self.domains.begin_epoch();
    }

    /// Whether a node with the list of this revision, if any, lacks a change.
    pub fn has_changed_since(&self, at: Option<u64>) -> bool {
        self.domains.has_changed_since(at)
    }
}
