//! Slots of brittle targets: which targets need one, and how a keeper leases them.

use std::net::SocketAddr;
use std::time::Duration;

use decide::slots::{BrittleChange, BrittleTargets, LeaseId, SlotGrant, SlotIssuer, SlotTerms};
use model::Time;
use model::forward::{Target, TargetId};
use proptest::prelude::*;

const SLOTS: u32 = 8;
const WAIT: Duration = Duration::from_millis(500);
const LEASE: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn id(n: usize) -> LeaseId {
    LeaseId { node: "n-1".into(), attempt: format!("a-{n}").as_str().into() }
}

fn target(name: &str, service: &str) -> Target {
    Target {
        id: TargetId::new(name, 7),
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: "hall-a".into(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        cold_ms: 0,
        revision: 1,
    }
}

/// A keeper of one target.
#[derive(Default)]
struct Keeper {
    issuer: SlotIssuer,
    next: usize,
}

impl Keeper {
    fn request(&mut self, wait: Duration, max_rejected: u32, now: Time) -> (LeaseId, SlotGrant) {
        self.next += 1;
        let id = id(self.next);
        let terms = SlotTerms { slots: SLOTS, max_rejected, wait, lease: LEASE };
        let target = TargetId::new("i-1", 7);
        (id.clone(), self.issuer.request(&target, id, terms, now))
    }

    fn release(&mut self, id: &LeaseId, rejected: bool, now: Time) {
        self.issuer.release(&TargetId::new("i-1", 7), id, rejected, now);
    }

    fn poll(&mut self, id: &LeaseId, now: Time) -> SlotGrant {
        self.issuer.poll(&TargetId::new("i-1", 7), id, now)
    }

    fn leased(&self) -> usize {
        self.issuer.usage(&TargetId::new("i-1", 7)).0
    }

    /// Requests without a wait until one is refused; returns those granted.
    fn fill(&mut self, now: Time) -> Vec<LeaseId> {
        let granted = std::iter::from_fn(|| {
            let (id, grant) = self.request(Duration::ZERO, 5, now);
            (grant == SlotGrant::Granted).then_some(id)
        });
        granted.collect()
    }
}

#[test]
fn leased_slots_grow_to_those_of_the_target_and_no_further() {
    let mut keeper = Keeper::default();
    let mut counts = Vec::new();
    for ms in (0..6_000).step_by(250) {
        keeper.fill(at(ms));
        counts.push(keeper.leased());
    }
    assert_eq!(counts[0], 2, "a new keeper does not know what another has leased");
    assert!(counts.is_sorted());
    // Leases of the first 5 s have expired by now.
    assert_eq!(counts.iter().max(), Some(&(SLOTS as usize)));
}

#[test]
fn a_waiting_request_gets_the_next_free_slot_in_turn() {
    let mut keeper = Keeper::default();
    let held = keeper.fill(at(0));
    let (first, grant) = keeper.request(WAIT, 5, at(10));
    assert_eq!(grant, SlotGrant::Waiting);
    let (second, _) = keeper.request(WAIT, 5, at(20));
    keeper.release(&held[0], false, at(30));
    assert_eq!(keeper.poll(&first, at(30)), SlotGrant::Granted);
    assert_eq!(keeper.poll(&second, at(30)), SlotGrant::Waiting);
    keeper.release(&second, false, at(40));
    assert!(matches!(keeper.poll(&second, at(40)), SlotGrant::Later(_)), "it was withdrawn");
}

#[test]
fn requests_without_a_place_in_the_queue_or_time_are_refused_at_once() {
    let mut keeper = Keeper::default();
    keeper.fill(at(0));
    let waiting = (0..SLOTS).map(|_| keeper.request(WAIT, 5, at(1)).1);
    assert!(waiting.collect::<Vec<_>>().iter().all(|g| *g == SlotGrant::Waiting));
    let (_, grant) = keeper.request(WAIT, 5, at(1));
    let SlotGrant::Later(after) = grant else { panic!("{grant:?}") };
    assert!(after > Duration::ZERO && after <= Duration::from_secs(2), "{after:?}");
}

#[test]
fn a_request_whose_turn_comes_too_late_is_refused_at_once() {
    let mut keeper = Keeper::default();
    let held = keeper.fill(at(0));
    for n in 0..40 {
        // Slots are held for two seconds.
        for id in if n == 0 { held.clone() } else { keeper.fill(at(n * 2_000 - 1_999)) } {
            keeper.release(&id, false, at(n * 2_000));
        }
    }
    keeper.fill(at(80_000));
    let grants = [200, 1_900].map(|ms| keeper.request(Duration::from_millis(ms), 5, at(80_001)).1);
    assert!(matches!(grants[0], SlotGrant::Later(_)), "{grants:?}");
    assert_eq!(grants[1], SlotGrant::Waiting);
}

#[test]
fn a_waiting_request_is_refused_when_its_time_is_over() {
    let mut keeper = Keeper::default();
    keeper.fill(at(0));
    let (id, _) = keeper.request(WAIT, 5, at(0));
    assert!(matches!(keeper.poll(&id, at(500)), SlotGrant::Later(_)));
}

#[test]
fn slots_whose_release_was_lost_become_free() {
    let mut keeper = Keeper::default();
    assert_eq!(keeper.fill(at(0)).len(), 2);
    assert_eq!(keeper.fill(at(4_999)).len(), 1, "one more by growth");
    assert_eq!(keeper.fill(at(5_001)).len(), 2);
}

#[test]
fn slots_of_a_node_that_is_gone_become_free() {
    let mut keeper = Keeper::default();
    keeper.fill(at(0));
    let (waiting, _) = keeper.request(WAIT, 5, at(10));
    keeper.issuer.expire(|node| **node == *"n-1", at(20));
    assert_eq!(keeper.poll(&waiting, at(20)), SlotGrant::Waiting);
    keeper.issuer.expire(|_| false, at(30));
    assert_eq!(keeper.issuer.usage(&TargetId::new("i-1", 7)), (0, 0));
}

#[test]
fn a_rejection_halves_the_leased_slots() {
    let mut keeper = Keeper::default();
    let mut held = Vec::new();
    for ms in (0..3_000).step_by(250) {
        held.extend(keeper.fill(at(ms)));
    }
    assert_eq!(held.len(), SLOTS as usize);
    let rejected = held.pop().expect("held");
    keeper.release(&rejected, true, at(3_000));
    for id in &held {
        keeper.release(id, false, at(3_010));
    }
    assert_eq!(keeper.fill(at(3_020)).len(), SLOTS as usize / 2);
    assert_eq!(keeper.fill(at(4_900)).len(), 0, "no growth soon after a rejection");
    assert_eq!(keeper.fill(at(5_100)).len(), 1, "growth by one");
}

#[test]
fn no_slot_is_leased_while_many_were_rejected_in_a_second() {
    for (max_rejected, rejections) in [(0, 1), (1, 1), (3, 2), (5, 3)] {
        let mut keeper = Keeper::default();
        let mut now = 0;
        for n in 0..rejections {
            let (id, grant) = keeper.request(Duration::ZERO, max_rejected, at(now));
            assert_eq!(grant, SlotGrant::Granted, "rejection {n} of {rejections}");
            keeper.release(&id, true, at(now));
            now += 1;
        }
        let (_, grant) = keeper.request(Duration::ZERO, max_rejected, at(now));
        assert!(matches!(grant, SlotGrant::Later(_)), "{max_rejected}: {grant:?}");
        let (_, grant) = keeper.request(Duration::ZERO, max_rejected, at(1_100));
        assert_eq!(grant, SlotGrant::Granted, "{max_rejected}");
    }
}

proptest! {
    #[test]
    fn never_more_slots_are_leased_than_the_target_has(
        steps in proptest::collection::vec((0u8..4, 0usize..12, 0u64..400), 1..200)
    ) {
        let mut keeper = Keeper::default();
        let mut held: Vec<LeaseId> = Vec::new();
        let mut now = 0;
        for (step, n, ms) in steps {
            now += ms;
            match step {
                0 | 1 => held.push(keeper.request(WAIT, 5, at(now)).0),
                _ if held.is_empty() => {}
                _ => keeper.release(&held.swap_remove(n % held.len()), step == 3, at(now)),
            }
            let (leased, waiting) = keeper.issuer.usage(&TargetId::new("i-1", 7));
            prop_assert!(leased <= SLOTS as usize && waiting <= SLOTS as usize);
        }
    }
}

#[test]
fn targets_need_slots_by_their_own_word_or_that_of_their_service() {
    let mut brittle = BrittleTargets::default();
    let [one, two, other] = [target("i-1", "a"), target("i-2", "a"), target("i-3", "b")];
    assert_eq!(brittle.record(&one, None, at(0), at(5)), None);
    assert_eq!(brittle.record(&one, Some(4), at(10), at(20)), Some(BrittleChange::Named(4)));
    let needs =
        |brittle: &BrittleTargets, now| [&one, &two, &other].map(|t| brittle.max_rejected(t, now));
    assert_eq!(needs(&brittle, at(30)), [Some(4), Some(4), None]);
    assert_eq!(brittle.record(&two, None, at(30), at(40)), None);
    assert_eq!(needs(&brittle, at(50)), [Some(4), None, None], "it said that it is not");
    assert_eq!(brittle.record(&one, None, at(5), at(60)), None, "an older answer");
    brittle.record_service(&"a".into(), 4, at(55));
    assert_eq!(needs(&brittle, at(58)), [Some(4), Some(4), None], "a later word of another");
    assert_eq!(brittle.record(&two, None, at(56), at(59)), None);
    assert_eq!(brittle.record(&one, None, at(60), at(70)), Some(BrittleChange::Ended));
    assert_eq!(needs(&brittle, at(80)), [None, None, None]);
    let late = target("i-4", "a");
    assert_eq!(brittle.max_rejected(&late, at(29_000)), Some(4), "a target that said nothing yet");
    assert_eq!(brittle.max_rejected(&late, at(30_100)), None, "long after the last word");
}

#[test]
fn a_service_is_announced_once_in_a_while() {
    let mut brittle = BrittleTargets::default();
    let service = "a".into();
    assert!(!brittle.begin_announcement(&service, at(0)), "nothing is known");
    brittle.record_service(&service, 3, at(0));
    let announced = [0, 100, 11_900, 12_100, 12_200];
    let announced = announced.map(|ms| brittle.begin_announcement(&service, at(ms)));
    assert_eq!(announced, [true, false, false, true, false]);
}

#[test]
fn closed_targets_say_when_the_first_may_have_a_free_slot() {
    let mut brittle = BrittleTargets::default();
    let [one, two] = ["i-1", "i-2"].map(|name| TargetId::new(name, 7));
    brittle.close(&one, at(200), 10.0);
    assert_eq!(brittle.opening(&[one.clone(), two.clone()], at(0)), None, "one is open");
    brittle.close(&two, at(100), 30.0);
    let opening = brittle.opening(&[one.clone(), two.clone()], at(40));
    assert_eq!(opening, Some((Duration::from_millis(60), 40.0)));
    assert!(brittle.is_closed(&one, at(150)) && !brittle.is_closed(&two, at(150)));
}
