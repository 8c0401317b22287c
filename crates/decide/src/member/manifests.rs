//! Which manifest is in force, and which nodes are notified of it.

use std::net::SocketAddr;

use model::member::{NodeId, Purpose};

use super::machine::Member;
use super::types::Action;

/// Random peers that are notified immediately of a new manifest.
const PUSH_FANOUT: usize = 3;
/// Times that reporters are notified again of a manifest, since datagrams get lost.
const REBROADCASTS: u8 = 2;

impl Member {
    pub(super) fn answer_stale_manifest(
        &mut self,
        from: SocketAddr,
        sender: &NodeId,
        number: u64,
        out: &mut Vec<Action>,
    ) {
        let is_unknown = self.peers.get(sender).is_none();
        if is_unknown && number < self.manifest {
            let packet = self.empty_packet(Purpose::News);
            out.push(Action::Send(from, packet));
        }
    }

    pub(super) fn set_manifest(&mut self, number: u64, out: &mut Vec<Action>) {
        if number <= self.manifest {
            return;
        }
        self.manifest = number;
        self.rebroadcasts = REBROADCASTS;
        let id = self.me.id.clone();
        let mut recipients = self.sample(PUSH_FANOUT, &id);
        recipients.extend(self.reporters());
        recipients.sort_unstable();
        recipients.dedup();
        for to in recipients {
            let packet = self.empty_packet(Purpose::News);
            out.push(Action::Send(to, packet));
        }
    }

    /// Addresses of the nodes that may hold the failure domain's lease and report on it.
    pub fn reporters(&self) -> Vec<SocketAddr> {
        let ids = self.relays();
        self.peers().filter(|p| ids.contains(&p.node.id.name)).map(|p| p.node.address).collect()
    }

    /// Names of the nodes that keep store watches and may acquire leases, this one included.
    pub fn relays(&self) -> Vec<model::Name> {
        /// Three, so that two may fail at once.
        const RELAYS: usize = 3;
        let own = (!self.left).then_some(&self.me.id.name);
        let names: std::collections::BTreeSet<&model::Name> =
            self.peers().map(|p| &p.node.id.name).chain(own).collect();
        model::hash::rendezvous("relay", names.into_iter(), RELAYS)
    }

    pub(super) fn notify_link(&mut self, out: &mut Vec<Action>) {
        if self.links.is_empty() || !self.relays().contains(&self.me.id.name) {
            return;
        }
        let to = self.links[self.rng.below(self.links.len())];
        let packet = self.empty_packet(Purpose::News);
        out.push(Action::Send(to, packet));
    }

    pub(super) fn notify_reporters(&mut self, out: &mut Vec<Action>) {
        if self.rebroadcasts == 0 {
            return;
        }
        self.rebroadcasts -= 1;
        for to in self.reporters() {
            let packet = self.empty_packet(Purpose::News);
            out.push(Action::Send(to, packet));
        }
    }
}
