//! HTTP/1.1 client and server based on hyper.

mod client;
mod inflow;
mod parts;
mod server;
mod turns;

pub use client::{
    CallError, CallKind, Client, KEEPALIVE_INTERVAL, KEEPALIVE_RETRIES, Lines, TCP_USER_TIMEOUT,
    Timeouts, read_rmp_answer,
};
pub use inflow::{BoundedIo, Excess, Inflow};
pub use parts::{BodyParts, announced_size};
pub use server::{
    Body, Handler, Limits, Sender, Server, full, json, read_json, read_rmp, rmp, rmp_named, stream,
    text,
};

/// Media type of MessagePack bodies between the project's processes.
pub const RMP: &str = "application/msgpack";
