//! `pumicevale-bench run`: every cell of a plan, every policy, some repetitions.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;

use crate::experiment::{Plan, Row, plot, run_cell, summary};

/// Runs a plan.
pub struct Run {
    /// Folder for the results.
    pub out: PathBuf,
    /// Plan.
    pub plan: PathBuf,
}

impl Run {
    /// Runs all cells; rows are written after each, so that a cut run keeps its own.
    pub async fn run(self) -> anyhow::Result<()> {
        let plan: Plan = util::settings::load(&self.plan)?;
        std::fs::create_dir_all(&self.out)
            .with_context(|| format!("could not make {}", self.out.display()))?;
        let cells = plan.cells();
        let total = cells.len() * plan.policies.len() * plan.repetitions;
        let mut rows: Vec<Row> = Vec::new();
        for cell in cells {
            let rate = crate::experiment::calibrate(&plan, &cell).await?;
            for repetition in 0..plan.repetitions {
                for policy in &plan.policies {
                    let row = run_cell(&plan, &cell, policy, repetition, rate).await?;
                    eprint!("\r{} of {total}  {}  {}        ", rows.len() + 1, cell, policy.name);
                    std::io::stderr().flush()?;
                    rows.push(row);
                    self.write(&rows)?;
                }
            }
        }
        eprintln!();
        let text = summary(&rows);
        println!("{text}");
        std::fs::write(self.out.join("summary.md"), text).context("could not write")?;
        plot(&rows, &self.out)?;
        Ok(())
    }

    fn write(&self, rows: &[Row]) -> anyhow::Result<()> {
        let text = serde_saphyr::to_string(&rows).context("could not print rows")?;
        let file = self.out.join("rows.yaml");
        std::fs::write(&file, text).with_context(|| format!("could not write {}", file.display()))
    }
}
