//! Spills orders to the coordinators of other regions, and queries those for their waits.

use std::rc::Rc;
use std::time::Duration;

use model::Name;
use model::forward::{Allowed, BatchAnswer, BatchOrder, PoolId, QueueId, Rank, Waits};

use super::order;
use super::runner::Runner;
use crate::events::Event as LogEvent;
use crate::node::Node;
use crate::peers::{self, WAITS};

/// Timeout of a query for waits: a few round trips between regions.
const WAITS_TIMEOUT: Duration = Duration::from_millis(150);

impl Runner {
    /// Spills an order if another region can complete it in time and this one cannot. Returns the
    /// order, and the answer if it was spilled.
    pub(super) async fn try_spill(
        self: &Rc<Self>,
        node: &Rc<Node>,
        order: BatchOrder,
    ) -> (BatchOrder, Option<BatchAnswer>) {
        let Some(region) = self.choose_region(node, &order) else {
            return (order, None);
        };
        let started = node.now();
        let forwarded = BatchOrder { region: Some(region.clone()), spilled: true, ..order.clone() };
        match order::submit_to_region(node, forwarded).await {
            Ok(answer) => {
                self.spill.borrow_mut().update_waits(region.clone(), answer.waits, node.now());
                let from = self.pool.region.as_deref().unwrap_or_default();
                node.metrics.count_spilled(from, &region);
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
                let order = order.with_elapsed(node.now().since(started));
                (BatchOrder { spilled: true, ..order }, None)
            }
        }
    }

    /// Region to spill an order to, if any. Queries other regions for their waits once there is a
    /// wait here.
    fn choose_region(self: &Rc<Self>, node: &Rc<Node>, order: &BatchOrder) -> Option<Name> {
        let local_region = self.pool.region.as_ref()?;
        self.tick_if_due(node);
        let now = node.now();
        let local = self.machine.borrow_mut().local_load(order, now);
        let others = other_regions(node, &self.pool.service, local_region, &order.allowed);
        let names: Vec<Name> = others.iter().map(|(r, _)| r.clone()).collect();
        for region in self.spill.borrow_mut().take_due_queries(&names, local.wait, now) {
            tokio::task::spawn_local(query_waits(self.clone(), node.clone(), region));
        }
        self.spill.borrow_mut().choose(&others, order, local, now)
    }

    /// Whether no worker is available here while another region's coordinator answers queries.
    pub(super) fn should_hand_over(&self, node: &Node) -> bool {
        let now = node.now();
        let is_dead =
            self.machine.borrow_mut().waits(now).for_rank(Rank::default()) == Waits::NOBODY;
        is_dead && self.spill.borrow().has_fresh_waits(now)
    }

    /// Waits that the next orders in a queue would have now, here or in the region they spill to.
    pub(super) fn waits(&self, node: &Node, queue: &QueueId) -> Waits {
        let now = node.now();
        let waits = self.machine.borrow_mut().waits(now);
        let Some(local) = &self.pool.region else {
            return waits;
        };
        let others = other_regions(node, &self.pool.service, local, &queue.allowed);
        self.spill.borrow().bound_waits(waits, &others, queue.is_large, now)
    }
}

/// Regions with usable workers except `excluded`, with their round-trip times.
fn other_regions(
    node: &Node,
    service: &str,
    excluded: &Name,
    allowed: &Allowed,
) -> Vec<(Name, Duration)> {
    let map = node.peers.roster(|r| r.map());
    if !map.is_split() {
        return Vec::new();
    }
    let candidates = node.eligible_regions(&map, service, allowed).into_iter();
    candidates.filter(|r| r != excluded).map(|r| (r.clone(), map.region_round_trip(&r))).collect()
}

/// Queries another region's coordinator for its waits.
async fn query_waits(runner: Rc<Runner>, node: Rc<Node>, region: Name) {
    let pool = PoolId { region: Some(region.clone()), ..runner.pool.clone() };
    let Some(peer) = order::remote_coordinator(&node, &pool) else {
        return;
    };
    match peers::call::<_, Waits>(&node, peer.entry, WAITS, &pool, WAITS_TIMEOUT).await {
        Ok(waits) => runner.spill.borrow_mut().update_waits(region, waits, node.now()),
        Err(e) => log::debug!("waits of {region}: {e}"),
    }
}
