//! `pumicevale-bench overhead`: latency that an entry node adds to a request, against a client
//! that calls the same stand-in targets directly.

use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use model::attempt::{Attempt, Call, Frame};
use model::object::{Pipeline, Pool, Role, Spec, Stage, Target, Workspace};
use serde_json::json;
use standin::faults::TargetFaults;
use standin::target::TargetSpec;
use util::http::{Client, Lines};
use util::stop;

/// Steps of the pipeline, each on a target of its own.
const STEPS: usize = 4;
/// Loopback address with a port chosen by the operating system.
const ANY_PORT: &str = "127.0.0.1:0";
/// Requests sent before latencies are recorded.
const WARMUP: u32 = 200;

/// Arguments of the subcommand.
pub struct Overhead {
    /// Number of measured requests.
    pub requests: u32,
}

impl Overhead {
    /// Alternates direct calls and requests through the entry node, so that the load of the
    /// machine affects both alike.
    pub async fn run(self) -> anyhow::Result<()> {
        let (_stopper, stop) = stop::channel();
        let mut targets = Vec::new();
        for i in 0..STEPS {
            let spec = TargetSpec {
                name: format!("t{i}").into(),
                address: ANY_PORT.into(),
                role: Role::Plain,
                width: 64,
                service: 0.0,
                engine: Default::default(),
                models: Vec::new(),
                fenced: false,
                faults: TargetFaults::default(),
            };
            let (address, _, _) = standin::run::start_target(spec, stop.clone()).await?;
            targets.push(address.to_string());
        }
        let node = start_entry(&targets).await?;
        let client = Client::new(Duration::from_secs(1));
        let caller = node.callers.to_string();
        let new_histogram = || Histogram::<u64>::new(3).context("could not create a histogram");
        let (mut baseline, mut via_entry) = (new_histogram()?, new_histogram()?);
        for i in 0..WARMUP + self.requests {
            let started = Instant::now();
            for (step, t) in targets.iter().enumerate() {
                call_target(&client, t, i, step as u16).await?;
            }
            let direct = started.elapsed();
            let started = Instant::now();
            send_request(&client, &caller).await?;
            let entry = started.elapsed();
            if i >= WARMUP {
                baseline.record(direct.as_micros() as u64)?;
                via_entry.record(entry.as_micros() as u64)?;
            }
        }
        println!("| µs for {STEPS} steps | p50 | p99 |\n|---|---|---|");
        for (name, h) in [("bare client", &baseline), ("through the entry node", &via_entry)] {
            println!("| {name} | {} | {} |", h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        }
        let added =
            |q: f64| via_entry.value_at_quantile(q) as f64 - baseline.value_at_quantile(q) as f64;
        let ratio =
            |q: f64| via_entry.value_at_quantile(q) as f64 / baseline.value_at_quantile(q) as f64;
        println!("| added | {:.0} | {:.0} |", added(0.5), added(0.99));
        println!("| ratio | {:.2} | {:.2} |", ratio(0.5), ratio(0.99));
        node.abort();
        Ok(())
    }
}

async fn start_entry(targets: &[String]) -> anyhow::Result<entry::Running> {
    let mut upserts = Vec::new();
    let mut stages = Vec::new();
    for (i, address) in targets.iter().enumerate() {
        let target = Target {
            name: format!("t{i}").into(),
            address: address.as_str().into(),
            domain: "a".into(),
            host: format!("h{i}").into(),
        };
        let pool = Pool { role: Role::Plain, cost: 1.0, fenced: false, targets: vec![target] };
        upserts.push((format!("Pool/p{i}").into(), Spec::Pool(pool)));
        let (name, pool) = (format!("s{i}").into(), format!("p{i}").into());
        stages.push(Stage { name, pool, model: None, repeatable: true });
    }
    let workspace =
        Workspace { deadline: 10_000, grace: 0, priority: Default::default(), limits: Vec::new() };
    upserts.push(("Pipeline/line".into(), Spec::Pipeline(Pipeline { stages })));
    upserts.push(("Workspace/w".into(), Spec::Workspace(workspace)));
    let node = entry::Entry::start(entry::Settings {
        width: 256,
        depth: 256,
        hedging: false,
        ..entry::Settings::local("n".into(), "a".into())
    })
    .await?;
    node.apply(decide::config::Change { number: 1, upserts, removed: Vec::new() });
    Ok(node)
}

async fn call_target(client: &Client, target: &str, i: u32, step: u16) -> anyhow::Result<()> {
    let call = Call {
        attempt: Attempt { request: format!("bare-{i}").into(), step, number: 0 },
        step: "s".into(),
        workspace: "w".into(),
        model: None,
        version: None,
        priority: 1,
        budget: 1000,
        input: json!({ "request": { "text": "hello" }, "results": {} }),
        prior: String::new(),
        from: 0,
        resume: None,
    };
    let body = serde_json::to_vec(&call)?;
    let response = client.post(target, "/run", "application/json", body).await?;
    let mut lines = Lines::new(target, response);
    while let Some(line) = lines.next().await? {
        let _: Frame = serde_json::from_slice(&line)?;
    }
    Ok(())
}

async fn send_request(client: &Client, caller: &str) -> anyhow::Result<()> {
    let request = Request::post(format!("http://{caller}/v1/pipelines/line"))
        .header("pumicevale-workspace", "w")
        .body(Full::new(Bytes::from_static(b"{\"text\":\"hello\"}")))?;
    let response = client.send(caller, request).await?;
    anyhow::ensure!(
        response.status().is_success(),
        "the entry node answered with status {}",
        response.status()
    );
    response.into_body().collect().await?;
    Ok(())
}
