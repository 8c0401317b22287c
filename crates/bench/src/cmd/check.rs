//! `pumicevale-bench check`: counted figures against committed bounds.

use std::path::PathBuf;

use anyhow::Context;
use serde::{Deserialize, Serialize};

use crate::slopes::{Figure, measure};

/// A figure must not exceed this.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Figure.
    pub name: String,
    /// Size.
    pub size: usize,
    /// Most.
    pub most: f64,
}

/// Compares with bounds.
pub struct Check {
    /// Bounds.
    pub bounds: PathBuf,
}

impl Check {
    /// Fails where a figure passes its bound, or was not measured.
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

/// One line for each bound that does not hold.
pub fn find_violations(bounds: &[Bound], figures: &[Figure]) -> Vec<String> {
    let mut violations = Vec::new();
    for b in bounds {
        match figures.iter().find(|f| f.name == b.name && f.size == b.size) {
            None => violations.push(format!("{} at {}: not measured", b.name, b.size)),
            Some(f) if f.value > b.most => {
                violations
                    .push(format!("{} at {}: {:.4}, at most {}", b.name, b.size, f.value, b.most));
            }
            Some(_) => {}
        }
    }
    violations
}
