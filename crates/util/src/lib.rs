//! Infrastructure shared by all programs: settings files, logging, the clock, shutdown, and an HTTP
//! server and client.

pub mod cli;
pub mod clock;
pub mod http;
pub mod logs;
pub mod settings;
pub mod stop;
