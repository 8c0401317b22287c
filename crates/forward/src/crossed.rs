//! Bytes that cross between regions, by kind of message.
//!
//! Each byte is counted once, by the node that asks: what goes out, and what comes back in
//! answer. Connections to targets are counted as they are read and written; messages between
//! nodes, and calls on kept connections, by their bodies and what their heads usually take.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use model::Name;
use model::forward::TargetId;
use prometheus_client::metrics::counter::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::node::Node;

/// Bytes of the head of a request between nodes, or of its answer: method and path or status,
/// host, media type, length and date.
const HEAD_BYTES: u64 = 112;

/// What crosses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A request to a target, and its answer.
    Request,
    /// A stage call to a maker, and its answer.
    Call,
    /// Results to be freed.
    Free,
    /// A stage order to a coordinator, or a question for its waits.
    Order,
    /// Results that a maker or an engine fetches as inputs, by the sizes that rules tell.
    Input,
    /// A question to a scheduler of prompts, or the end of a prompt.
    Prompt,
    /// News of targets, evacuations and orders of roll-outs, and rules.
    Updates,
    /// A datagram of membership.
    Membership,
    /// A sign of life that is asked of a peer.
    Ping,
    /// A report on a version on trial, or a state that a peer writes.
    Rollout,
    /// Permits, and news of limits that targets name.
    Limit,
}

impl MessageKind {
    /// Name in metrics.
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

/// Counters of one way to another region and back.
#[derive(Debug, Clone)]
pub struct RegionTraffic {
    outbound: Counter,
    inbound: Counter,
}

impl RegionTraffic {
    /// To a failure domain; `None` if it is in this node's region, or of none that is known.
    fn to_domain(node: &Node, kind: MessageKind, domain: &Name) -> Option<RegionTraffic> {
        let (own, there) = node.fleet(|f| {
            let regions = f.regions();
            Some((regions.of(&node.settings().domain)?.clone(), regions.of(domain)?.clone()))
        })?;
        let count = |from, to| node.metrics.crossed_bytes(kind.as_str(), from, to);
        (own != there)
            .then(|| RegionTraffic { outbound: count(&own, &there), inbound: count(&there, &own) })
    }

    /// To a target.
    pub fn to_target(node: &Node, kind: MessageKind, id: &TargetId) -> Option<RegionTraffic> {
        if !is_multi_region(node) {
            return None;
        }
        let domain = node.fleet(|f| f.domain_of(id).cloned())?;
        RegionTraffic::to_domain(node, kind, &domain)
    }

    /// To a peer that is up.
    pub fn to_peer(node: &Node, kind: MessageKind, address: SocketAddr) -> Option<RegionTraffic> {
        if !is_multi_region(node) {
            return None;
        }
        let domain = node.peers.roster(|r| r.domain_at(address).cloned())?;
        RegionTraffic::to_domain(node, kind, &domain)
    }

    /// A message of this many bytes went there.
    pub fn sent(&self, bytes: usize) {
        self.outbound.inc_by(bytes as u64 + HEAD_BYTES);
    }

    /// A message of this many bytes came back.
    pub fn received(&self, bytes: usize) {
        self.inbound.inc_by(bytes as u64 + HEAD_BYTES);
    }

    /// A datagram went there.
    pub fn sent_datagram(&self, bytes: usize) {
        self.outbound.inc_by(bytes as u64);
    }
}

/// Whether there is another region: where there is none, messages are not looked at.
fn is_multi_region(node: &Node) -> bool {
    node.fleet(|f| f.regions().is_multi_region())
}

/// Targets fetch results that rest at others.
pub fn count_inputs(node: &Node, by: &TargetId, inputs: impl Iterator<Item = (TargetId, u64)>) {
    if !is_multi_region(node) {
        return;
    }
    let region =
        |id: &TargetId| node.fleet(|f| f.domain_of(id).and_then(|d| f.regions().of(d).cloned()));
    let Some(to) = region(by) else {
        return;
    };
    for (maker, bytes) in inputs {
        if let Some(from) = region(&maker).filter(|from| *from != to) {
            node.metrics.crossed_bytes(MessageKind::Input.as_str(), &from, &to).inc_by(bytes);
        }
    }
}

/// A connection whose bytes are counted, if it crosses.
#[derive(Debug)]
pub struct Metered<T> {
    io: T,
    crossing: Option<RegionTraffic>,
}

impl<T> Metered<T> {
    /// Counts from now on.
    pub fn new(io: T, crossing: Option<RegionTraffic>) -> Self {
        Metered { io, crossing }
    }

    fn count_written(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let (Some(crossing), Poll::Ready(Ok(bytes))) = (&self.crossing, &done) {
            crossing.outbound.inc_by(*bytes as u64);
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
        if let Some(crossing) = &self.crossing {
            crossing.inbound.inc_by((buffer.filled().len() - before) as u64);
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
