//! Times of answers in buckets: the first one ends at a millisecond, each other at √2 times the
//! one before, the last one has no end.

use std::time::Duration;

/// Count of buckets; the last but one ends after 12 minutes, longer than any request lasts.
const BUCKETS: usize = 40;

/// Bucket of a time.
pub fn bucket(took: Duration) -> usize {
    let ms = took.as_secs_f64() * 1000.0;
    let place = (2.0 * ms.max(1.0).log2()).ceil();
    (place as usize).min(BUCKETS - 1)
}

/// Where a bucket ends.
pub fn upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64(2f64.powf(bucket as f64 / 2.0) / 1000.0)
}

/// Counts a time.
pub fn record(times: &mut Vec<u32>, took: Duration) {
    let bucket = bucket(took);
    if times.len() <= bucket {
        times.resize(bucket + 1, 0);
    }
    times[bucket] = times[bucket].saturating_add(1);
}

/// Adds counts bucket by bucket.
pub fn merge(to: &mut Vec<u32>, counts: &[u32]) {
    if to.len() < counts.len() {
        to.resize(counts.len(), 0);
    }
    for (sum, n) in to.iter_mut().zip(counts) {
        *sum = sum.saturating_add(*n);
    }
}

/// How many there are.
pub fn total(times: &[u32]) -> u64 {
    times.iter().map(|n| u64::from(*n)).sum()
}

/// How many lie in buckets from this one on.
pub fn count_from(times: &[u32], bucket: usize) -> u64 {
    total(times.get(bucket..).unwrap_or_default())
}

/// The bucket up to whose end this share of them lies.
pub fn quantile(times: &[u32], share: f64) -> Option<usize> {
    let total = total(times);
    let wanted = ((share * total as f64).ceil() as u64).max(1);
    let mut sum = 0;
    let reaches = |n: &u32| {
        sum += u64::from(*n);
        sum >= wanted
    };
    times.iter().position(reaches)
}
