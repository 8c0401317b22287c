//! A routing decision allocates no memory. Counting allocations needs a custom allocator, which
//! requires `unsafe`; it forwards every call to the system allocator.
#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use decide::route::{PolicyKind, PoolTable, RouteQuery, TargetInfo, make_policy};
use model::Time;

thread_local! {
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

struct Counting;

// SAFETY: both methods pass their arguments unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        COUNT.with(|c| c.set(c.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

#[test]
fn routing_decision_does_not_allocate() {
    let mut table = PoolTable::default();
    let info = |i: usize| TargetInfo {
        name: format!("t{i}").into(),
        address: "10.0.0.1:1".into(),
        domain: "a".into(),
        distance: (i % 3) as u8,
    };
    table.set_targets((0..217).map(info).collect());
    for kind in [PolicyKind::Home, PolicyKind::SessionHashBound, PolicyKind::RoundRobin] {
        let mut policy = make_policy(kind, 1);
        let before = COUNT.with(Cell::get);
        let mut picked = 0;
        for prefix in 0..5000 {
            let now = Time::from_millis(prefix);
            let ask =
                RouteQuery { now, prefix: prefix % 7, model: None, budget: 500.0, tried: &[] };
            picked += usize::from(policy.pick(&ask, &table).is_some());
        }
        let after = COUNT.with(Cell::get);
        assert_eq!(picked, 5000);
        assert_eq!(after - before, 0, "{kind:?}");
    }
    let before = COUNT.with(Cell::get);
    drop(std::hint::black_box(vec![1u8; 10]));
    assert!(COUNT.with(Cell::get) > before, "the counter works");
}
