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
    /// Domains in the store's list. If it is followed, nothing is sent before the first one arrived.
    listed: LatestList<BTreeSet<Name>>,
    /// Domains that are evacuated: those listed, and those that the store lost.
    in_force: BTreeSet<Name>,
    /// Domains known before the store was restored from an older copy that it has not listed since.
    lost: BTreeSet<Name>,
    ended_at: BTreeMap<Name, Time>,
}

impl Evacuated {
    /// Follows evacuations from now on.
    pub fn follow(&mut self) {
        self.listed.follow();
    }

    /// Whether the node may send: a list is known, or none is followed.
    pub fn is_known(&self) -> bool {
        self.listed.is_known()
    }

    /// Whether the targets of a failure domain get no new requests.
    pub fn contains(&self, domain: &str) -> bool {
        if self.is_known() { self.in_force.contains(domain) } else { true }
    }

    /// Failure domains known to be evacuated.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.in_force.iter()
    }

    /// When the evacuation of a failure domain last ended, if it did.
    pub fn ended_at(&self, domain: &str) -> Option<Time> {
        self.ended_at.get(domain).copied()
    }

    /// Applies a list unless a newer one is known; returns the resulting changes.
    pub fn update(&mut self, list: Evacuations, now: Time) -> Vec<EvacuationChange> {
        if self.listed.is_older(list.at) {
            return Vec::new();
        }
        self.listed.update(list.at, list.domains.into_iter().collect());
        self.update_in_force(now)
    }

    /// Puts the store's list in force, with what it lost; returns the changes.
    fn update_in_force(&mut self, now: Time) -> Vec<EvacuationChange> {
        let mut after = self.listed.list().cloned().unwrap_or_default();
        self.lost.retain(|domain| !after.contains(domain));
        after.extend(self.lost.iter().cloned());
        let before = std::mem::replace(&mut self.in_force, after.clone());
        for domain in before.difference(&after) {
            self.ended_at.insert(domain.clone(), now);
        }
        let ended = before.difference(&after).cloned().map(EvacuationChange::Ended);
        let began = after.difference(&before).cloned().map(EvacuationChange::Began);
        ended.chain(began).collect()
    }

    /// Whether lost domains still count as evacuated although the time in which operators repeat
    /// lost writes is over.
    pub fn is_settle_due(&self, now: Time) -> bool {
        self.listed.is_settle_due(now)
    }

    /// Ends the evacuations that the store lost and that were not repeated.
    pub fn settle(&mut self, now: Time) -> Vec<EvacuationChange> {
        self.listed.settle();
        self.lost.clear();
        self.update_in_force(now)
    }

    /// Revision of the newest list; `None` if none is known.
    pub fn revision(&self) -> Option<u64> {
        self.listed.revision()
    }

    /// The list, to be sent to another node.
    pub fn list(&self) -> Option<Evacuations> {
        let domains = self.listed.list()?.iter().cloned().collect();
        Some(Evacuations { at: self.revision()?, domains })
    }

    /// Whether the list belongs to the current epoch of the store.
    pub fn is_current(&self) -> bool {
        self.listed.is_current()
    }

    /// Handles a restore of the store from an older copy, which may lack evacuations: they stay in
    /// force until the operator repeats them.
    pub fn begin_epoch(&mut self, now: Time) {
        self.listed.begin_epoch(now);
        self.lost = self.in_force.clone();
    }

    /// Whether a node with the list of this revision, if any, lacks a change.
    pub fn has_changed_since(&self, at: Option<u64>) -> bool {
        self.listed.has_changed_since(at)
    }
}
