//! Writes records of held requests to the store, and reads the list of all of them from it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use model::Time;
use model::forward::{Fingerprint, HeldRecord};
use util::clock::unix_ms;
use util::http::Client;

use super::FROM_STORE;
use crate::border::{Change, ObjectKind, Post};
use crate::events::Event;
use crate::node::Node;
use crate::watch::{Reader, STORE_CONNECT_TIMEOUT, StoreUpdate};

/// Interval at which unwritten records are looked for, and the minimum time between attempts.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records written per interval, so that callers that crash dozens of targets
/// cannot flood the store.
const MAX_WRITES: usize = 4;
/// Interval between list reads, and so the delay until an operator's release of a request takes
/// effect. A list that may be stale costs the store a tenth of a current one.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Interval until the first list is read, which must be current.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to the store.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Status for an object that already exists.
const CONFLICT: u16 = 409;
/// Status for an object that does not exist.
const NOT_FOUND: u16 = 404;

/// Writes records of held requests until the process ends.
pub async fn write(node: Rc<Node>) {
    loop {
        if node.quarantine.count_held(&node) == 0 {
            node.quarantine.record_due.notified().await;
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
        let peers = node.peers.roster(|r| r.peers());
        let own_name = &node.peers.id.name;
        let unstored = node.quarantine.machine(|q| q.unstored_records(own_name, &peers, unix_ms()));
        for record in unstored.iter().take(MAX_WRITES) {
            create(&node, record).await;
        }
    }
}

async fn create(node: &Node, record: &HeldRecord) {
    let Post { path, content_type, body } = node.dialect.create_hold(record);
    let (store, client) = store_client(node);
    let post = async { client.post(&store, &path, content_type, body).await.map(drop) };
    let result = match tokio::time::timeout(TIMEOUT, post).await {
        // It already existed, or an earlier attempt created it but its answer was lost.
        Ok(Err(e)) if e.status() == Some(CONFLICT) => Ok(()),
        Ok(result) => result.map_err(|e| e.to_string()),
        Err(_) => Err("no answer in time".into()),
    };
    if result.is_ok() {
        node.quarantine.machine(|q| q.mark_stored(record.request));
    }
    log_recorded("held", record.request, result);
}

async fn delete(node: &Node, request: Fingerprint) {
    let (store, client) = store_client(node);
    let result = match client.delete(&store, &node.dialect.hold_path(request), TIMEOUT).await {
        Err(e) if e.status() == Some(NOT_FOUND) => Ok(()),
        result => result.map_err(|e| e.to_string()),
    };
    log_recorded("released", request, result);
}

/// Address of the store, and a client with a new connection: an existing one whose answer was
/// lost may have fallen silent. Counts the call.
fn store_client(node: &Node) -> (String, Client) {
    node.metrics.count_store_call(ObjectKind::Quarantine.as_str());
    (node.settings().store.to_string(), Client::new(STORE_CONNECT_TIMEOUT))
}

fn log_recorded(what: &str, request: Fingerprint, result: Result<(), String>) {
    let why = result.err().unwrap_or_default();
    Event::Recorded { same: &request.to_string(), what, why: &why }.emit();
}

/// Reads the records in the store until the process ends, while this node reads the store.
pub async fn read(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), ObjectKind::Quarantine);
    let mut known = BTreeMap::new();
    let mut has_list = false;
    let mut epoch = None;
    loop {
        node.feed.until_reads_store().await;
        match reader.read_once(has_list).await {
            Ok(update) => {
                has_list = true;
                if std::mem::replace(&mut epoch, update.epoch) != update.epoch {
                    // No operator deleted the records that an older copy of the store lacks.
                    known.clear();
                }
                // An object that is missing from a truncated list is not necessarily deleted.
                if !update.truncated {
                    apply_list(&node, &mut known, update).await;
                }
            }
            Err(e) => log::debug!("quarantine: could not read the list: {e}"),
        }
        // Requests that were held before this node started must be known soon.
        tokio::time::sleep(if has_list { READ_INTERVAL } else { FIRST_READ_INTERVAL }).await;
    }
}

/// Applies a complete list. `known` maps the records that this node has read to the revision they
/// were read at. A record that has become unreadable keeps its hold: only an operator's deletion
/// releases a request.
async fn apply_list(node: &Node, known: &mut BTreeMap<Fingerprint, u64>, update: StoreUpdate) {
    let StoreUpdate { revision, changes, .. } = update;
    let (mut records, mut present) = (Vec::new(), BTreeSet::new());
    for change in changes {
        match change {
            Change::Held(record) => {
                present.insert(record.request);
                records.push(record);
            }
            Change::Unreadable(name) => present.extend(name.parse::<Fingerprint>()),
            _ => {}
        }
    }
    let removed_request = |(request, known_at): (&Fingerprint, &u64)| {
        (!present.contains(request) && revision >= *known_at).then_some(*request)
    };
    let removed: Vec<Fingerprint> = known.iter().filter_map(removed_request).collect();
    for request in removed {
        known.remove(&request);
        node.quarantine.release(FROM_STORE, request);
    }
    for record in records {
        let now: Time = node.now();
        let (changes, is_released) =
            node.quarantine.machine(|q| q.merge_record(&record, unix_ms(), now));
        node.quarantine.handle_changes(FROM_STORE, changes);
        if is_released {
            delete(node, record.request).await;
        } else {
            known.insert(record.request, revision);
        }
    }
    node.quarantine.changed.notify_one();
}
