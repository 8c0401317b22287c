//! Latency histogram: the first bucket ends at 1 ms, each further bound is √2 times the one before,
//! and the last bucket is unbounded.

use std::time::Duration;

/// Number of buckets; the last but one ends after 12 minutes, longer than any request lasts.
const BUCKETS: usize = 40;

/// Bucket of a latency.
pub fn bucket(took: Duration) -> usize {
    let ms = took.as_secs_f64() * 1000.0;
    let place = (2.0 * ms.max(1.0).log2()).ceil();
    (place as usize).min(BUCKETS - 1)
}

/// Upper bound of a bucket.
pub fn upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64(2f64.powf(bucket as f64 / 2.0) / 1000.0)
}

/// Counts one latency.
pub fn record(times: &mut Vec<u32>, took: Duration) {
    let bucket = bucket(took);
    if times.len() <= bucket {
        times.resize(bucket + 1, 0);
    }
    times[bucket] = times[bucket].saturating_add(1);
}

/// Adds `counts` to `to`, bucket by bucket.
pub fn merge(to: &mut Vec<u32>, counts: &[u32]) {
    if to.len() < counts.len() {
        to.resize(counts.len(), 0);
    }
    for (sum, n) in to.iter_mut().zip(counts) {
        *sum = sum.saturating_add(*n);
    }
}

/// Number of samples.
pub fn total(times: &[u32]) -> u64 {
    times.iter().map(|n| u64::from(*n)).sum()
}

/// Number of samples in this bucket and above.
pub fn count_from(times: &[u32], bucket: usize) -> u64 {
    total(times.get(bucket..).unwrap_or_default())
}

/// Bucket that contains the quantile `share`, or `None` without samples.
pub fn quantile(times: &[u32], share: f64) -> Option<usize> {
    let total = total(times);
    let rank = ((share * total as f64).ceil() as u64).max(1);
    let mut sum = 0;
    let reaches = |n: &u32| {
        sum += u64::from(*n);
        sum >= rank
    };
    times.iter().position(reaches)
}
