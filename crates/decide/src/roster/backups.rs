//! Peers that keep copies of what a node knows of its streams.
//!
//! A node's backups are its first peers by rendezvous hashing: some in its failure domain, where
//! its callers most likely come back and which may be partitioned off, and one in each other domain
//! of its region, in case the whole domain fails. A node that needs a copy does not know who made
//! it, so it asks all nodes of its domain and a few elsewhere.

use std::collections::BTreeMap;

use model::Name;
use model::member::{Node, NodeId};

use super::ranking::score;
use super::{PeerView, Roster};

/// Backups in the node's failure domain.
const LOCAL_BACKUPS: usize = 3;
/// Backups in each other failure domain of the region.
const REMOTE_BACKUPS: usize = 1;
/// Peers of each other failure domain that are asked for a copy.
const REMOTE_ASKED: usize = 8;

impl Roster {
    /// Peers that keep copies for this node.
    pub fn backups(&self, is_unsupported: impl Fn(&NodeId) -> bool) -> Vec<Node> {
        let mut by_domain: BTreeMap<&Name, Vec<(u64, &Node)>> = BTreeMap::new();
        let can_keep = |p: &&PeerView| self.is_eligible(p) && !is_unsupported(&p.node.id);
        for peer in self.up.values().filter(can_keep).filter(|p| self.is_near(&p.node.domain)) {
            let scored = (score(&self.me, &peer.node.id.name), &peer.node);
            by_domain.entry(&peer.node.domain).or_default().push(scored);
        }
        let mut backups = Vec::new();
        for (domain, mut peers) in by_domain {
            let is_local = *domain == self.domain;
            let count = if is_local { LOCAL_BACKUPS } else { REMOTE_BACKUPS };
            peers.sort_unstable_by(|(a, _), (b, _)| b.cmp(a));
            backups.extend(peers.into_iter().take(count).map(|(_, node)| node.clone()));
        }
        backups
    }

    /// Peers that may have copies, including those that seem to have failed.
    pub fn possible_backups(&self, is_unsupported: impl Fn(&NodeId) -> bool) -> Vec<Node> {
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut asked = Vec::new();
        for PeerView { node, .. } in self.up.values().filter(|p| !is_unsupported(&p.node.id)) {
            let count = counts.entry(&node.domain).or_default();
            if node.domain == self.domain || *count < REMOTE_ASKED {
                *count += 1;
                asked.push(node.clone());
            }
        }
        asked
    }

    /// Whether a failure domain is in this node's region, or the region has no other domain.
    fn is_near(&self, domain: &Name) -> bool {
        let is_local = |d: &Name| self.map.region_of(d) == self.map.local_region();
        let is_alone = || !self.domains.keys().any(|d| *d != self.domain && is_local(d));
        is_local(domain) || is_alone()
    }
}
