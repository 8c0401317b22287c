//! Prefill throughput of engines, learned from finished prompts.

use std::time::Duration;

/// Minimum number of tokens in a sample. The time of fewer is dominated by the first token and the
/// network.
const MIN_SAMPLE_TOKENS: u64 = 4_000;
/// Weight of the newest sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Running mean of the tokens read per millisecond by one engine.
#[derive(Debug, Default)]
pub(super) struct Throughput(Option<f64>);

impl Throughput {
    /// Records the time to read `tokens`, those queued ahead included.
    pub(super) fn record(&mut self, tokens: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if tokens < MIN_SAMPLE_TOKENS || ms < 1.0 {
            return;
        }
        let rate = tokens as f64 / ms;
        let mean = self.0.map_or(rate, |mean| mean + SAMPLE_WEIGHT * (rate - mean));
        self.0 = Some(mean);
    }

    /// Expected time to read `tokens`; `None` before the first sample.
    pub(super) fn read_time(&self, tokens: u64) -> Option<Duration> {
        let ms = tokens as f64 / self.0?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }
}
