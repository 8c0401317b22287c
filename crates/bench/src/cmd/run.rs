//! `pumicevale-bench run`: runs every cell of a plan under every policy, with repetitions.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;

use crate::experiment::{Plan, Row, plot, run_cell, summary};

/// Arguments of the subcommand.
pub struct Run {
    /// Output directory.
    pub out: PathBuf,
    /// Plan file, YAML.
    pub plan: PathBuf,
}

impl Run {
    /// Runs all cells. The rows are written after each run, so that an interrupted plan keeps its
    /// results so far.
    pub async fn run(self) -> anyhow::Result<()> {
        let plan: Plan = util::settings::load(&self.plan)?;
        std::fs::create_dir_all(&self.out)
            .with_context(|| format!("could not create directory {}", self.out.display()))?;
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
        std::fs::write(self.out.join("summary.md"), text).context("could not write summary.md")?;
        plot(&rows, &self.out)?;
        Ok(())
    }

    fn write(&self, rows: &[Row]) -> anyhow::Result<()> {
        let text = serde_saphyr::to_string(&rows).context("could not serialize the rows")?;
        let file = self.out.join("rows.yaml");
        std::fs::write(&file, text).with_context(|| format!("could not write {}", file.display()))
    }
}
