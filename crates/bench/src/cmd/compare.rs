//! `pumicevale-bench compare`: prints the summaries of two runs of one plan.

use std::path::{Path, PathBuf};

use anyhow::Context;

use crate::experiment::{Row, summary};

/// Arguments of the subcommand.
pub struct Compare {
    /// `rows.yaml` of the first run.
    pub a: PathBuf,
    /// `rows.yaml` of the second run.
    pub b: PathBuf,
}

impl Compare {
    /// Fails if the rows belong to different plans, whose results are not comparable.
    pub fn run(self) -> anyhow::Result<()> {
        let (a, b) = (read_rows(&self.a)?, read_rows(&self.b)?);
        let plans: std::collections::BTreeSet<&str> =
            a.iter().chain(&b).map(|r| r.plan.as_str()).collect();
        anyhow::ensure!(plans.len() <= 1, "the rows belong to different plans: {plans:?}");
        println!(
            "{}\n\n{}\n\n{}\n\n{}",
            self.a.display(),
            summary(&a),
            self.b.display(),
            summary(&b)
        );
        Ok(())
    }
}

fn read_rows(path: &Path) -> anyhow::Result<Vec<Row>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {}", path.display()))?;
    Ok(util::settings::parse(path, &text)?)
}
