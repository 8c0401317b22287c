//! What every program needs and nothing decides on: settings files, logs, the
//! clock, an HTTP server and an HTTP client.

pub mod cli;
pub mod clock;
pub mod http;
pub mod logs;
pub mod settings;
pub mod stop;
