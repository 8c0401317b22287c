//! The frame of every `main`: run, print the chain of an error, set the exit code.

use std::process::ExitCode;

use crate::settings::SettingsError;

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
