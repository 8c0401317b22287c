//! Failure domains whose targets are to get nothing new.
//!
//! An operator evacuates a failure domain through the store. Relays read the list there and
//! pass it on with the targets' news; its revision orders what a node hears from several
//! sources, so that a slow one never brings an older list back. A node that is to follow
//! evacuations and has not heard of any list yet takes every domain for evacuated: it sends
//! nothing before it knows.

use std::collections::{BTreeMap, BTreeSet};

use model::forward::Evacuations;
use model::{Name, Time};

use crate::relay::LatestList;

/// What became of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// Its targets get nothing new from now on.
    Began(Name),
    /// The operator took the evacuation back.
    Ended(Name),
}

/// What a node knows of evacuations.
#[derive(Debug, Default)]
pub struct Evacuated {
    /// If the store is to tell of them, nothing is sent before it has.
    domains: LatestList<BTreeSet<Name>>,
    ended_at: BTreeMap<Name, Time>,
}

impl Evacuated {
    /// Evacuations are followed from now on.
    pub fn follow(&mut self) {
        self.domains.follow();
    }

    /// Whether the node may send: the list is known, or none is followed.
    pub fn is_known(&self) -> bool {
        self.domains.is_known()
    }

    /// Whether the targets of a failure domain get nothing new.
    pub fn contains(&self, domain: &str) -> bool {
        match self.domains.list() {
            Some(domains) => domains.contains(domain),
            None => self.domains.is_followed(),
        }
    }

    /// The failure domains that are evacuated, as far as is known.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.list().into_iter().flatten()
    }

    /// When the evacuation of a failure domain was last taken back, if it was.
    pub fn ended_at(&self, domain: &str) -> Option<Time> {
        self.ended_at.get(domain).copied()
    }

    /// Takes a list unless a newer one is known; returns what it changes.
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
    pub fn at(&self) -> Option<u64> {
        self.domains.at()
    }

    /// The list, for another node.
    pub fn list(&self) -> Option<Evacuations> {
        let domains = self.domains.list()?.iter().cloned().collect();
        Some(Evacuations { at: self.at()?, domains })
    }

    /// Whether the list is of this epoch of the store.
    pub fn is_current(&self) -> bool {
        self.domains.is_current()
    }

    /// The store came back from an older copy.
    pub fn begin_epoch(&mut self) {
        self.domains.begin_epoch();
    }

    /// Whether a node that knows the list of a revision, if any, lacks a change.
    pub fn changed_since(&self, at: Option<u64>) -> bool {
        self.domains.changed_since(at)
    }
}
