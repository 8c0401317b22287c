//! Synchronizes configuration, members and load from the control node. While the control node is
//! unreachable, the last known state stays in use.

use std::sync::Arc;
use std::time::Duration;

use decide::config::{Follower, FollowerAction, FollowerEvent, Source};
use follow::Fetcher;
use model::Name;
use model::view::{View, ViewRequest, path};

use crate::node::Core;

/// Interval between polls of the control node.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Runs until the process ends.
pub async fn run(core: Arc<Core>, control: Name) {
    let fetcher = Fetcher::new(core.client.clone(), None);
    let mut follower = Follower::default();
    let mut changes = 0;
    let mut reachable = true;
    loop {
        let query = ViewRequest { changes };
        let view = core.client.rmp::<_, View>(&control, path::VIEW, &query, POLL_TIMEOUT).await;
        match view {
            Ok(view) => {
                if !reachable {
                    log::info!("sync: control node is reachable again.");
                }
                reachable = true;
                // A restarted control node counts its changes from zero.
                changes = if view.changes < changes { 0 } else { view.changes };
                let number = view.number;
                apply_view(&core, view);
                let from = Source::Peer(control.clone());
                let announced = FollowerEvent::Announced { number, from };
                run_follower(&core, &fetcher, &mut follower, announced).await;
            }
            Err(e) => {
                if reachable {
                    log::warn!("sync: control node is unreachable: {e}");
                }
                reachable = false;
                changes = 0;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn apply_view(core: &Core, view: View) {
    let now = core.clock.now();
    for report in &view.changed_targets {
        core.fleet.update_target(now, report);
    }
    core.fleet.set_leaving(view.leaving.into_iter().collect());
    core.members.store(Arc::new(view.members));
}

async fn run_follower(
    core: &Core,
    fetcher: &Fetcher,
    follower: &mut Follower,
    first: FollowerEvent,
) {
    let mut events = vec![first];
    while let Some(event) = events.pop() {
        for action in follower.handle_event(core.clock.now(), event) {
            match action {
                FollowerAction::Applied(change) => {
                    log::info!("config: applied manifest {}.", change.number);
                    core.fleet.apply(change);
                }
                fetch => events.extend(fetcher.fetch(fetch).await),
            }
        }
    }
}
