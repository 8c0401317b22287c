//! Follows rules, targets, evacuations and roll-outs: in the store, or through peers that do.

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

use crate::border::Kind;
use crate::events::Event;
use crate::node::Node;
use crate::rollout;

pub use ages::Age;
pub use backoff::Backoff;
pub use feed::Feed;
pub use store::{CONNECT as STORE_CONNECT, Reader, Step};
pub use targets::answer;

/// Time between looks at targets whose entries vanished, and at the age of what is known.
const EXPIRE: Duration = Duration::from_millis(200);

/// Starts following all kinds.
pub fn start(node: &Rc<Node>) {
    if node.settings().evacuations {
        node.feed.follow(Kind::Evacuations);
        node.fleet(|f| f.follow_evacuations());
        tokio::task::spawn_local(lists::follow::<Evacuations>(node.clone()));
    }
    if node.settings().rollouts.is_some() {
        node.feed.follow(Kind::Rollouts);
        node.fleet(|f| f.versions_mut().follow());
        node.fleet(|f| f.versions_mut().set_awaiting_peers(true));
        tokio::task::spawn_local(lists::follow::<Rollouts>(node.clone()));
        tokio::task::spawn_local(rollouts::ask_peers(node.clone()));
        tokio::task::spawn_local(rollout::run_reports(node.clone()));
        tokio::task::spawn_local(rollout::watch_stalls(node.clone()));
    }
    tokio::task::spawn_local(rules::follow(node.clone()));
    tokio::task::spawn_local(targets::follow(node.clone()));
    tokio::task::spawn_local(expire(node.clone()));
}

/// Forgets, in time, targets whose entries vanished, and tells what has become old, and that the
/// machine was suspended. This look at the clock wakes whoever waits for a time then.
async fn expire(node: Rc<Node>) {
    let mut suspended = Duration::ZERO;
    loop {
        tokio::time::sleep(EXPIRE).await;
        let now = node.now();
        let before = std::mem::replace(&mut suspended, node.clock.suspended());
        if suspended > before {
            Event::Resumed { suspended_ms: millis(suspended - before) }.emit();
        }
        node.fleet(|f| f.expire(now));
        node.limits.expire(&node);
        node.feed.tell_old(now);
    }
}

fn millis(age: Duration) -> u64 {
    age.as_millis().min(u128::from(u32::MAX)) as u64
}

/// Who relays the store's state to this node.
fn relays(node: &Node) -> Relays {
    let relays = node.peers.roster(|r| r.relays(node.now()));
    if node.settings().policy.relays {
        return relays;
    }
    Relays { role: Role::Relay, ..relays }
}
