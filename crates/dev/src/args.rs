//! Arguments of `pumicevale-dev`.

use bpaf::Bpaf;

/// All of pumicevale in one process on loopback, with stand-ins, for a first look.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Send one request, print its answer and stop
    pub once: bool,
    /// Show the logs
    pub logs: bool,
}
