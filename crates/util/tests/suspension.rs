//! The clock includes the time for which the machine was suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use model::Time;
use util::clock::{Clock, Suspensions};

/// Tracks suspensions by `offset` from now on.
fn track(offset: fn() -> Duration) -> &'static Suspensions {
    Box::leak(Box::new(Suspensions::new(offset)))
}

fn millis(offset: &AtomicU64) -> Duration {
    Duration::from_millis(offset.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn clock_includes_suspensions_after_its_start_only() {
    static OFFSET_MS: AtomicU64 = AtomicU64::new(70_000);
    let suspensions = track(|| millis(&OFFSET_MS));
    let clock = Clock::with_suspensions(suspensions);
    assert_eq!(clock.now(), Time::ZERO);
    tokio::time::advance(Duration::from_secs(1)).await;
    OFFSET_MS.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Time::from_millis(6_000));
    // Clocks that are not read at the same moment differ slightly in either direction.
    for noise in [5_003, 4_990, 5_100, 5_000] {
        let before = clock.now();
        OFFSET_MS.store(70_000 + noise, Ordering::Relaxed);
        tokio::time::advance(Duration::from_millis(20)).await;
        assert_eq!(clock.now(), before + Duration::from_millis(20), "{noise}");
    }
    let later = Clock::with_suspensions(suspensions);
    assert_eq!(later.now(), Time::ZERO);
}

#[tokio::test(start_paused = true)]
async fn deadlines_include_suspended_time() {
    static OFFSET_MS: AtomicU64 = AtomicU64::new(70_000);
    let clock = Clock::with_suspensions(track(|| millis(&OFFSET_MS)));
    let due = clock.now() + Duration::from_secs(10);
    let started = tokio::time::Instant::now();
    let sleeping = clock.sleep_until(due);
    let waking = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        OFFSET_MS.fetch_add(8_000, Ordering::Relaxed);
        // Any reading of the clock detects the suspension.
        tokio::time::sleep(Duration::from_millis(200)).await;
        clock.now();
    };
    tokio::join!(sleeping, waking);
    assert_eq!(started.elapsed(), Duration::from_secs(2));
    assert_eq!(
        clock.timeout_at(due, std::future::pending::<()>()).await,
        None,
        "the deadline has passed"
    );
    let soon = clock.now() + Duration::from_secs(1);
    assert_eq!(clock.timeout_at(soon, async { 7 }).await, Some(7));
}

#[tokio::test]
async fn past_deadlines_yield_to_other_tasks() {
    let clock = Clock::default();
    let other = tokio::spawn(async { 7 });
    let spinning = async {
        while !other.is_finished() {
            clock.sleep_until(Time::ZERO).await;
        }
    };
    let limit = Duration::from_secs(5);
    tokio::time::timeout(limit, spinning).await.expect("the other task runs");
}
