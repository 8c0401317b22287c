//! What is usual on a route: counted of the version that serves, over the whole time and of
//! late, since an overload or a fault that hits both versions tells nothing of the new one.

use super::sequential::BaseRate;
use super::times;

/// Good answers from which on their times tell what is slow.
const MIN_SAMPLES: u64 = 10;
/// Buckets by which an answer lies above the slowest tenth if it is slow: 1.4 to 2 times.
const BUCKETS_ABOVE_P90: usize = 1;
/// Buckets by which it also lies above the middle: 2 to 2.8 times, which a version three times
/// slower passes.
const BUCKETS_ABOVE_MEDIAN: usize = 2;

/// Answers of the version that serves on one route.
#[derive(Debug, Default)]
pub struct Baseline {
    failed: u64,
    times: Vec<u32>,
    failed_recent: f64,
    times_recent: Vec<f64>,
}

impl Baseline {
    /// Takes answers.
    pub fn record(&mut self, failed: u32, good: &[u32]) {
        self.failed += u64::from(failed);
        self.failed_recent += f64::from(failed);
        times::merge(&mut self.times, good);
        if self.times_recent.len() < good.len() {
            self.times_recent.resize(good.len(), 0.0);
        }
        for (sum, n) in self.times_recent.iter_mut().zip(good) {
            *sum += f64::from(*n);
        }
    }

    /// Keeps this part of the weight of recent answers.
    pub fn decay(&mut self, keep: f64) {
        self.failed_recent *= keep;
        self.times_recent.iter_mut().for_each(|n| *n *= keep);
    }

    /// Failures so far.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// How often an answer is a failure.
    pub fn failure_rate(&self, prior: BaseRate) -> BaseRate {
        let good = times::total(&self.times);
        let whole = BaseRate::estimate(self.failed as f64, (self.failed + good) as f64, prior);
        let good_recent: f64 = self.times_recent.iter().sum();
        BaseRate::estimate(self.failed_recent, self.failed_recent + good_recent, whole)
    }

    /// Bucket from which on a time is slow; `None` if too few are known.
    pub fn slow_bucket(&self) -> Option<usize> {
        if times::total(&self.times) < MIN_SAMPLES {
            return None;
        }
        let median = times::quantile(&self.times, 0.5)?;
        let p90 = times::quantile(&self.times, 0.9)?;
        Some((p90 + BUCKETS_ABOVE_P90).max(median + BUCKETS_ABOVE_MEDIAN) + 1)
    }

    /// How often a time lies in a bucket from this one on.
    pub fn slow_rate(&self, from: usize) -> BaseRate {
        let slow = times::count_from(&self.times, from);
        let good = times::total(&self.times);
        let whole = BaseRate::estimate(slow as f64, good as f64, BaseRate::UNKNOWN);
        let slow_recent: f64 = self.times_recent.iter().skip(from).sum();
        BaseRate::estimate(slow_recent, self.times_recent.iter().sum(), whole)
    }
}
