//! Gossip about other nodes: how a rumor is applied and to whom it is forwarded.

use std::net::SocketAddr;
use std::time::Duration;

use model::Time;
use model::member::{Health, NodeId, Packet, Purpose, Rumor};

use super::machine::Member;
use super::peers::digest_of;
use super::types::Action;

/// Peers that are sent a refutation immediately.
const REFUTATION_FANOUT: usize = 5;
/// Minimum interval between two syncs triggered by a mismatched digest.
const SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Age up to which a change counts as recent. Rumors reach nearly all nodes sooner than this.
const RECENT_WINDOW: Duration = Duration::from_secs(4);
/// Maximum share of the member list that recent changes may make up to be sent in its place.
const MAX_RECENT_SHARE: f64 = 0.25;
/// Interval between two full list exchanges per listed peer, so that a node's share of the
/// traffic does not grow with the fleet.
const FULL_SYNC_PER_PEER: Duration = Duration::from_millis(60);
/// Upper bound of the health score that a node gives itself; 0 is healthy.
pub(super) const MAX_HEALTH_SCORE: u32 = 4;

impl Member {
    pub(super) fn declare(
        &mut self,
        now: Time,
        id: &NodeId,
        health: Health,
        out: &mut Vec<Action>,
    ) {
        if let Some(peer) = self.peers.get(id) {
            let rumor = Rumor { health, ..peer.rumor(now) };
            self.apply_rumor(now, &rumor, out);
        }
    }

    /// Applies a rumor about another node and queues it for gossip if it is new.
    pub(super) fn apply_rumor(&mut self, now: Time, rumor: &Rumor, out: &mut Vec<Action>) {
        let previous = self.peers.get(&rumor.node.id).map(|p| p.health);
        if !self.peers.apply(now, rumor) {
            return;
        }
        if previous == Some(Health::Suspect) && rumor.health == Health::Alive {
            self.broadcast_refutation(rumor, out);
        }
        self.outbox.push(rumor.clone());
        out.push(Action::Changed(rumor.clone()));
        match rumor.health {
            Health::Suspect => self.notify_suspect(rumor, out),
            Health::Alive => {
                self.announce_to_hub(now, rumor, out);
                for id in self.peers.earlier_starts(&rumor.node.id, now) {
                    self.declare(now, &id, Health::Dead, out);
                }
            }
            Health::Dead | Health::Left => {}
        }
    }

    /// Notifies a suspect directly, so that it can refute in one round trip, long before gossip
    /// would have reached it and returned.
    pub(super) fn notify_suspect(&mut self, rumor: &Rumor, out: &mut Vec<Action>) {
        let start = rumor.node.id.start;
        let mut packet = self.empty_packet(Purpose::Ping { start });
        packet.rumors.push(rumor.clone());
        out.push(Action::Send(rumor.node.address, packet));
    }

    /// Digest of the nodes that are up, this one included.
    pub(super) fn digest(&self) -> u32 {
        self.peers.digest() ^ digest_of(&self.me.id)
    }

    /// Anti-entropy: rumors expire before they reach every node, so two nodes with different
    /// digests exchange recent changes from time to time and, less often, the full list.
    ///
    /// Under constant churn no two digests match, and sending the full list after each probe
    /// would cost every node traffic proportional to the size of the fleet.
    pub(super) fn anti_entropy(
        &mut self,
        now: Time,
        from: SocketAddr,
        p: &Packet,
        out: &mut Vec<Action>,
    ) {
        let is_due = self.last_sync == Time::ZERO || now.since(self.last_sync) >= SYNC_INTERVAL;
        if p.digest == self.digest() || !is_due || self.peers.get(&p.from).is_none() {
            return;
        }
        self.last_sync = now;
        let max_recent = (self.peers.up() as f64 * MAX_RECENT_SHARE) as usize;
        let window_start = Time(now.0.saturating_sub(RECENT_WINDOW.as_micros() as u64));
        let recent: Vec<Rumor> =
            self.peers.rumors_since(window_start, now).take(max_recent + 1).collect();
        let is_full_due =
            now.since(self.last_full_sync) >= FULL_SYNC_PER_PEER * self.peers.up() as u32;
        if is_full_due || recent.len() > max_recent {
            self.last_full_sync = now;
            return self.push_all(from, out);
        }
        self.push_each(from, &recent, out);
    }

    pub(super) fn handle_rumor(&mut self, now: Time, rumor: &Rumor, out: &mut Vec<Action>) {
        if rumor.node.id != self.me.id {
            return self.apply_rumor(now, rumor, out);
        }
        if rumor.health >= Health::Dead {
            // Declared dead while paused or partitioned: rejoin under a new identity.
            self.me.id.start = self.rng.next_u64().max(1);
            self.incarnation = 0;
            self.outbox.push(self.own_rumor());
        } else if rumor.health == Health::Suspect && rumor.incarnation >= self.incarnation {
            // A peer suspects this node: refute, and treat it as a sign that this node is slow.
            self.incarnation = rumor.incarnation + 1;
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            self.outbox.push(self.own_rumor());
            let rumor = self.own_rumor();
            self.broadcast_refutation(&rumor, out);
        }
    }

    /// Forwards a refutation immediately: it races against the suspicion timeout.
    pub(super) fn broadcast_refutation(&mut self, rumor: &Rumor, out: &mut Vec<Action>) {
        for to in self.sample(REFUTATION_FANOUT, &rumor.node.id) {
            let mut packet = self.empty_packet(Purpose::News);
            packet.rumors.push(rumor.clone());
            out.push(Action::Send(to, packet));
        }
    }
}
