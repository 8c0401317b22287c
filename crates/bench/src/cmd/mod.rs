//! Subcommands, one module each.

mod check;
mod compare;
mod in_force;
mod overhead;
mod run;
mod slopes;
mod streams;

use anyhow::Context;

use crate::args::Args;

pub use check::{Bound, find_violations};

/// Runs the subcommand on a new Tokio runtime.
pub fn run(args: Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new().context("could not start the runtime")?;
    match args {
        Args::Run { out, plan } => runtime.block_on(run::Run { out, plan }.run()),
        Args::Compare { a, b } => compare::Compare { a, b }.run(),
        Args::Slopes { counted, fleet, hours } => slopes::Slopes { counted, fleet, hours }.run(),
        Args::Overhead { requests } => runtime.block_on(overhead::Overhead { requests }.run()),
        Args::InForce { store, changes } => {
            runtime.block_on(in_force::InForce { store, changes }.run())
        }
        Args::Streams { entry, pid, count, pipeline, workspace } => {
            runtime.block_on(streams::Streams { entry, pid, count, pipeline, workspace }.run())
        }
        Args::Check { bounds } => check::Check { bounds }.run(),
    }
}
