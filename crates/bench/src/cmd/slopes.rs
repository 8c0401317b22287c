//! `pumicevale-bench slopes`: prints the cost figures on which docs/CAPACITY.md is based.

use crate::slopes::{DOMAIN_SIZE, Figure, measure, measure_detection, measure_fleets};

/// Share of datagrams lost in the failure-detection run.
const LOSS_RATE: f64 = 0.01;
/// Nodes killed one after another in the failure-detection run.
const KILLS: usize = 20;

/// Arguments of the subcommand.
pub struct Slopes {
    /// Only counted figures, which are the same on every run and machine.
    pub counted: bool,
    /// Only figures of whole fleets.
    pub fleet: bool,
    /// Simulated hours of the failure-detection run without a crash.
    pub hours: f64,
}

impl Slopes {
    /// Measures and prints one table row per figure.
    pub fn run(self) -> anyhow::Result<()> {
        let figures = if self.fleet { measure_fleets() } else { measure(self.counted) };
        let mut names: Vec<&str> = Vec::new();
        for f in &figures {
            if !names.contains(&f.name.as_str()) {
                names.push(&f.name);
            }
        }
        for name in names {
            println!("{}", table_row(name, &figures));
        }
        if !self.counted && !self.fleet {
            let d = measure_detection(DOMAIN_SIZE, LOSS_RATE, self.hours, KILLS);
            println!(
                "| {DOMAIN_SIZE} nodes, {:.0} % loss, {} h: false deaths | {} |",
                LOSS_RATE * 100.0,
                d.hours,
                d.false_deaths
            );
            println!(
                "| {} kills: seconds until the first, the median, the last node knew | {:.1}, {:.1}, {:.1} |",
                d.killed, d.first, d.median, d.worst
            );
        }
        Ok(())
    }
}

fn table_row(name: &str, figures: &[Figure]) -> String {
    let matching = figures.iter().filter(|f| f.name == name);
    let values: Vec<String> = matching.map(|f| format!("{}: {:.4}", f.size, f.value)).collect();
    format!("| {name} | {} |", values.join(" · "))
}
