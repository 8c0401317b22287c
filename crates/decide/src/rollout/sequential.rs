//! A sequential probability ratio test (Wald 1945) that starts anew whenever the evidence
//! speaks for the version (Page's cumulative sum 1954), so that one which turns bad after
//! minutes is seen as soon as one that is bad at once.

/// Chance of a false roll-back that one test may add in a whole roll-out. A false one costs
/// the operator a new order; a missed one is caught by the tests that follow each other until
/// the version is completed, and its harm is bounded by the share. So the first is held low
/// and no bound is put on the second but the time that the test takes.
const FALSE_ALARM_RATE: f64 = 3e-3;
/// Answers after which a sum may have started anew; that many more chances for a false alarm.
const RESTART_ANSWERS: f64 = 25.0;
/// Part of the answers that a bad version spoils at least. Fewer spoilt answers are seen late or
/// not at all, and harm fewer callers; a smaller part here takes more answers to see any.
const MIN_BAD_SHARE: f64 = 0.15;
/// Lowest rate that is believed of the version that serves; a good one fails now and then too.
const MIN_BASE_RATE: f64 = 0.01;
/// Highest one: at 1, a bad answer would tell nothing and a good one would have no odds.
const MAX_BASE_RATE: f64 = 0.9;
/// Weight of what was believed before, in answers.
const PRIOR_WEIGHT: f64 = 20.0;

/// How often answers are bad while a version is good.
#[derive(Debug, Clone, Copy)]
pub struct BaseRate(f64);

impl BaseRate {
    /// Believed where nothing is known.
    pub const UNKNOWN: BaseRate = BaseRate(0.02);

    /// As `bad` of `count` answers and what was believed before tell.
    pub fn estimate(bad: f64, count: f64, prior: BaseRate) -> BaseRate {
        let rate = (bad + PRIOR_WEIGHT * prior.0) / (count + PRIOR_WEIGHT);
        BaseRate(rate.clamp(MIN_BASE_RATE, MAX_BASE_RATE))
    }

    /// The greater of both.
    pub fn max(self, other: BaseRate) -> BaseRate {
        BaseRate(self.0.max(other.0))
    }
}

/// Evidence against a version, as a logarithm of odds that starts anew at 0.
#[derive(Debug, Clone, Copy, Default)]
pub struct SequentialTest {
    sum: f64,
    count: f64,
}

impl SequentialTest {
    /// Evidence that these answers add.
    pub fn log_likelihood_ratio(bad: f64, good: f64, base: BaseRate) -> f64 {
        let if_good = base.0;
        let if_bad = if_good + MIN_BAD_SHARE * (1.0 - if_good);
        bad * (if_bad / if_good).ln() + good * ((1.0 - if_bad) / (1.0 - if_good)).ln()
    }

    /// Takes answers and the evidence that they add.
    pub fn add(&mut self, evidence: f64, count: f64) {
        self.sum = (self.sum + evidence).max(0.0);
        self.count += count;
    }

    /// Takes answers.
    pub fn record(&mut self, bad: f64, good: f64, base: BaseRate) {
        self.add(SequentialTest::log_likelihood_ratio(bad, good, base), bad + good);
    }

    /// Evidence as part of what proves the version bad, where `tests` are made side by side.
    pub fn threshold_ratio(&self, tests: usize) -> f64 {
        let needed = (1.0 / FALSE_ALARM_RATE).ln()
            + (tests.max(1) as f64).ln()
            + (1.0 + self.count / RESTART_ANSWERS).ln();
        self.sum / needed
    }
}
