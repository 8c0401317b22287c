//! Connections whose other sides are watched: one that is gone without a word ends them within
//! seconds, one that reads slowly doesn't.
//!
//! The kernel's own user timeout can't tell these apart: it also counts the time in which a live
//! side has no room. It probes idle connections, and the rest is judged by what it tells of them.

use std::future::Future;
use std::io;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use decide::liveness::{Liveness, SAMPLE_INTERVAL, Sample, Verdict};
use nix::libc::{self, IPPROTO_TCP, TCP_INFO, c_int};
use nix::sys::socket::{getsockopt, setsockopt};
use nix::{getsockopt_impl, setsockopt_impl, sockopt_impl};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};
use util::clock::Clock;
use util::http::{KEEPALIVE_INTERVAL, KEEPALIVE_RETRIES};

use crate::events::Event;
use crate::ingress::unacknowledged;

/// Maximum time between two probes of an empty window, as the kernel takes it. Without it they
/// become rarer the longer the other side reads nothing.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Socket option `TCP_RTO_MAX_MS`.
const RTO_MAX_MS: c_int = 44;

/// The first fields of the kernel's `tcp_info`, which all its versions have.
#[repr(C)]
#[derive(Debug, Clone, Copy)]
pub struct TcpInfo {
    state: u8,
    congestion_state: u8,
    retransmits: u8,
    probes: u8,
    backoff: u8,
    options: u8,
    window_scales: u8,
    flags: u8,
    timeouts: [u32; 2],
    segment_sizes: [u32; 2],
    unacknowledged: u32,
    segments: [u32; 4],
    last_sent: [u32; 2],
    last_data: u32,
    last_acknowledgement: u32,
}

sockopt_impl!(
    /// State of a connection.
    ConnectionInfo, GetOnly, IPPROTO_TCP, TCP_INFO, TcpInfo
);
sockopt_impl!(
    /// Maximum time between retransmissions and between probes, in milliseconds.
    MaxProbeInterval, Both, IPPROTO_TCP, RTO_MAX_MS, c_int
);

/// Connection that fails once its other side is gone.
pub struct WatchedStream {
    stream: TcpStream,
    clock: Clock,
    liveness: Liveness,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether something was sent since the connection was idle.
    is_active: bool,
    is_gone: bool,
}

impl WatchedStream {
    /// Watches a connection.
    pub fn new(stream: TcpStream, clock: Clock) -> Self {
        configure(&stream);
        let liveness = Liveness::default();
        WatchedStream { stream, clock, liveness, timer: None, is_active: false, is_gone: false }
    }

    /// The connection itself.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn inner(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.stream)
    }

    /// Takes the samples that are due; fails if the other side is gone.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while self.is_active && !self.is_gone {
            let timer =
                self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(SAMPLE_INTERVAL)));
            if timer.as_mut().poll(cx).is_pending() {
                return Ok(());
            }
            timer.as_mut().reset(Instant::now() + SAMPLE_INTERVAL);
            self.sample();
        }
        if self.is_gone { Err(io::ErrorKind::TimedOut.into()) } else { Ok(()) }
    }

    fn sample(&mut self) {
        let Some(sample) = take_sample(&self.stream) else {
            return;
        };
        match self.liveness.judge(self.clock.now(), sample) {
            Verdict::Idle => self.is_active = false,
            Verdict::Alive => {}
            Verdict::Gone => self.give_up(sample),
        }
    }

    fn give_up(&mut self, sample: Sample) {
        self.is_gone = true;
        let peer = self.stream.peer_addr().map_or(String::new(), |a| a.to_string());
        let silent_ms = sample.silent.as_millis() as u64;
        Event::PeerGone { peer: &peer, silent_ms, queued: sample.queued }.emit();
        self.drop_unsent();
    }

    /// Has the kernel drop what it holds once the connection is closed.
    pub fn drop_unsent(&self) {
        if let Err(e) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("connection that is given up: {e}");
        }
    }

    /// Begins to take samples once something was written.
    fn written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let is_written = matches!(&written, Poll::Ready(Ok(n)) if *n > 0);
        if is_written && !self.is_active {
            self.is_active = true;
            self.liveness.sent(self.clock.now());
            if let Some(timer) = &mut self.timer {
                timer.as_mut().reset(Instant::now() + SAMPLE_INTERVAL);
            }
            self.check(cx)?;
        }
        written
    }
}

fn take_sample(stream: &TcpStream) -> Option<Sample> {
    let info = getsockopt(stream, ConnectionInfo)
        .inspect_err(|e| log::debug!("state of a connection: {e}"))
        .ok()?;
    Some(Sample {
        in_flight: info.unacknowledged,
        queued: unacknowledged(stream.as_raw_fd()),
        probes: info.probes.into(),
        silent: Duration::from_millis(info.last_data.min(info.last_acknowledgement).into()),
    })
}

/// Sets the probes of idle connections and of empty windows.
fn configure(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let result = stream.set_nodelay(true);
    let result = result.and(SockRef::from(stream).set_tcp_keepalive(&keepalive));
    if let Err(e) = result {
        log::debug!("options of a connection: {e}");
    }
    let interval = PROBE_INTERVAL.as_millis() as c_int;
    // Older kernels do not know the option; a side that goes while it has no room is noticed late.
    if let Err(e) = setsockopt(stream, MaxProbeInterval, &interval) {
        log::debug!("probe interval of a connection: {e}");
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        self.inner().poll_read(cx, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        let written = self.inner().poll_write(cx, bytes);
        self.written(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        let written = self.inner().poll_write_vectored(cx, parts);
        self.written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_shutdown(cx)
    }
}
