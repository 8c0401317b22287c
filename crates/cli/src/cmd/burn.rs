//! `pumicevale report burn`: burn rate of the deadline objective's error budget by pipeline and
//! workspace, over a short and a long window, and cost by stage. A burn rate of 1 consumes exactly
//! the whole budget over the objective's period.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use serde::Serialize;
use util::http::Client;

use crate::metrics::{self, Sample};

/// Arguments of `report burn`.
pub struct Burn {
    /// Caller addresses of entry nodes.
    pub entries: Vec<String>,
    /// Share of requests that must complete in time.
    pub objective: f64,
    /// Short window, seconds.
    pub short: u64,
    /// Long window, seconds.
    pub long: u64,
    /// Whether to print YAML.
    pub yaml: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct Window {
    requests: f64,
    timely: f64,
    burn: f64,
}

#[derive(Debug, Serialize)]
struct Row {
    pipeline: String,
    workspace: String,
    short: Window,
    long: Window,
}

#[derive(Debug, Serialize)]
struct Cost {
    pipeline: String,
    step: String,
    cost: f64,
    attempts: f64,
}

#[derive(Debug, Serialize)]
struct Document {
    objective: f64,
    short_seconds: u64,
    long_seconds: u64,
    burn: Vec<Row>,
    cost: Vec<Cost>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    all: f64,
    timely: f64,
}

type Counts = BTreeMap<(String, String), Count>;
type Costs = BTreeMap<(String, String), (f64, f64)>;

impl Burn {
    /// Samples the counters at the start, before the short window and at the end, and prints the
    /// report.
    pub async fn run(self) -> anyhow::Result<()> {
        anyhow::ensure!(
            self.objective > 0.0 && self.objective < 1.0,
            "--objective must lie between 0 and 1"
        );
        anyhow::ensure!(
            0 < self.short && self.short <= self.long,
            "--short must be 1 or more, and --long at least --short"
        );
        let client = Client::new(Duration::from_secs(2));
        let first = self.sample(&client).await?;
        tokio::time::sleep(Duration::from_secs(self.long - self.short)).await;
        let middle = self.sample(&client).await?;
        tokio::time::sleep(Duration::from_secs(self.short)).await;
        let last = self.sample(&client).await?;
        let document = self.document(&first, &middle, &last);
        if self.yaml {
            print!(
                "{}",
                serde_saphyr::to_string(&document)
                    .context("could not encode the report as YAML")?
            );
        } else {
            print_table(&document);
        }
        Ok(())
    }

    async fn sample(&self, client: &Client) -> anyhow::Result<Vec<Sample>> {
        let mut all = Vec::new();
        for e in &self.entries {
            all.extend(metrics::read(client, e).await?);
        }
        Ok(all)
    }

    fn document(&self, first: &[Sample], middle: &[Sample], last: &[Sample]) -> Document {
        let (a, b, c) = (counts(first), counts(middle), counts(last));
        let burn = c
            .iter()
            .map(|(key, end)| Row {
                pipeline: key.0.clone(),
                workspace: key.1.clone(),
                short: self.window(b.get(key), end),
                long: self.window(a.get(key), end),
            })
            .collect();
        let before = costs(first);
        let cost = costs(last)
            .into_iter()
            .map(|(key, (cost, attempts))| {
                let (c0, a0) = before.get(&key).copied().unwrap_or_default();
                let (pipeline, step) = key;
                Cost { pipeline, step, cost: cost - c0, attempts: attempts - a0 }
            })
            .collect();
        Document {
            objective: self.objective,
            short_seconds: self.short,
            long_seconds: self.long,
            burn,
            cost,
        }
    }

    fn window(&self, begin: Option<&Count>, end: &Count) -> Window {
        let begin = begin.copied().unwrap_or_default();
        let requests = end.all - begin.all;
        if requests <= 0.0 {
            return Window::default();
        }
        let timely = (end.timely - begin.timely) / requests;
        Window { requests, timely, burn: (1.0 - timely) / (1.0 - self.objective) }
    }
}

fn label(s: &Sample, name: &str) -> String {
    s.labels.get(name).cloned().unwrap_or_default()
}

fn counts(samples: &[Sample]) -> Counts {
    let mut out = Counts::new();
    for s in samples.iter().filter(|s| s.metric == "pumicevale_requests_total") {
        let count = out.entry((label(s, "pipeline"), label(s, "workspace"))).or_default();
        count.all += s.value;
        if label(s, "timely") == "true" {
            count.timely += s.value;
        }
    }
    out
}

fn costs(samples: &[Sample]) -> Costs {
    let mut out = Costs::new();
    for s in samples {
        let entry = (label(s, "pipeline"), label(s, "step"));
        match s.metric.as_str() {
            "pumicevale_step_cost_total" => out.entry(entry).or_default().0 += s.value,
            "pumicevale_step_attempts_total" => out.entry(entry).or_default().1 += s.value,
            _ => {}
        }
    }
    out
}

fn print_table(d: &Document) {
    println!("objective {:.1} % complete in time", d.objective * 100.0);
    println!(
        "{:<18} {:<18} {:>8} {:>8} {:>6} {:>8} {:>8} {:>6}",
        "pipeline", "workspace", "short", "timely", "burn", "long", "timely", "burn"
    );
    for r in &d.burn {
        println!(
            "{:<18} {:<18} {:>8} {:>7.1}% {:>6.2} {:>8} {:>7.1}% {:>6.2}",
            r.pipeline,
            r.workspace,
            r.short.requests,
            r.short.timely * 100.0,
            r.short.burn,
            r.long.requests,
            r.long.timely * 100.0,
            r.long.burn
        );
    }
    println!("{:<18} {:<18} {:>12} {:>10}", "pipeline", "step", "cost", "attempts");
    for c in &d.cost {
        println!("{:<18} {:<18} {:>12.6} {:>10}", c.pipeline, c.step, c.cost, c.attempts);
    }
}
