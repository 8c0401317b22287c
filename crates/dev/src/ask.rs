//! Sends one request to an entry node and prints the answer as it streams in.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header};
use model::answer::ChunkEvent;
use model::outcome::{Outcome, RequestReport};
use util::http::{Client, Lines};

use crate::examples::REQUEST;

/// Workspace of the request.
const WORKSPACE: &str = "ward-councillors";
/// Deadline that the example declares for the workspace, in milliseconds.
const DEADLINE_MS: f64 = 4000.0;

/// A `curl` command that sends the same request.
pub fn curl(entry: &SocketAddr) -> String {
    let compact: serde_json::Value = serde_json::from_str(REQUEST).expect("the example is JSON");
    let body = compact.to_string().replace('\'', "'\\''");
    format!(
        "curl -N http://{entry}/v1/pipelines/minutes -H 'pumicevale-workspace: {WORKSPACE}' \
         -H 'accept: text/event-stream' -d '{body}'"
    )
}

/// Sends the request, prints the answer, and the time and cost of each step; an error unless the
/// request completes.
pub async fn send(entry: &SocketAddr) -> anyhow::Result<()> {
    let peer = entry.to_string();
    let request = Request::post(format!("http://{peer}/v1/pipelines/minutes"))
        .header("pumicevale-workspace", WORKSPACE)
        .header(header::ACCEPT, "text/event-stream")
        .body(Full::new(Bytes::from_static(REQUEST.as_bytes())))
        .context("could not build the request")?;
    let client = Client::new(Duration::from_secs(1));
    let response = client.send(&peer, request).await?;
    anyhow::ensure!(
        response.status().is_success(),
        "the request was answered with {}",
        response.status()
    );
    println!("\nsummary of the committee's minutes:\n");
    let mut lines = Lines::new(&peer, response);
    let mut event = String::new();
    while let Some(line) = lines.next().await? {
        let line = String::from_utf8(line).context("the answer is not UTF-8")?;
        if let Some(name) = line.strip_prefix("event: ") {
            event = name.into();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if event == "chunk" {
            let chunk: ChunkEvent = serde_json::from_str(data)?;
            print!("{}", chunk.text);
            std::io::stdout().flush()?;
        } else {
            return report(serde_json::from_str(data)?);
        }
    }
    anyhow::bail!("the answer ended without its final event")
}

fn report(report: RequestReport) -> anyhow::Result<()> {
    println!("\n\n{:<10} {:<14} {:>9} {:>9} {:>12}", "step", "target", "attempts", "ms", "cost");
    for s in &report.steps {
        println!(
            "{:<10} {:<14} {:>9} {:>9.1} {:>12.7}",
            s.step, s.target, s.attempts, s.millis, s.cost
        );
    }
    let millis: f64 = report.steps.iter().map(|s| s.millis).sum();
    let cost: f64 = report.steps.iter().map(|s| s.cost).sum();
    println!("{:<10} {:<14} {:>9} {millis:>9.1} {cost:>12.7}", "all", "", "");
    println!("deadline {DEADLINE_MS} ms: {}", if report.timely { "met" } else { "missed" });
    anyhow::ensure!(
        report.outcome == Outcome::Complete,
        "the request ended as {}",
        report.outcome.as_str()
    );
    Ok(())
}
