//! Counts bytes between regions, by kind of message.
//!
//! Each byte is counted once, by the node that sends the request: the request itself and its
//! answer. Connections to targets are counted as they are read and written; messages between
//! nodes, and calls on pooled connections, by the size of their bodies plus a typical head.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use model::Name;
use model::forward::TargetId;
use prometheus_client::metrics::counter::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::node::Node;

/// Typical size of the head of a request between nodes, or of its answer, in bytes: method and path
/// or status, host, media type, length and date.
const HEAD_BYTES: u64 = 112;

/// Kind of message that is sent to another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A request to a target, and its answer.
    Request,
    /// A stage call to a worker, and its answer.
    Call,
    /// A call that frees stage results.
    Free,
    /// A stage order to a batch coordinator, or a query for its queueing times.
    Order,
    /// Stage results that a worker or an engine fetches as inputs, by the sizes in the rules.
    Input,
    /// A query to a prompt scheduler, or the report that a prompt has ended.
    Prompt,
    /// Updates of targets, evacuations, rollouts and rules.
    Updates,
    /// A membership datagram.
    Membership,
    /// A liveness probe of a peer.
    Ping,
    /// A report on a trial version, or a rollout state for a peer to write.
    Rollout,
    /// Permits, and announcements of limits that targets name.
    Limit,
}

impl MessageKind {
    /// Value of the metric label `kind`.
    pub fn as_str(self) -> &'static str {
        match self {
            MessageKind::Request => "request",
            MessageKind::Call => "call",
            MessageKind::Free => "free",
            MessageKind::Order => "order",
            MessageKind::Input => "input",
            MessageKind::Prompt => "prompt",
            MessageKind::Updates => "news",
            MessageKind::Membership => "member",
            MessageKind::Ping => "ping",
            MessageKind::Rollout => "rollout",
            MessageKind::Limit => "limit",
        }
    }
}

/// Counters of the bytes to another region and from it.
#[derive(Debug, Clone)]
pub struct RegionTraffic {
    outbound: Counter,
    inbound: Counter,
}

impl RegionTraffic {
    /// Traffic to a failure domain; `None` if it is in this node's region or in no known region.
    fn to_domain(node: &Node, kind: MessageKind, domain: &Name) -> Option<RegionTraffic> {
        let (local, remote) = node.fleet(|f| {
            let regions = f.regions();
            Some((
                regions.region_of(&node.settings().domain)?.clone(),
                regions.region_of(domain)?.clone(),
            ))
        })?;
        let count = |from, to| node.metrics.crossed_bytes(kind.as_str(), from, to);
        (local != remote).then(|| RegionTraffic {
            outbound: count(&local, &remote),
            inbound: count(&remote, &local),
        })
    }

    /// Traffic to a target; `None` if it stays in this node's region.
    pub fn to_target(node: &Node, kind: MessageKind, id: &TargetId) -> Option<RegionTraffic> {
        if !is_multi_region(node) {
            return None;
        }
        let domain = node.fleet(|f| f.domain_of(id).cloned())?;
        RegionTraffic::to_domain(node, kind, &domain)
    }

    /// Traffic to a peer that is up; `None` if it stays in this node's region.
    pub fn to_peer(node: &Node, kind: MessageKind, address: SocketAddr) -> Option<RegionTraffic> {
        if !is_multi_region(node) {
            return None;
        }
        let domain = node.peers.roster(|r| r.domain_at(address).cloned())?;
        RegionTraffic::to_domain(node, kind, &domain)
    }

    /// Counts a message with a body of this many bytes to the other region.
    pub fn sent(&self, bytes: usize) {
        self.outbound.inc_by(bytes as u64 + HEAD_BYTES);
    }

    /// Counts an answer with a body of this many bytes.
    pub fn received(&self, bytes: usize) {
        self.inbound.inc_by(bytes as u64 + HEAD_BYTES);
    }

    /// Counts a datagram of this many bytes; it has no head.
    pub fn sent_datagram(&self, bytes: usize) {
        self.outbound.inc_by(bytes as u64);
    }
}

/// Whether there are several regions; with one, nothing is looked up per message.
fn is_multi_region(node: &Node) -> bool {
    node.fleet(|f| f.regions().is_multi_region())
}

/// Counts stage results that `by` fetches as inputs from targets in other regions.
pub fn count_inputs(node: &Node, by: &TargetId, inputs: impl Iterator<Item = (TargetId, u64)>) {
    if !is_multi_region(node) {
        return;
    }
    let region = |id: &TargetId| {
        node.fleet(|f| f.domain_of(id).and_then(|d| f.regions().region_of(d).cloned()))
    };
    let Some(to) = region(by) else {
        return;
    };
    for (worker, bytes) in inputs {
        if let Some(from) = region(&worker).filter(|from| *from != to) {
            node.metrics.crossed_bytes(MessageKind::Input.as_str(), &from, &to).inc_by(bytes);
        }
    }
}

/// A connection whose bytes are counted if it leads to another region.
#[derive(Debug)]
pub struct Metered<T> {
    io: T,
    traffic: Option<RegionTraffic>,
}

impl<T> Metered<T> {
    /// Counts the bytes of `io` in `traffic`.
    pub fn new(io: T, traffic: Option<RegionTraffic>) -> Self {
        Metered { io, traffic }
    }

    fn count_written(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let (Some(traffic), Poll::Ready(Ok(bytes))) = (&self.traffic, &done) {
            traffic.outbound.inc_by(*bytes as u64);
        }
        done
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let done = Pin::new(&mut self.io).poll_read(cx, buffer);
        if let Some(traffic) = &self.traffic {
            traffic.inbound.inc_by((buffer.filled().len() - before) as u64);
        }
        done
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.count_written(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write_vectored(cx, parts);
        self.count_written(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
