//! Runs a cell of a plan under one policy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use model::answer::Answer;
use model::outcome::{Outcome, RequestReport};
use tokio::time::Instant;
use util::http::Client;

use super::fleet::Fleet;
use super::plan::{Cell, Fault, Mix, Plan, PolicyPlan};
use super::rows::Row;
use super::work::{Arrival, Sessions, arrivals};

/// Seconds in which a calibration counts completed requests.
const CALIBRATION_SECONDS: f64 = 2.5;

/// Result of one request.
#[derive(Debug, Clone)]
struct RequestResult {
    /// Sent after the warmup.
    counted: bool,
    /// Sent to the stock-check pipeline.
    stock: bool,
    /// `None` if there was no readable answer.
    outcome: Option<Outcome>,
    timely: bool,
    latency_ms: f64,
    /// Step and its cost.
    costs: Vec<(String, f64)>,
    attempts: u64,
}

/// Arrival rate of a cell, in requests per second: the cell's load times the throughput of the
/// engines in a closed loop under bounded session-hash routing. Zero for stock checks alone, which
/// arrive at a fixed rate.
pub async fn calibrate(plan: &Plan, cell: &Cell) -> anyhow::Result<f64> {
    if cell.mix == Mix::Stock {
        return Ok(0.0);
    }
    let policy = PolicyPlan {
        name: "calibration".into(),
        routing: decide::route::PolicyKind::SessionHashBound,
        admission: false,
        hedging: false,
    };
    let cell = Cell { fault: Fault::None, ..*cell };
    let fleet = Fleet::start(plan, &cell, &policy).await?;
    let completed = Arc::new(AtomicU64::new(0));
    let stopped = Arc::new(AtomicBool::new(false));
    let measuring = Arc::new(AtomicBool::new(false));
    let client = Client::new(Duration::from_secs(2));
    let addresses = fleet.caller_addresses();
    let mut tasks = Vec::new();
    for i in 0..plan.engines * plan.engine.batch {
        let sessions = Sessions::new(plan, &cell);
        let (completed, stopped, measuring) =
            (completed.clone(), stopped.clone(), measuring.clone());
        let (client, address, words) = (client.clone(), addresses[i % addresses.len()], plan.words);
        tasks.push(tokio::spawn(async move {
            let mut rng = decide::rng::Rng::new(i as u64 + 99);
            while !stopped.load(Ordering::Relaxed) {
                let (session, body) = sessions.turn(&mut rng, words);
                let at = Duration::ZERO;
                let arrival = Arrival { at, pipeline: "chat", workspace: "patient", session, body };
                let result = send(&client, address, &arrival).await;
                let is_complete = result.outcome == Some(Outcome::Complete);
                if is_complete && measuring.load(Ordering::Relaxed) {
                    completed.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    tokio::time::sleep(Duration::from_secs_f64(plan.warmup)).await;
    measuring.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs_f64(CALIBRATION_SECONDS)).await;
    let count = completed.load(Ordering::Relaxed);
    stopped.store(true, Ordering::Relaxed);
    for t in tasks {
        t.abort();
    }
    fleet.stop().await;
    Ok(count as f64 / CALIBRATION_SECONDS * cell.load)
}

/// Runs a cell once. Fails only if the system cannot be started.
pub async fn run_cell(
    plan: &Plan,
    cell: &Cell,
    policy: &PolicyPlan,
    repetition: usize,
    rate: f64,
) -> anyhow::Result<Row> {
    let fleet = Fleet::start(plan, cell, policy).await?;
    let schedule = arrivals(plan, cell, repetition, rate);
    let offered = schedule.len();
    let started = Instant::now();
    let work = send_arrivals(plan, &fleet, schedule, started);
    let fault_offset = Duration::from_secs_f64(plan.warmup + plan.seconds / 3.0);
    let faults = async {
        tokio::time::sleep_until(started + fault_offset).await;
        fleet.inject_fault(cell.fault);
        std::future::pending::<()>().await;
    };
    let results = tokio::select! {
        results = work => results,
        () = fleet.forward_reports(cell) => Vec::new(),
        () = faults => Vec::new(),
    };
    let (prompt, cached) = fleet.cache_tokens().await;
    let calls = fleet.target_calls();
    fleet.stop().await;
    Ok(make_row(
        plan,
        cell,
        policy,
        repetition,
        rate,
        offered,
        calls,
        cached_share(prompt, cached),
        results,
    ))
}

fn cached_share(prompt: u64, cached: u64) -> f64 {
    if prompt == 0 { 0.0 } else { cached as f64 / prompt as f64 }
}

/// Sends each request at its arrival time (open loop), however long the earlier ones take.
async fn send_arrivals(
    plan: &Plan,
    fleet: &Fleet,
    schedule: Vec<Arrival>,
    started: Instant,
) -> Vec<RequestResult> {
    let addresses = fleet.caller_addresses();
    let client = Client::new(Duration::from_secs(2));
    let warmup = Duration::from_secs_f64(plan.warmup);
    let mut tasks = Vec::new();
    for (i, arrival) in schedule.into_iter().enumerate() {
        tokio::time::sleep_until(started + arrival.at).await;
        let (client, address) = (client.clone(), addresses[i % addresses.len()]);
        tasks.push(tokio::spawn(async move {
            let mut result = send(&client, address, &arrival).await;
            result.counted = arrival.at >= warmup;
            result
        }));
    }
    let mut results = Vec::new();
    for t in tasks {
        results.extend(t.await);
    }
    results
}

async fn send(client: &Client, to: SocketAddr, arrival: &Arrival) -> RequestResult {
    let started = Instant::now();
    let mut result = RequestResult {
        counted: false,
        stock: arrival.pipeline == "stock-check",
        outcome: None,
        timely: false,
        latency_ms: 0.0,
        costs: Vec::new(),
        attempts: 0,
    };
    let request = Request::post(format!("http://{to}/v1/pipelines/{}", arrival.pipeline))
        .header("pumicevale-workspace", arrival.workspace)
        .header("pumicevale-session", &arrival.session)
        .body(Full::new(Bytes::from(arrival.body.to_string())))
        .expect("valid request");
    if let Ok(response) = client.send(&to.to_string(), request).await
        && let Ok(body) = response.into_body().collect().await
    {
        let bytes = body.to_bytes();
        let report = serde_json::from_slice::<Answer>(&bytes)
            .map(|a| a.end)
            .or_else(|_| serde_json::from_slice::<RequestReport>(&bytes));
        if let Ok(report) = report {
            result.outcome = Some(report.outcome);
            result.timely = report.timely;
            result.costs = report.steps.iter().map(|s| (s.step.to_string(), s.cost)).collect();
            result.attempts = report.steps.iter().map(|s| u64::from(s.attempts)).sum();
        }
    }
    result.latency_ms = started.elapsed().as_secs_f64() * 1e3;
    result
}

#[allow(clippy::too_many_arguments)]
fn make_row(
    plan: &Plan,
    cell: &Cell,
    policy: &PolicyPlan,
    repetition: usize,
    rate: f64,
    offered: usize,
    calls: usize,
    cached: f64,
    results: Vec<RequestResult>,
) -> Row {
    let counted: Vec<&RequestResult> = results.iter().filter(|r| r.counted).collect();
    let primary: Vec<&&RequestResult> =
        counted.iter().filter(|r| r.stock == (cell.mix == Mix::Stock)).collect();
    let count_outcome = |o: Outcome| primary.iter().filter(|r| r.outcome == Some(o)).count();
    let complete = count_outcome(Outcome::Complete);
    let timely = primary.iter().filter(|r| r.timely).count();
    let cost: f64 = counted.iter().flat_map(|r| &r.costs).map(|(_, c)| c).sum();
    let mut steps: std::collections::BTreeMap<String, f64> = Default::default();
    for (step, c) in counted.iter().flat_map(|r| &r.costs) {
        *steps.entry(step.clone()).or_default() += c;
    }
    let quantile = |values: Vec<f64>, q: f64| {
        let mut values = values;
        values.sort_by(f64::total_cmp);
        values.get(((values.len().max(1) - 1) as f64 * q) as usize).copied().unwrap_or(0.0)
    };
    let latencies = |stock: bool| -> Vec<f64> {
        let matching = counted.iter().filter(|r| r.stock == stock);
        matching.filter(|r| r.outcome == Some(Outcome::Complete)).map(|r| r.latency_ms).collect()
    };
    Row {
        plan: plan.id(),
        cell: cell.to_string(),
        policy: policy.name.clone(),
        repetition,
        rate,
        offered: primary.len(),
        complete,
        timely,
        not_run: count_outcome(Outcome::NotRun),
        goodput: timely as f64 / plan.seconds,
        share: timely as f64 / primary.len().max(1) as f64,
        cached,
        cost: cost / complete.max(1) as f64,
        steps,
        attempts: calls as f64 / (offered.max(1) * 2) as f64,
        p50: quantile(latencies(cell.mix == Mix::Stock), 0.5),
        p99: quantile(latencies(cell.mix == Mix::Stock), 0.99),
        stock99: quantile(latencies(true), 0.99),
    }
}
