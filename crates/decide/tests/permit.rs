//! Limits that targets name, and permits to send requests there.

use std::time::Duration;

use decide::permit::{
    Grant, LimitChange, LimitObservation, Limits, PermitIssuer, RetryPacer, issue_rate,
};
use model::Time;
use model::forward::{LimitWord, NamedLimit, TargetId};
use proptest::prelude::*;

/// Span in which the platform counts what a target gets.
const WINDOW: Duration = Duration::from_secs(4);
/// Keepers that may give out permits for one target at the same time: the one that some nodes
/// still ask, and the one that others ask already.
const KEEPERS: usize = 2;
/// Time by which one request may come later than another after its permit: a permit's own time.
const STRAY: Duration = Duration::from_millis(250);

fn target() -> TargetId {
    TargetId::new("i-1", 7)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn word(per_s: Option<f64>, sent: u64, came: u64) -> LimitObservation {
    LimitObservation { per_s, sent_at: at(sent), received_at: at(came) }
}

/// What the platform lets a target get in the window that names such a limit.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0).floor() as usize
}

/// Times at which one keeper gives out permits to askers that never rest.
fn granted(per_s: f64, idle: Duration, time: Duration) -> Vec<Time> {
    let mut book = PermitIssuer::default();
    book.merge(&target(), word(Some(per_s), 0, 1), at(1));
    let begin = at(1) + idle;
    let mut granted = Vec::new();
    let mut now = begin;
    while now < begin + time {
        if book.request(&target(), &"n-1".into(), 1, now) == Grant::Now {
            granted.push(now);
        }
        now = now + Duration::from_millis(1);
    }
    granted
}

#[test]
fn two_keepers_and_late_requests_stay_within_what_a_target_may_get() {
    for per_s in [0.0, 0.01, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 50.0, 400.0] {
        for idle in [Duration::ZERO, Duration::from_secs(40)] {
            let times = granted(per_s, idle, Duration::from_secs(12));
            let span = WINDOW + STRAY;
            let count =
                |first: Time| times.iter().filter(|t| **t >= first && **t < first + span).count();
            let most = times.iter().map(|first| count(*first)).max().unwrap_or(0);
            let (all, allowed) = (KEEPERS * most, allowed(per_s));
            assert!(all <= allowed, "{per_s} a second, idle {idle:?}: {all} of {allowed}");
        }
    }
}

#[test]
fn at_least_half_of_a_limit_is_given_out_and_something_of_any() {
    for per_s in [0.2, 0.5, 1.0, 5.0, 50.0] {
        let times = granted(per_s, Duration::ZERO, Duration::from_secs(60));
        let least = (0.5 * per_s * 60.0) as usize;
        assert!(times.len() >= least, "{per_s} a second: {} of {least} in a minute", times.len());
    }
    let times = granted(0.0, Duration::ZERO, Duration::from_secs(60));
    assert!(!times.is_empty(), "a target that gets nothing cannot say that its limit is over");
}

#[test]
fn a_new_keeper_has_nothing_saved_up() {
    let mut book = PermitIssuer::default();
    book.merge(&target(), word(Some(1.0), 0, 10), at(10));
    assert!(matches!(book.request(&target(), &"n-1".into(), 1, at(10)), Grant::Later(_)));
}

#[test]
fn those_sent_away_may_ask_again_one_after_the_other() {
    let mut book = PermitIssuer::default();
    book.merge(&target(), word(Some(2.0), 0, 10), at(10));
    let each = Duration::from_secs_f64(1.0 / issue_rate(2.0));
    let mut told = Vec::new();
    for n in 0..20 {
        match book.request(&target(), &format!("n-{n}").into(), 1, at(10)) {
            Grant::Later(after) => told.push(after),
            other => panic!("{other:?}"),
        }
    }
    assert!(told[1] - told[0] >= each - Duration::from_millis(1), "{told:?}");
    let again = book.request(&target(), &"n-1".into(), 1, at(10));
    assert_eq!(again, Grant::Later(told[1]), "a node with several requests waits once");
    let longest = *told.last().expect("some were sent away");
    assert!(longest <= each + Duration::from_secs(2), "not for longer than they may have work");
}

#[test]
fn a_call_of_pieces_takes_as_many_permits() {
    let mut book = PermitIssuer::default();
    book.merge(&target(), word(Some(1.0), 0, 10), at(10));
    assert_eq!(book.request(&target(), &"n-1".into(), 2, at(20_000)), Grant::Now);
    assert!(matches!(book.request(&target(), &"n-1".into(), 1, at(20_000)), Grant::Later(_)));
}

#[test]
fn of_two_words_the_later_one_holds_and_the_tighter_one_in_doubt() {
    let table = [
        // The second was said later.
        ((Some(1.0), 0, 10), (None, 10, 20), None),
        ((Some(1.0), 0, 10), (Some(5.0), 10, 20), Some(5.0)),
        ((None, 0, 10), (Some(5.0), 10, 20), Some(5.0)),
        // It is not known which was.
        ((Some(1.0), 0, 10), (None, 9, 20), Some(1.0)),
        ((Some(1.0), 0, 10), (Some(5.0), 5, 20), Some(1.0)),
        ((None, 0, 100), (Some(5.0), 50, 60), Some(5.0)),
        // A stream's head that is older than a word of another request.
        ((None, 0, 1000), (Some(2.0), 500, 600), Some(2.0)),
    ];
    for ((a, a0, a1), (b, b0, b1), wanted) in table {
        let (a, b) = (word(a, a0, a1), word(b, b0, b1));
        assert_eq!(a.merge(b).per_s, wanted, "{a:?} {b:?}");
        assert_eq!(b.merge(a).per_s, wanted, "whichever is heard first: {b:?} {a:?}");
    }
}

#[test]
fn answers_name_change_and_end_a_limit() {
    let (mut limits, id) = (Limits::default(), target());
    let mut hear = |said, sent, came| {
        let change = limits.record(&id, said, at(sent), at(came));
        (change, limits.get(&id))
    };
    use NamedLimit::{None as Unnamed, PerSecond, Unreadable};
    assert_eq!(hear(Unnamed, 0, 10), (None, None));
    assert_eq!(hear(PerSecond(2.0), 10, 20), (Some(LimitChange::Named(2.0)), Some(2.0)));
    assert_eq!(hear(Unnamed, 15, 30), (None, Some(2.0)), "sent before the limit was named");
    assert_eq!(hear(Unreadable, 30, 40), (Some(LimitChange::Unreadable), Some(2.0)));
    assert_eq!(hear(Unreadable, 40, 50), (None, Some(2.0)), "told once");
    assert_eq!(hear(PerSecond(3.0), 50, 60), (Some(LimitChange::Named(3.0)), Some(3.0)));
    assert_eq!(hear(Unnamed, 60, 70), (Some(LimitChange::Ended), None));
    let another = TargetId::new("i-1", 8);
    assert_eq!(limits.get(&another), None, "another start has named nothing");
}

#[test]
fn a_limit_ends_although_requests_overlap_all_the_time() {
    let (mut limits, id) = (Limits::default(), target());
    limits.record(&id, NamedLimit::PerSecond(50.0), at(0), at(100));
    let ended = (0..).find(|n| {
        let sent = at(20 * n);
        limits.record(&id, NamedLimit::None, sent, sent + Duration::from_millis(100));
        limits.get(&id).is_none()
    });
    assert_eq!(ended, Some(5), "the first that was sent after it was named");
}

#[test]
fn peers_that_tell_old_words_neither_bind_nor_free_anybody() {
    let (mut limits, id) = (Limits::default(), target());
    let heard = |per_s, sent_ms, came_ms, now| {
        LimitObservation::from_peer(&LimitWord { per_s, sent_ms, came_ms }, at(now))
    };
    limits.record(&id, NamedLimit::PerSecond(1.0), at(1000), at(1100));
    limits.record(&id, NamedLimit::None, at(2000), at(2100));
    assert_eq!(limits.merge(&id, heard(Some(1.0), 2400, 2300, 3400)), None, "known to be over");
    limits.record(&id, NamedLimit::PerSecond(1.0), at(5000), at(5100));
    // Sent before the limit was named, and told as soon as the answer came, but 0.7 s on its way.
    assert_eq!(limits.merge(&id, heard(None, 200, 0, 5800)), None, "news takes time on its way");
    assert_eq!(limits.get(&id), Some(1.0));
    assert_eq!(limits.merge(&id, heard(None, 200, 0, 6200)), Some(LimitChange::Ended));
}

#[test]
fn callers_come_back_as_permits_come() {
    let mut returns = RetryPacer::default();
    let soonest = Duration::from_millis(400);
    let told: Vec<f64> =
        (0..5).map(|_| returns.next(soonest, 2.0, 4, at(10_000)).as_secs_f64()).collect();
    assert_eq!(told, [0.4, 2.4, 4.4, 6.4, 8.4], "four nodes share two a second");
    let told: Vec<u64> =
        (0..100).map(|_| returns.next(soonest, 2.0, 4, at(10_000)).as_secs()).collect();
    let at_once = (0..20).map(|s| told.iter().filter(|t| **t == s).count()).max();
    assert!(at_once <= Some(20), "not all in the same second however many come: {told:?}");
    assert!(returns.next(soonest, 0.1, 300, at(10_000)) <= Duration::from_secs(11));
}

proptest! {
    /// Words of one target in any order, from any node: what holds is never looser than the
    /// last word that is certainly later than all others.
    #[test]
    fn a_word_holds_whatever_the_order_in_which_they_come(
        words in prop::collection::vec((prop::option::of(1u8..4), 0u64..1000, 0u64..300), 1..12),
    ) {
        let words: Vec<LimitObservation> = words
            .into_iter()
            .map(|(per_s, sent, took)| word(per_s.map(f64::from), sent, sent + took))
            .collect();
        let last = words.iter().find(|w| {
            words.iter().all(|o| o == *w || o.received_at <= w.sent_at)
        });
        if let Some(last) = last {
            let all = words.iter().skip(1).fold(words[0], |all, w| all.merge(*w));
            let back = words.iter().rev().skip(1).fold(words[words.len() - 1], |all, w| all.merge(*w));
            prop_assert_eq!(all.per_s, last.per_s);
            prop_assert_eq!(back.per_s, last.per_s);
        }
    }
}
