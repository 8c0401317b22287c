//! Monotonic clock of the process, which passes [`Time`] to the state machines.
//!
//! The operating system's monotonic clock stops while the machine is suspended. Leases, ages,
//! windows and deadlines continue, so [`Clock`] includes that time.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::Time;
use tokio::sync::watch;
use tokio::time::Instant;

/// Minimum duration that counts as a suspension. The two clocks are not read at the same moment,
/// and the process may be descheduled between the reads for some tens of milliseconds.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);
/// Time between two checks for a suspension, by the clock that stops during one. A check at each
/// reading of the clock took a node 10 % more processor time.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time to wait for, one century, because `Instant` would overflow.
const MAX_WAIT_MICROS: u64 = 100 * 365 * 86_400 * 1_000_000;

/// Tracks the time for which the machine was suspended.
#[derive(Debug)]
pub struct Suspensions {
    /// Reads how far the clock that includes suspensions is ahead of the one that does not.
    offset: fn() -> Duration,
    /// `offset` at the start.
    base_offset: Duration,
    /// Time of the start.
    start: Instant,
    /// Time suspended since the start, in microseconds.
    total: AtomicU64,
    /// Time of the last comparison of the clocks, in microseconds since the start.
    checked: AtomicU64,
    resumed: watch::Sender<()>,
}

impl Suspensions {
    /// Tracks suspensions from now on. `offset` returns how far the clock that includes
    /// suspensions is ahead of the monotonic one.
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

/// Monotonic clock that includes suspensions; follows `tokio::time::pause` in tests.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    suspensions: &'static Suspensions,
    /// Time suspended before the clock was created.
    suspended_before: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::with_suspensions(Suspensions::machine())
    }
}

impl Clock {
    /// Creates a clock that includes these suspensions.
    pub fn with_suspensions(suspensions: &'static Suspensions) -> Self {
        let start = Instant::now();
        Clock { start, suspensions, suspended_before: suspensions.total(start) }
    }

    /// Time since the clock was created, including suspensions.
    pub fn now(&self) -> Time {
        let now = Instant::now();
        let suspended = self.suspensions.total(now).saturating_sub(self.suspended_before);
        Time((now - self.start + suspended).as_micros() as u64)
    }

    /// Time for which the machine was suspended since the clock was created.
    pub fn suspended(&self) -> Duration {
        self.suspensions.total(Instant::now()).saturating_sub(self.suspended_before)
    }

    /// Instant at which [`Clock::now`] returns `at`, unless the machine is suspended before.
    fn instant(&self, at: Time) -> Instant {
        let at = Duration::from_micros(at.0.min(MAX_WAIT_MICROS));
        self.start + at.saturating_sub(self.suspended())
    }

    /// Waits until [`Clock::now`] returns `at`. Timers stop during a suspension, so waiting tasks
    /// are woken by the first reading of the clock after it. A time in the past also goes through
    /// the runtime's timer, which yields to other tasks.
    pub async fn sleep_until(&self, at: Time) {
        let mut resumed = self.suspensions.resumed.subscribe();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(at)) => return,
                _ = resumed.changed() => {}
            }
        }
    }

    /// Output of `work`, or `None` if [`Clock::now`] reaches `at` before it completes.
    pub async fn timeout_at<T>(&self, at: Time, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            () = self.sleep_until(at) => None,
        }
    }
}

/// Wall-clock Unix time in milliseconds, for keys and for output to operators.
pub fn unix_ms() -> u64 {
    let d = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    d.as_millis() as u64
}
