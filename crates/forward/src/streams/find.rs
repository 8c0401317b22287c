//! Finds the origin of a stream that a caller resumes.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;
use model::Name;
use model::forward::{CallerHead, StreamAnswer, StreamKey, StreamOrigin, StreamQuery};
use model::member::{Node as PeerNode, NodeId};
use util::http::{CallError, Client};

use super::stream_key;
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, STREAM_ORIGIN};

/// Timeout of a question: a few times a round trip between regions, or the time for which a host
/// that has used up its CPU share can be throttled.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after which an unanswered question is also sent over a new connection, since all pooled
/// ones may have fallen silent.
const NEW_CONNECTION_DELAY: Duration = Duration::from_millis(60);

/// The origin of a stream is not known for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// The request does not name the stream's first attempt.
    Unnamed,
    /// No node knows that attempt.
    Unknown,
}

impl UnknownOrigin {
    /// Reason given to the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            UnknownOrigin::Unnamed => "the first attempt of the stream is not named",
            UnknownOrigin::Unknown => "the version that began the stream is not known",
        }
    }
}

/// Origin of the stream that a request resumes; `None` if it does not resume any.
pub async fn find_origin(
    node: &Rc<Node>,
    head: &CallerHead,
    workspace: Option<&Name>,
) -> Result<Option<StreamOrigin>, UnknownOrigin> {
    if head.last_event.is_none() && head.resumes.is_none() {
        return Ok(None);
    }
    let first = head.resumes.as_deref().ok_or(UnknownOrigin::Unnamed)?;
    let stream = stream_key(head, workspace, first);
    let started = node.now();
    let own = node.streams.get(node, stream);
    let is_own = own.is_some();
    let (origin, asked) = match own {
        Some(origin) => (Some(origin), 0),
        None => ask_peers(node, stream).await,
    };
    Event::StreamOrigin {
        id: &head.id,
        first,
        from: match origin {
            Some(_) if is_own => "own",
            Some(_) => "peer",
            None => "nobody",
        },
        version: origin.as_ref().map_or("", |o| &o.version),
        asked,
        took_ms: node.now().since(started).as_millis() as u64,
    }
    .emit();
    origin.map(Some).ok_or(UnknownOrigin::Unknown)
}

/// The first origin that a peer knows, and the number of peers asked.
async fn ask_peers(node: &Rc<Node>, stream: StreamKey) -> (Option<StreamOrigin>, usize) {
    let is_unsupported = |id: &NodeId| node.streams.unsupported_peers.contains(id);
    let peers = node.peers.roster(|r| r.possible_backups(is_unsupported));
    let mut answers: FuturesUnordered<_> =
        peers.iter().map(|peer| ask(node, peer, stream)).collect();
    while let Some(answer) = answers.next().await {
        if answer.is_some() {
            return (answer, peers.len());
        }
    }
    (None, peers.len())
}

async fn ask(node: &Node, peer: &PeerNode, stream: StreamKey) -> Option<StreamOrigin> {
    let query = StreamQuery { stream };
    let kept = send(node, &node.client, peer, &query, TIMEOUT);
    let new = async {
        tokio::time::sleep(NEW_CONNECTION_DELAY).await;
        let timeout = TIMEOUT - NEW_CONNECTION_DELAY;
        send(node, &Client::new(timeout), peer, &query, timeout).await
    };
    let answered = match select(pin!(kept), pin!(new)).await {
        Either::Left((Err(e), new)) if e.status().is_none() => new.await,
        Either::Left((answer, _)) => answer,
        Either::Right((Err(_), kept)) => kept.await,
        Either::Right((answer, _)) => answer,
    };
    match answered {
        Ok(StreamAnswer { origin }) => origin,
        Err(e) if peers::is_unsupported(&e) => {
            node.streams.unsupported_peers.record(peer, STREAM_ORIGIN);
            None
        }
        Err(e) => {
            log::debug!("streams: {e}");
            None
        }
    }
}

async fn send(
    node: &Node,
    client: &Client,
    peer: &PeerNode,
    query: &StreamQuery,
    timeout: Duration,
) -> Result<StreamAnswer, CallError> {
    peers::call_named(node, client, peer.entry, STREAM_ORIGIN, query, timeout).await
}
