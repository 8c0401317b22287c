//! A small seeded generator for choices inside machines.

use std::time::Duration;

use model::hash;

/// Splitmix64 (Steele, Lea, Flood 2014); 8 bytes of state, so each machine has its own.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    /// The next 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash::mix(self.0, 0)
    }

    /// A number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.next_u64()) * n as u128) >> 64) as usize
    }

    /// A number in 0..1.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A duration in 0..`most`: full jitter.
    pub fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.next_f64())
    }

    /// Puts a slice in random order (Fisher-Yates).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }
}
