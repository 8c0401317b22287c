//! Arguments of `pumicevale-dev`.

use bpaf::Bpaf;

/// Quick start: all of pumicevale in one process on loopback, with stand-ins.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Send one request, print its answer and exit
    pub once: bool,
    /// Print the logs
    pub logs: bool,
}
