//! A sequential probability ratio test (Wald 1945) that restarts whenever the evidence favors the
//! version (Page's cumulative sum 1954), so a version that turns bad after minutes is detected as
//! fast as one that is bad from the start.

/// Probability of a false rollback that one test may add over a whole rollout. A false rollback
/// costs the operator a new order; a missed bad version is caught by the further tests until the
/// rollout completes, and its harm is bounded by the share. So this rate is kept low, and misses
/// are limited only by the time that the test takes.
const FALSE_ALARM_RATE: f64 = 3e-3;
/// Answers after which a sum may have restarted; each restart is one more chance of a false alarm.
const RESTART_ANSWERS: f64 = 25.0;
/// Minimum share of answers that a bad version spoils. Fewer are detected late or never, and harm
/// fewer callers; a lower value needs more answers to detect any fault.
const MIN_BAD_SHARE: f64 = 0.15;
/// Lowest assumed base rate; a good version fails now and then too.
const MIN_BASE_RATE: f64 = 0.01;
/// Highest assumed base rate: at 1, a bad answer would be no evidence and a good one would have no
/// odds.
const MAX_BASE_RATE: f64 = 0.9;
/// Weight of the prior, in answers.
const PRIOR_WEIGHT: f64 = 20.0;

/// Rate of bad answers expected of a good version.
#[derive(Debug, Clone, Copy)]
pub struct BaseRate(f64);

impl BaseRate {
    /// Rate assumed without any data.
    pub const UNKNOWN: BaseRate = BaseRate(0.02);

    /// Estimates the rate from `bad` of `count` answers and a prior.
    pub fn estimate(bad: f64, count: f64, prior: BaseRate) -> BaseRate {
        let rate = (bad + PRIOR_WEIGHT * prior.0) / (count + PRIOR_WEIGHT);
        BaseRate(rate.clamp(MIN_BASE_RATE, MAX_BASE_RATE))
    }

    /// The higher of both rates.
    pub fn max(self, other: BaseRate) -> BaseRate {
        BaseRate(self.0.max(other.0))
    }
}

/// Cumulative log-likelihood ratio against a version, which restarts at 0.
#[derive(Debug, Clone, Copy, Default)]
pub struct SequentialTest {
    sum: f64,
    count: f64,
}

impl SequentialTest {
    /// Log-likelihood ratio of these answers: bad version against good version.
    pub fn log_likelihood_ratio(bad: f64, good: f64, base: BaseRate) -> f64 {
        let if_good = base.0;
        let if_bad = if_good + MIN_BAD_SHARE * (1.0 - if_good);
        bad * (if_bad / if_good).ln() + good * ((1.0 - if_bad) / (1.0 - if_good)).ln()
    }

    /// Adds the log-likelihood ratio of `count` answers.
    pub fn add(&mut self, evidence: f64, count: f64) {
        self.sum = (self.sum + evidence).max(0.0);
        self.count += count;
    }

    /// Adds bad and good answers.
    pub fn record(&mut self, bad: f64, good: f64, base: BaseRate) {
        self.add(SequentialTest::log_likelihood_ratio(bad, good, base), bad + good);
    }

    /// Sum relative to the threshold (1 proves the version bad), with `tests` run side by side.
    pub fn threshold_ratio(&self, tests: usize) -> f64 {
        let needed = (1.0 / FALSE_ALARM_RATE).ln()
            + (tests.max(1) as f64).ln()
            + (1.0 + self.count / RESTART_ANSWERS).ln();
        self.sum / needed
    }
}
