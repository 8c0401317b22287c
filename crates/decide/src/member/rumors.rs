//! Queue of gossip to piggyback on packets. The least transmitted entry goes first, and each
//! is dropped after a number of transmissions logarithmic in the number of nodes.

use std::collections::{BTreeMap, BTreeSet};

use model::member::{LoadRumor, NodeId, Rumor};

/// Transmissions of a rumor, as a multiple of the binary logarithm of the number of nodes.
const RETRANSMIT_FACTOR: u32 = 3;
/// Transmissions of a load; few suffice, since the next change follows soon.
const LOAD_TRANSMITS: u32 = 2;
/// Bit of [`LoadRumor::flags`] for a draining target. Such loads are sent first.
const DRAINING_FLAG: u8 = 2;

/// Rumors and loads that are still to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    rumors: BTreeMap<NodeId, (u32, Rumor)>,
    /// Keys of `rumors` by number of transmissions so far.
    order: BTreeSet<(u32, NodeId)>,
    loads: BTreeMap<u32, (u32, LoadRumor)>,
}

impl Outbox {
    /// Queues a rumor, replacing an older one about the same node.
    pub fn push(&mut self, rumor: Rumor) {
        let id = rumor.node.id.clone();
        if let Some((sent, _)) = self.rumors.insert(id.clone(), (0, rumor)) {
            self.order.remove(&(sent, id.clone()));
        }
        self.order.insert((0, id));
    }

    /// Queues a changed load, replacing an older one of the same target.
    pub fn push_load(&mut self, load: LoadRumor) {
        self.loads.insert(load.target, (0, load));
    }

    /// Takes up to `n` rumors for one packet.
    pub fn take(&mut self, n: usize, nodes: usize) -> Vec<Rumor> {
        let max_sends = RETRANSMIT_FACTOR * (usize::BITS - nodes.leading_zeros()).max(1);
        let first: Vec<(u32, NodeId)> = self.order.iter().take(n).cloned().collect();
        let mut out = Vec::new();
        for (was_sent, id) in first {
            self.order.remove(&(was_sent, id.clone()));
            let Some((sent, rumor)) = self.rumors.get_mut(&id) else {
                continue;
            };
            *sent += 1;
            out.push(rumor.clone());
            if *sent < max_sends {
                self.order.insert((*sent, id));
            } else {
                self.rumors.remove(&id);
            }
        }
        out
    }

    /// Takes up to `n` loads for one packet, draining targets first.
    pub fn take_loads(&mut self, n: usize, nodes: usize) -> Vec<LoadRumor> {
        let log = (usize::BITS - nodes.leading_zeros()).max(1);
        let max_sends = |l: &LoadRumor| {
            if l.flags & DRAINING_FLAG != 0 { RETRANSMIT_FACTOR * log } else { LOAD_TRANSMITS }
        };
        let mut order: Vec<(bool, u32, u32)> = self
            .loads
            .iter()
            .map(|(t, (sent, l))| (l.flags & DRAINING_FLAG == 0, *sent, *t))
            .collect();
        order.sort_unstable();
        let mut out = Vec::new();
        for (_, _, target) in order.into_iter().take(n) {
            if let Some((sent, load)) = self.loads.get_mut(&target) {
                *sent += 1;
                out.push(*load);
            }
        }
        self.loads.retain(|_, (sent, l)| *sent < max_sends(l));
        out
    }
}
