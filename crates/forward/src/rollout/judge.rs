//! Drives the judges of orders, on the node that is ranked first for them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use decide::fleet::{TargetState, Terms};
use decide::rollout::{Bounds, Judge, JudgeAction, JudgeEvent};
use model::Time;
use model::forward::{Rollout, RolloutAnswer, RolloutId, RolloutReport, RolloutState, Side};

use super::{apply_phase, report, running_order, write};
use crate::border::ObjectKind;
use crate::events::Event;
use crate::node::Node;
use crate::watch::Backoff;

/// Time without reports after which a node that is not ranked first stops judging.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum backoff after a failed write.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Interval of checks whether the store has confirmed the orders since a write.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Judge of one order on this node.
pub struct LocalJudge {
    machine: RefCell<Judge>,
    /// Order as last passed to the judge.
    order: RefCell<Rollout>,
    /// Time of the last report from another node.
    last_report: Cell<Time>,
}

impl LocalJudge {
    /// Id of the order.
    fn id(&self) -> RolloutId {
        self.machine.borrow().id()
    }

    /// Whether the judge has seen the order's end.
    fn is_finished(&self) -> bool {
        self.machine.borrow().next_tick(Time::ZERO) == Time::NEVER
    }

    /// Whether this is the judge of an order. A finished one remains so until this node learns of
    /// another order: the store may report the end seconds later, and a new judge would know
    /// nothing of it.
    fn covers(&self, order: &Rollout) -> bool {
        let own = self.order.borrow();
        let is_same = own.version == order.version && !order.is_new_order(&own);
        is_same && (!self.is_finished() || order.revision <= own.revision)
    }
}

/// Handles a node's report; `None` if its order is not running as far as this node knows.
pub fn handle_report(node: &Rc<Node>, report: RolloutReport) -> Option<RolloutAnswer> {
    let own = node.fleet(|f| f.versions().order_id(&report.order.service))?;
    let order = running_order(node, &own).filter(|_| own.has_same_version(&report.order))?;
    let judge = get_or_start(node, order)?;
    if report.node != node.peers.id {
        judge.last_report.set(node.now());
    }
    let asked = report.order.clone();
    handle_event(node, &judge, JudgeEvent::Report(report));
    let answer = judge.machine.borrow().answer(node.now());
    Some(answer).filter(|answer| answer.order.is_same(&asked))
}

/// Judge of an order, started if there is none.
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

/// Ticks a judge until its order has ended or another node judges it.
async fn run_judge(node: Rc<Node>, judge: Rc<LocalJudge>) {
    loop {
        // A finished judge is kept until this node learns of the end from the store: a new judge
        // would not know the outcome.
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

/// Whether reports on the order still go to this judge.
fn is_current(node: &Node, judge: &LocalJudge) -> bool {
    let all = node.rollouts.judges.borrow();
    all.values().any(|existing| std::ptr::eq(&**existing, judge))
}

/// Passes the order to the judge if it has changed in the store.
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

/// Passes the nodes that may have requests at either version, and the number of targets that each
/// version has, to the judge.
fn update_state(node: &Rc<Node>, judge: &Rc<LocalJudge>) {
    let service = judge.order.borrow().service.clone();
    let limit = node.cold_limit(&service);
    let now = node.now();
    let count = |side| {
        node.fleet(|f| {
            let is_warm = |b: &&TargetState| limit.is_none_or(|l| !f.is_cold(b, l, now));
            let terms = Terms { side, ..Terms::ANY };
            let healthy = f.usable(&service, terms, now).filter(|b| !b.is_ejected(now));
            healthy.filter(is_warm).count()
        })
    };
    let (serving, trial) = (count(Side::Serving), count(Side::Trial));
    // Targets come first: a judge that takes over an order late decides by them at once.
    handle_event(node, judge, JudgeEvent::Targets { serving, trial });
    let mut nodes = node.peers.roster(|r| r.ids());
    nodes.push(node.peers.id.clone());
    handle_event(node, judge, JudgeEvent::Nodes(nodes));
}

fn handle_event(node: &Rc<Node>, judge: &Rc<LocalJudge>, event: JudgeEvent) {
    let actions = judge.machine.borrow_mut().handle_event(node.now(), event);
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

/// Writes a state. After a failure, the judge continues from the order as the store has it since:
/// the failed write may have been applied or may still be applied, but never after another write,
/// since all are conditional on the same revision.
async fn write_state(node: Rc<Node>, judge: Rc<LocalJudge>, order: Rollout, state: RolloutState) {
    let applied = write::set_order_state(&node, &order, state).await;
    if !applied {
        let ended = node.now();
        Backoff::default().wait(&node, MAX_BACKOFF).await;
        while is_current(&node, &judge) && !is_confirmed_since(&node, ended) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    // A replaced judge gets no more reports and must not write on account of old ones.
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

/// Whether the store has confirmed the known orders since this time.
fn is_confirmed_since(node: &Node, since: Time) -> bool {
    let now = node.now();
    node.feed.age_of(ObjectKind::Rollouts, now).is_some_and(|age| now - age.current > since)
}
