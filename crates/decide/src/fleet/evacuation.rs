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

/// What became of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// Its targets get nothing new from now on.
    Began(Name),
    /// The operator took the evacuation back.
    Ended(Name),
}

#[derive(Debug)]
struct Known {
    /// Revision of the newest list that was heard of.
    at: u64,
    /// Revision of the first list with these domains.
    since: u64,
    domains: BTreeSet<Name>,
}

/// What a node knows of evacuations.
#[derive(Debug, Default)]
pub struct Evacuated {
    /// Whether the store is to tell of them: nothing is sent before it has.
    followed: bool,
    known: Option<Known>,
    ended: BTreeMap<Name, Time>,
}

impl Evacuated {
    /// Evacuations are followed from now on.
    pub fn follow(&mut self) {
        self.followed = true;
    }

    /// Whether the node may send: the list is known, or none is followed.
    pub fn is_known(&self) -> bool {
        !self.followed || self.known.is_some()
    }

    /// Whether the targets of a failure domain get nothing new.
    pub fn contains(&self, domain: &str) -> bool {
        match &self.known {
            Some(known) => known.domains.contains(domain),
            None => self.followed,
        }
    }

    /// The failure domains that are evacuated, as far as is known.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.known.iter().flat_map(|k| &k.domains)
    }

    /// When the evacuation of a failure domain was last taken back, if it was.
    pub fn ended(&self, domain: &str) -> Option<Time> {
        self.ended.get(domain).copied()
    }

    /// Takes a list unless a newer one is known; returns what it changes.
    pub fn take(&mut self, list: Evacuations, now: Time) -> Vec<EvacuationChange> {
        let domains: BTreeSet<Name> = list.domains.into_iter().collect();
        let Some(known) = &mut self.known else {
            let began = domains.iter().cloned().map(EvacuationChange::Began).collect();
            self.known = Some(Known { at: list.at, since: list.at, domains });
            return began;
        };
        if list.at < known.at {
            return Vec::new();
        }
        known.at = list.at;
        if domains == known.domains {
            return Vec::new();
        }
        known.since = list.at;
        let before = std::mem::replace(&mut known.domains, domains);
        let after = &known.domains;
        for domain in before.difference(after) {
            self.ended.insert(domain.clone(), now);
        }
        let ended = before.difference(after).cloned().map(EvacuationChange::Ended);
        let began = after.difference(&before).cloned().map(EvacuationChange::Began);
        ended.chain(began).collect()
    }

    /// Revision of the newest list; `None` if none is known.
    pub fn at(&self) -> Option<u64> {
        self.known.as_ref().map(|k| k.at)
    }

    /// The list, for another node.
    pub fn list(&self) -> Option<Evacuations> {
        let known = self.known.as_ref()?;
        Some(Evacuations { at: known.at, domains: known.domains.iter().cloned().collect() })
    }

    /// Whether a node that knows the list of a revision, if any, lacks a change.
    pub fn is_news_since(&self, at: Option<u64>) -> bool {
        self.known.as_ref().is_some_and(|k| at.is_none_or(|at| at < k.since))
    }
}
