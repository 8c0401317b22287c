//! How fast engines read prompts, as far as their ends have told.

use std::time::Duration;

/// Tokens from which on a reading tells of the pace; the time for fewer is that of the first
/// token and of the way.
const MIN_SAMPLE_TOKENS: u64 = 4_000;
/// Weight of the newest reading in the running mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Running mean of tokens read in a millisecond by one engine.
#[derive(Debug, Default)]
pub(super) struct Throughput(Option<f64>);

impl Throughput {
    /// So many tokens, those ahead included, were read within this time.
    pub(super) fn record(&mut self, tokens: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if tokens < MIN_SAMPLE_TOKENS || ms < 1.0 {
            return;
        }
        let rate = tokens as f64 / ms;
        let mean = self.0.map_or(rate, |mean| mean + SAMPLE_WEIGHT * (rate - mean));
        self.0 = Some(mean);
    }

    /// Time expected for so many tokens; `None` before anything was read.
    pub(super) fn read_time(&self, tokens: u64) -> Option<Duration> {
        let ms = tokens as f64 / self.0?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }
}
