//! Result rows and their summary, which gives the median and range of the repetitions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Result of one run of a cell under one policy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// Id of the plan: its name and hash.
    pub plan: String,
    /// Values of the cell.
    pub cell: String,
    /// Label of the policy.
    pub policy: String,
    /// Number of the repetition, from 0.
    pub repetition: usize,
    /// Arrivals per second, without stock checks.
    pub rate: f64,
    /// Measured requests of the cell's main kind, which is stock checks in the stock mix and chat
    /// requests otherwise.
    pub offered: usize,
    /// Requests that completed.
    pub complete: usize,
    /// Requests that completed within the deadline.
    pub timely: usize,
    /// Requests of which truly no step was sent to any target.
    pub not_run: usize,
    /// Timely requests per second.
    pub goodput: f64,
    /// Timely requests as a share of those offered.
    pub share: f64,
    /// Share of prompt tokens found cached.
    pub cached: f64,
    /// Cost of all measured requests per complete request.
    pub cost: f64,
    /// Cost of each step, summed over all measured requests.
    pub steps: BTreeMap<String, f64>,
    /// Calls to engines and encoders per offered step, at two steps per request.
    pub attempts: f64,
    /// Median latency of complete requests, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the same, in milliseconds.
    pub p99: f64,
    /// 99th percentile of complete stock checks, in milliseconds.
    pub stock99: f64,
}

#[derive(Debug, Clone, Copy)]
struct Range {
    low: f64,
    median: f64,
    high: f64,
}

fn range(mut values: Vec<f64>) -> Range {
    values.sort_by(f64::total_cmp);
    let at = |i: usize| values.get(i).copied().unwrap_or(0.0);
    Range { low: at(0), median: at(values.len() / 2), high: at(values.len().max(1) - 1) }
}

/// Markdown table for each cell. The policy with the highest median goodput is marked as best, and
/// those whose range reaches into its range as tied.
pub fn summary(rows: &[Row]) -> String {
    let mut cells: Vec<&str> = Vec::new();
    for r in rows {
        if !cells.contains(&r.cell.as_str()) {
            cells.push(&r.cell);
        }
    }
    let mut out = String::new();
    for cell in cells {
        out.push_str(&cell_table(cell, rows));
    }
    out
}

fn cell_table(cell: &str, rows: &[Row]) -> String {
    let cell_rows: Vec<&Row> = rows.iter().filter(|r| r.cell == cell).collect();
    let mut names: Vec<&str> = Vec::new();
    for r in &cell_rows {
        if !names.contains(&r.policy.as_str()) {
            names.push(&r.policy);
        }
    }
    let range_of = |name: &str, f: fn(&Row) -> f64| {
        range(cell_rows.iter().filter(|r| r.policy == name).map(|r| f(r)).collect())
    };
    let best = names
        .iter()
        .map(|n| range_of(n, |r| r.goodput))
        .max_by(|a, b| a.median.total_cmp(&b.median));
    let rate = cell_rows.first().map_or(0.0, |r| r.rate);
    let mut out = format!(
        "### {cell} ({rate:.0} requests/s offered)\n\n\
         | policy | goodput /s (range) | | in time | cached | cost | attempts | p50 ms | p99 ms | stock p99 |\n\
         |---|---|---|---|---|---|---|---|---|---|\n"
    );
    for n in names {
        let g = range_of(n, |r| r.goodput);
        let mark = match best {
            Some(b) if g.median == b.median => "best",
            Some(b) if g.high >= b.low => "tied",
            _ => "",
        };
        let median = |f: fn(&Row) -> f64| range_of(n, f).median;
        out.push_str(&format!(
            "| {n} | {:.1} ({:.1}–{:.1}) | {mark} | {:.1} % | {:.1} % | {:.4} | {:.2} | {:.0} | {:.0} | {:.1} |\n",
            g.median,
            g.low,
            g.high,
            median(|r| r.share) * 100.0,
            median(|r| r.cached) * 100.0,
            median(|r| r.cost),
            median(|r| r.attempts),
            median(|r| r.p50),
            median(|r| r.p99),
            median(|r| r.stock99),
        ));
    }
    out.push('\n');
    out
}
