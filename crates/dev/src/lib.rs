//! The quick start: stand-ins, two nodes in two failure domains, the example
//! declarations of Parabaas, and one real request, all in one process on free
//! loopback ports.

pub mod args;
mod ask;
mod examples;
mod stack;

use std::time::Duration;

use anyhow::Context;
use cli::Remote;

pub use stack::Stack;

/// Longest wait until the configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(30);

/// Runs the program.
pub fn run(args: args::Args) -> anyhow::Result<()> {
    if args.logs {
        util::logs::start(&util::settings::Logs::default())?;
    }
    let runtime = tokio::runtime::Runtime::new().context("could not start the runtime")?;
    runtime.block_on(async {
        let stack = Stack::start().await?;
        println!("platform stand-in at {}", stack.store);
        let remote = Remote::new(&stack.store.to_string())?;
        let written = cli::cmd::write_all(&remote, stack.declarations.clone()).await?;
        let number = cli::cmd::wait(&remote, &written, IN_FORCE).await?;
        println!(
            "{} objects applied; manifest {number} is in force everywhere",
            written.len()
        );
        let entry = stack.ready().await?;
        println!("entry nodes at {}", stack.callers());
        ask::send(&entry).await?;
        if args.once {
            stack.stop().await;
            return Ok(());
        }
        println!(
            "\nIt stays up until Ctrl-C. Ask again with:\n\n{}\n",
            ask::curl(&entry)
        );
        util::stop::signal()
            .await
            .context("could not wait for signals")?;
        stack.stop().await;
        Ok(())
    })
}
