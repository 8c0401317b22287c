//! Drives the batch coordinators of this node: starts their calls, ticks them and answers their
//! orders.

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
use super::free::FreeQueue;
use crate::events::Event as LogEvent;
use crate::node::Node;
use crate::upstream;

/// Interval of ticks, which find late orders and workers that are available again.
const TICK: Duration = Duration::from_millis(40);

/// Reason for which this node's coordinator did not execute an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// The service is unknown or has no pool.
    UnknownService,
    /// The order must go to another coordinator, because this node is stopping or is no longer
    /// ranked first.
    HandedOver,
}

/// Batch coordinators that run on this node, by pool.
#[derive(Default)]
pub struct LocalCoordinators {
    runners: RefCell<HashMap<PoolId, Rc<Runner>>>,
    /// Results waiting to be freed.
    pub free_queue: FreeQueue,
}

impl LocalCoordinators {
    /// Executes an order, here or in another region. A `pinned` order is never handed over.
    pub async fn execute_order(
        &self,
        node: &Rc<Node>,
        order: BatchOrder,
        pinned: bool,
    ) -> Result<BatchAnswer, OrderError> {
        let runner = self.runner(node, &order.pool()).ok_or(OrderError::UnknownService)?;
        let (order, spilled) = runner.try_spill(node, order).await;
        if let Some(answer) = spilled {
            return Ok(answer);
        }
        let started = node.now();
        let queue = order.queue();
        // Where all regions share one pool, there is no other region to spill to.
        let original = runner.pool.region.is_some().then(|| order.clone());
        let Some(results) = runner.run_order(node, order, pinned).await else {
            // Its workers went away while it waited, or it goes to another coordinator.
            let order =
                original.ok_or(OrderError::HandedOver)?.with_elapsed(node.now().since(started));
            let (_, spilled) = runner.try_spill(node, order).await;
            return spilled.ok_or(OrderError::HandedOver);
        };
        let (waits, region) = (runner.waits(node, &queue), runner.pool.region.clone());
        Ok(BatchAnswer { results, waits, coordinator: None, region })
    }

    /// Waits that a new order would have in a pool coordinated here; `None` for an unknown pool.
    pub fn waits(&self, node: &Rc<Node>, pool: &PoolId) -> Option<Waits> {
        let runner = self.runner(node, pool)?;
        runner.handle_event(node, Event::Tick);
        let waits = runner.machine.borrow_mut().waits(node.now());
        Some(waits)
    }

    /// Hands over orders that have not started, because this node is stopping.
    pub fn hand_over(&self, node: &Rc<Node>) {
        let runners: Vec<_> = self.runners.borrow().values().cloned().collect();
        for runner in runners {
            runner.handle_event(node, Event::HandOver);
        }
    }

    /// Frees results that are no longer needed, at their workers.
    pub fn free(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        self.free_queue.free_at_workers(node, pool, handles);
    }

    /// Tells the pool's coordinator that results were freed at their workers.
    pub fn record_freed(&self, node: &Rc<Node>, pool: &PoolId, handles: Vec<Handle>) {
        let runner = self.runners.borrow().get(pool).cloned();
        if let Some(runner) = runner {
            runner.handle_event(node, Event::Freed(handles));
        }
    }

    /// Number of open orders, of this node's requests and of its peers'.
    pub fn open_orders(&self) -> usize {
        self.runners.borrow().values().map(|r| r.machine.borrow().open_orders()).sum()
    }

    fn runner(&self, node: &Node, id: &PoolId) -> Option<Rc<Runner>> {
        let table = node.table();
        let pool = table.service(&id.service)?.pool.clone()?;
        let mut runners = self.runners.borrow_mut();
        let policy = node.settings().policy;
        let new_runner = || Rc::new(Runner::new(id.clone(), pool.clone(), policy));
        let runner = runners.entry(id.clone()).or_insert_with(new_runner).clone();
        runner.machine.borrow_mut().set_pool(pool, node.now());
        Some(runner)
    }
}

pub(super) struct Runner {
    pub(super) pool: PoolId,
    pub(super) machine: RefCell<Coordinator>,
    workers: RefCell<WorkerFeed>,
    /// Waits known of other regions.
    pub(super) spill: RefCell<Spill>,
    waiters: RefCell<HashMap<OrderId, oneshot::Sender<Vec<PieceResult>>>>,
    next_id: Cell<OrderId>,
    ticking: Cell<bool>,
    /// Time of the last event, with which the workers were refreshed.
    last_event: Cell<Option<Time>>,
}

/// Cancels an order when its waiting caller is dropped.
struct OrderGuard {
    runner: Rc<Runner>,
    node: Rc<Node>,
    id: OrderId,
}

impl Drop for OrderGuard {
    fn drop(&mut self) {
        if self.runner.waiters.borrow_mut().remove(&self.id).is_some() {
            self.runner.handle_event(&self.node, Event::Cancel(self.id));
        }
    }
}

impl Runner {
    fn new(id: PoolId, pool: StagePool, policy: Policy) -> Self {
        Runner {
            pool: id,
            machine: RefCell::new(Coordinator::new(pool, policy)),
            workers: RefCell::default(),
            spill: RefCell::default(),
            waiters: RefCell::default(),
            next_id: Cell::new(1),
            ticking: Cell::new(false),
            last_event: Cell::new(None),
        }
    }

    async fn run_order(
        self: &Rc<Self>,
        node: &Rc<Node>,
        order: BatchOrder,
        pinned: bool,
    ) -> Option<Vec<PieceResult>> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        let _guard = OrderGuard { runner: self.clone(), node: node.clone(), id };
        self.handle_event(node, Event::Order { id, order, pinned });
        self.start_ticking(node);
        receiver.await.ok()
    }

    /// Passes an event to the coordinator, after refreshing its view of the workers.
    pub(super) fn handle_event(self: &Rc<Self>, node: &Rc<Node>, event: Event) {
        let now = node.now();
        self.last_event.set(Some(now));
        let map = node.peers.roster(|r| r.map());
        let cold = node.cold_limit(&self.pool.service);
        let mut workers = self.workers.borrow_mut();
        let worker_event = node.fleet(|f| workers.next_event(f, &self.pool, &map, cold, now));
        drop(workers);
        let mut machine = self.machine.borrow_mut();
        let mut actions = worker_event
            .map(|worker_event| machine.handle_event(now, worker_event))
            .unwrap_or_default();
        actions.extend(machine.handle_event(now, event));
        drop(machine);
        for action in actions {
            self.perform(node, action);
        }
    }

    /// Sends a tick unless an event was handled within the last interval.
    pub(super) fn tick_if_due(self: &Rc<Self>, node: &Rc<Node>) {
        let last = self.last_event.get();
        if last.is_none_or(|at| node.now().since(at) >= TICK) {
            self.handle_event(node, Event::Tick);
        }
    }

    fn perform(self: &Rc<Self>, node: &Rc<Node>, action: Action) {
        match action {
            Action::Start(call) => {
                tokio::task::spawn_local(run_call(self.clone(), node.clone(), call));
            }
            Action::Overdue { number, worker, repeated, age, limit } => LogEvent::Overdue {
                service: &self.pool.service,
                number,
                maker: &worker.name,
                again: repeated,
                age_ms: age.as_millis() as u64,
                limit_ms: limit.as_millis() as u64,
            }
            .emit(),
            Action::Probe(worker) => {
                tokio::task::spawn_local(probe(self.clone(), node.clone(), worker));
            }
            Action::Answer(id, results) => {
                if let Some(sender) = self.waiters.borrow_mut().remove(&id)
                    && let Err(undelivered) = sender.send(results)
                {
                    node.pools.free(node, &self.pool, result_handles(undelivered));
                }
            }
            Action::HandOver(id) => {
                self.waiters.borrow_mut().remove(&id);
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
                let is_coordinator = node.peers.roster(|r| r.coordinates(&runner.pool, now));
                let hands_over = !is_coordinator || runner.should_hand_over(&node);
                runner.handle_event(&node, if hands_over { Event::HandOver } else { Event::Tick });
            }
            runner.ticking.set(false);
        });
    }
}

fn result_handles(results: Vec<PieceResult>) -> Vec<Handle> {
    let handle = |r| match r {
        PieceResult::Made(h) => Some(h),
        _ => None,
    };
    results.into_iter().filter_map(handle).collect()
}

/// Probes a worker by opening a connection to it.
async fn probe(runner: Rc<Runner>, node: Rc<Node>, worker: TargetId) {
    let target = node.fleet(|f| f.get(&worker).map(|b| b.target.clone()));
    let alive = match target {
        Some(target) => upstream::connect_target(&node, &target).await.is_ok(),
        None => false,
    };
    runner.handle_event(&node, Event::Probed(worker, alive));
}

async fn run_call(runner: Rc<Runner>, node: Rc<Node>, call: Call) {
    let number = call.number;
    let end = call::execute(&runner, &node, call).await;
    runner.handle_event(&node, Event::CallEnded(number, end));
}
