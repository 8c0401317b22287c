//! Placement: rollouts that never leave a stage without a server, drains that wait for
//! replacements, rate-limited loads, and the lease epochs in orders that fence targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use decide::place::{Placer, View};
use model::load::{TargetReport, TargetStatus};
use model::object::{Drain, Model, ObjectSet, Pool, Role, Target};
use model::order::{Order, Task};
use model::{Name, Time};

struct World {
    set: ObjectSet,
    reports: BTreeMap<Name, TargetStatus>,
    leaving: BTreeSet<Name>,
    domain: Name,
    placer: Placer,
    now: Time,
    epoch: u64,
}

impl World {
    fn new(targets: usize, held: &str, replicas: u32) -> Self {
        let target = |i: usize| Target {
            name: format!("e{i}").into(),
            address: "127.0.0.1:1".into(),
            domain: "a".into(),
            host: format!("h{i}").into(),
        };
        let pool = Pool {
            role: Role::Engine,
            cost: 1.0,
            fenced: true,
            targets: (0..targets).map(target).collect(),
        };
        let mut set = ObjectSet::default();
        let model = Model { pool: "engines".into(), version: "v1".into(), replicas };
        set.pools.insert("engines".into(), pool);
        set.models.insert("m".into(), model);
        let report = |i: usize| {
            let target: Name = format!("e{i}").into();
            let models = if held.is_empty() { Vec::new() } else { vec![held.into()] };
            let report = TargetReport { target: target.clone(), models, ..TargetReport::default() };
            (target, TargetStatus { report, seq: 1, ready: true, polled: true })
        };
        World {
            set,
            reports: (0..targets).map(report).collect(),
            leaving: BTreeSet::new(),
            domain: "a".into(),
            placer: Placer::default(),
            now: Time::from_millis(1),
            epoch: 1,
        }
    }

    fn plan(&mut self) -> Vec<Order> {
        let view = View {
            set: &self.set,
            number: 1,
            domain: &self.domain,
            reports: &self.reports,
            leaving_hosts: &self.leaving,
        };
        self.placer.plan(self.now, self.epoch, view)
    }

    fn apply(&mut self, order: &Order) {
        let report = &mut self.reports.get_mut(&order.target).expect("a target").report;
        match &order.task {
            Task::Load(v) => report.models.push(v.clone()),
            Task::Unload(v) => report.models.retain(|m| m != v),
            Task::Drain => report.leaving = true,
        }
    }

    fn serving(&self, any_of: &[&str]) -> usize {
        let serves = |n: &&TargetStatus| {
            !n.report.leaving && n.report.models.iter().any(|m| any_of.contains(&&**m))
        };
        self.reports.values().filter(serves).count()
    }

    fn settle(&mut self, mut each: impl FnMut(&World)) {
        for _ in 0..60 {
            for order in self.plan() {
                self.apply(&order);
                each(self);
            }
            self.now = self.now + Duration::from_secs(6);
        }
    }
}

#[test]
fn loads_are_limited_and_reach_the_replica_count() {
    let mut w = World::new(6, "", 4);
    let first = w.plan();
    assert_eq!(first.len(), 2, "two concurrent loads: {first:?}");
    assert!(w.plan().is_empty(), "no order is sent twice while in flight");
    first.iter().for_each(|o| w.apply(o));
    w.settle(|_| {});
    assert_eq!(w.serving(&["m@v1"]), 4);
}

#[test]
fn a_rollout_never_leaves_the_stage_without_a_server() {
    let mut w = World::new(4, "m@v1", 4);
    w.set.models.get_mut("m").expect("declared").version = "v2".into();
    w.settle(|w| assert!(w.serving(&["m@v1", "m@v2"]) >= 4));
    assert_eq!(w.serving(&["m@v2"]), 4);
    assert_eq!(w.serving(&["m@v1"]), 0, "the former version is unloaded");
}

#[test]
fn an_old_version_stays_while_its_successor_cannot_be_loaded() {
    let mut w = World::new(3, "m@v1", 3);
    w.set.models.get_mut("m").expect("declared").version = "v2".into();
    for _ in 0..20 {
        // Orders are lost, so none takes effect.
        let orders = w.plan();
        assert!(orders.iter().all(|o| !matches!(o.task, Task::Unload(_))), "{orders:?}");
        w.now = w.now + Duration::from_secs(6);
    }
    assert_eq!(w.serving(&["m@v1"]), 3);
}

#[test]
fn a_drained_host_is_replaced_before_it_drains() {
    let mut w = World::new(3, "", 1);
    w.settle(|_| {});
    let holder =
        w.reports.values().find(|n| !n.report.models.is_empty()).expect("one target serves it");
    let host: Name = holder.report.target.replace('e', "h").into();
    w.set.drains.insert(host.clone(), Drain { host, reason: String::new() });
    w.settle(|w| assert!(w.serving(&["m@v1"]) >= 1));
    assert_eq!(w.serving(&["m@v1"]), 1);
    assert_eq!(w.reports.values().filter(|n| n.report.leaving).count(), 1);
}

#[test]
fn a_host_lost_without_notice_is_replaced() {
    let mut w = World::new(4, "m@v1", 4);
    w.set.models.get_mut("m").expect("declared").replicas = 2;
    let gone: Name = "e0".into();
    w.reports.get_mut(&gone).expect("a target").ready = false;
    w.settle(|_| {});
    let ready = w.reports.values().filter(|n| n.ready && !n.report.models.is_empty()).count();
    assert!(ready >= 2, "{ready}");
}

#[test]
fn orders_carry_the_epoch_of_the_lease() {
    let mut w = World::new(2, "", 2);
    w.epoch = 7;
    assert!(w.plan().iter().all(|o| o.epoch == 7));
}
