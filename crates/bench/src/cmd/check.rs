//! `pumicevale-bench check`: compares the counted figures with the committed bounds.

use std::path::PathBuf;

use anyhow::Context;
use serde::{Deserialize, Serialize};

use crate::slopes::{Figure, measure};

/// Upper bound of a counted figure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the figure.
    pub name: String,
    /// Size at which the figure is measured.
    pub size: usize,
    /// Largest allowed value, inclusive.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Arguments of the subcommand.
pub struct Check {
    /// Bounds file, YAML.
    pub bounds: PathBuf,
}

impl Check {
    /// Fails if a figure exceeds its bound or was not measured.
    pub fn run(self) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&self.bounds)
            .with_context(|| format!("could not read {}", self.bounds.display()))?;
        let bounds: Vec<Bound> = util::settings::parse(&self.bounds, &text)?;
        let violations = find_violations(&bounds, &measure(true));
        anyhow::ensure!(violations.is_empty(), "{}", violations.join("\n"));
        println!("{} bounds hold", bounds.len());
        Ok(())
    }
}

/// One line per bound that is exceeded or whose figure was not measured.
pub fn find_violations(bounds: &[Bound], figures: &[Figure]) -> Vec<String> {
    let mut violations = Vec::new();
    for b in bounds {
        match figures.iter().find(|f| f.name == b.name && f.size == b.size) {
            None => violations.push(format!("{} at {}: not measured", b.name, b.size)),
            Some(f) if f.value > b.max => {
                violations
                    .push(format!("{} at {}: {:.4}, at most {}", b.name, b.size, f.value, b.max));
            }
            Some(_) => {}
        }
    }
    violations
}
