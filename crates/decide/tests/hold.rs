//! Memory that growing answers hold together.

use decide::hold::Holds;
use proptest::prelude::*;

const LIMIT: usize = 100;

#[test]
fn answers_that_wait_for_each_other_can_still_end() {
    let mut holds = Holds::new(LIMIT);
    let [a, b, c] = [60, 60, 60].map(|max| holds.open(max));
    assert!(holds.resize(a, 30) && holds.resize(b, 30) && holds.resize(c, 10));
    assert!(!holds.resize(c, 11), "30 for the rest of a or b would not be left");
    assert!(holds.resize(a, 60));
    assert!(!holds.resize(b, 31), "a is still held");
    holds.close(a);
    assert!(holds.resize(b, 60));
}

#[test]
fn whole_answer_leaves_what_it_did_not_use() {
    let mut holds = Holds::new(LIMIT);
    let [a, b] = [90, 90].map(|max| holds.open(max));
    assert!(holds.resize(a, 20));
    assert!(!holds.resize(b, 20));
    holds.complete(a);
    assert!(holds.resize(b, 80));
    assert!(!holds.resize(b, 81));
}

proptest! {
    #[test]
    fn some_answer_can_always_grow(
        maxima in prop::collection::vec(1..150_usize, 1..9),
        grown in prop::collection::vec((0..9_usize, 1..40_usize), 0..200),
    ) {
        let mut holds = Holds::new(LIMIT);
        let mut open: Vec<_> = maxima.iter().map(|max| (holds.open(*max), (*max).min(LIMIT), 0)).collect();
        for (n, step) in grown {
            let n = n % open.len();
            let (id, max, bytes) = &mut open[n];
            let more = (*bytes + step).min(*max);
            if holds.resize(*id, more) {
                *bytes = more;
            }
            prop_assert!(holds.bytes() <= LIMIT);
        }
        while let Some(n) = open.iter().position(|(id, max, _)| holds.resize(*id, *max)) {
            holds.close(open.swap_remove(n).0);
        }
        prop_assert!(open.is_empty());
    }
}
