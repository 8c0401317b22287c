//! Keeps requests that are held in the store, and takes those that it has.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use model::Time;
use model::forward::{Fingerprint, HeldRecord};
use util::clock::unix_ms;
use util::http::Client;

use super::STORE;
use crate::border::{Change, ObjectKind, Post};
use crate::events::Event;
use crate::node::Node;
use crate::watch::{Reader, STORE_CONNECT, Step};

/// Time between looks at what is to be written, and the least between two tries.
const WRITE_EVERY: Duration = Duration::from_millis(500);
/// Records written at one look: callers that end targets by the dozen fill no store.
const WRITES_MOST: usize = 4;
/// Time between two lists: an operator who releases a request waits that long. A list that may
/// be old costs a tenth of another one.
const READ_EVERY: Duration = Duration::from_secs(5);
/// The same until the first list, which is to be new.
const READ_FIRST: Duration = Duration::from_millis(500);
/// Time for a call.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Status of an object that is there already.
const CONFLICT: u16 = 409;
/// Status of an object that is gone.
const NOT_FOUND: u16 = 404;

/// Writes until the process ends.
pub async fn write(node: Rc<Node>) {
    loop {
        if node.quarantine.count_held(&node) == 0 {
            node.quarantine.held.notified().await;
        }
        tokio::time::sleep(WRITE_EVERY).await;
        let peers = node.peers.roster(|r| r.peers());
        let me = &node.peers.id.name;
        let unwritten = node.quarantine.machine(|q| q.unstored_records(me, &peers, unix_ms()));
        for record in unwritten.iter().take(WRITES_MOST) {
            create(&node, record).await;
        }
    }
}

async fn create(node: &Node, record: &HeldRecord) {
    let Post { path, content_type, body } = node.dialect.create_hold(record);
    let (store, client) = call(node);
    let posting = async { client.post(&store, &path, content_type, body).await.map(drop) };
    let end = match tokio::time::timeout(TIMEOUT, posting).await {
        // It was there already, or the answer to an earlier try was lost.
        Ok(Err(e)) if e.status() == Some(CONFLICT) => Ok(()),
        Ok(end) => end.map_err(|e| e.to_string()),
        Err(_) => Err("no answer in time".into()),
    };
    if end.is_ok() {
        node.quarantine.machine(|q| q.mark_stored(record.request));
    }
    tell("held", record.request, end);
}

async fn delete(node: &Node, request: Fingerprint) {
    let (store, client) = call(node);
    let end = match client.delete(&store, &node.dialect.hold_path(request), TIMEOUT).await {
        Err(e) if e.status() == Some(NOT_FOUND) => Ok(()),
        end => end.map_err(|e| e.to_string()),
    };
    tell("released", request, end);
}

/// The store's address, and a connection of its own: one whose answer was lost says nothing
/// further.
fn call(node: &Node) -> (String, Client) {
    node.metrics.count_store_call(ObjectKind::Quarantine.as_str());
    (node.settings().store.to_string(), Client::new(STORE_CONNECT))
}

fn tell(what: &str, request: Fingerprint, end: Result<(), String>) {
    let why = end.err().unwrap_or_default();
    Event::Recorded { same: &request.to_string(), what, why: &why }.emit();
}

/// Reads until the process ends, for as long as this node reads the store.
pub async fn read(node: Rc<Node>) {
    let mut reader = Reader::new(node.clone(), ObjectKind::Quarantine);
    let mut seen = BTreeMap::new();
    let mut is_known = false;
    let mut epoch = None;
    loop {
        node.feed.reads_store().await;
        match reader.look(is_known).await {
            Ok(step) => {
                is_known = true;
                if std::mem::replace(&mut epoch, step.epoch) != step.epoch {
                    // What an older copy of the store lacks was not deleted by an operator.
                    seen.clear();
                }
                // An object that is missing in half of a list is not gone.
                if !step.cut {
                    take(&node, &mut seen, step).await;
                }
            }
            Err(e) => log::debug!("quarantine: {e}"),
        }
        // What was held before this node started is to be known soon.
        tokio::time::sleep(if is_known { READ_EVERY } else { READ_FIRST }).await;
    }
}

/// Takes a list; `seen` has the records that this node saw before, and at which revision. One that
/// cannot be read any more holds on: only an operator's deletion releases a request.
async fn take(node: &Node, seen: &mut BTreeMap<Fingerprint, u64>, list: Step) {
    let Step { at, changes, .. } = list;
    let (mut records, mut there) = (Vec::new(), BTreeSet::new());
    for change in changes {
        match change {
            Change::Held(record) => {
                there.insert(record.request);
                records.push(record);
            }
            Change::Unreadable(name) => there.extend(name.parse::<Fingerprint>()),
            _ => {}
        }
    }
    let is_gone = |(request, seen_at): (&Fingerprint, &u64)| {
        (!there.contains(request) && at >= *seen_at).then_some(*request)
    };
    let gone: Vec<Fingerprint> = seen.iter().filter_map(is_gone).collect();
    for request in gone {
        seen.remove(&request);
        node.quarantine.release(STORE, request);
    }
    for record in records {
        let now: Time = node.now();
        let (changes, is_over) =
            node.quarantine.machine(|q| q.merge_record(&record, unix_ms(), now));
        node.quarantine.take(STORE, changes);
        if is_over {
            delete(node, record.request).await;
        } else {
            seen.insert(record.request, at);
        }
    }
    node.quarantine.changed.notify_one();
}
