//! Evidence from one node's own requests for both versions of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Answers, RouteEvidence, Side};
use model::{Name, Time};

use super::baseline::Baseline;
use super::sequential::{BaseRate, SequentialTest};
use super::{Cause, Verdict, VersionCounts, times};

/// Factor by which each new answer scales the weight of recent ones: about the last fifty count.
const DECAY_FACTOR: f64 = 0.98;
/// Assumed number of nodes that judge on their own at the same time, each with its chance of a
/// false alarm.
const ASSUMED_NODES: usize = 100;

/// Time within which late answers at one node count as one burst: when a pause of its host or link
/// ends, all delayed answers arrive within milliseconds. So at most one late answer in 20 ms
/// counts, 50 a second for a node and route, which is enough to prove a version slow.
const BURST_WINDOW: Duration = Duration::from_millis(20);

/// Rounding error of a sum of parts that make a whole.
const ROUNDING_ERROR: f64 = 1e-6;

/// Answers on one route and the tests against its baseline.
#[derive(Debug)]
struct RouteTests {
    counts: RouteEvidence,
    baseline: Baseline,
    /// Successful answers of the trial version that were too slow.
    slow: u64,
    failures_test: SequentialTest,
    slow_test: SequentialTest,
    /// Failed parts of calls that are not counted yet: serving version, trial version.
    partial_failures: (f64, f64),
    /// Time of the last late answer of either version.
    last_late: Option<Time>,
    /// Time of the last silence that was counted: serving version, trial version.
    last_silence: (Option<Time>, Option<Time>),
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
            last_silence: (None, None),
        }
    }

    /// Whether a run that began at `begun` and was replaced for its target's silence is to be counted.
    fn counts_silence(&mut self, side: Side, begun: Time, now: Time) -> bool {
        let last = match side {
            Side::Serving => &mut self.last_silence.0,
            Side::Trial => &mut self.last_silence.1,
        };
        let is_new = last.is_none_or(|at| begun >= at);
        if is_new {
            *last = Some(now);
        }
        is_new
    }

    fn side(&mut self, side: Side) -> &mut Answers {
        match side {
            Side::Serving => &mut self.counts.serving,
            Side::Trial => &mut self.counts.trial,
        }
    }

    /// Adds the failed part of a call; returns whether the sum now completes one failure, which is
    /// then counted.
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

/// Answers of both versions since the order, by service and route.
#[derive(Debug, Default)]
pub struct Evidence {
    services: BTreeMap<Name, BTreeMap<Name, RouteTests>>,
}

impl Evidence {
    fn route(&mut self, service: &Name, route: &Name) -> &mut RouteTests {
        let routes = self.services.entry(service.clone()).or_default();
        routes.entry(route.clone()).or_insert_with(|| RouteTests::new(route.clone()))
    }

    /// Counts requests sent, repeats included; requests that share a call are counted separately,
    /// though they will have one answer.
    pub fn record_sent(&mut self, service: &Name, route: &Name, side: Side, count: u32) {
        self.route(service, route).side(side).sent += count;
    }

    /// Records the time of a successful answer that came late. Returns whether another one, of
    /// either version, came late shortly before: both were then delayed by one cause, which must
    /// not count twice.
    pub fn record_late(&mut self, service: &Name, route: &Name, took: Duration, now: Time) -> bool {
        let tests = self.route(service, route);
        let from = tests.baseline.slow_bucket();
        if from.is_none_or(|from| times::bucket(took) < from) {
            return false;
        }
        let last = tests.last_late.replace(now);
        last.is_some_and(|at| now.since(at) < BURST_WINDOW)
    }

    /// Records a successful answer after this time, from a target that was not cold.
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

    /// Records an answer that was a failure of the version. A connection that was refused or broke
    /// concerns the target, and a refusal for lack of capacity is no failure.
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

    /// Records that a run was replaced because its target was silent. Runs that were in flight
    /// together count once, since one pause delays them all. Returns whether it counts as a failure.
    pub fn record_silence(
        &mut self,
        service: &Name,
        route: &Name,
        side: Side,
        begun: Time,
        now: Time,
    ) -> bool {
        let is_bad = self.route(service, route).counts_silence(side, begun, now);
        if is_bad {
            self.record_bad(service, route, side);
        }
        is_bad
    }

    /// Records the answer to a call after this time, with the part of its pieces that failed. It
    /// counts as one answer, since its pieces largely share one fate, and a large call with one
    /// failed piece is no worse than a small one. Returns whether it counts as a failure.
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

    /// Cumulative counts of a service, for a report to the judge.
    pub fn report(&self, service: &str) -> Vec<RouteEvidence> {
        let routes = self.services.get(service).into_iter().flat_map(|routes| routes.values());
        routes.map(|route| route.counts.clone()).collect()
    }

    /// Drops the evidence of a service whose order ended or was replaced.
    pub fn forget(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Verdict if this node's own requests alone prove the trial version bad.
    pub fn proves_bad(&self, service: &str) -> Option<Verdict> {
        let routes = self.services.get(service)?;
        let tests = 2 * routes.len() * ASSUMED_NODES;
        routes.values().find_map(|route| route.proves_bad(tests))
    }
}
