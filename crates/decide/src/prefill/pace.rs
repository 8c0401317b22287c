//! How fast engines read prompts, as far as their ends have told.

use std::time::Duration;

/// Tokens from which on a reading tells of the pace; the time for fewer is that of the first
/// token and of the way.
const TELLING: u64 = 4_000;
/// Weight of the newest reading in the running mean.
const NEWEST: f64 = 0.1;

/// Running mean of tokens read in a millisecond by one engine.
#[derive(Debug, Default)]
pub(super) struct Pace(Option<f64>);

impl Pace {
    /// So many tokens, those ahead included, were read within this time.
    pub(super) fn note(&mut self, tokens: u64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if tokens < TELLING || ms < 1.0 {
            return;
        }
        let seen = tokens as f64 / ms;
        let mean = self.0.map_or(seen, |mean| mean + NEWEST * (seen - mean));
        self.0 = Some(mean);
    }

    /// Time expected for so many tokens; `None` before anything was read.
    pub(super) fn time_of(&self, tokens: u64) -> Option<Duration> {
        let ms = tokens as f64 / self.0?;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }
}
