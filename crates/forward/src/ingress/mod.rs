//! Callers' connections and the balancer's questions.

mod callers;
mod readiness;
pub mod small;

use std::net::SocketAddr;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket};

pub use callers::serve as serve_callers;
pub use readiness::serve as serve_readiness;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens at an address that an earlier process may just have left.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || -> std::io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().with_context(|| format!("could not listen at {address}"))
}
