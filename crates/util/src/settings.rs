//! Settings files: YAML, read whole and refused with file, line and column.

use std::path::{Path, PathBuf};

use serde::{Deserialize, de::DeserializeOwned};

/// Why a file was refused.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// {path}: could not read: {error}
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// {path}:{line}:{column}: {error}
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: u64,
        /// Column, from 1.
        column: u64,
        /// What is wrong.
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

/// A value that is out of its range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadValue {
    /// Path of the field.
    pub field: String,
    /// What is wrong and what would be right.
    pub error: String,
}

impl BadValue {
    /// Names a field and what is wrong with it.
    pub fn new(field: impl Into<String>, error: impl Into<String>) -> Self {
        BadValue { field: field.into(), error: error.into() }
    }
}

/// Settings that can check their own values.
pub trait Check {
    /// The first value that is wrong.
    fn check(&self) -> Result<(), BadValue>;
}

/// Logging, the same in every settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// error, warn, info, debug or trace.
    pub level: log::LevelFilter,
    /// One JSON object a line in place of plain text.
    pub json: bool,
}

impl Default for Logs {
    fn default() -> Self {
        Logs { level: log::LevelFilter::Info, json: false }
    }
}

/// Parses `text` and keeps the place of an error.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    serde_saphyr::from_str(text).map_err(|e| syntax_error(path, 0, &e))
}

/// An error of the parser, moved down by `skipped` lines.
pub fn syntax_error(path: &Path, skipped: u64, e: &serde_saphyr::Error) -> SettingsError {
    let at = e.location();
    let whole = e.to_string();
    let error = whole.lines().next().unwrap_or_default();
    SettingsError::Syntax {
        path: path.into(),
        line: at.map_or(0, |l| l.line()) + skipped,
        column: at.map_or(0, |l| l.column()),
        error: error.trim_start_matches("error: ").to_string(),
    }
}

/// Reads and checks a settings file.
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
