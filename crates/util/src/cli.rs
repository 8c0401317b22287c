//! Common parts of all `main` functions: startup, error output and exit codes.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use serde::de::DeserializeOwned;

use crate::settings::{self, Check, Logs, SettingsError};

/// Exit code for invalid settings or arguments.
pub const EXIT_USAGE: u8 = 2;

/// Converts a result to an exit code and prints the error with its causes.
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

/// Runs a server program: loads the settings, starts logging and the runtime, then runs `main`.
/// With `check` it only validates the settings. With 0 `workers` the runtime has one per core.
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
