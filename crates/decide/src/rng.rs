//! Seeded random number generator for the state machines.

use std::time::Duration;

use model::hash;

/// SplitMix64 (Steele, Lea, Flood 2014). With 8 bytes of state, each machine owns a generator.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator; equal seeds give equal sequences.
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    /// Returns 64 uniform random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash::mix(self.0, 0)
    }

    /// Returns a uniform integer below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.next_u64()) * n as u128) >> 64) as usize
    }

    /// Returns a uniform number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniform duration in `[0, max)` (full jitter).
    pub fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.next_f64())
    }

    /// Shuffles a slice (Fisher-Yates).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }
}
