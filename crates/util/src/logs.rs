//! Logging by log4rs to standard error or standard output. Each message starts with the fixed
//! prefix of its component, such as `claim:` or `lease:`, or is one JSON object;
//! docs/OPERATIONS.md lists them.

use anyhow::Context;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::{Encode, json::JsonEncoder, pattern::PatternEncoder};

use crate::settings::Logs;

/// Installs the logger on standard error; call once.
pub fn start(logs: &Logs) -> anyhow::Result<()> {
    start_on(logs, Target::Stderr)
}

/// Installs the logger on standard output; call once.
pub fn start_on_stdout(logs: &Logs) -> anyhow::Result<()> {
    start_on(logs, Target::Stdout)
}

fn start_on(logs: &Logs, target: Target) -> anyhow::Result<()> {
    let encoder: Box<dyn Encode> = if logs.json {
        Box::new(JsonEncoder::new())
    } else {
        Box::new(PatternEncoder::new("{d(%Y-%m-%dT%H:%M:%S%.3f)} {l:<5} {m}{n}"))
    };
    let console = ConsoleAppender::builder().target(target).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(logs.level))
        .context("could not build the log configuration")?;
    log4rs::init_config(config).context("could not install the logger")?;
    Ok(())
}
