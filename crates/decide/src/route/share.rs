//! Share of a pool's traffic that each prefix has, as seen by one node: a sketch of fixed size with
//! decaying counters, so it needs no allocation and stores no keys.

use model::hash::mix;

/// Counters in one row.
const WIDTH: usize = 1024;
/// Number of rows; the lowest counter of a prefix is the best estimate (count-min, Cormode and
/// Muthukrishnan 2005).
const ROWS: usize = 2;
/// Requests after which all counters are halved.
const HALVE_AFTER: u32 = 2048;
/// Requests needed before a share is significant.
const MIN_REQUESTS: u32 = 64;

/// Sketch of the share of each prefix.
#[derive(Debug, Clone)]
pub struct PrefixShares {
    counts: Box<[[u32; WIDTH]; ROWS]>,
    total: u32,
}

impl Default for PrefixShares {
    fn default() -> Self {
        PrefixShares { counts: Box::new([[0; WIDTH]; ROWS]), total: 0 }
    }
}

impl PrefixShares {
    /// Counts one request and returns its prefix's share of all requests; 0 while too few were
    /// seen.
    pub fn count(&mut self, prefix: u64) -> f64 {
        self.total += 1;
        let mut least = u32::MAX;
        for (row, counts) in self.counts.iter_mut().enumerate() {
            let slot = mix(prefix, row as u64 + 1) as usize % WIDTH;
            counts[slot] += 1;
            least = least.min(counts[slot]);
        }
        if self.total >= HALVE_AFTER {
            self.total /= 2;
            self.counts.iter_mut().flatten().for_each(|c| *c /= 2);
        }
        if self.total < MIN_REQUESTS { 0.0 } else { f64::from(least) / f64::from(self.total) }
    }
}
