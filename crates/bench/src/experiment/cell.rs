//! One run of one cell under one policy.

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

/// Seconds of a calibration.
const CALIBRATION: f64 = 2.5;

/// What one request came to.
#[derive(Debug, Clone)]
struct Done {
    counted: bool,
    stock: bool,
    outcome: Option<Outcome>,
    timely: bool,
    millis: f64,
    costs: Vec<(String, f64)>,
    attempts: u64,
}

/// Requests a second that the engines complete for this cell's work in a closed
/// loop under the session hash; arrivals are a share of it.
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
    let done = Arc::new(AtomicU64::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let counting = Arc::new(AtomicBool::new(false));
    let client = Client::new(Duration::from_secs(2));
    let to = fleet.callers();
    let mut tasks = Vec::new();
    for i in 0..plan.engines * plan.engine.batch {
        let sessions = Sessions::new(plan, &cell);
        let (done, over, counting) = (done.clone(), over.clone(), counting.clone());
        let (client, to, words) = (client.clone(), to[i % to.len()], plan.words);
        tasks.push(tokio::spawn(async move {
            let mut rng = decide::rng::Rng::new(i as u64 + 99);
            while !over.load(Ordering::Relaxed) {
                let (session, body) = sessions.turn(&mut rng, words);
                let at = Duration::ZERO;
                let a = Arrival { at, pipeline: "chat", workspace: "patient", session, body };
                let result = send(&client, to, &a).await;
                let good = result.outcome == Some(Outcome::Complete);
                if good && counting.load(Ordering::Relaxed) {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    tokio::time::sleep(Duration::from_secs_f64(plan.warmup)).await;
    counting.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs_f64(CALIBRATION)).await;
    let count = done.load(Ordering::Relaxed);
    over.store(true, Ordering::Relaxed);
    for t in tasks {
        t.abort();
    }
    fleet.stop().await;
    Ok(count as f64 / CALIBRATION * cell.load)
}

/// Runs a cell once.
pub async fn run_cell(
    plan: &Plan,
    cell: &Cell,
    policy: &PolicyPlan,
    repetition: usize,
    rate: f64,
) -> anyhow::Result<Row> {
    let fleet = Fleet::start(plan, cell, policy).await?;
    let list = arrivals(plan, cell, repetition, rate);
    let offered = list.len();
    let begun = Instant::now();
    let work = offer(plan, &fleet, list, begun);
    let third = Duration::from_secs_f64(plan.warmup + plan.seconds / 3.0);
    let faults = async {
        tokio::time::sleep_until(begun + third).await;
        fleet.fault(cell.fault);
        std::future::pending::<()>().await;
    };
    let done = tokio::select! {
        done = work => done,
        () = fleet.report(cell) => Vec::new(),
        () = faults => Vec::new(),
    };
    let (prompt, cached) = fleet.cache().await;
    let runs = fleet.runs();
    fleet.stop().await;
    Ok(row(plan, cell, policy, repetition, rate, offered, runs, cached_share(prompt, cached), done))
}

fn cached_share(prompt: u64, cached: u64) -> f64 {
    if prompt == 0 { 0.0 } else { cached as f64 / prompt as f64 }
}

/// Sends every arrival at its time, whatever became of those before.
async fn offer(plan: &Plan, fleet: &Fleet, list: Vec<Arrival>, begun: Instant) -> Vec<Done> {
    let to = fleet.callers();
    let client = Client::new(Duration::from_secs(2));
    let warm = Duration::from_secs_f64(plan.warmup);
    let mut tasks = Vec::new();
    for (i, a) in list.into_iter().enumerate() {
        tokio::time::sleep_until(begun + a.at).await;
        let (client, to) = (client.clone(), to[i % to.len()]);
        tasks.push(tokio::spawn(async move {
            let mut done = send(&client, to, &a).await;
            done.counted = a.at >= warm;
            done
        }));
    }
    let mut out = Vec::new();
    for t in tasks {
        out.extend(t.await);
    }
    out
}

async fn send(client: &Client, to: SocketAddr, a: &Arrival) -> Done {
    let begun = Instant::now();
    let mut done = Done {
        counted: false,
        stock: a.pipeline == "stock-check",
        outcome: None,
        timely: false,
        millis: 0.0,
        costs: Vec::new(),
        attempts: 0,
    };
    let request = Request::post(format!("http://{to}/v1/pipelines/{}", a.pipeline))
        .header("pumicevale-workspace", a.workspace)
        .header("pumicevale-session", &a.session)
        .body(Full::new(Bytes::from(a.body.to_string())))
        .expect("a request");
    if let Ok(response) = client.send(&to.to_string(), request).await
        && let Ok(body) = response.into_body().collect().await
    {
        let bytes = body.to_bytes();
        let end = serde_json::from_slice::<Answer>(&bytes)
            .map(|a| a.end)
            .or_else(|_| serde_json::from_slice::<RequestReport>(&bytes));
        if let Ok(end) = end {
            done.outcome = Some(end.outcome);
            done.timely = end.timely;
            done.costs = end.steps.iter().map(|s| (s.step.to_string(), s.cost)).collect();
            done.attempts = end.steps.iter().map(|s| u64::from(s.attempts)).sum();
        }
    }
    done.millis = begun.elapsed().as_secs_f64() * 1e3;
    done
}

#[allow(clippy::too_many_arguments)]
fn row(
    plan: &Plan,
    cell: &Cell,
    policy: &PolicyPlan,
    repetition: usize,
    rate: f64,
    offered: usize,
    runs: usize,
    cached: f64,
    done: Vec<Done>,
) -> Row {
    let counted: Vec<&Done> = done.iter().filter(|d| d.counted).collect();
    let main: Vec<&&Done> =
        counted.iter().filter(|d| d.stock == (cell.mix == Mix::Stock)).collect();
    let of = |o: Outcome| main.iter().filter(|d| d.outcome == Some(o)).count();
    let complete = of(Outcome::Complete);
    let timely = main.iter().filter(|d| d.timely).count();
    let cost: f64 = counted.iter().flat_map(|d| &d.costs).map(|(_, c)| c).sum();
    let mut steps: std::collections::BTreeMap<String, f64> = Default::default();
    for (step, c) in counted.iter().flat_map(|d| &d.costs) {
        *steps.entry(step.clone()).or_default() += c;
    }
    let quantile = |list: Vec<f64>, q: f64| {
        let mut list = list;
        list.sort_by(f64::total_cmp);
        list.get(((list.len().max(1) - 1) as f64 * q) as usize).copied().unwrap_or(0.0)
    };
    let times = |stock: bool| -> Vec<f64> {
        let good = counted.iter().filter(|d| d.stock == stock);
        good.filter(|d| d.outcome == Some(Outcome::Complete)).map(|d| d.millis).collect()
    };
    Row {
        plan: plan.id(),
        cell: cell.to_string(),
        policy: policy.name.clone(),
        repetition,
        rate,
        offered: main.len(),
        complete,
        timely,
        not_run: of(Outcome::NotRun),
        goodput: timely as f64 / plan.seconds,
        share: timely as f64 / main.len().max(1) as f64,
        cached,
        cost: cost / complete.max(1) as f64,
        steps,
        attempts: runs as f64 / (offered.max(1) * 2) as f64,
        p50: quantile(times(cell.mix == Mix::Stock), 0.5),
        p99: quantile(times(cell.mix == Mix::Stock), 0.99),
        stock99: quantile(times(true), 0.99),
    }
}
