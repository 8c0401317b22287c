//! Drives the coordinator machines of this node: starts their calls, keeps their
//! time and answers their orders.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use decide::batch::{Action, Call, Coordinator, Event, OrderId, WorkerFeed};
use decide::region::Spill;
use model::Time;
use model::forward::{
    BatchAnswer, BatchOrder, Handle, PieceResult, Policy, PoolId, StagePool, TargetId, Waits,
};
use tokio::sync::oneshot;

use super::call;
use super::free::Freer;
use crate::events::Event as LogEvent;
use crate::node::Node;
use crate::upstream;

/// Time between looks at late orders and makers that are back.
const TICK: Duration = Duration::from_millis(40);

/// Why this node's coordinator did not answer an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotMade {
    /// The service makes no pieces.
    NoService,
    /// The order is to be placed with another coordinator: this node stops, or does
    /// not come first any more.
    Moved,
}

/// The coordinators at this node.
#[derive(Default)]
pub struct Pools {
    runners: RefCell<HashMap<PoolId, Rc<Runner>>>,
    /// Frees results.
    pub freer: Freer,
}

impl Pools {
    /// Makes the pieces of an order; a `pinned` one is not handed over.
    pub async fn order(
        &self,
        node: &Rc<Node>,
        order: BatchOrder,
        pinned: bool,
    ) -> Result<BatchAnswer, NotMade> {
        let runner = self.runner(node, &order.pool()).ok_or(NotMade::NoService)?;
        let (order, spilled) = runner.spill(node, order).await;
        if let Some(answer) = spilled {
            return Ok(answer);
        }
        let begun = node.now();
        let queue = order.queue();
        // Where all regions are one pool, none is left that it could be passed on to.
        let kept = runner.pool.region.is_some().then(|| order.clone());
        let Some(results) = runner.order(node, order, pinned).await else {
            // Its makers went while it waited, or it goes to another coordinator.
            let order = kept.ok_or(NotMade::Moved)?.with_elapsed(node.now().since(begun));
            let (_, spilled) = runner.spill(node, order).await;
            return spilled.ok_or(NotMade::Moved);
        };
        let (waits, region) = (runner.waits(node, &queue), runner.pool.region.clone());
        Ok(BatchAnswer { results, waits, coordinator: None, region })
    }

    /// What an order would wait for makers of which this node is the coordinator.
    pub fn waits(&self, node: &Rc<Node>, pool: &PoolId) -> Option<Waits> {
        let runner = self.runner(node, pool)?;
        runner.feed(node, Event::Tick);
        let waits = runner.machine.borrow_mut().waits(node.now());
        Some(waits)
    }

    /// This node stops: orders not begun yet go to another coordinator.
    pub fn hand_over(&self, node: &Rc<Node>) {
        let runners: Vec<_> = self.runners.borrow().values().cloned().collect();
        for runner in runners {
            runner.feed(node, Event::HandOver);
        }
    }

    /// Results that this node's coordinator made are no longer wanted.
    pub fn free(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        self.freer.at_makers(node, pool, handles);
    }

    /// Results were freed at their makers.
    pub fn freed(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        let runner = self.runners.borrow().get(pool).cloned();
        if let Some(runner) = runner {
            runner.feed(node, Event::Freed(handles));
        }
    }

    /// Orders that are open, of this node's requests and of its peers'.
    pub fn open(&self) -> usize {
        self.runners.borrow().values().map(|r| r.machine.borrow().open_orders()).sum()
    }

    fn runner(&self, node: &Node, id: &PoolId) -> Option<Rc<Runner>> {
        let table = node.table();
        let pool = table.service(&id.service)?.pool.clone()?;
        let mut runners = self.runners.borrow_mut();
        let policy = node.settings().policy;
        let fresh = || Rc::new(Runner::new(id.clone(), pool.clone(), policy));
        let runner = runners.entry(id.clone()).or_insert_with(fresh).clone();
        runner.machine.borrow_mut().set_pool(pool, node.now());
        Some(runner)
    }
}

pub(super) struct Runner {
    pub(super) pool: PoolId,
    pub(super) machine: RefCell<Coordinator>,
    makers: RefCell<WorkerFeed>,
    /// What is known of the makers of other regions.
    pub(super) spill: RefCell<Spill>,
    waiting: RefCell<HashMap<OrderId, oneshot::Sender<Vec<PieceResult>>>>,
    next: Cell<OrderId>,
    ticking: Cell<bool>,
    /// When the machine last looked at its makers.
    looked: Cell<Option<Time>>,
}

/// Cancels an order that nobody waits for any more.
struct OrderGuard {
    runner: Rc<Runner>,
    node: Rc<Node>,
    id: OrderId,
}

impl Drop for OrderGuard {
    fn drop(&mut self) {
        if self.runner.waiting.borrow_mut().remove(&self.id).is_some() {
            self.runner.feed(&self.node, Event::Cancel(self.id));
        }
    }
}

impl Runner {
    fn new(id: PoolId, pool: StagePool, policy: Policy) -> Self {
        Runner {
            pool: id,
            machine: RefCell::new(Coordinator::new(pool, policy)),
            makers: RefCell::default(),
            spill: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::new(1),
            ticking: Cell::new(false),
            looked: Cell::new(None),
        }
    }

    async fn order(
        self: &Rc<Self>,
        node: &Rc<Node>,
        order: BatchOrder,
        pinned: bool,
    ) -> Option<Vec<PieceResult>> {
        let id = self.next.replace(self.next.get() + 1);
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tell);
        let _guard = OrderGuard { runner: self.clone(), node: node.clone(), id };
        self.feed(node, Event::Order { id, order, pinned });
        self.start_ticking(node);
        told.await.ok()
    }

    /// Lets the machine take an event, with the makers as they are right now.
    pub(super) fn feed(self: &Rc<Self>, node: &Rc<Node>, event: Event) {
        let now = node.now();
        self.looked.set(Some(now));
        let map = node.peers.roster(|r| r.map());
        let cold = node.cold_limit(&self.pool.service);
        let mut makers = self.makers.borrow_mut();
        let news = node.fleet(|f| makers.next_event(f, &self.pool, &map, cold, now));
        drop(makers);
        let mut machine = self.machine.borrow_mut();
        let mut actions = news.map(|news| machine.handle(now, news)).unwrap_or_default();
        actions.extend(machine.handle(now, event));
        drop(machine);
        for action in actions {
            self.act(node, action);
        }
    }

    /// Lets the machine look at late orders and its makers, if it has not done so for a while.
    pub(super) fn look(self: &Rc<Self>, node: &Rc<Node>) {
        let looked = self.looked.get();
        if looked.is_none_or(|at| node.now().since(at) >= TICK) {
            self.feed(node, Event::Tick);
        }
    }

    fn act(self: &Rc<Self>, node: &Rc<Node>, action: Action) {
        match action {
            Action::Start(call) => {
                tokio::task::spawn_local(run_call(self.clone(), node.clone(), call));
            }
            Action::Overdue { number, worker: maker, repeated: again, age, limit } => {
                LogEvent::Overdue {
                    service: &self.pool.service,
                    number,
                    maker: &maker.name,
                    again,
                    age_ms: age.as_millis() as u64,
                    limit_ms: limit.as_millis() as u64,
                }
                .emit()
            }
            Action::Probe(maker) => {
                tokio::task::spawn_local(probe(self.clone(), node.clone(), maker));
            }
            Action::Answer(id, results) => {
                if let Some(tell) = self.waiting.borrow_mut().remove(&id)
                    && let Err(unheard) = tell.send(results)
                {
                    node.pools.free(node, &self.pool, made(unheard));
                }
            }
            Action::HandOver(id) => {
                self.waiting.borrow_mut().remove(&id);
            }
            Action::Free(handles) => node.pools.free(node, &self.pool, handles),
        }
    }

    fn start_ticking(self: &Rc<Self>, node: &Rc<Node>) {
        if self.ticking.replace(true) {
            return;
        }
        let (runner, node) = (self.clone(), node.clone());
        tokio::task::spawn_local(async move {
            while runner.machine.borrow().open_orders() > 0 {
                tokio::time::sleep(TICK).await;
                let now = node.now();
                let first = node.peers.roster(|r| r.coordinates(&runner.pool, now));
                let moves = !first || runner.is_abandoned(&node);
                runner.feed(&node, if moves { Event::HandOver } else { Event::Tick });
            }
            runner.ticking.set(false);
        });
    }
}

fn made(results: Vec<PieceResult>) -> Vec<Handle> {
    let handle = |r| match r {
        PieceResult::Made(h) => Some(h),
        _ => None,
    };
    results.into_iter().filter_map(handle).collect()
}

/// Asks a maker for a sign of life: whether it takes a connection.
async fn probe(runner: Rc<Runner>, node: Rc<Node>, maker: TargetId) {
    let address = node.fleet(|f| f.get(&maker).map(|b| b.target.address));
    let alive = match address {
        Some(address) => upstream::connect(address).await.is_ok(),
        None => false,
    };
    runner.feed(&node, Event::Probed(maker, alive));
}

async fn run_call(runner: Rc<Runner>, node: Rc<Node>, call: Call) {
    let number = call.number;
    let end = call::make(&runner, &node, call).await;
    runner.feed(&node, Event::CallEnded(number, end));
}
