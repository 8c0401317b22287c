//! What the holder of a failure domain's lease does for it: orders to targets,
//! the domain's status, and the registry object that lists first peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use decide::place::{LEASE_MARGIN, MAX_SEND_TIME, Placer, View};
use hyper::Method;
use kameo::actor::ActorRef;
use model::Name;
use model::load::TargetStatus;
use model::order::{Order, Reply};
use model::status::Fleet;
use model::store::kind;
use store::{Reason, Store};

use crate::lease::{GetEpoch, Lease};
use crate::shared::Shared;

/// How often orders and status are looked over.
const LOOK: Duration = Duration::from_millis(250);
/// Least time between two writes of an unchanged registry.
const REGISTRY: Duration = Duration::from_secs(10);

/// Runs until the process ends.
pub async fn run(shared: Arc<Shared>, lease: ActorRef<Lease>) {
    let mut placer = Placer::default();
    let mut written = Fleet::default();
    let mut registry = (Vec::new(), shared.clock.now());
    loop {
        tokio::time::sleep(LOOK).await;
        let Ok(Some(epoch)) = lease.ask(GetEpoch(LEASE_MARGIN)).await else {
            continue;
        };
        order(&shared, &lease, &mut placer, epoch).await;
        report(&shared, &mut written).await;
        register(&shared, &mut registry).await;
    }
}

async fn order(shared: &Arc<Shared>, lease: &ActorRef<Lease>, placer: &mut Placer, epoch: u64) {
    let accepted = shared.accepted.load_full();
    let news: BTreeMap<Name, TargetStatus> = {
        let board = shared.board();
        board.reports().map(|n| (n.report.target.clone(), n.clone())).collect()
    };
    let leaving = shared.leaving.load_full();
    let view = View {
        set: &accepted.set,
        number: accepted.number,
        domain: &shared.settings.domain,
        reports: &news,
        leaving_hosts: &leaving,
    };
    for order in placer.plan(shared.clock.now(), epoch, view) {
        // The lease is asked again just before each send: the node may have been paused.
        let held = lease.ask(GetEpoch(LEASE_MARGIN)).await.ok().flatten();
        if held != Some(epoch) {
            return;
        }
        send(shared, &accepted.set, order).await;
    }
}

async fn send(shared: &Shared, set: &model::object::ObjectSet, order: Order) {
    let targets = set.pools.values().flat_map(|p| &p.targets);
    let Some(address) = targets.clone().find(|t| t.name == order.target).map(|t| &t.address) else {
        return;
    };
    let call = shared.client.json::<_, Reply>(
        address,
        Method::POST,
        "/order",
        Some(&order),
        MAX_SEND_TIME,
    );
    match call.await {
        Ok(reply) => {
            log::info!("order: {:?} to {}: {reply:?}.", order.task, order.target);
        }
        Err(e) => log::warn!("order: {:?} to {}: {e}", order.task, order.target),
    }
}

/// Writes how far the manifest has spread here, when that changed.
async fn report(shared: &Shared, written: &mut Fleet) {
    let members = shared.members.load_full();
    let (nodes, applied, lowest) = members.in_force;
    let fleet = Fleet {
        number: shared.accepted.load().number,
        nodes: nodes as u32,
        applied: applied as u32,
        lowest,
    };
    if fleet == *written {
        return;
    }
    let name = format!("fleet-{}", shared.settings.domain);
    let store = shared.store.for_reason(Reason::Status);
    let Ok(old) = store.get(kind::STATUS, &name).await else {
        return;
    };
    let value = serde_json::to_value(&fleet).expect("statuses encode");
    if store.put(kind::STATUS, &name, old.version, Some(value)).await.is_ok() {
        *written = fleet;
    }
}

async fn register(shared: &Shared, registry: &mut (Vec<String>, model::Time)) {
    /// Addresses listed; a newcomer needs one that answers.
    const LISTED: usize = 8;
    let members = shared.members.load_full();
    let mut addresses: Vec<String> = members.nodes.iter().map(|n| n.address.to_string()).collect();
    addresses.sort_unstable();
    addresses.truncate(LISTED);
    let now = shared.clock.now();
    if addresses == registry.0 || (!registry.0.is_empty() && now.since(registry.1) < REGISTRY) {
        return;
    }
    let store = shared.store.for_reason(Reason::Status);
    let Ok(old) = store.get(kind::REGISTRY, &shared.settings.domain).await else {
        return;
    };
    let value = serde_json::to_value(&addresses).expect("strings encode");
    if store.put(kind::REGISTRY, &shared.settings.domain, old.version, Some(value)).await.is_ok() {
        *registry = (addresses, now);
    }
}
