//! Membership inside one failure domain: SWIM (Das, Gupta, Motivala 2002) with
//! the self-awareness of Lifeguard (Dadgar, Phillips, Currey 2018).
//!
//! Each period a node probes one peer, so the cost does not grow with the
//! domain. A peer that answers neither directly nor through others is suspected
//! and can refute by a higher incarnation; only then is it dead. A node whose
//! own probes fail stretches its patience first, so that a slow node blames
//! itself. Nodes keep nothing on disk: each start draws an identity, and a
//! restarted node is a new member whose old self is buried by its own answer.
//!
//! The manifest number rides on every packet and is pushed to a few peers as
//! soon as it is in force, so that news of it spreads in milliseconds.

mod gossip;
mod join;
mod machine;
mod manifests;
mod packets;
mod peers;
mod probes;
mod rumors;
mod sample;
mod types;

pub use machine::Member;
pub use peers::Peer;
pub use types::{Action, Event, Tuning};
