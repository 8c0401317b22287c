//! Listeners for callers and for the balancer's readiness checks.

mod callers;
mod intake;
mod linger;
mod outbox;
mod readiness;
pub mod small;
mod socket;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket};

pub use callers::serve as serve_callers;
pub use intake::LocalIntake;
pub use readiness::serve as serve_readiness;
pub use socket::{OpenSockets, unacknowledged};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Delay after a failed accept or listen; most likely the process is out of descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Receive buffer of a caller's connection, in bytes: what the kernel holds of a body that waits for
/// memory. It carries 4 MB in a second over a round trip of 30 ms.
const CALLER_RECEIVE_BYTES: u32 = 128 << 10;

/// Listens on an address that an earlier process may have used until just now.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    open(address, |_| Ok(()))
}

/// Listens for callers, whose connections have receive buffers of a fixed size.
pub fn listen_for_callers(address: SocketAddr) -> anyhow::Result<TcpListener> {
    open(address, |socket| socket.set_recv_buffer_size(CALLER_RECEIVE_BYTES))
}

fn open(
    address: SocketAddr,
    configure: impl Fn(&TcpSocket) -> io::Result<()>,
) -> anyhow::Result<TcpListener> {
    let listen = || -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Err(e) = configure(&socket) {
            log::warn!("options of the listener on {address}: {e}");
        }
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().with_context(|| format!("could not listen on {address}"))
}
