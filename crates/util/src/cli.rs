//! The frame of every `main`: run, print the chain of an error, set the exit code.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use serde::de::DeserializeOwned;

use crate::settings::{self, Check, Logs, SettingsError};

/// Exit code for settings or arguments that cannot be used.
pub const EXIT_USAGE: u8 = 2;

/// Turns a result into an exit code, printing the error's chain.
pub fn exit(result: anyhow::Result<()>) -> ExitCode {
    let Err(e) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("error: {e:#}");
    if e.downcast_ref::<SettingsError>().is_some() {
        ExitCode::from(EXIT_USAGE)
    } else {
        ExitCode::FAILURE
    }
}

/// The frame of a server program: settings, logs, runtime, then `main`. With
/// `check` it only says that the settings are valid. `workers` of 0 means one
/// for each core.
pub fn serve<S, F, R>(
    file: &Path,
    check: bool,
    workers: usize,
    logs: fn(&S) -> &Logs,
    main: F,
) -> anyhow::Result<()>
where
    S: DeserializeOwned + Check,
    F: FnOnce(S) -> R,
    R: Future<Output = anyhow::Result<()>>,
{
    let settings: S = settings::load(file)?;
    if check {
        println!("{}: settings are valid", file.display());
        return Ok(());
    }
    crate::logs::start(logs(&settings))?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if workers > 0 {
        builder.worker_threads(workers);
    }
    let runtime = builder.enable_all().build().context("could not start the runtime")?;
    runtime.block_on(main(settings))
}
