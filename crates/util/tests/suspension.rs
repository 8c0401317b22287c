//! Time goes on while the machine is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use model::Time;
use util::clock::{Clock, Suspensions};

/// Counts what `ahead` tells, from now on.
fn counted(ahead: fn() -> Duration) -> &'static Suspensions {
    Box::leak(Box::new(Suspensions::new(ahead)))
}

fn millis(ahead: &AtomicU64) -> Duration {
    Duration::from_millis(ahead.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn a_suspension_counts_and_what_lies_before_the_start_does_not() {
    static AHEAD: AtomicU64 = AtomicU64::new(70_000);
    let suspensions = counted(|| millis(&AHEAD));
    let clock = Clock::with_suspensions(suspensions);
    assert_eq!(clock.now(), Time::ZERO);
    tokio::time::advance(Duration::from_secs(1)).await;
    AHEAD.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Time::from_millis(6_000));
    // Clocks that are not read at one moment differ by a little, either way.
    for noise in [5_003, 4_990, 5_100, 5_000] {
        let before = clock.now();
        AHEAD.store(70_000 + noise, Ordering::Relaxed);
        tokio::time::advance(Duration::from_millis(20)).await;
        assert_eq!(clock.now(), before + Duration::from_millis(20), "{noise}");
    }
    let later = Clock::with_suspensions(suspensions);
    assert_eq!(later.now(), Time::ZERO);
}

#[tokio::test(start_paused = true)]
async fn deadlines_do_not_wait_for_the_time_that_was_slept() {
    static AHEAD: AtomicU64 = AtomicU64::new(70_000);
    let clock = Clock::with_suspensions(counted(|| millis(&AHEAD)));
    let due = clock.now() + Duration::from_secs(10);
    let begun = tokio::time::Instant::now();
    let sleeps = clock.sleep_until(due);
    let wakes = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        AHEAD.fetch_add(8_000, Ordering::Relaxed);
        // Any look at the clock tells.
        tokio::time::sleep(Duration::from_millis(200)).await;
        clock.now();
    };
    tokio::join!(sleeps, wakes);
    assert_eq!(begun.elapsed(), Duration::from_secs(2));
    assert_eq!(clock.timeout_at(due, std::future::pending::<()>()).await, None, "it is over");
    let soon = clock.now() + Duration::from_secs(1);
    assert_eq!(clock.timeout_at(soon, async { 7 }).await, Some(7));
}

#[tokio::test]
async fn times_that_are_over_leave_others_their_turn() {
    let clock = Clock::default();
    let other = tokio::spawn(async { 7 });
    let spins = async {
        while !other.is_finished() {
            clock.sleep_until(Time::ZERO).await;
        }
    };
    let limit = Duration::from_secs(5);
    tokio::time::timeout(limit, spins).await.expect("the other task had its turn");
}
