//! The process's steady clock, handed to decisions as [`Time`].
//!
//! The operating system's steady clock stands still while the machine is suspended. Leases, ages,
//! windows and deadlines do not, so that [`Clock`] counts that time too.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::Time;
use tokio::sync::watch;
use tokio::time::Instant;

/// Least time that counts as a suspension: the two clocks are not read at one moment, and a
/// process may be left without its processor in between for some tens of milliseconds.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);
/// Time between two looks at whether the machine was suspended, by the clock that stands still
/// meanwhile. With one at each reading of the clock a node took a tenth more of its processor.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A century away is never; `Instant` would overflow.
const MAX_WAIT_MICROS: u64 = 100 * 365 * 86_400 * 1_000_000;

/// Time for which the machine was suspended.
#[derive(Debug)]
pub struct Suspensions {
    /// Time by which the clock that counts suspension is ahead of the one that does not.
    offset: fn() -> Duration,
    /// The same at the start.
    base_offset: Duration,
    /// When that was.
    start: Instant,
    /// Time suspended since then, in microseconds.
    total: AtomicU64,
    /// When the clocks were last compared, in microseconds after the start.
    checked: AtomicU64,
    resumed: watch::Sender<()>,
}

impl Suspensions {
    /// Counts from now on; `ahead` tells by how much the clock that counts suspension is ahead
    /// of the steady one.
    pub fn new(offset: fn() -> Duration) -> Self {
        let base_offset = offset().max(offset());
        Suspensions {
            offset,
            base_offset,
            start: Instant::now(),
            total: AtomicU64::new(0),
            checked: AtomicU64::new(0),
            resumed: watch::Sender::new(()),
        }
    }

    fn machine() -> &'static Suspensions {
        static MACHINE: OnceLock<Suspensions> = OnceLock::new();
        MACHINE.get_or_init(|| Suspensions::new(boottime_offset))
    }

    fn total(&self, now: Instant) -> Duration {
        let known = Duration::from_micros(self.total.load(Ordering::Relaxed));
        let passed = now.saturating_duration_since(self.start).as_micros() as u64;
        let checked = self.checked.load(Ordering::Relaxed);
        if passed < checked + CHECK_INTERVAL.as_micros() as u64 {
            return known;
        }
        self.checked.store(passed, Ordering::Relaxed);
        let measured = (self.offset)().saturating_sub(self.base_offset);
        if measured < known + MIN_SUSPENSION {
            return known;
        }
        self.total.store(measured.as_micros() as u64, Ordering::Relaxed);
        self.resumed.send_replace(());
        measured
    }
}

#[cfg(target_os = "linux")]
fn boottime_offset() -> Duration {
    use nix::time::{ClockId, clock_gettime};
    let read = |clock| clock_gettime(clock).map_or(Duration::ZERO, Duration::from);
    let boot = read(ClockId::CLOCK_BOOTTIME);
    boot.saturating_sub(read(ClockId::CLOCK_MONOTONIC))
}

#[cfg(not(target_os = "linux"))]
fn boottime_offset() -> Duration {
    Duration::ZERO
}

/// Reads the steady clock and counts suspension; follows `tokio::time::pause` in tests.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    suspensions: &'static Suspensions,
    /// Time suspended before the clock was made.
    suspended_before: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::with_suspensions(Suspensions::machine())
    }
}

impl Clock {
    /// A clock that counts these suspensions.
    pub fn with_suspensions(suspensions: &'static Suspensions) -> Self {
        let start = Instant::now();
        Clock { start, suspensions, suspended_before: suspensions.total(start) }
    }

    /// Time since the clock was made.
    pub fn now(&self) -> Time {
        let now = Instant::now();
        let suspended = self.suspensions.total(now).saturating_sub(self.suspended_before);
        Time((now - self.start + suspended).as_micros() as u64)
    }

    /// Time for which the machine was suspended since the clock was made.
    pub fn suspended(&self) -> Duration {
        self.suspensions.total(Instant::now()).saturating_sub(self.suspended_before)
    }

    /// The instant at which [`Clock::now`] reads `at`, unless the machine is suspended before.
    fn instant(&self, at: Time) -> Instant {
        let at = Duration::from_micros(at.0.min(MAX_WAIT_MICROS));
        self.start + at.saturating_sub(self.suspended())
    }

    /// Returns once [`Clock::now`] reads `at`. Timers stand still with the machine: whoever waits
    /// is woken when anybody reads the clock after a suspension. A time that is over is left to
    /// the runtime's timer too, which gives other tasks their turn.
    pub async fn sleep_until(&self, at: Time) {
        let mut resumed = self.suspensions.resumed.subscribe();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(at)) => return,
                _ = resumed.changed() => {}
            }
        }
    }

    /// What `work` brings, if that is before [`Clock::now`] reads `at`.
    pub async fn timeout_at<T>(&self, at: Time, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            () = self.sleep_until(at) => None,
        }
    }
}

/// Wall-clock milliseconds since 1970, for keys and for what operators read.
pub fn unix_ms() -> u64 {
    let d = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    d.as_millis() as u64
}
