//! Sum of the evidence of all nodes.
//!
//! Each report carries a node's cumulative counts since the order. Only the increase since its last
//! report is added, so a lost report loses nothing and a duplicate or late one adds nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use model::forward::{Answers, RouteEvidence};
use model::member::NodeId;
use model::{Name, Time};

use super::baseline::Baseline;
use super::sequential::{BaseRate, SequentialTest};
use super::{Cause, Verdict, VersionCounts, times};

/// Time after which recent requests and answers lose two thirds of their weight.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Minimum time between two decay steps.
const MIN_DECAY_STEP: Duration = Duration::from_millis(50);

/// Evidence of one route, summed over all nodes.
#[derive(Debug, Default)]
struct RouteState {
    baseline: Baseline,
    serving: VersionCounts,
    trial: VersionCounts,
    failures: SequentialTest,
    slow: SequentialTest,
}

/// Evidence for both versions, summed over all nodes and routes.
#[derive(Debug)]
pub struct EvidencePool {
    last: BTreeMap<NodeId, BTreeMap<Name, RouteEvidence>>,
    routes: BTreeMap<Name, RouteState>,
    failures: SequentialTest,
    slow: SequentialTest,
    /// Latency histogram of the serving version's successful answers, all routes.
    times: Vec<u32>,
    serving: VersionCounts,
    trial: VersionCounts,
    sent_recent: f64,
    decayed_at: Time,
    since: Time,
}

impl EvidencePool {
    /// Starts without any evidence.
    pub fn new(now: Time) -> Self {
        EvidencePool {
            last: BTreeMap::new(),
            routes: BTreeMap::new(),
            failures: SequentialTest::default(),
            slow: SequentialTest::default(),
            times: Vec::new(),
            serving: VersionCounts::default(),
            trial: VersionCounts::default(),
            sent_recent: 0.0,
            decayed_at: now,
            since: now,
        }
    }

    /// Merges the cumulative counts that a node reported.
    pub fn merge_report(&mut self, node: &NodeId, evidence: Vec<RouteEvidence>, now: Time) {
        self.decay(now);
        let is_first = !self.last.contains_key(node);
        let mut last = self.last.remove(node).unwrap_or_default();
        for seen in evidence {
            let before = last.get(&seen.route);
            let serving = increase(&seen.serving, before.map(|b| &b.serving));
            let trial = increase(&seen.trial, before.map(|b| &b.trial));
            let (Some(serving), Some(trial)) = (serving, trial) else {
                continue;
            };
            if !is_first {
                self.sent_recent += f64::from(serving.sent) + f64::from(trial.sent);
            }
            self.add(&seen.route, &serving, &trial);
            last.insert(seen.route.clone(), seen);
        }
        self.last.insert(node.clone(), last);
    }

    fn add(&mut self, route: &Name, serving: &Answers, trial: &Answers) {
        let overall = self.overall_base_rate();
        let route = self.routes.entry(route.clone()).or_default();
        route.baseline.record(serving.bad, &serving.times);
        times::merge(&mut self.times, &serving.times);
        let base = route.baseline.failure_rate(overall);
        let good = times::total(&trial.times) as f64;
        let bad = f64::from(trial.bad);
        let evidence = SequentialTest::log_likelihood_ratio(bad, good, base);
        route.failures.add(evidence, bad + good);
        self.failures.add(evidence, bad + good);
        let from = route.baseline.slow_bucket();
        let count_slow = |counts: &[u32]| from.map_or(0, |from| times::count_from(counts, from));
        let slow = count_slow(&trial.times);
        if let Some(from) = from {
            // A delay that hits both versions at the same time is no evidence against the new one.
            let (late, all) = (count_slow(&serving.times), times::total(&serving.times));
            let base = route.baseline.slow_rate(from);
            let base = base.max(BaseRate::estimate(late as f64, all as f64, base));
            let evidence =
                SequentialTest::log_likelihood_ratio(slow as f64, good - slow as f64, base);
            route.slow.add(evidence, good);
            self.slow.add(evidence, good);
        }
        let serving_bad = u64::from(serving.bad) + count_slow(&serving.times);
        for tally in [&mut route.serving, &mut self.serving] {
            tally.sent += u64::from(serving.sent);
            tally.bad += serving_bad;
        }
        for tally in [&mut route.trial, &mut self.trial] {
            tally.sent += u64::from(trial.sent);
            tally.bad += u64::from(trial.bad) + slow;
        }
    }

    /// Failure rate of the serving version over all routes, the prior for a route on which it was
    /// not seen.
    fn overall_base_rate(&self) -> BaseRate {
        let failed: u64 = self.routes.values().map(|route| route.baseline.failed()).sum();
        let good = times::total(&self.times);
        BaseRate::estimate(failed as f64, (failed + good) as f64, BaseRate::UNKNOWN)
    }

    fn decay(&mut self, now: Time) {
        let passed = now.since(self.decayed_at);
        if passed < MIN_DECAY_STEP {
            return;
        }
        self.decayed_at = now;
        let keep = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.sent_recent *= keep;
        self.routes.values_mut().for_each(|route| route.baseline.decay(keep));
    }

    /// Highest test score against the trial version, where 1 proves it bad, and its verdict.
    pub fn strongest(&self) -> (f64, Verdict) {
        let tests = 2 * (self.routes.len() + 1);
        let of_all =
            |cause, test: &SequentialTest| (test.threshold_ratio(tests), self.verdict(cause, None));
        let mut strongest = of_all(Cause::Failures, &self.failures);
        let slow = of_all(Cause::Slow, &self.slow);
        if slow.0 > strongest.0 {
            strongest = slow;
        }
        for (name, route) in &self.routes {
            for (cause, test) in [(Cause::Failures, route.failures), (Cause::Slow, route.slow)] {
                let ratio = test.threshold_ratio(tests);
                if ratio > strongest.0 {
                    strongest = (ratio, self.verdict(cause, Some(name)));
                }
            }
        }
        strongest
    }

    /// Builds a verdict with the counts of one route, or of all routes if `route` is `None`.
    pub fn verdict(&self, cause: Cause, route: Option<&Name>) -> Verdict {
        let of_route = route.and_then(|name| self.routes.get(name));
        let (trial, serving) =
            of_route.map_or((self.trial, self.serving), |route| (route.trial, route.serving));
        Verdict { cause, route: route.cloned(), trial, serving }
    }

    /// Requests sent to either version.
    pub fn sent(&self) -> u64 {
        self.serving.sent + self.trial.sent
    }

    /// Requests sent to the trial version.
    pub fn trial_sent(&self) -> u64 {
        self.trial.sent
    }

    /// Recent requests a second.
    pub fn rate(&self, now: Time) -> f64 {
        let seen = now.since(self.since).as_secs_f64();
        let weight = DECAY_TIME.as_secs_f64() * (1.0 - (-seen / DECAY_TIME.as_secs_f64()).exp());
        let kept = (-now.since(self.decayed_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.sent_recent * kept / weight.max(0.1)
    }

    /// Quantile of the serving version's successful answer times.
    pub fn latency(&self, share: f64) -> Option<Duration> {
        times::quantile(&self.times, share).map(times::upper_bound)
    }
}

/// Increase of cumulative counts; `None` if `new` is older than `old`.
fn increase(new: &Answers, old: Option<&Answers>) -> Option<Answers> {
    let Some(old) = old else {
        return Some(new.clone());
    };
    let mut times = Vec::with_capacity(new.times.len());
    for (bucket, n) in new.times.iter().enumerate() {
        times.push(n.checked_sub(old.times.get(bucket).copied().unwrap_or(0))?);
    }
    if old.times.len() > new.times.len() {
        return None;
    }
    Some(Answers {
        sent: new.sent.checked_sub(old.sent)?,
        bad: new.bad.checked_sub(old.bad)?,
        times,
    })
}
