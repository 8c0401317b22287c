//! The quick start: stand-ins, two nodes in two failure domains, the Parabaas example declarations
//! and one request, all in one process on free loopback ports.

pub mod args;
mod ask;
mod examples;
mod stack;

use anyhow::Context;

pub use stack::{Options, Stack};

/// Failure domains that get a node.
const DOMAINS: [&str; 2] = ["hall-a", "hall-b"];

/// Starts the stack, sends the example request, and runs until a signal unless `once` is set.
pub fn run(args: args::Args) -> anyhow::Result<()> {
    if args.logs {
        util::logs::start(&util::settings::Logs::default())?;
    }
    let runtime = tokio::runtime::Runtime::new().context("could not start the runtime")?;
    runtime.block_on(async {
        let options = Options::new(examples::parabaas()?, &DOMAINS).with_models(&["para-notes@v1"]);
        let stack = Stack::start(options).await?;
        println!("platform stand-in at {}", stack.store);
        let number = stack.apply().await?;
        println!("examples/parabaas applied; manifest {number} is in force everywhere");
        let callers = stack.callers();
        println!("entry nodes at {callers:?}");
        let entry = callers.first().copied().context("no entry node was started")?;
        ask::send(&entry).await?;
        if args.once {
            stack.stop().await;
            return Ok(());
        }
        println!("\nRunning until Ctrl-C. Send the request again with:\n\n{}\n", ask::curl(&entry));
        util::stop::signal().await.context("could not wait for signals")?;
        stack.stop().await;
        Ok(())
    })
}
