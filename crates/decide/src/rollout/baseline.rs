//! Failure rate and latencies of the serving version on one route. Recent answers are weighted
//! separately from the total, since an overload or a fault that hits both versions is no evidence
//! against the new one.

use super::sequential::BaseRate;
use super::times;

/// Successful answers needed before a latency can be called slow.
const MIN_SAMPLES: u64 = 10;
/// Buckets above the 90th percentile at which an answer is slow: 1.4 to 2 times as long.
const BUCKETS_ABOVE_P90: usize = 1;
/// Buckets above the median that a slow answer must also exceed: 2 to 2.8 times as long, so that a
/// version three times slower is detected.
const BUCKETS_ABOVE_MEDIAN: usize = 2;

/// Answers of the serving version on one route.
#[derive(Debug, Default)]
pub struct Baseline {
    failed: u64,
    times: Vec<u32>,
    failed_recent: f64,
    times_recent: Vec<f64>,
}

impl Baseline {
    /// Adds failures and a latency histogram of successful answers.
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

    /// Multiplies the weight of recent answers by `keep`.
    pub fn decay(&mut self, keep: f64) {
        self.failed_recent *= keep;
        self.times_recent.iter_mut().for_each(|n| *n *= keep);
    }

    /// Total number of failures.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Failure rate: the recent one, with the overall rate of this route as its prior.
    pub fn failure_rate(&self, prior: BaseRate) -> BaseRate {
        let good = times::total(&self.times);
        let overall = BaseRate::estimate(self.failed as f64, (self.failed + good) as f64, prior);
        let good_recent: f64 = self.times_recent.iter().sum();
        BaseRate::estimate(self.failed_recent, self.failed_recent + good_recent, overall)
    }

    /// First bucket that counts as slow; `None` while too few answers are known.
    pub fn slow_bucket(&self) -> Option<usize> {
        if times::total(&self.times) < MIN_SAMPLES {
            return None;
        }
        let median = times::quantile(&self.times, 0.5)?;
        let p90 = times::quantile(&self.times, 0.9)?;
        Some((p90 + BUCKETS_ABOVE_P90).max(median + BUCKETS_ABOVE_MEDIAN) + 1)
    }

    /// Share of successful answers in bucket `from` or above.
    pub fn slow_rate(&self, from: usize) -> BaseRate {
        let slow = times::count_from(&self.times, from);
        let good = times::total(&self.times);
        let overall = BaseRate::estimate(slow as f64, good as f64, BaseRate::UNKNOWN);
        let slow_recent: f64 = self.times_recent.iter().skip(from).sum();
        BaseRate::estimate(slow_recent, self.times_recent.iter().sum(), overall)
    }
}
