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

/// Counts a time.
pub fn count(times: &mut Vec<u32>, took: Duration) {
    let bucket = bucket(took);
    if times.len() <= bucket {
        times.resize(bucket + 1, 0);
    }
    times[bucket] = times[bucket].saturating_add(1);
}
