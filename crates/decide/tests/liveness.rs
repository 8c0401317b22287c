//! Whether the other side of a connection is gone or slow.

use std::time::Duration;

use decide::liveness::{Liveness, SAMPLE_INTERVAL, SILENCE_TIMEOUT, Sample, Verdict};
use model::Time;

/// Judges a connection each interval by what `sample` says of that time; when it was found gone.
fn gone_at(sample: impl Fn(Duration) -> Sample) -> Option<Duration> {
    let (mut liveness, start) = (Liveness::default(), Time::from_millis(9_000));
    liveness.sent(start);
    let mut times = (1..80).map(|n| SAMPLE_INTERVAL * n);
    times.find(|&t| liveness.judge(start + t, sample(t)) == Verdict::Gone)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn side_that_answers_probes_is_not_gone_however_long_it_has_no_room() {
    let probed = |t: Duration| Sample {
        queued: 4_000_000,
        probes: u32::from(t.subsec_millis() == 0),
        silent: ms(t.subsec_millis().into()),
        in_flight: 0,
    };
    assert_eq!(gone_at(probed), None);
}

#[test]
fn side_that_acknowledges_nothing_is_gone_after_the_timeout() {
    let at = gone_at(|t| Sample { in_flight: 3, queued: 9, probes: 0, silent: t });
    assert!(at.is_some_and(|at| at <= SILENCE_TIMEOUT + SAMPLE_INTERVAL), "{at:?}");
}

#[test]
fn side_without_room_that_answers_no_probe_is_gone_after_the_second() {
    let probed =
        |t: Duration| Sample { queued: 9, probes: t.as_secs() as u32, silent: t, in_flight: 0 };
    assert_eq!(gone_at(probed), Some(ms(2000)));
}

#[test]
fn long_rest_before_a_message_does_not_count_as_silence() {
    let late = |t: Duration| Sample { in_flight: 1, queued: 9, probes: 0, silent: ms(60_000) + t };
    let at = gone_at(late);
    assert!(at.is_some_and(|at| at >= SILENCE_TIMEOUT), "{at:?}");
}

#[test]
fn node_that_was_held_up_itself_does_not_judge_by_what_it_missed() {
    let mut liveness = Liveness::default();
    let owed = |silent| Sample { in_flight: 1, queued: 9, probes: 0, silent };
    let start = Time::from_millis(9_000);
    liveness.judge(start, owed(ms(0)));
    assert_eq!(liveness.judge(start + ms(2_500), owed(ms(2_400))), Verdict::Alive);
}
