//! Reads counters from the metrics of entry nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use util::http::Client;

/// Label values of a sample by label name.
pub type Labels = BTreeMap<String, String>;

/// One counter sample.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Metric name.
    pub metric: String,
    /// Labels by name.
    pub labels: Labels,
    /// Counter value.
    pub value: f64,
}

/// Reads all samples of the node at `address`.
pub async fn read(client: &Client, address: &str) -> anyhow::Result<Vec<Sample>> {
    let text = client
        .text(address, "/metrics", Duration::from_secs(3))
        .await
        .with_context(|| format!("could not read the metrics of {address}"))?;
    Ok(text.lines().filter_map(parse).collect())
}

fn parse(line: &str) -> Option<Sample> {
    if line.starts_with('#') {
        return None;
    }
    let (head, value) = line.rsplit_once(' ')?;
    let (metric, labels) = match head.split_once('{') {
        Some((m, rest)) => (m, parse_labels(rest.strip_suffix('}')?)),
        None => (head, Labels::new()),
    };
    Some(Sample { metric: metric.into(), labels, value: value.parse().ok()? })
}

/// Label values of pumicevale's metrics are plain names and need no unescaping.
fn parse_labels(text: &str) -> Labels {
    let pairs = text.split(',').filter_map(|p| p.split_once('='));
    pairs.map(|(k, v)| (k.into(), v.trim_matches('"').into())).collect()
}
