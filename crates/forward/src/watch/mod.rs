//! Follows rules, targets, evacuations and rollouts in the store, or through peers that do.

mod ages;
mod backoff;
mod evacuations;
mod feed;
mod lists;
mod rollouts;
mod rules;
mod snapshot;
mod store;
mod targets;

use std::rc::Rc;
use std::time::Duration;

use decide::relay::{Relays, Role};
use model::forward::{Evacuations, Rollouts};

use crate::border::ObjectKind;
use crate::events::Event;
use crate::node::Node;
use crate::rollout;

pub use ages::Age;
pub use backoff::Backoff;
pub use feed::Feed;
pub use store::{CONNECT_TIMEOUT as STORE_CONNECT_TIMEOUT, Reader, StoreUpdate};
pub use targets::answer_follower;

/// Interval at which targets with vanished entries and the age of the state are checked.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts following all kinds.
pub fn start(node: &Rc<Node>) {
    if node.settings().evacuations {
        node.feed.follow(ObjectKind::Evacuations);
        node.fleet(|f| f.follow_evacuations());
        tokio::task::spawn_local(lists::follow::<Evacuations>(node.clone()));
    }
    if node.settings().rollouts.is_some() {
        node.feed.follow(ObjectKind::Rollouts);
        node.fleet(|f| f.versions_mut().follow());
        node.fleet(|f| f.versions_mut().set_awaiting_peers(true));
        tokio::task::spawn_local(lists::follow::<Rollouts>(node.clone()));
        tokio::task::spawn_local(rollouts::ask_peers(node.clone()));
        tokio::task::spawn_local(rollout::run_reports(node.clone()));
        tokio::task::spawn_local(rollout::watch_stalls(node.clone()));
        tokio::task::spawn_local(rollout::write_lost_states(node.clone()));
    }
    tokio::task::spawn_local(rules::follow(node.clone()));
    tokio::task::spawn_local(targets::follow(node.clone()));
    tokio::task::spawn_local(expire(node.clone()));
}

/// Periodically removes targets whose entries vanished and whose grace period is over, and logs
/// state that has become stale and suspensions of the machine. Reading the clock also wakes the
/// tasks whose timers stood still during a suspension.
async fn expire(node: Rc<Node>) {
    let mut suspended = Duration::ZERO;
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let now = node.now();
        let before = std::mem::replace(&mut suspended, node.clock.suspended());
        if suspended > before {
            Event::Resumed { suspended_ms: millis(suspended - before) }.emit();
        }
        node.fleet(|f| f.expire(now));
        node.limits.expire(&node);
        node.slots.expire(&node);
        node.streams.expire(&node);
        node.ejections.expire(&node);
        evacuations::settle(&node);
        rollouts::settle(&node);
        node.feed.log_stale_kinds(now);
    }
}

fn millis(age: Duration) -> u64 {
    age.as_millis().min(u128::from(u32::MAX)) as u64
}

/// Relays of the store's state for this node. If the policy does not use relays, every node is one.
fn relays(node: &Node) -> Relays {
    let relays = node.peers.roster(|r| r.relays(node.now()));
    if node.settings().policy.relays {
        return relays;
    }
    Relays { role: Role::Relay, ..relays }
}
