//! Listeners for callers and for the balancer's readiness checks.

mod callers;
mod intake;
mod linger;
mod outbox;
mod readiness;
pub mod small;
mod socket;

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

/// Listens on an address that an earlier process may have used until just now.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || -> std::io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().with_context(|| format!("could not listen on {address}"))
}
