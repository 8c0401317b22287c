//! What callers may hold, and who yields.

use std::time::Duration;

use decide::callers::{
    CONNECTION_BYTES, CallerLimits, Callers, HolderId, MIN_MOVED_BYTES, PIECE_BYTES, REQUEST_BYTES,
    SMALL_BYTES, STILL_TIME, Shortage, Stage,
};
use model::Time;
use proptest::prelude::*;

/// Memory of callers on a host with 160 MB.
const MEMORY_BYTES: usize = 160_000_000 / 3;
/// Maximum size of a body.
const MAX_BODY: usize = 4 << 20;

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

fn callers(connections: usize) -> Callers {
    Callers::new(CallerLimits { bytes: MEMORY_BYTES, connections })
}

fn resting(callers: &mut Callers, now: Time) -> HolderId {
    let id = callers.open_connection(now).expect("there is room");
    callers.enter(id, Stage::Resting, now);
    id
}

/// A body of which so much has arrived.
fn body(callers: &mut Callers, bytes: usize, now: Time) -> HolderId {
    let id = callers.open_request(0, MAX_BODY, now).expect("there is room");
    callers.grow(id, bytes).expect("there is memory");
    id
}

/// Grows bodies by 64 kB in turn until none may grow; returns what they hold together.
fn fill(callers: &mut Callers, ids: &[HolderId]) -> usize {
    let mut sizes = vec![0; ids.len()];
    loop {
        let mut has_grown = false;
        for (id, size) in ids.iter().zip(&mut sizes) {
            if *size < MAX_BODY && callers.grow(*id, *size + SMALL_BYTES).is_ok() {
                *size += SMALL_BYTES;
                has_grown = true;
            }
        }
        if !has_grown {
            return sizes.iter().sum();
        }
    }
}

fn told(callers: &mut Callers, shortage: Shortage, now: Time) -> Vec<HolderId> {
    callers.tell_to_yield(shortage, now).into_iter().map(|y| y.id).collect()
}

#[test]
fn connection_that_rests_longest_yields_its_place() {
    let mut callers = callers(3);
    let [old, _, young] = [0, 10, 20].map(|at| resting(&mut callers, ms(at)));
    assert_eq!(callers.open_connection(ms(2_000)), Err(Shortage::Connections));
    assert_eq!(told(&mut callers, Shortage::Connections, ms(2_000)), [old]);
    assert!(callers.must_yield(old) && !callers.must_yield(young));
    assert_eq!(told(&mut callers, Shortage::Connections, ms(2_010)), [], "one is on its way");
    callers.close(old);
    assert!(callers.open_connection(ms(2_020)).is_ok());
}

#[test]
fn connection_that_gets_a_request_does_not_yield_any_more() {
    let mut callers = callers(1);
    let id = resting(&mut callers, ms(0));
    assert_eq!(told(&mut callers, Shortage::Connections, ms(2_000)), [id]);
    callers.enter(id, Stage::Busy, ms(2_001));
    assert!(!callers.must_yield(id));
    assert_eq!(told(&mut callers, Shortage::Connections, ms(9_000)), []);
    assert!(!callers.can_yield());
}

#[test]
fn what_moves_or_has_arrived_does_not_yield_and_what_waits_only_to_small_ones() {
    let mut callers = callers(100);
    let [moving, arrived, waiting, still] =
        [(); 4].map(|()| body(&mut callers, SMALL_BYTES, ms(0)));
    callers.moved(moving, MIN_MOVED_BYTES, ms(500));
    callers.moved(still, MIN_MOVED_BYTES - 1, ms(500));
    callers.enter(arrived, Stage::Busy, ms(0));
    callers.set_waiting(waiting, true, ms(0));
    let now = ms(0) + STILL_TIME;
    assert_eq!(told(&mut callers, Shortage::LargeMemory(usize::MAX), now), [still]);
    assert_eq!(told(&mut callers, Shortage::Memory(usize::MAX), now), [waiting]);
}

#[test]
fn those_yield_first_that_have_held_most_for_longest() {
    let mut callers = callers(100);
    let idle = resting(&mut callers, ms(5_000));
    let large = body(&mut callers, 4 * SMALL_BYTES, ms(7_000));
    let small = body(&mut callers, 100, ms(7_000));
    let now = ms(10_000);
    let order = [0; 3].map(|_| {
        let next = told(&mut callers, Shortage::Memory(1), now);
        next.iter().for_each(|id| callers.close(*id));
        next[0]
    });
    assert_eq!(order, [large, small, idle]);
}

#[test]
fn as_many_yield_as_are_missing() {
    let mut callers = callers(100);
    (0..50).for_each(|_| _ = resting(&mut callers, ms(0)));
    let missing = Shortage::Memory(5 * CONNECTION_BYTES - 1);
    assert_eq!(told(&mut callers, missing, ms(3_000)).len(), 5);
    assert_eq!(told(&mut callers, missing, ms(3_100)).len(), 0);
    let late = told(&mut callers, missing, ms(9_000));
    assert_eq!(late.len(), 5, "those told before did not go");
}

#[test]
fn large_bodies_leave_memory_to_small_ones_and_to_one_of_them_at_least() {
    let mut callers = callers(1_000);
    let large: Vec<_> =
        (0..60).map(|_| callers.open_request(0, MAX_BODY, ms(0)).expect("there is room")).collect();
    let filled = fill(&mut callers, &large);
    assert!(filled >= MAX_BODY, "{filled}");
    assert!(callers.open_connection(ms(1)).is_ok());
    for _ in 0..50 {
        body(&mut callers, SMALL_BYTES, ms(1));
    }
    assert!(callers.held() <= MEMORY_BYTES);
}

#[test]
fn requests_for_many_pieces_leave_memory_to_others() {
    let mut callers = callers(10);
    let pieces = SMALL_BYTES / PIECE_BYTES + 1;
    let waiting = body(&mut callers, SMALL_BYTES, ms(0));
    callers.set_waiting(waiting, true, ms(0));
    let shortage = loop {
        if let Err(shortage) = callers.open_request(pieces, 0, ms(0)) {
            break shortage;
        }
    };
    assert_eq!(told(&mut callers, shortage, ms(0)), [], "a large body waits as well");
    assert!(!callers.is_full(ms(1)), "ordinary callers find room");
    assert!(callers.held() <= MEMORY_BYTES / 2);
    assert!(callers.open_request(0, 0, ms(0)).is_ok());
}

#[test]
fn body_larger_than_all_memory_is_known_at_once() {
    let callers = callers(10);
    assert!(callers.can_hold(MAX_BODY) && !callers.can_hold(MEMORY_BYTES));
}

#[test]
fn node_is_full_for_a_while_after_a_connection_had_to_wait() {
    let mut callers = callers(1);
    resting(&mut callers, ms(0));
    assert!(!callers.is_full(ms(10)));
    assert!(callers.open_connection(ms(10)).is_err());
    assert!(callers.is_full(ms(20)) && !callers.is_full(ms(5_000)));
}

#[test]
fn smaller_limits_hold_for_what_comes() {
    let mut callers = callers(10);
    let id = resting(&mut callers, ms(0));
    callers.set_limits(CallerLimits { bytes: MEMORY_BYTES, connections: 1 });
    assert_eq!(callers.open_connection(ms(1)), Err(Shortage::Connections));
    callers.close(id);
    assert!(callers.open_connection(ms(2)).is_ok());
}

/// What happens to one of the holders, by its number.
#[derive(Debug, Clone)]
enum Step {
    Connect,
    Request(usize),
    Grow(usize, usize),
    Move(usize, usize),
    Enter(usize, Stage),
    Close(usize),
    Tell(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let stages = prop::sample::select(vec![Stage::Resting, Stage::Receiving, Stage::Busy]);
    prop_oneof![
        Just(Step::Connect),
        (1..MAX_BODY).prop_map(Step::Request),
        (any::<usize>(), 0..MAX_BODY).prop_map(|(n, bytes)| Step::Grow(n, bytes)),
        (any::<usize>(), 0..4_000_usize).prop_map(|(n, bytes)| Step::Move(n, bytes)),
        (any::<usize>(), stages).prop_map(|(n, stage)| Step::Enter(n, stage)),
        any::<usize>().prop_map(Step::Close),
        (1..MAX_BODY).prop_map(Step::Tell),
    ]
}

proptest! {
    #[test]
    fn memory_is_never_exceeded_and_all_comes_back(
        steps in prop::collection::vec((step(), 0..400_u64), 1..300),
    ) {
        let limits = CallerLimits { bytes: 20 * REQUEST_BYTES + 2 * MAX_BODY, connections: 30 };
        let (mut callers, mut open, mut now) = (Callers::new(limits), Vec::new(), ms(0));
        for (step, pause) in steps {
            now = now + Duration::from_millis(pause);
            let nth = |n: usize| open.get(n % open.len().max(1)).copied();
            match step {
                Step::Connect => open.extend(callers.open_connection(now).ok()),
                Step::Request(max) => open.extend(callers.open_request(0, max, now).ok()),
                Step::Grow(n, bytes) => _ = nth(n).map(|id| callers.grow(id, bytes)),
                Step::Move(n, bytes) => _ = nth(n).map(|id| callers.moved(id, bytes, now)),
                Step::Enter(n, stage) => _ = nth(n).map(|id| callers.enter(id, stage, now)),
                Step::Close(n) => if let Some(id) = nth(n) {
                    callers.close(id);
                    open.retain(|o| *o != id);
                },
                Step::Tell(bytes) => for y in callers.tell_to_yield(Shortage::Memory(bytes), now) {
                    prop_assert!(y.stage != Stage::Busy && y.still >= STILL_TIME);
                },
            }
            prop_assert!(callers.held() <= limits.bytes);
            prop_assert!(callers.connections() <= limits.connections);
        }
        open.iter().for_each(|id| callers.close(*id));
        prop_assert_eq!((callers.held(), callers.connections()), (0, 0));
    }
}
