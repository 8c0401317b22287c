//! Drives the machines that judge orders, at the node that comes first.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use decide::fleet::{TargetState, Terms};
use decide::rollout::{Bounds, Judge, JudgeAction, JudgeEvent};
use model::Time;
use model::forward::{
    Allowed, Rollout, RolloutAnswer, RolloutId, RolloutReport, RolloutState, Side,
};

use super::{apply_phase, report, running_order, write};
use crate::border::Kind;
use crate::events::Event;
use crate::node::Node;
use crate::watch::Backoff;

/// Time without a report after which a node that does not come first judges no longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait after a write that failed.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time between looks at whether the store has confirmed the orders since a write.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An order that this node judges.
pub struct LocalJudge {
    machine: RefCell<Judge>,
    /// The order as the machine last heard of it.
    order: RefCell<Rollout>,
    /// When a node last reported.
    last_report: Cell<Time>,
}

impl LocalJudge {
    /// What names the order.
    fn id(&self) -> RolloutId {
        self.machine.borrow().id()
    }

    /// Whether the order has come to its end, as the machine knows.
    fn is_finished(&self) -> bool {
        self.machine.borrow().next_tick(Time::ZERO) == Time::NEVER
    }

    /// Whether this is the judging of an order. One that has come to its end stays that until
    /// this node hears of another order: the store may tell it of the end seconds later, and a
    /// judge that began anew would know nothing.
    fn covers(&self, order: &Rollout) -> bool {
        let own = self.order.borrow();
        let is_same = own.version == order.version && !order.is_anew(&own);
        is_same && (!self.is_finished() || order.revision <= own.revision)
    }
}

/// Takes what a node saw; `None` if its order does not run as far as this one knows.
pub fn handle_report(node: &Rc<Node>, report: RolloutReport) -> Option<RolloutAnswer> {
    let own = node.fleet(|f| f.versions().order_id(&report.order.service))?;
    let order = running_order(node, &own).filter(|_| own.is_alike(&report.order))?;
    let judge = get_or_start(node, order)?;
    if report.node != node.peers.id {
        judge.last_report.set(node.now());
    }
    let asked = report.order.clone();
    handle_event(node, &judge, JudgeEvent::Report(report));
    let answer = judge.machine.borrow().answer(node.now());
    Some(answer).filter(|answer| answer.order.is_same(&asked))
}

/// The judging of an order, begun if there is none.
fn get_or_start(node: &Rc<Node>, order: Rollout) -> Option<Rc<LocalJudge>> {
    let existing = node.rollouts.judges.borrow().get(&order.service).cloned();
    if let Some(judge) = existing.filter(|j| j.covers(&order)) {
        return Some(judge);
    }
    let settings = node.settings().rollouts?;
    let bounds = Bounds {
        share: settings.share,
        slack: settings.slack as u32,
        rollback_within: Duration::from_millis(settings.back_ms),
    };
    let now = node.now();
    let (id, age) = node.fleet(|f| {
        let versions = f.versions();
        Some((versions.order_id(&order.service)?, versions.age(&order.service, now)?))
    })?;
    let judge = Rc::new(LocalJudge {
        machine: RefCell::new(Judge::new(bounds, order.clone(), id.since, age, now)),
        order: RefCell::new(order.clone()),
        last_report: Cell::new(now),
    });
    node.rollouts.judges.borrow_mut().insert(order.service, judge.clone());
    update_state(node, &judge);
    tokio::task::spawn_local(run_judge(node.clone(), judge.clone()));
    Some(judge)
}

/// Keeps the machine's time until the order is over, or others judge it.
async fn run_judge(node: Rc<Node>, judge: Rc<LocalJudge>) {
    loop {
        // An order that is over is kept until it is known so here: a judge begun anew would not
        // know what became of it.
        let now = node.now();
        let at = judge.machine.borrow().next_tick(now).min(now + IDLE_TIMEOUT);
        node.clock.sleep_until(at).await;
        if !is_needed(&node, &judge) {
            break;
        }
        if judge.is_finished() {
            continue;
        }
        update_order(&node, &judge);
        update_state(&node, &judge);
        handle_event(&node, &judge, JudgeEvent::Tick);
    }
    let mut all = node.rollouts.judges.borrow_mut();
    all.retain(|_, j| !Rc::ptr_eq(j, &judge));
}

fn is_needed(node: &Node, judge: &LocalJudge) -> bool {
    let now = node.now();
    let order = judge.order.borrow();
    let key = report::ranking_key(&order.service);
    let is_wanted = node.peers.roster(|r| r.coordinates(key.as_str(), now))
        || now.since(judge.last_report.get()) < IDLE_TIMEOUT;
    let runs = || running_order(node, &judge.id()).is_some_and(|o| judge.covers(&o));
    is_wanted && is_current(node, judge) && runs()
}

/// Whether reports of the order still go to this judging.
fn is_current(node: &Node, judge: &LocalJudge) -> bool {
    let all = node.rollouts.judges.borrow();
    all.values().any(|existing| std::ptr::eq(&**existing, judge))
}

/// Tells the machine of the order if it has changed in the store.
fn update_order(node: &Rc<Node>, judge: &Rc<LocalJudge>) {
    let stored = {
        let order = judge.order.borrow();
        running_order(node, &judge.id()).filter(|stored| *stored != *order)
    };
    if let Some(order) = stored {
        judge.order.replace(order.clone());
        handle_event(node, judge, JudgeEvent::Order(order));
    }
}

/// Tells the machine who may have requests at either version, and what each can bear.
fn update_state(node: &Rc<Node>, judge: &Rc<LocalJudge>) {
    let service = judge.order.borrow().service.clone();
    let limit = node.cold_limit(&service);
    let now = node.now();
    let count = |side| {
        node.fleet(|f| {
            let is_warm = |b: &&TargetState| limit.is_none_or(|l| !f.is_cold(b, l, now));
            let terms = Terms { allowed: &Allowed::ANY, side };
            let healthy = f.usable(&service, terms, now).filter(|b| !b.is_ejected(now));
            healthy.filter(is_warm).count()
        })
    };
    let (serving, trial) = (count(Side::Serving), count(Side::Trial));
    // Before all else: a judge that takes an order over late decides by them at once.
    handle_event(node, judge, JudgeEvent::Targets { serving, trial });
    let mut nodes = node.peers.roster(|r| r.ids());
    nodes.push(node.peers.id.clone());
    handle_event(node, judge, JudgeEvent::Nodes(nodes));
}

fn handle_event(node: &Rc<Node>, judge: &Rc<LocalJudge>, event: JudgeEvent) {
    let actions = judge.machine.borrow_mut().handle(node.now(), event);
    for action in actions {
        perform(node, judge, action);
    }
}

fn perform(node: &Rc<Node>, judge: &Rc<LocalJudge>, action: JudgeAction) {
    let order = judge.order.borrow().clone();
    match action {
        JudgeAction::Write(state) => {
            tokio::task::spawn_local(write_state(node.clone(), judge.clone(), order, state));
        }
        JudgeAction::Judged { verdict, age } => {
            Event::rollout_judged(&order.service, &order.version, "all nodes", &verdict, age)
                .emit();
        }
        JudgeAction::Phase(phase) => apply_phase(node, &judge.id(), phase, "judging"),
    }
}

/// Writes a state. Where that fails, the machine goes on by the order as the store has it
/// since: the write may have been done all the same, or be done yet, but never after another
/// one, since all are for the same revision.
async fn write_state(node: Rc<Node>, judge: Rc<LocalJudge>, order: Rollout, state: RolloutState) {
    let applied = write::set_order_state(&node, &order, state).await;
    if !applied {
        let ended = node.now();
        Backoff::default().failed(&node, MAX_BACKOFF).await;
        while is_current(&node, &judge) && !is_confirmed_since(&node, ended) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    // Who judges no longer gets no reports, and must not write by old ones.
    if !is_current(&node, &judge) {
        return;
    }
    handle_event(&node, &judge, JudgeEvent::WriteEnded(applied));
    if applied {
        return;
    }
    let stored = running_order(&node, &judge.id());
    if let Some(order) = stored.filter(|stored| judge.covers(stored)) {
        judge.order.replace(order.clone());
        handle_event(&node, &judge, JudgeEvent::Order(order));
    }
}

/// Whether the store has confirmed the orders known here since a time.
fn is_confirmed_since(node: &Node, since: Time) -> bool {
    let now = node.now();
    node.feed.age_of(Kind::Rollouts, now).is_some_and(|age| now - age.now > since)
}
