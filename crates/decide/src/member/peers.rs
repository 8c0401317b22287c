//! What a node believes of its peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::member::{Health, Node, NodeId, Rumor};
use model::{Time, hash};

/// How long the dead are remembered, so that old news cannot bring them back.
const BURIED: Duration = Duration::from_secs(120);

/// One peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Identity and addresses.
    pub node: Node,
    /// What is believed.
    pub health: Health,
    /// Highest incarnation heard.
    pub incarnation: u32,
    /// Highest manifest known to be in force there.
    pub number: u64,
    /// Time that its process had run at `heard`.
    up: Duration,
    heard: Time,
    /// When this health began.
    pub since: Time,
    /// Independent suspicions heard.
    pub confirms: u32,
}

impl Peer {
    /// Alive or only suspected.
    pub fn is_up(&self) -> bool {
        self.health <= Health::Suspect
    }

    /// How long its process has run, as far as is known.
    pub fn uptime(&self, now: Time) -> Duration {
        self.up + now.since(self.heard)
    }

    /// News of this peer.
    pub fn rumor(&self, now: Time) -> Rumor {
        Rumor {
            node: self.node.clone(),
            health: self.health,
            incarnation: self.incarnation,
            number: self.number,
            up_ms: self.uptime(now).as_millis() as u64,
        }
    }
}

/// All peers, the recently dead included.
#[derive(Debug, Default)]
pub struct Peers {
    map: BTreeMap<NodeId, Peer>,
    up: usize,
    digest: u32,
}

/// One node's part in a digest of nodes.
pub fn digest_of(id: &NodeId) -> u32 {
    hash::mix(hash::of(id.name.as_bytes()), id.start) as u32
}

impl Peers {
    /// Count of peers that are up.
    pub fn up(&self) -> usize {
        self.up
    }

    /// Digest of the peers that are up; the same for all that agree.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// One peer.
    pub fn get(&self, id: &NodeId) -> Option<&Peer> {
        self.map.get(id)
    }

    /// Peers that are up.
    pub fn iter_up(&self) -> impl Iterator<Item = &Peer> {
        self.map.values().filter(|p| p.is_up())
    }

    /// The peer that is up at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Peer> {
        self.iter_up().find(|p| p.node.address == address)
    }

    /// Addresses of peers that left or died within this time.
    pub fn gone_since(&self, now: Time, within: Duration) -> Vec<SocketAddr> {
        let gone = self.map.values().filter(|p| !p.is_up() && now.since(p.since) < within);
        gone.map(|p| p.node.address).collect()
    }

    /// Notes the manifest in force on a peer.
    pub fn note_number(&mut self, id: &NodeId, number: u64) {
        if let Some(p) = self.map.get_mut(id) {
            p.number = p.number.max(number);
        }
    }

    /// Counts one more suspicion of a suspected peer.
    pub fn confirm(&mut self, id: &NodeId) {
        if let Some(p) = self.map.get_mut(id) {
            p.confirms += 1;
        }
    }

    /// Takes news; returns whether it changed what is believed.
    pub fn take(&mut self, now: Time, r: &Rumor) -> bool {
        if let Some(p) = self.map.get_mut(&r.node.id) {
            p.number = p.number.max(r.number);
            let up = Duration::from_millis(r.up_ms);
            if up > p.uptime(now) {
                (p.up, p.heard) = (up, now);
            }
            let final_state = p.health >= Health::Dead;
            let newer = (r.incarnation, r.health) > (p.incarnation, p.health);
            let buries = r.health >= Health::Dead && !final_state;
            if (final_state || !newer) && !buries {
                return false;
            }
            let was = p.is_up();
            p.health = r.health;
            p.incarnation = r.incarnation.max(p.incarnation);
            p.since = now;
            p.confirms = 0;
            if was && !p.is_up() {
                self.up -= 1;
                self.digest ^= digest_of(&r.node.id);
            }
            return true;
        }
        if r.health >= Health::Dead {
            return false;
        }
        let peer = Peer {
            node: r.node.clone(),
            health: r.health,
            incarnation: r.incarnation,
            number: r.number,
            up: Duration::from_millis(r.up_ms),
            heard: now,
            since: now,
            confirms: 0,
        };
        self.map.insert(r.node.id.clone(), peer);
        self.up += 1;
        self.digest ^= digest_of(&r.node.id);
        true
    }

    /// Forgets those buried long ago.
    pub fn forget(&mut self, now: Time) {
        self.map.retain(|_, p| p.is_up() || now.since(p.since) < BURIED);
    }

    /// Suspects whose time to refute is over.
    pub fn expired(&self, now: Time, wait: impl Fn(&Peer) -> Duration) -> Vec<NodeId> {
        let over = |p: &&Peer| p.health == Health::Suspect && now.since(p.since) >= wait(p);
        self.map.values().filter(over).map(|p| p.node.id.clone()).collect()
    }
}
