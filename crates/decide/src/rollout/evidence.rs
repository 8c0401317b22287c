//! What one node's own requests show of the two versions of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Answers, RouteEvidence, Side};
use model::{Name, Time};

use super::baseline::Baseline;
use super::sequential::{BaseRate, SequentialTest};
use super::{Cause, Verdict, VersionCounts, times};

/// Part of the weight of recent answers that each new one leaves: the last fifty count.
const DECAY_FACTOR: f64 = 0.98;
/// Nodes that judge by themselves beside each other; each has its chance of a false alarm.
const ASSUMED_NODES: usize = 100;

/// Time within which late answers of one node come together: once a pause of its host or its link
/// is over, all that it held up comes within milliseconds. So one late answer in 20 ms counts at
/// most, 50 a second for a node and route, which is enough to prove a slow version.
const BURST_WINDOW: Duration = Duration::from_millis(20);

/// What adding up parts of a call may lack of a whole.
const ROUNDING_ERROR: f64 = 1e-6;

/// Answers on one route, and the tests of them against its baseline.
#[derive(Debug)]
struct RouteTests {
    counts: RouteEvidence,
    baseline: Baseline,
    /// Good answers of the version on trial that took too long.
    slow: u64,
    failures_test: SequentialTest,
    slow_test: SequentialTest,
    /// Parts of calls that failed and were not counted yet: of the version that serves, of the
    /// one on trial.
    partial_failures: (f64, f64),
    /// When a late answer of either version came last.
    last_late: Option<Time>,
}

impl RouteTests {
    fn new(route: Name) -> Self {
        let counts =
            RouteEvidence { route, serving: Answers::default(), trial: Answers::default() };
        RouteTests {
            counts,
            baseline: Baseline::default(),
            slow: 0,
            failures_test: SequentialTest::default(),
            slow_test: SequentialTest::default(),
            partial_failures: (0.0, 0.0),
            last_late: None,
        }
    }

    fn side(&mut self, side: Side) -> &mut Answers {
        match side {
            Side::Serving => &mut self.counts.serving,
            Side::Trial => &mut self.counts.trial,
        }
    }

    /// Whether a call counts as a failure of which this part failed: one does for each whole
    /// that the parts add up to.
    fn completes_failure(&mut self, side: Side, failed: f64) -> bool {
        let owed = match side {
            Side::Serving => &mut self.partial_failures.0,
            Side::Trial => &mut self.partial_failures.1,
        };
        *owed += failed;
        let is_whole = *owed >= 1.0 - ROUNDING_ERROR;
        if is_whole {
            *owed -= 1.0;
        }
        is_whole
    }

    fn add_serving(&mut self, failed: u32, good: &[u32]) {
        self.baseline.decay(DECAY_FACTOR);
        self.baseline.record(failed, good);
    }

    fn add_good_trial(&mut self, bucket: usize) {
        self.failures_test.record(0.0, 1.0, self.baseline.failure_rate(BaseRate::UNKNOWN));
        let Some(from) = self.baseline.slow_bucket() else {
            return;
        };
        let slow = if bucket >= from { 1.0 } else { 0.0 };
        self.slow += u64::from(bucket >= from);
        self.slow_test.record(slow, 1.0 - slow, self.baseline.slow_rate(from));
    }

    fn verdict(&self, cause: Cause) -> Verdict {
        let Answers { sent, bad, .. } = self.counts.trial;
        let trial = VersionCounts { sent: u64::from(sent), bad: u64::from(bad) + self.slow };
        let Answers { sent, bad, .. } = self.counts.serving;
        let serving = VersionCounts { sent: u64::from(sent), bad: u64::from(bad) };
        Verdict { cause, route: Some(self.counts.route.clone()), trial, serving }
    }

    fn proves_bad(&self, tests: usize) -> Option<Verdict> {
        if self.failures_test.threshold_ratio(tests) >= 1.0 {
            return Some(self.verdict(Cause::Failures));
        }
        (self.slow_test.threshold_ratio(tests) >= 1.0).then(|| self.verdict(Cause::Slow))
    }
}

/// By service and route, both sides, since the order.
#[derive(Debug, Default)]
pub struct Evidence {
    services: BTreeMap<Name, BTreeMap<Name, RouteTests>>,
}

impl Evidence {
    fn route(&mut self, service: &Name, route: &Name) -> &mut RouteTests {
        let routes = self.services.entry(service.clone()).or_default();
        routes.entry(route.clone()).or_insert_with(|| RouteTests::new(route.clone()))
    }

    /// Requests went out, repeats included; those that share a call will have one answer.
    pub fn record_sent(&mut self, service: &Name, route: &Name, side: Side, count: u32) {
        self.route(service, route).side(side).sent += count;
    }

    /// Notes a good answer that came late. Whether it came together with another one, of
    /// whichever version: one thing held up both then, and it is not to count twice.
    pub fn note_late(&mut self, service: &Name, route: &Name, took: Duration, now: Time) -> bool {
        let tests = self.route(service, route);
        let from = tests.baseline.slow_bucket();
        if from.is_none_or(|from| times::bucket(took) < from) {
            return false;
        }
        let last = tests.last_late.replace(now);
        last.is_some_and(|at| now.since(at) < BURST_WINDOW)
    }

    /// A good answer came after this time; from a target that was not cold.
    pub fn record_good(&mut self, service: &Name, route: &Name, side: Side, took: Duration) {
        let tests = self.route(service, route);
        times::record(&mut tests.side(side).times, took);
        let bucket = times::bucket(took);
        match side {
            Side::Serving => {
                let mut good = Vec::new();
                times::record(&mut good, took);
                tests.add_serving(0, &good);
            }
            Side::Trial => tests.add_good_trial(bucket),
        }
    }

    /// An answer was a failure of the version: not a connection that was refused or broke,
    /// which tells of a target, nor a refusal because it was full.
    pub fn record_bad(&mut self, service: &Name, route: &Name, side: Side) {
        let tests = self.route(service, route);
        tests.side(side).bad += 1;
        match side {
            Side::Serving => tests.add_serving(1, &[]),
            Side::Trial => {
                let base = tests.baseline.failure_rate(BaseRate::UNKNOWN);
                tests.failures_test.record(1.0, 0.0, base);
            }
        }
    }

    /// A call was answered after this time, this part of its pieces as failed. It is one answer,
    /// since its pieces share much of its fate, and a large call with one piece failed is no
    /// worse than a small one. Returns whether it counts as a failure.
    pub fn record_partial(
        &mut self,
        service: &Name,
        route: &Name,
        side: Side,
        failed: f64,
        took: Duration,
    ) -> bool {
        let is_bad = self.route(service, route).completes_failure(side, failed);
        match is_bad {
            true => self.record_bad(service, route, side),
            false => self.record_good(service, route, side, took),
        }
        is_bad
    }

    /// All of a service, for the judge.
    pub fn report(&self, service: &str) -> Vec<RouteEvidence> {
        let routes = self.services.get(service).into_iter().flat_map(|routes| routes.values());
        routes.map(|route| route.counts.clone()).collect()
    }

    /// The order is over, or another one began.
    pub fn forget(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Whether this node's own requests alone prove the version on trial bad.
    pub fn proves_bad(&self, service: &str) -> Option<Verdict> {
        let routes = self.services.get(service)?;
        let tests = 2 * routes.len() * ASSUMED_NODES;
        routes.values().find_map(|route| route.proves_bad(tests))
    }
}
