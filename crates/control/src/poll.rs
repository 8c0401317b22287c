//! Polls the load of targets. Two nodes of a target's failure domain poll it, the second at half
//! the rate in case the first has failed undetected.

use std::sync::Arc;
use std::time::Duration;

use decide::load::poll_rank;
use decide::member::Event as MemberEvent;
use hyper::Method;
use kameo::actor::ActorRef;
use model::load::TargetReport;
use model::{Name, Time};

use crate::membership::{self, Membership};
use crate::shared::Shared;

/// Timeout for a target's report.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Checks for due polls per poll period.
const CHECKS_PER_PERIOD: u32 = 10;

/// Polls until the process ends.
pub async fn run(shared: Arc<Shared>, membership: ActorRef<Membership>) {
    let period = Duration::from_millis(shared.settings.poll_period);
    let mut due: std::collections::BTreeMap<Name, Time> = Default::default();
    loop {
        tokio::time::sleep(period / CHECKS_PER_PERIOD).await;
        let now = shared.clock.now();
        let applied = shared.applied.load_full();
        let members = shared.members.load_full();
        let names: Vec<Name> = members.nodes.iter().map(|n| n.id.name.clone()).collect();
        let targets = applied.set.pools.values().flat_map(|p| &p.targets);
        for t in targets.filter(|t| t.domain == shared.settings.domain) {
            let Some(rank) = poll_rank(&t.name, &shared.settings.name, &names) else {
                due.remove(&t.name);
                continue;
            };
            if due.get(&t.name).is_some_and(|at| now < *at) {
                continue;
            }
            due.insert(t.name.clone(), now + period * (rank as u32 + 1));
            let (shared, membership) = (shared.clone(), membership.clone());
            tokio::spawn(poll(shared, membership, t.name.clone(), t.address.clone()));
        }
    }
}

async fn poll(shared: Arc<Shared>, membership: ActorRef<Membership>, target: Name, address: Name) {
    let call =
        shared.client.json::<(), TargetReport>(&address, Method::GET, "/load", None, POLL_TIMEOUT);
    let result = call.await;
    let rumor = match result {
        Ok(report) if report.target == target => shared.load_table().record_poll(report),
        Ok(report) => {
            log::warn!("poll: {address} reports itself as {}, expected {target}.", report.target);
            shared.load_table().record_unreachable(&target)
        }
        Err(e) => {
            log::debug!("poll: {target}: {e}");
            shared.load_table().record_unreachable(&target)
        }
    };
    if let Some(rumor) = rumor {
        let _ = membership.tell(membership::HandleEvent(MemberEvent::Load(rumor))).await;
    }
}
