//! Subcommands, one module each.

mod apply;
mod burn;
mod diff;
mod drain;
mod explain;
mod get;
mod validate;
mod watch;

use anyhow::Context;

use crate::args::{Args, Report};

pub use apply::{Apply, Written, wait_in_force, write_all};
pub use burn::Burn;

/// Runs the subcommand on a runtime of its own.
pub fn run(args: Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not start the runtime")?;
    runtime.block_on(async {
        match args {
            Args::Validate { files } => validate::Validate { files }.run(),
            Args::Apply { files, store, wait, timeout } => {
                Apply { files, store, wait, timeout }.run().await
            }
            Args::Diff { files, store } => diff::Diff { files, store }.run().await,
            Args::Get { store, kind, name } => get::Get { store, kind, name }.run().await,
            Args::Watch { store, seconds } => watch::Watch { store, seconds }.run().await,
            Args::Drain { store, undo, reason, host } => {
                drain::DrainHost { store, undo, reason, host }.run().await
            }
            Args::Explain { id, files } => explain::Explain { id, files }.run(),
            Args::Report(Report::Burn { entries, objective, short, long, yaml }) => {
                Burn { entries, objective, short, long, yaml }.run().await
            }
        }
    })
}
