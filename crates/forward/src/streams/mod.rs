//! Origins of resumable streams: tells them to peers, and finds that of a stream that a caller
//! resumes here (see [`decide::streams`]).

mod find;
mod spread;

use std::cell::RefCell;

use decide::streams::StreamOrigins;
use model::forward::{
    CallerHead, StreamAnswer, StreamKey, StreamOrigin, StreamQuery, StreamRecords,
};
use model::{Name, hash};

use crate::node::Node;
use crate::peers::UnsupportedPeers;
use spread::Outbox;

pub use find::find_origin;
pub use spread::record_origin;

/// This node's records of streams, and those that peers are to get.
#[derive(Default)]
pub struct LocalStreams {
    origins: RefCell<StreamOrigins>,
    outbox: Outbox,
    /// Peers whose build keeps no origins.
    unsupported_peers: UnsupportedPeers,
}

impl LocalStreams {
    /// Accesses the records, which must not be borrowed already.
    fn origins<T>(&self, f: impl FnOnce(&mut StreamOrigins) -> T) -> T {
        f(&mut self.origins.borrow_mut())
    }

    /// Drops expired records, and what belongs to peers that are no longer up.
    pub fn expire(&self, node: &Node) {
        self.unsupported_peers.expire(node);
        self.origins(|o| o.expire(node.now()));
    }

    /// Adds records of a peer.
    pub fn handle_records(&self, node: &Node, records: &[StreamRecords]) {
        let now = node.now();
        self.origins(|o| records.iter().for_each(|records| o.merge(records, now)));
    }

    /// Answers a peer's question.
    pub fn answer_query(&self, node: &Node, query: &StreamQuery) -> StreamAnswer {
        StreamAnswer { origin: self.get(node, query.stream) }
    }

    fn get(&self, node: &Node, stream: StreamKey) -> Option<StreamOrigin> {
        self.origins(|o| o.get(stream, node.now()).cloned())
    }
}

/// Identifies a stream by its caller and the attempt that brought its first event.
fn stream_key(head: &CallerHead, workspace: Option<&Name>, first: &str) -> StreamKey {
    let parts =
        [head.caller(workspace), &head.host, first].map(|part| hash::hash64(part.as_bytes()));
    StreamKey(parts.into_iter().fold(0, hash::mix))
}
