//! Keeps an entry node up with its control node: configuration, members, load.
//! While the control node is away, everything known stays in force.

use std::sync::Arc;
use std::time::Duration;

use decide::config::{Follower, FollowerAction, FollowerEvent, Source};
use follow::Fetcher;
use model::Name;
use model::view::{View, ViewRequest, path};

use crate::node::Core;

/// How often the control node is asked.
const EVERY: Duration = Duration::from_millis(100);
/// Longest wait for it.
const WAIT: Duration = Duration::from_millis(1000);

/// Runs until the process ends.
pub async fn run(core: Arc<Core>, control: Name) {
    let fetcher = Fetcher::new(core.client.clone(), None);
    let mut follower = Follower::default();
    let mut changes = 0;
    let mut up = true;
    loop {
        let ask = ViewRequest { changes };
        let view = core.client.rmp::<_, View>(&control, path::VIEW, &ask, WAIT).await;
        match view {
            Ok(view) => {
                if !up {
                    log::info!("sync: control is back.");
                }
                up = true;
                // A control node that was started anew counts from the beginning.
                changes = if view.changes < changes { 0 } else { view.changes };
                let number = view.number;
                take(&core, view);
                let from = Source::Peer(control.clone());
                let heard = FollowerEvent::Announced { number, from };
                follow_up(&core, &fetcher, &mut follower, heard).await;
            }
            Err(e) => {
                if up {
                    log::warn!("sync: control does not answer: {e}");
                }
                up = false;
                changes = 0;
            }
        }
        tokio::time::sleep(EVERY).await;
    }
}

fn take(core: &Core, view: View) {
    let now = core.clock.now();
    for news in &view.news {
        core.fleet.hear(now, news);
    }
    core.fleet.set_leaving(view.leaving.into_iter().collect());
    core.members.store(Arc::new(view.members));
}

async fn follow_up(core: &Core, fetcher: &Fetcher, follower: &mut Follower, first: FollowerEvent) {
    let mut events = vec![first];
    while let Some(event) = events.pop() {
        for action in follower.handle_event(core.clock.now(), event) {
            match action {
                FollowerAction::Applied(change) => {
                    log::info!("config: manifest {} is in force.", change.number);
                    core.fleet.apply(change);
                }
                fetch => events.extend(fetcher.fetch(fetch).await),
            }
        }
    }
}
