//! Duties of the holder of a failure domain's lease: sending orders to targets, and writing the
//! domain's status and the registry object that lists seed addresses.

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

/// Interval between rounds of orders and status writes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between writes of the registry, once it lists any address.
const MIN_REGISTRY_INTERVAL: Duration = Duration::from_secs(10);

/// Runs until the process ends, and acts only while this node holds the lease.
pub async fn run(shared: Arc<Shared>, lease: ActorRef<Lease>) {
    let mut placer = Placer::default();
    let mut last_written = Fleet::default();
    let mut registry = (Vec::new(), shared.clock.now());
    loop {
        tokio::time::sleep(RECONCILE_INTERVAL).await;
        let Ok(Some(epoch)) = lease.ask(GetEpoch(LEASE_MARGIN)).await else {
            continue;
        };
        send_orders(&shared, &lease, &mut placer, epoch).await;
        write_status(&shared, &mut last_written).await;
        write_registry(&shared, &mut registry).await;
    }
}

async fn send_orders(
    shared: &Arc<Shared>,
    lease: &ActorRef<Lease>,
    placer: &mut Placer,
    epoch: u64,
) {
    let applied = shared.applied.load_full();
    let load_reports: BTreeMap<Name, TargetStatus> = {
        let table = shared.load_table();
        table.reports().map(|n| (n.report.target.clone(), n.clone())).collect()
    };
    let leaving = shared.leaving.load_full();
    let view = View {
        set: &applied.set,
        number: applied.number,
        domain: &shared.settings.domain,
        reports: &load_reports,
        leaving_hosts: &leaving,
    };
    for order in placer.plan(shared.clock.now(), epoch, view) {
        // Check the lease again just before each send: the process may have been paused.
        let current = lease.ask(GetEpoch(LEASE_MARGIN)).await.ok().flatten();
        if current != Some(epoch) {
            return;
        }
        send(shared, &applied.set, order).await;
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

/// Writes how far the manifest has spread in this failure domain, if that changed.
async fn write_status(shared: &Shared, last_written: &mut Fleet) {
    let members = shared.members.load_full();
    let (nodes, applied, lowest) = members.manifest_progress;
    let fleet = Fleet {
        number: shared.applied.load().number,
        nodes: nodes as u32,
        applied: applied as u32,
        lowest,
    };
    if fleet == *last_written {
        return;
    }
    let name = format!("fleet-{}", shared.settings.domain);
    let store = shared.store.for_reason(Reason::Status);
    let Ok(old) = store.get(kind::STATUS, &name).await else {
        return;
    };
    let value = serde_json::to_value(&fleet).expect("statuses encode");
    if store.put(kind::STATUS, &name, old.version, Some(value)).await.is_ok() {
        *last_written = fleet;
    }
}

async fn write_registry(shared: &Shared, registry: &mut (Vec<String>, model::Time)) {
    /// Maximum number of listed addresses; a joining node needs one that responds.
    const MAX_ADDRESSES: usize = 8;
    let members = shared.members.load_full();
    let mut addresses: Vec<String> = members.nodes.iter().map(|n| n.address.to_string()).collect();
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    let now = shared.clock.now();
    if addresses == registry.0
        || (!registry.0.is_empty() && now.since(registry.1) < MIN_REGISTRY_INTERVAL)
    {
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
