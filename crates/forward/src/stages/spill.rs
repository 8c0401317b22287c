//! Passes orders on to the coordinators of other regions, and asks them for their waits.

use std::rc::Rc;
use std::time::Duration;

use model::Name;
use model::forward::{Allowed, BatchAnswer, BatchOrder, PoolId, QueueId, Rank, Waits};

use super::order;
use super::runner::Runner;
use crate::events::Event as LogEvent;
use crate::node::Node;
use crate::peers::{self, WAITS};

/// Time for another coordinator to tell its waits: some crossings.
const WAITS_TIMEOUT: Duration = Duration::from_millis(150);

impl Runner {
    /// Passes an order on if another region makes it in time and this one would not; returns
    /// it, and its answer if it was.
    pub(super) async fn spill(
        self: &Rc<Self>,
        node: &Rc<Node>,
        order: BatchOrder,
    ) -> (BatchOrder, Option<BatchAnswer>) {
        let Some(region) = self.choose(node, &order) else {
            return (order, None);
        };
        let begun = node.now();
        let passed = BatchOrder { region: Some(region.clone()), spilled: true, ..order.clone() };
        match order::at_region(node, passed).await {
            Ok(answer) => {
                self.spill.borrow_mut().update_waits(region.clone(), answer.waits, node.now());
                let from = self.pool.region.as_deref().unwrap_or_default();
                node.metrics.spilled(from, &region);
                let waits = self.waits(node, &order.queue());
                (order, Some(BatchAnswer { waits, ..answer }))
            }
            Err(why) => {
                self.spill.borrow_mut().remove_region(&region);
                LogEvent::NotSpilled {
                    id: &order.attempt,
                    service: &self.pool.service,
                    region: &region,
                    why: &why,
                }
                .emit();
                let order = order.with_elapsed(node.now().since(begun));
                (BatchOrder { spilled: true, ..order }, None)
            }
        }
    }

    /// The region that an order goes to in place of this one; asks others for their waits
    /// once there is a wait here.
    fn choose(self: &Rc<Self>, node: &Rc<Node>, order: &BatchOrder) -> Option<Name> {
        let own_region = self.pool.region.as_ref()?;
        self.look(node);
        let now = node.now();
        let own = self.machine.borrow_mut().local_load(order, now);
        let others = others(node, &self.pool.service, own_region, &order.allowed);
        let names: Vec<Name> = others.iter().map(|(r, _)| r.clone()).collect();
        for region in self.spill.borrow_mut().take_due_queries(&names, own.wait, now) {
            tokio::task::spawn_local(ask(self.clone(), node.clone(), region));
        }
        self.spill.borrow_mut().choose(&others, order, own, now)
    }

    /// Whether no maker works here, while another region's can take what waits.
    pub(super) fn is_abandoned(&self, node: &Node) -> bool {
        let now = node.now();
        let is_dead =
            self.machine.borrow_mut().waits(now).for_rank(Rank::default()) == Waits::NOBODY;
        is_dead && self.spill.borrow().has_fresh_waits(now)
    }

    /// What the next orders in a queue would wait now, here or where they would be passed on to.
    pub(super) fn waits(&self, node: &Node, queue: &QueueId) -> Waits {
        let now = node.now();
        let waits = self.machine.borrow_mut().waits(now);
        let Some(own) = &self.pool.region else {
            return waits;
        };
        let others = others(node, &self.pool.service, own, &queue.allowed);
        self.spill.borrow().bound_waits(waits, &others, queue.is_large, now)
    }
}

/// Regions with usable makers but one, and the time there and back.
fn others(node: &Node, service: &str, but: &Name, allowed: &Allowed) -> Vec<(Name, Duration)> {
    let map = node.peers.roster(|r| r.map());
    if !map.is_split() {
        return Vec::new();
    }
    let able = node.eligible_regions(&map, service, allowed).into_iter();
    able.filter(|r| r != but).map(|r| (r.clone(), map.region_round_trip(&r))).collect()
}

/// Asks another region's coordinator for its waits.
async fn ask(runner: Rc<Runner>, node: Rc<Node>, region: Name) {
    let pool = PoolId { region: Some(region.clone()), ..runner.pool.clone() };
    let Some(peer) = order::coordinator_in(&node, &pool) else {
        return;
    };
    match peers::call::<_, Waits>(&node, peer.entry, WAITS, &pool, WAITS_TIMEOUT).await {
        Ok(waits) => runner.spill.borrow_mut().update_waits(region, waits, node.now()),
        Err(e) => log::debug!("waits of {region}: {e}"),
    }
}
