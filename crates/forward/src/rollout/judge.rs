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

use super::{report, running, take_phase, write};
use crate::border::ObjectKind;
use crate::events::Event;
use crate::node::Node;
use crate::watch::Backoff;

/// Time without a report after which a node that does not come first judges no longer.
const REST: Duration = Duration::from_secs(2);
/// Longest wait after a write that failed.
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Time between looks at whether the store has confirmed the orders since a write.
const LOOK: Duration = Duration::from_millis(50);

/// An order that this node judges.
pub struct Judging {
    machine: RefCell<Judge>,
    /// The order as the machine last heard of it.
    order: RefCell<Rollout>,
    /// When a node last reported.
    heard: Cell<Time>,
}

impl Judging {
    /// What names the order.
    fn id(&self) -> RolloutId {
        self.machine.borrow().id()
    }

    /// Whether the order has come to its end, as the machine knows.
    fn is_over(&self) -> bool {
        self.machine.borrow().next_tick(Time::ZERO) == Time::NEVER
    }

    /// Whether this is the judging of an order. One that has come to its end stays that until
    /// this node hears of another order: the store may tell it of the end seconds later, and a
    /// judge that began anew would know nothing.
    fn judges(&self, order: &Rollout) -> bool {
        let own = self.order.borrow();
        let is_same = own.version == order.version && !order.is_new_order(&own);
        is_same && (!self.is_over() || order.revision <= own.revision)
    }
}

/// Takes what a node saw; `None` if its order does not run as far as this one knows.
pub fn judge(node: &Rc<Node>, report: RolloutReport) -> Option<RolloutAnswer> {
    let own = node.fleet(|f| f.versions().order_id(&report.order.service))?;
    let order = running(node, &own).filter(|_| own.has_same_version(&report.order))?;
    let judging = judging(node, order)?;
    if report.node != node.peers.id {
        judging.heard.set(node.now());
    }
    let asked = report.order.clone();
    feed(node, &judging, JudgeEvent::Report(report));
    let answer = judging.machine.borrow().answer(node.now());
    Some(answer).filter(|answer| answer.order.is_same(&asked))
}

/// The judging of an order, begun if there is none.
fn judging(node: &Rc<Node>, order: Rollout) -> Option<Rc<Judging>> {
    let held = node.rollouts.judging.borrow().get(&order.service).cloned();
    if let Some(judging) = held.filter(|j| j.judges(&order)) {
        return Some(judging);
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
    let judging = Rc::new(Judging {
        machine: RefCell::new(Judge::new(bounds, order.clone(), id.since, age, now)),
        order: RefCell::new(order.clone()),
        heard: Cell::new(now),
    });
    node.rollouts.judging.borrow_mut().insert(order.service, judging.clone());
    tell_state(node, &judging);
    tokio::task::spawn_local(tick(node.clone(), judging.clone()));
    Some(judging)
}

/// Keeps the machine's time until the order is over, or others judge it.
async fn tick(node: Rc<Node>, judging: Rc<Judging>) {
    loop {
        // An order that is over is kept until it is known so here: a judge begun anew would not
        // know what became of it.
        let now = node.now();
        let at = judging.machine.borrow().next_tick(now).min(now + REST);
        node.clock.sleep_until(at).await;
        if !goes_on(&node, &judging) {
            break;
        }
        if judging.is_over() {
            continue;
        }
        tell_order(&node, &judging);
        tell_state(&node, &judging);
        feed(&node, &judging, JudgeEvent::Tick);
    }
    let mut all = node.rollouts.judging.borrow_mut();
    all.retain(|_, j| !Rc::ptr_eq(j, &judging));
}

fn goes_on(node: &Node, judging: &Judging) -> bool {
    let now = node.now();
    let order = judging.order.borrow();
    let key = report::key(&order.service);
    let is_wanted = node.peers.roster(|r| r.coordinates(key.as_str(), now))
        || now.since(judging.heard.get()) < REST;
    let runs = || running(node, &judging.id()).is_some_and(|o| judging.judges(&o));
    is_wanted && is_held(node, judging) && runs()
}

/// Whether reports of the order still go to this judging.
fn is_held(node: &Node, judging: &Judging) -> bool {
    let all = node.rollouts.judging.borrow();
    all.values().any(|held| std::ptr::eq(&**held, judging))
}

/// Tells the machine of the order if it has changed in the store.
fn tell_order(node: &Rc<Node>, judging: &Rc<Judging>) {
    let known = {
        let order = judging.order.borrow();
        running(node, &judging.id()).filter(|known| *known != *order)
    };
    if let Some(order) = known {
        judging.order.replace(order.clone());
        feed(node, judging, JudgeEvent::Order(order));
    }
}

/// Tells the machine who may have requests at either version, and what each can bear.
fn tell_state(node: &Rc<Node>, judging: &Rc<Judging>) {
    let service = judging.order.borrow().service.clone();
    let limit = node.cold_limit(&service);
    let now = node.now();
    let count = |side| {
        node.fleet(|f| {
            let is_warm = |b: &&TargetState| limit.is_none_or(|l| !f.is_cold(b, l, now));
            let terms = Terms { allowed: &Allowed::ANY, side };
            let sound = f.usable(&service, terms, now).filter(|b| !b.is_ejected(now));
            sound.filter(is_warm).count()
        })
    };
    let (serving, trial) = (count(Side::Serving), count(Side::Trial));
    // Before all else: a judge that takes an order over late decides by them at once.
    feed(node, judging, JudgeEvent::Targets { serving, trial });
    let mut nodes = node.peers.roster(|r| r.ids());
    nodes.push(node.peers.id.clone());
    feed(node, judging, JudgeEvent::Nodes(nodes));
}

fn feed(node: &Rc<Node>, judging: &Rc<Judging>, event: JudgeEvent) {
    let actions = judging.machine.borrow_mut().handle(node.now(), event);
    for action in actions {
        act(node, judging, action);
    }
}

fn act(node: &Rc<Node>, judging: &Rc<Judging>, action: JudgeAction) {
    let order = judging.order.borrow().clone();
    match action {
        JudgeAction::Write(state) => {
            tokio::task::spawn_local(set_state(node.clone(), judging.clone(), order, state));
        }
        JudgeAction::Judged { verdict, age } => {
            Event::judged(&order.service, &order.version, "all nodes", &verdict, age).emit();
        }
        JudgeAction::Phase(phase) => take_phase(node, &judging.id(), phase, "judging"),
    }
}

/// Writes a state. Where that fails, the machine goes on by the order as the store has it
/// since: the write may have been done all the same, or be done yet, but never after another
/// one, since all are for the same revision.
async fn set_state(node: Rc<Node>, judging: Rc<Judging>, order: Rollout, state: RolloutState) {
    let stands = write::set(&node, &order, state).await;
    if !stands {
        let ended = node.now();
        Backoff::default().wait(&node, RETRY_LONGEST).await;
        while is_held(&node, &judging) && !is_confirmed_since(&node, ended) {
            tokio::time::sleep(LOOK).await;
        }
    }
    // Who judges no longer gets no reports, and must not write by old ones.
    if !is_held(&node, &judging) {
        return;
    }
    feed(&node, &judging, JudgeEvent::WriteEnded(stands));
    if stands {
        return;
    }
    let known = running(&node, &judging.id());
    if let Some(order) = known.filter(|known| judging.judges(known)) {
        judging.order.replace(order.clone());
        feed(&node, &judging, JudgeEvent::Order(order));
    }
}

/// Whether the store has confirmed the orders known here since a time.
fn is_confirmed_since(node: &Node, since: Time) -> bool {
    let now = node.now();
    node.feed.age_of(ObjectKind::Rollouts, now).is_some_and(|age| now - age.current > since)
}
