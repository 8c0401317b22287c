//! Metrics of the node, in the OpenMetrics text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use model::Name;
use model::forward::ReportedLoad;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::border::ObjectKind;
use crate::watch::Age;
use crate::work::WorkCounts;

/// Maximum number of distinct label values (routes, services, versions, regions), beyond which all
/// share [`OVERFLOW_LABEL`], and of time series, beyond which times are not recorded.
const MAX_SERIES: usize = 64;
/// Label value of all names beyond [`MAX_SERIES`].
const OVERFLOW_LABEL: &str = "others";
/// Maximum recorded time, in milliseconds; longer ones count as this.
const MAX_TIME_MS: u64 = 120_000;
/// Significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Reported quantiles.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: String,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QuantileLabels {
    kind: &'static str,
    name: String,
    quantile: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabels {
    service: String,
    version: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NameLabel {
    name: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    service: String,
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabels {
    service: String,
    notice: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RegionLabels {
    from: String,
    to: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    kind: &'static str,
    from: String,
    to: String,
}

type Times = RefCell<BTreeMap<(&'static str, Name), Histogram<u32>>>;

/// Metrics of one node.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    time_quantiles: Family<QuantileLabels, Gauge<f64, std::sync::atomic::AtomicU64>>,
    batch_calls: Family<NameLabel, Counter>,
    batch_pieces: Family<NameLabel, Counter>,
    store_calls: Family<NameLabel, Counter>,
    unreadable_entries: Family<NameLabel, Gauge>,
    repeats: Family<NameLabel, Counter>,
    loads_told: Counter,
    loads_unreadable: Counter,
    refused_for_region: Family<NameLabel, Counter>,
    stage_refusals: Family<RefusalLabels, Counter>,
    targets_ended: Family<NameLabel, Counter>,
    quarantined: Gauge,
    quarantine_refusals: Family<NameLabel, Counter>,
    links_lost: Gauge,
    local_delay_ms: Gauge,
    intake_limit: Gauge,
    caller_connections: Gauge,
    caller_bytes: Gauge,
    caller_yields: Family<NameLabel, Counter>,
    late_heads: Counter,
    proxied: Family<NameLabel, Counter>,
    targets_limited: Gauge,
    sent_at_limit: Family<NameLabel, Counter>,
    sent_against_notice: Family<NoticeLabels, Counter>,
    refused_at_limit: Family<NameLabel, Counter>,
    rollout_requests: Family<VersionLabels, Counter>,
    rollout_bad: Family<VersionLabels, Counter>,
    rollout_answers: Family<VersionLabels, Counter>,
    rollout_seconds: Family<VersionLabels, Counter<f64, std::sync::atomic::AtomicU64>>,
    rollout_share: Family<VersionLabels, Gauge<f64, std::sync::atomic::AtomicU64>>,
    spilled_orders: Family<RegionLabels, Counter>,
    crossed_bytes: Family<TrafficLabels, Counter>,
    open_requests: Gauge,
    open_work: Family<NameLabel, Gauge>,
    undelivered: Family<NameLabel, Counter>,
    open_orders: Gauge,
    rules_version: Gauge,
    rules_unserved: Gauge,
    nodes_up: Gauge,
    targets: Gauge,
    targets_unreadable: Gauge,
    domains_evacuated: Gauge,
    targets_cold: Gauge,
    known_ages: Family<NameLabel, Gauge>,
    longest_known_ages: Family<NameLabel, Gauge>,
    times: Times,
    label_values: RefCell<std::collections::BTreeSet<String>>,
}

/// Values of gauges at the time of a scrape.
#[derive(Debug, Clone, Copy)]
pub struct Gauges<'a> {
    /// Open requests and messages by stage.
    pub work: WorkCounts,
    /// Open stage orders at the batch coordinators of this node.
    pub orders: usize,
    /// Version of the rules in force.
    pub rules: u64,
    /// Routes and workspaces that allow no region with a failure domain.
    pub unserved: usize,
    /// Nodes up, this one included.
    pub peers: usize,
    /// Known targets.
    pub targets: usize,
    /// Targets whose entries could not be parsed.
    pub targets_unreadable: usize,
    /// Evacuated failure domains.
    pub evacuated: usize,
    /// Targets that are cold according to their entries.
    pub cold: usize,
    /// Held requests.
    pub quarantined: usize,
    /// Whether this node reaches no target.
    pub links_lost: bool,
    /// Delay that this node adds to its own connections.
    pub delay: Duration,
    /// Limit on the requests in progress, if there is one.
    pub intake_limit: Option<usize>,
    /// Open connections of callers.
    pub connections: usize,
    /// Bytes that callers hold.
    pub held: usize,
    /// Targets that name a limit.
    pub limited: usize,
    /// Running rollouts: service, trial version and its share of the requests.
    pub rollouts: &'a [(Name, Name, f64)],
    /// Age of the known state, by kind; `None` if nothing is known.
    pub ages: [(ObjectKind, Option<Age>); ObjectKind::AGE_TRACKED.len()],
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("pumicevale");
        let m = Metrics {
            registry: Registry::default(),
            requests: Family::default(),
            time_quantiles: Family::default(),
            batch_calls: Family::default(),
            batch_pieces: Family::default(),
            store_calls: Family::default(),
            unreadable_entries: Family::default(),
            repeats: Family::default(),
            loads_told: Counter::default(),
            loads_unreadable: Counter::default(),
            refused_for_region: Family::default(),
            stage_refusals: Family::default(),
            targets_ended: Family::default(),
            quarantined: Gauge::default(),
            quarantine_refusals: Family::default(),
            links_lost: Gauge::default(),
            local_delay_ms: Gauge::default(),
            intake_limit: Gauge::default(),
            caller_connections: Gauge::default(),
            caller_bytes: Gauge::default(),
            caller_yields: Family::default(),
            late_heads: Counter::default(),
            proxied: Family::default(),
            targets_limited: Gauge::default(),
            sent_at_limit: Family::default(),
            sent_against_notice: Family::default(),
            refused_at_limit: Family::default(),
            rollout_requests: Family::default(),
            rollout_bad: Family::default(),
            rollout_answers: Family::default(),
            rollout_seconds: Family::default(),
            rollout_share: Family::default(),
            spilled_orders: Family::default(),
            crossed_bytes: Family::default(),
            open_requests: Gauge::default(),
            open_work: Family::default(),
            undelivered: Family::default(),
            open_orders: Gauge::default(),
            rules_version: Gauge::default(),
            rules_unserved: Gauge::default(),
            nodes_up: Gauge::default(),
            targets: Gauge::default(),
            targets_unreadable: Gauge::default(),
            domains_evacuated: Gauge::default(),
            targets_cold: Gauge::default(),
            known_ages: Family::default(),
            longest_known_ages: Family::default(),
            times: Times::default(),
            label_values: RefCell::default(),
        };
        m.register(&mut registry);
        Metrics { registry, ..m }
    }
}

impl Metrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Final answers", self.requests.clone());
        registry.register("milliseconds", "Times by quantile", self.time_quantiles.clone());
        registry.register("batch_calls", "Calls of makers that ended", self.batch_calls.clone());
        registry.register(
            "batch_pieces",
            "Pieces asked for in those calls",
            self.batch_pieces.clone(),
        );
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        let help = "Entries that could not be read when this node last read the store";
        registry.register("unreadable_entries", help, self.unreadable_entries.clone());
        registry.register("repeats", "Sends to a further target", self.repeats.clone());
        registry.register(
            "loads_told",
            "Answers that told their target's load",
            self.loads_told.clone(),
        );
        registry.register(
            "loads_unreadable",
            "Answers that told a load that cannot be read",
            self.loads_unreadable.clone(),
        );
        let help = "Requests or pieces sent to a version of a service that moves to another one";
        registry.register("rollout_requests", help, self.rollout_requests.clone());
        let help = "Failures among them, a call with some as so many pieces";
        registry.register("rollout_bad", help, self.rollout_bad.clone());
        let help = "Answers of a version in such a move, one for each call, those with failed pieces among them";
        registry.register("rollout_answers", help, self.rollout_answers.clone());
        let help = "Time of these answers, in all";
        registry.register("rollout_answer_seconds", help, self.rollout_seconds.clone());
        let help = "Share of requests that the version on trial gets";
        registry.register("rollout_share", help, self.rollout_share.clone());
        let help = "Stage orders passed on to another region";
        registry.register("spilled_orders", help, self.spilled_orders.clone());
        let help = "Bytes between regions, counted by the node that asks";
        registry.register("crossed_bytes", help, self.crossed_bytes.clone());
        registry.register(
            "open_requests",
            "Requests whose answers have not left",
            self.open_requests.clone(),
        );
        let help = "Requests and messages of peers whose answers have not left, by stage";
        registry.register("open_work", help, self.open_work.clone());
        let help =
            "Requests and messages whose connections ended before their answers had left, by stage";
        registry.register("undelivered", help, self.undelivered.clone());
        let help = "Stage orders without an answer at the coordinators of this node";
        registry.register("open_orders", help, self.open_orders.clone());
        registry.register(
            "rules_version",
            "Version of the rules in force",
            self.rules_version.clone(),
        );
        let help = "Refusals for want of a target in an allowed region";
        registry.register("refused_for_region", help, self.refused_for_region.clone());
        let help = "Refusals for want of a stage's time or room, by its service and cause";
        registry.register("stage_refusals", help, self.stage_refusals.clone());
        let help = "Targets that ended under requests of this node, by their service";
        registry.register("targets_ended", help, self.targets_ended.clone());
        let help = "Requests that are held back, since the targets that ran them ended";
        registry.register("quarantined", help, self.quarantined.clone());
        let help = "Refusals and sends not made of such requests, by route";
        registry.register("quarantine_refusals", help, self.quarantine_refusals.clone());
        let help = "1 while this node reaches no target";
        registry.register("links_lost", help, self.links_lost.clone());
        let help = "Delay that this node adds to its own connections, in milliseconds";
        registry.register("local_delay_ms", help, self.local_delay_ms.clone());
        let help =
            "Requests that this node takes on at a time while it is overloaded; 0 if any number";
        registry.register("intake_limit", help, self.intake_limit.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, self.caller_connections.clone());
        let help = "Memory that connections, requests and bodies of callers take, in bytes";
        registry.register("caller_bytes", help, self.caller_bytes.clone());
        let help = "Connections and bodies of callers that stood still and were ended for others";
        registry.register("caller_yields", help, self.caller_yields.clone());
        let help = "Connections closed since the head of a request had begun and did not end";
        registry.register("late_heads", help, self.late_heads.clone());
        let help = "Requests sent through other nodes while no target was reached, by outcome";
        registry.register("proxied", help, self.proxied.clone());
        let help = "Targets that name a limit";
        registry.register("targets_limited", help, self.targets_limited.clone());
        let help = "Requests and calls to targets while they named a limit, by their service";
        registry.register("sent_at_limit", help, self.sent_at_limit.clone());
        let help = "Requests and calls to targets that had said that they leave, or want none";
        registry.register("sent_against_notice", help, self.sent_against_notice.clone());
        let help = "Refusals of requests all of whose targets were at their limits, by route";
        registry.register("refused_at_limit", help, self.refused_at_limit.clone());
        let help = "Routes and workspaces that no region with a failure domain is allowed to";
        registry.register("rules_unserved", help, self.rules_unserved.clone());
        registry.register("nodes_up", "Nodes that are up", self.nodes_up.clone());
        registry.register("targets", "Targets known", self.targets.clone());
        let help = "Names of targets whose entries cannot be read";
        registry.register("targets_unreadable", help, self.targets_unreadable.clone());
        registry.register(
            "domains_evacuated",
            "Failure domains evacuated",
            self.domains_evacuated.clone(),
        );
        registry.register("targets_cold", "Targets known as cold", self.targets_cold.clone());
        let help = "Time since the store last confirmed what is known, in milliseconds";
        registry.register("known_age", help, self.known_ages.clone());
        let help = "Greatest such time since the start, in milliseconds";
        registry.register("known_age_longest", help, self.longest_known_ages.clone());
    }

    /// Counts a final answer to a request.
    pub fn count_answer(&self, route: &str, outcome: &str, status: u16) {
        let labels = RequestLabels {
            route: self.bounded_label(route),
            outcome: outcome.to_string(),
            status,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time of a request, to its first event (or its end without one), or of a stage.
    pub fn record_time(&self, kind: &'static str, name: &Name, ms: u64) {
        let mut times = self.times.borrow_mut();
        if times.len() >= MAX_SERIES && !times.contains_key(&(kind, name.clone())) {
            return;
        }
        let new_histogram =
            || Histogram::new_with_max(MAX_TIME_MS, SIGNIFICANT_DIGITS).expect("valid bounds");
        let times = times.entry((kind, name.clone())).or_insert_with(new_histogram);
        times.saturating_record(ms.min(MAX_TIME_MS));
    }

    /// Counts a completed batch call of a service, whatever its outcome.
    pub fn count_batch(&self, service: &Name, pieces: usize) {
        let labels = NameLabel { name: service.to_string() };
        self.batch_calls.get_or_create(&labels).inc();
        self.batch_pieces.get_or_create(&labels).inc_by(pieces as u64);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, what: &str) {
        self.store_calls.get_or_create(&NameLabel { name: what.to_string() }).inc();
    }

    /// Sets the number of entries of a kind that could not be parsed at the last read of the store.
    pub fn set_unreadable(&self, kind: &str, count: usize) {
        self.unreadable_entries
            .get_or_create(&NameLabel { name: kind.to_string() })
            .set(count as i64);
    }

    /// Counts an answer by whether it reports its target's load and the report could be parsed.
    pub fn count_load(&self, load: ReportedLoad) {
        match load {
            ReportedLoad::None => {}
            ReportedLoad::Load(_) => _ = self.loads_told.inc(),
            ReportedLoad::Unreadable => _ = self.loads_unreadable.inc(),
        }
    }

    /// Counts a send of a request to a further target.
    pub fn count_repeat(&self, service: &Name) {
        self.repeats.get_or_create(&NameLabel { name: service.to_string() }).inc();
    }

    /// Counts a request that was refused because no target is in an allowed region.
    pub fn count_region_refusal(&self, route: &str) {
        self.refused_for_region.get_or_create(&NameLabel { name: self.bounded_label(route) }).inc();
    }

    /// Counts a request that was refused for a stage: at admission, or because the stage failed.
    pub fn count_stage_refusal(&self, service: &str, cause: &'static str) {
        let labels = RefusalLabels { service: self.bounded_label(service), cause };
        self.stage_refusals.get_or_create(&labels).inc();
    }

    /// Counts a target that crashed while it ran requests of this node.
    pub fn count_crash(&self, service: &str) {
        self.targets_ended.get_or_create(&NameLabel { name: self.bounded_label(service) }).inc();
    }

    /// Counts a request that was sent through a peer.
    pub fn count_proxied(&self, outcome: &'static str) {
        self.proxied.get_or_create(&NameLabel { name: outcome.to_string() }).inc();
    }

    /// Counts a request or call to a target that has named a limit.
    pub fn count_sent_at_limit(&self, service: &str) {
        self.sent_at_limit.get_or_create(&NameLabel { name: self.bounded_label(service) }).inc();
    }

    /// Counts a request or call to a target that is draining or has asked for backoff.
    pub fn count_sent_against_notice(&self, service: &str, notice: &'static str) {
        let labels = NoticeLabels { service: self.bounded_label(service), notice };
        self.sent_against_notice.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused because all its targets were at the limits they had named.
    pub fn count_refused_at_limit(&self, route: &str) {
        self.refused_at_limit.get_or_create(&NameLabel { name: self.bounded_label(route) }).inc();
    }

    /// Counts a refusal, or a send that was not made, of a held request.
    pub fn count_quarantine_refusal(&self, route: &str) {
        self.quarantine_refusals
            .get_or_create(&NameLabel { name: self.bounded_label(route) })
            .inc();
    }

    /// Counts requests, or pieces of a call, sent to a version of a service during a rollout.
    pub fn count_rollout_sent(&self, service: &Name, version: &Name, count: usize) {
        let labels = self.version_labels(service, version);
        self.rollout_requests.get_or_create(&labels).inc_by(count as u64);
    }

    /// Counts failures of the version; a call with failed pieces counts as that many.
    pub fn count_rollout_bad(&self, service: &Name, version: &Name, count: usize) {
        let labels = self.version_labels(service, version);
        self.rollout_bad.get_or_create(&labels).inc_by(count as u64);
    }

    /// Counts an answer of the version to a request or call, also one with some failed pieces, and
    /// adds the time that it took.
    pub fn record_rollout_good(&self, service: &Name, version: &Name, took: Duration) {
        let labels = self.version_labels(service, version);
        self.rollout_answers.get_or_create(&labels).inc();
        self.rollout_seconds.get_or_create(&labels).inc_by(took.as_secs_f64());
    }

    fn version_labels(&self, service: &Name, version: &Name) -> VersionLabels {
        VersionLabels { service: self.bounded_label(service), version: self.bounded_label(version) }
    }

    /// Counts a stage order that was spilled to another region.
    pub fn count_spilled(&self, from: &str, to: &str) {
        let labels = RegionLabels { from: self.bounded_label(from), to: self.bounded_label(to) };
        self.spilled_orders.get_or_create(&labels).inc();
    }

    /// Counter of the bytes of a kind of message from one region to another.
    pub fn crossed_bytes(&self, kind: &'static str, from: &str, to: &str) -> Counter {
        let labels =
            TrafficLabels { kind, from: self.bounded_label(from), to: self.bounded_label(to) };
        self.crossed_bytes.get_or_create_owned(&labels)
    }

    /// Counts a request or message whose connection ended before its answer had left.
    pub fn count_undelivered(&self, stage: &'static str) {
        self.undelivered.get_or_create_owned(&NameLabel { name: stage.to_string() }).inc();
    }

    /// Counter of the connections or bodies of callers that were ended for others.
    pub fn yielded(&self, what: &str) -> Counter {
        self.caller_yields.get_or_create_owned(&NameLabel { name: what.to_string() })
    }

    /// Counts a connection that was closed since a head on it did not end in time.
    pub fn count_late_head(&self) {
        self.late_heads.inc();
    }

    fn set_age(&self, kind: ObjectKind, age: Option<Age>) {
        let Some(age) = age else {
            return;
        };
        let labels = NameLabel { name: kind.as_str().to_string() };
        self.known_ages.get_or_create(&labels).set(age.current.as_millis() as i64);
        self.longest_known_ages.get_or_create(&labels).set(age.max.as_millis() as i64);
    }

    fn bounded_label(&self, name: &str) -> String {
        let mut names = self.label_values.borrow_mut();
        if names.len() >= MAX_SERIES && !names.contains(name) {
            return OVERFLOW_LABEL.to_string();
        }
        names.insert(name.to_string());
        name.to_string()
    }

    /// All metrics as text, with the given values of the gauges.
    pub fn render(&self, now: Gauges<'_>) -> String {
        self.open_requests.set(now.work.requests() as i64);
        for (stage, count) in now.work.by_stage() {
            let labels = NameLabel { name: stage.as_str().to_string() };
            self.open_work.get_or_create(&labels).set(count as i64);
        }
        self.open_orders.set(now.orders as i64);
        self.rules_version.set(now.rules as i64);
        self.rules_unserved.set(now.unserved as i64);
        self.nodes_up.set(now.peers as i64);
        self.targets.set(now.targets as i64);
        self.targets_unreadable.set(now.targets_unreadable as i64);
        self.domains_evacuated.set(now.evacuated as i64);
        self.targets_cold.set(now.cold as i64);
        self.quarantined.set(now.quarantined as i64);
        self.links_lost.set(now.links_lost.into());
        self.local_delay_ms.set(now.delay.as_millis() as i64);
        self.intake_limit.set(now.intake_limit.unwrap_or(0) as i64);
        self.caller_connections.set(now.connections as i64);
        self.caller_bytes.set(now.held as i64);
        self.targets_limited.set(now.limited as i64);
        self.rollout_share.clear();
        for (service, version, share) in now.rollouts {
            let labels = self.version_labels(service, version);
            self.rollout_share.get_or_create(&labels).set(*share);
        }
        for (kind, age) in now.ages {
            self.set_age(kind, age);
        }
        for ((kind, name), times) in &*self.times.borrow() {
            for quantile in QUANTILES {
                let labels =
                    QuantileLabels { kind, name: name.to_string(), quantile: quantile.to_string() };
                let ms = times.value_at_quantile(quantile) as f64;
                self.time_quantiles.get_or_create(&labels).set(ms);
            }
        }
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("strings take all that is written");
        text
    }
}
