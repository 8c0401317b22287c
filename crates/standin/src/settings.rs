//! Settings of the stand-in program.

use serde::Deserialize;
use util::settings::{BadValue, Check, Logs};

use crate::target::TargetSpec;

/// Settings file of `pumicevale-standin`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Listen address of the Object API and the host list, if they run in this process.
    #[serde(default)]
    pub api: Option<String>,
    /// Targets that run in this process.
    #[serde(default)]
    pub targets: Vec<TargetSpec>,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

impl Check for Settings {
    fn check(&self) -> Result<(), BadValue> {
        if self.api.is_none() && self.targets.is_empty() {
            return Err(BadValue::new("targets", "name an `api` address, or at least one target"));
        }
        for (i, t) in self.targets.iter().enumerate() {
            if t.width == 0 {
                return Err(BadValue::new(format!("targets[{i}].width"), "must be 1 or more"));
            }
            if !(t.engine.step > 0.0 && t.engine.batch > 0 && t.engine.prefill > 0) {
                let field = format!("targets[{i}].engine");
                return Err(BadValue::new(field, "step, batch and prefill must be more than 0"));
            }
        }
        Ok(())
    }
}
