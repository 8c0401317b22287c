//! System calls that the standard library does not offer: socket options and signals.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

pub const SIGHUP: c_int = 1;
pub const SIGTERM: c_int = 15;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOCK_CLOEXEC: c_int = 0o2000000;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    addr: u32,
    zero: [u8; 8],
}

extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn connect(fd: c_int, addr: *const SockAddrIn, len: u32) -> c_int;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: c_int) {
    unsafe { kill(pid as c_int, signal) };
}

/// How a client's host receives.
#[derive(Clone, Copy, Default)]
pub struct Receiving {
    /// Size of the receive buffer in bytes; the default of the host if 0.
    pub buffer: c_int,
    /// Maximum segment size in bytes; that of the loopback device if 0.
    pub segment: c_int,
}

/// Sets how connections that a listener accepts from now on receive.
pub fn set_receiving(listener: &TcpListener, receiving: Receiving) -> io::Result<()> {
    set_options(listener.as_raw_fd(), receiving)
}

fn set_options(fd: c_int, receiving: Receiving) -> io::Result<()> {
    let options =
        [(SOL_SOCKET, SO_RCVBUF, receiving.buffer), (IPPROTO_TCP, TCP_MAXSEG, receiving.segment)];
    for (level, name, value) in options {
        if value > 0 {
            let value: *const c_int = &value;
            check(unsafe { setsockopt(fd, level, name, value.cast(), 4) })?;
        }
    }
    Ok(())
}

fn check(result: c_int) -> io::Result<c_int> {
    match result {
        -1 => Err(io::Error::last_os_error()),
        n => Ok(n),
    }
}

/// Connects with options that must be set before the connection is made.
pub fn connect_with(address: SocketAddrV4, receiving: Receiving) -> io::Result<TcpStream> {
    let ip: Ipv4Addr = *address.ip();
    let to = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        addr: u32::from_ne_bytes(ip.octets()),
        zero: [0; 8],
    };
    unsafe {
        let fd = check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?;
        let stream = TcpStream::from_raw_fd(fd);
        set_options(fd, receiving)?;
        check(connect(fd, &to, size_of::<SockAddrIn>() as u32))?;
        Ok(stream)
    }
}
