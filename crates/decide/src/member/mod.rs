//! Membership inside one failure domain: SWIM (Das, Gupta, Motivala 2002) with
//! the self-awareness of Lifeguard (Dadgar, Phillips, Currey 2018).
//!
//! Each period a node probes one peer, so the cost does not grow with the
//! domain. A peer that answers neither directly nor through others is suspected.
//! It can refute with a higher incarnation and is declared dead only if it does
//! not. A node whose own probes fail extends its timeouts first, so that a slow
//! node suspects itself before others. Nodes persist nothing: each start draws an
//! identity, and a restarted node is a new member whose own answer declares its
//! previous identity dead.
//!
//! The manifest number is piggybacked on every packet and pushed to a few peers
//! as soon as it is in force, so that it spreads within milliseconds.

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
