//! Copies the origins of streams to this node's backups, several in one message while many begin.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use decide::streams::MESSAGE_INTERVAL;
use model::forward::{CallerHead, StreamKey, StreamOrigin, StreamRecords};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};
use util::http::CallError;

use super::stream_key;
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, PeerBackoff, STREAM_RECORDS};

/// Timeout of a message, long enough for the farthest region.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to send a message to a peer that does not respond.
const ATTEMPTS: usize = 2;
/// Time in which streams that begin together are collected.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Time that a record outlives its caller's deadline: a retry may have been on its way for a while.
const TTL_MARGIN: Duration = Duration::from_secs(2);

/// Streams of one origin.
#[derive(Default)]
struct Batch {
    streams: Vec<StreamKey>,
    max_ttl: Duration,
}

/// Records that are not sent yet.
#[derive(Default)]
pub(super) struct Outbox {
    queued: RefCell<BTreeMap<StreamOrigin, Batch>>,
    /// Whether a task will send them.
    is_due: Cell<bool>,
    /// Earliest time of the next message.
    next_at: Cell<Time>,
    /// Backups that did not respond.
    unresponsive: PeerBackoff,
}

impl Outbox {
    fn push(&self, stream: StreamKey, origin: StreamOrigin, ttl: Duration) {
        let mut queued = self.queued.borrow_mut();
        let batch = queued.entry(origin).or_default();
        batch.streams.push(stream);
        batch.max_ttl = batch.max_ttl.max(ttl);
    }

    fn take(&self) -> Vec<StreamRecords> {
        let records = |(origin, batch): (StreamOrigin, Batch)| StreamRecords {
            origin,
            ttl_ms: batch.max_ttl.as_millis() as u64,
            streams: batch.streams,
        };
        self.queued.take().into_iter().map(records).collect()
    }

    /// Time until the next message.
    fn wait(&self, now: Time) -> Duration {
        self.next_at.get().since(now).max(COLLECT_TIME)
    }
}

/// Records that the first event of a stream came from here, and copies that to the backups; the
/// caller may resume it within `time_left`.
pub fn record_origin(
    node: &Rc<Node>,
    head: &CallerHead,
    workspace: Option<&Name>,
    origin: StreamOrigin,
    time_left: Duration,
) {
    let stream = stream_key(head, workspace, &head.id);
    let ttl = time_left + TTL_MARGIN;
    node.streams.origins(|o| o.record(stream, origin.clone(), ttl, node.now()));
    node.streams.outbox.push(stream, origin, ttl);
    if !node.streams.outbox.is_due.replace(true) {
        tokio::task::spawn_local(send_queued(node.clone()));
    }
}

/// Sends all queued records as soon as a message may be sent.
async fn send_queued(node: Rc<Node>) {
    let outbox = &node.streams.outbox;
    tokio::time::sleep(outbox.wait(node.now())).await;
    outbox.is_due.set(false);
    outbox.next_at.set(node.now() + MESSAGE_INTERVAL);
    let records = Rc::new(outbox.take());
    let is_unsupported = |id: &NodeId| node.streams.unsupported_peers.contains(id);
    for backup in node.peers.roster(|r| r.backups(is_unsupported)) {
        tokio::task::spawn_local(send(node.clone(), backup, records.clone()));
    }
}

async fn send(node: Rc<Node>, peer: PeerNode, records: Rc<Vec<StreamRecords>>) {
    for attempt in 1..=ATTEMPTS {
        let unresponsive = &node.streams.outbox.unresponsive;
        let sent: Result<(), CallError> =
            peers::call_keeper(&node, unresponsive, &peer, STREAM_RECORDS, &*records, TIMEOUT)
                .await;
        match sent {
            Ok(()) => return,
            Err(e) if peers::is_unsupported(&e) => {
                return node.streams.unsupported_peers.record(&peer, STREAM_RECORDS);
            }
            Err(e) if attempt == ATTEMPTS => log_unsent(&peer, &records, &e),
            Err(e) => log::debug!("streams: {e}"),
        }
    }
}

fn log_unsent(peer: &PeerNode, records: &[StreamRecords], error: &CallError) {
    let records = records.iter().map(|r| r.streams.len()).sum();
    Event::StreamsUntold { peer: &peer.id.name, records, why: &error.to_string() }.emit();
}
