//! Relays watch the manifest in the store and read the host list. Two or three nodes of a failure
//! domain are relays, so the number of watches grows with failure domains, not with nodes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use decide::config::FollowerEvent;
use decide::member::Event as MemberEvent;
use decide::rng::Rng;
use kameo::actor::ActorRef;
use model::Name;
use model::load::TargetReport;
use model::manifest::Manifest;
use model::store::{Listing, kind};
use store::{Reason, Store};

use crate::config::{self, Config};
use crate::membership::{self, Membership};
use crate::shared::Shared;

/// Maximum wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum random delay before reconnecting after an outage.
const MAX_RECONNECT_JITTER: Duration = Duration::from_millis(1500);
/// Interval between checks of the relay role, and between a relay's reads of the host list.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Watches the manifest while this node is a relay.
pub async fn watch_manifest(shared: Arc<Shared>, config: ActorRef<Config>) {
    let mut rng = Rng::new(rand::random());
    let mut revision = None;
    loop {
        if !shared.is_relay() {
            revision = None;
            tokio::time::sleep(CHECK_INTERVAL / 4).await;
            continue;
        }
        let store = shared.store.for_reason(Reason::Config);
        let listing = match revision {
            None => store.list(kind::MANIFEST).await,
            Some(r) => store.watch(kind::MANIFEST, r, WATCH_TIMEOUT).await,
        };
        match listing {
            Ok(listing) => {
                revision = Some(listing.revision);
                forward_manifests(&config, listing).await;
                // Avoid a busy loop when a watch returns at once.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Err(e) => {
                log::debug!("relay: {e}");
                // A new watch may miss changes made meanwhile, so list again.
                revision = None;
                tokio::time::sleep(rng.jitter(MAX_RECONNECT_JITTER) + Duration::from_millis(50))
                    .await;
            }
        }
    }
}

async fn forward_manifests(config: &ActorRef<Config>, listing: Listing) {
    let values = listing.objects.into_iter().filter_map(|o| o.value);
    for value in values {
        match serde_json::from_value::<Manifest>(value) {
            Ok(m) => {
                let _ = config.tell(config::HandleEvent(FollowerEvent::Manifest(m))).await;
            }
            Err(e) => log::error!("relay: could not decode the manifest: {e}"),
        }
    }
}

/// Reads the host list while this node is a relay, and announces targets whose host is leaving.
pub async fn watch_hosts(shared: Arc<Shared>, membership: ActorRef<Membership>) {
    let mut announced: BTreeSet<Name> = BTreeSet::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !shared.is_relay() {
            continue;
        }
        let Ok(list) = shared.hosts.hosts().await else {
            continue;
        };
        let leaving: BTreeSet<Name> =
            list.into_iter().filter(|h| h.leaving).map(|h| h.host).collect();
        shared.leaving.store(Arc::new(leaving.clone()));
        let applied = shared.applied.load_full();
        let targets = applied.set.pools.values().flat_map(|p| &p.targets);
        for t in targets.filter(|t| leaving.contains(&t.host)) {
            if announced.insert(t.name.clone()) {
                log::info!("relay: host {} is leaving, with target {}.", t.host, t.name);
                announce_leaving(&shared, &membership, &t.name).await;
            }
        }
    }
}

/// Records that a target is draining and announces it to the failure domain.
pub async fn announce_leaving(shared: &Shared, membership: &ActorRef<Membership>, target: &Name) {
    let rumor = {
        let mut table = shared.load_table();
        let old = table.get(target).cloned();
        let seq = old.as_ref().map_or(1, |n| n.seq + 1);
        let mut report = old.map(|n| n.report).unwrap_or_default();
        if report.leaving {
            return;
        }
        report = TargetReport { target: target.clone(), leaving: true, seq, ..report };
        table.record_poll(report)
    };
    if let Some(rumor) = rumor {
        let _ = membership.tell(membership::HandleEvent(MemberEvent::Load(rumor))).await;
    }
}
