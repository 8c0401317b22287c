//! Metrics of an entry node in the OpenMetrics text format.

use std::sync::Mutex;

use model::outcome::RequestReport;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Buckets of request times, seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    pipeline: String,
    workspace: String,
    outcome: &'static str,
    timely: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabels {
    pipeline: String,
    step: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    step: String,
    granted: &'static str,
}

type Requests = Family<RequestLabels, Counter>;
type Costs = Family<StepLabels, Counter<f64, std::sync::atomic::AtomicU64>>;

/// Counters and histograms of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Requests,
    costs: Costs,
    attempts: Family<StepLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    seconds: Family<StepLabels, Histogram>,
    stray_frames: Counter,
}

impl Metrics {
    /// Registers all metrics, at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("pumicevale");
        let requests = Requests::default();
        let costs = Costs::default();
        let attempts = Family::<StepLabels, Counter>::default();
        let retries = Family::<RetryLabels, Counter>::default();
        let seconds =
            Family::<StepLabels, Histogram>::new_with_constructor(|| Histogram::new(BUCKETS));
        let stray_frames = Counter::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("step_cost", "Cost of completed steps", costs.clone());
        registry.register("step_attempts", "Attempts of completed steps", attempts.clone());
        registry.register("retries", "Retries asked for, and whether granted", retries.clone());
        registry.register("step_seconds", "Time of completed steps", seconds.clone());
        registry.register("stray_frames", "Frames of no live attempt", stray_frames.clone());
        let registry = Mutex::new(registry);
        Metrics { registry, requests, costs, attempts, retries, seconds, stray_frames }
    }

    /// Records a finished request, which may not have run.
    pub fn record_request(&self, pipeline: &str, workspace: &str, report: &RequestReport) {
        let labels = RequestLabels {
            pipeline: pipeline.into(),
            workspace: workspace.into(),
            outcome: report.outcome.as_str(),
            timely: if report.timely { "true" } else { "false" },
        };
        self.requests.get_or_create(&labels).inc();
        for s in &report.steps {
            let labels = StepLabels { pipeline: pipeline.into(), step: s.step.to_string() };
            self.costs.get_or_create(&labels).inc_by(s.cost);
            self.attempts.get_or_create(&labels).inc_by(u64::from(s.attempts));
            self.seconds.get_or_create(&labels).observe(s.millis / 1e3);
        }
    }

    /// Records a retry that was asked for and whether the budget granted it.
    pub fn record_retry(&self, step: &str, granted: bool) {
        let granted = if granted { "true" } else { "false" };
        self.retries.get_or_create(&RetryLabels { step: step.into(), granted }).inc();
    }

    /// Counts `n` frames that belonged to no live attempt.
    pub fn record_strays(&self, n: u64) {
        self.stray_frames.inc_by(n);
    }

    /// All metrics in the text format.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let registry = self.registry.lock().expect("no panic while held");
        encode(&mut out, &registry).expect("writing to a string succeeds");
        out
    }
}
