//! Settings files in YAML; errors report file, line and column.

use std::path::{Path, PathBuf};

use serde::{Deserialize, de::DeserializeOwned};

/// Error of loading a settings file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// {path}: could not read: {error}
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// {path}:{line}:{column}: {error}
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line, starting at 1.
        line: u64,
        /// Column, starting at 1.
        column: u64,
        /// Message of the parser.
        error: String,
    },
    /// {path}: {field}: {error}
    Value {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        field: String,
        /// What is wrong and what would be right.
        error: String,
    },
}

/// Value that is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadValue {
    /// Path of the field.
    pub field: String,
    /// What is wrong and what would be right.
    pub error: String,
}

impl BadValue {
    /// Creates the error of a field.
    pub fn new(field: impl Into<String>, error: impl Into<String>) -> Self {
        BadValue { field: field.into(), error: error.into() }
    }
}

/// Settings that can validate their values.
pub trait Check {
    /// Returns the first invalid value as an error.
    fn check(&self) -> Result<(), BadValue>;
}

/// Logging settings, the same in all settings files.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Maximum level: error, warn, info, debug or trace.
    pub level: log::LevelFilter,
    /// Whether to log one JSON object per line instead of plain text.
    pub json: bool,
}

impl Default for Logs {
    fn default() -> Self {
        Logs { level: log::LevelFilter::Info, json: false }
    }
}

/// Parses `text`; an error reports its position.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    serde_saphyr::from_str(text).map_err(|e| syntax_error(path, 0, &e))
}

/// Converts an error of the parser, adding `skipped` to its line number.
pub fn syntax_error(path: &Path, skipped: u64, e: &serde_saphyr::Error) -> SettingsError {
    let at = e.location();
    let full_message = e.to_string();
    let error = full_message.lines().next().unwrap_or_default();
    SettingsError::Syntax {
        path: path.into(),
        line: at.map_or(0, |l| l.line()) + skipped,
        column: at.map_or(0, |l| l.column()),
        error: error.trim_start_matches("error: ").to_string(),
    }
}

/// Reads and validates a settings file.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Read { path: path.into(), error })?;
    let settings: T = parse(path, &text)?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(BadValue { field, error }) => {
            Err(SettingsError::Value { path: path.into(), field, error })
        }
    }
}
