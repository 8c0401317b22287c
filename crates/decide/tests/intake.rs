//! The number of requests that a node takes on at the same time.

use std::time::Duration;

use decide::delay::Pace;
use decide::intake::Intake;
use model::Time;

const STEP: Duration = Duration::from_millis(100);

fn begin() -> Time {
    Time::ZERO + Duration::from_secs(5)
}

#[test]
fn a_prompt_node_takes_on_any_number() {
    let mut intake = Intake::default();
    for pace in [Pace::Prompt, Pace::Slowed] {
        assert!(!intake.adjust(5000, pace, begin()));
        assert!(!intake.is_full());
    }
}

#[test]
fn a_late_node_is_full_until_it_has_fewer_requests() {
    let mut intake = Intake::default();
    assert!(intake.adjust(100, Pace::Late, begin()));
    assert!(intake.is_full());
    let limit = intake.limit().expect("a limit has begun");
    assert!((50..100).contains(&limit), "{limit}");
    let later = begin() + STEP / 2;
    assert!(!intake.adjust(limit - 1, Pace::Slowed, later));
    assert!(intake.is_full(), "a single place is not worth listening again");
    intake.adjust(limit * 4 / 5, Pace::Slowed, later);
    assert!(!intake.is_full());
}

#[test]
fn a_node_that_stays_late_takes_on_some_requests() {
    let mut intake = Intake::default();
    for n in 0..100 {
        let open = intake.limit().unwrap_or(100);
        intake.adjust(open, Pace::Late, begin() + STEP * n);
    }
    assert!(intake.limit().is_some_and(|limit| limit >= 8));
}

/// A host whose connections are late while it has more than some number of requests, which end
/// after 300 ms, and that more callers want to use.
#[test]
fn the_limit_settles_near_what_the_host_can_carry() {
    for capacity in [20, 200] {
        let mut intake = Intake::default();
        let (mut open, mut ends) = (0, std::collections::VecDeque::new());
        let mut counts = Vec::new();
        for ms in 0..10_000u64 {
            let now = begin() + Duration::from_millis(ms);
            while ends.front().is_some_and(|end| *end <= ms) {
                ends.pop_front();
                open -= 1;
            }
            let pace = if open > capacity { Pace::Late } else { Pace::Prompt };
            intake.adjust(open, pace, now);
            if !intake.is_full() {
                ends.push_back(ms + 300);
                open += 1;
            }
            counts.push(open);
        }
        let settled = &counts[2000..];
        let mean = settled.iter().sum::<usize>() / settled.len();
        assert!(mean * 10 >= capacity * 7, "{mean} of {capacity}");
        assert!(settled.iter().all(|n| *n <= capacity * 3 / 2), "{capacity}");
    }
}

#[test]
fn a_node_is_overrun_while_its_limit_is_reached_again_and_again() {
    let mut intake = Intake::default();
    intake.adjust(100, Pace::Late, begin());
    assert!(!intake.is_overrun(begin()), "it may be a burst");
    let mut now = begin();
    for _ in 0..15 {
        now = now + STEP;
        let limit = intake.limit().expect("it is reached");
        intake.adjust(limit + 1, Pace::Slowed, now);
    }
    assert!(intake.is_overrun(now));
    assert!(!intake.is_overrun(now + STEP * 6), "nobody was turned away lately");
}

#[test]
fn the_limit_ends_when_it_is_no_longer_reached() {
    let mut intake = Intake::default();
    intake.adjust(100, Pace::Late, begin());
    let ended = (1..50).find(|n| intake.adjust(10, Pace::Prompt, begin() + STEP * *n));
    assert!(ended.is_some_and(|n| n <= 40), "{ended:?}");
    assert_eq!(intake.limit(), None);
}
