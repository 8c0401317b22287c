//! Sockets of this node's servers, and what the kernel holds of the answers on them.

#![allow(unsafe_code, reason = "the kernel tells the size of its send queue only by ioctl")]

use std::cell::RefCell;
use std::collections::HashSet;
use std::os::fd::{AsRawFd, RawFd};
use std::rc::Rc;

use nix::libc::{TIOCOUTQ, c_int};
use tokio::net::TcpStream;

use crate::liveness::WatchedStream;
use crate::node::Node;

nix::ioctl_read_bad!(read_unacknowledged, TIOCOUTQ, c_int);

/// Open sockets of the servers.
#[derive(Default)]
pub struct OpenSockets(RefCell<HashSet<RawFd>>);

impl OpenSockets {
    /// Bytes sent on these that the other sides have not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.0.borrow().iter().copied().map(unacknowledged).sum()
    }
}

/// Bytes of a socket's send queue that the other side has not acknowledged.
pub fn unacknowledged(fd: RawFd) -> usize {
    let mut bytes: c_int = 0;
    // SAFETY: the ioctl writes one `c_int`, to a variable that outlives the call.
    let result = unsafe { read_unacknowledged(fd, &raw mut bytes) };
    if let Err(e) = result {
        log::debug!("send queue of a socket: {e}");
    }
    usize::try_from(bytes).unwrap_or(0)
}

/// Connection that a server has accepted.
pub struct ServerSocket {
    pub stream: WatchedStream,
    node: Rc<Node>,
}

impl ServerSocket {
    /// Takes over an accepted connection.
    pub fn new(node: &Rc<Node>, stream: TcpStream) -> Self {
        node.sockets.0.borrow_mut().insert(stream.as_raw_fd());
        ServerSocket { stream: WatchedStream::new(stream, node.clock), node: node.clone() }
    }

    /// Closes the connection at once; the kernel drops what it still holds.
    pub fn reset(self) {
        self.stream.drop_unsent();
    }

    /// Bytes sent that the other side has not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        unacknowledged(self.stream.stream().as_raw_fd())
    }
}

impl Drop for ServerSocket {
    fn drop(&mut self) {
        self.node.sockets.0.borrow_mut().remove(&self.stream.stream().as_raw_fd());
    }
}
