//! Workspace rate limits: this node's slices, and the slices it lends as the home of a workspace.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use decide::limit::{LentSlice, RateLender, RateSlice};
use model::view::{LendRequest, LentRate, path};
use model::{Name, Time, hash};

use crate::node::Core;

/// Interval between renewals of slices.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for a home's response.
const LEND_TIMEOUT: Duration = Duration::from_millis(300);

type LimitKey = (Name, Name);

/// Slices of this node, and lenders for the workspaces whose home it is.
#[derive(Debug, Default)]
pub struct Rates {
    slices: Mutex<HashMap<LimitKey, RateSlice>>,
    lenders: Mutex<HashMap<LimitKey, RateLender>>,
}

impl Rates {
    /// Takes the token of one request, or returns the delay after which to retry.
    pub fn take(
        &self,
        now: Time,
        workspace: &Name,
        pipeline: &Name,
        rate: f64,
        nodes: usize,
    ) -> Result<(), Duration> {
        let mut slices = self.slices.lock().expect("no panic while held");
        let key = (workspace.clone(), pipeline.clone());
        let slice = slices.entry(key).or_insert_with(|| RateSlice::new(rate, nodes, now));
        slice.try_acquire(now, nodes)
    }

    /// Lends a slice as the home of the workspace.
    pub fn lend(&self, now: Time, request: &LendRequest, rate: f64, nodes: usize) -> LentRate {
        let mut lenders = self.lenders.lock().expect("no panic while held");
        let key = (request.workspace.clone(), request.pipeline.clone());
        let lender = lenders.entry(key).or_insert_with(|| RateLender::new(rate));
        lender.set_rate(rate);
        LentRate { rate: lender.lend(now, &request.node, request.demand, nodes).rate }
    }

    fn lend_requests(&self, now: Time, node: &Name) -> Vec<LendRequest> {
        let mut slices = self.slices.lock().expect("no panic while held");
        let request = |((workspace, pipeline), slice): (&LimitKey, &mut RateSlice)| LendRequest {
            workspace: workspace.clone(),
            pipeline: pipeline.clone(),
            node: node.clone(),
            demand: slice.demand(now),
        };
        slices.iter_mut().map(request).collect()
    }

    fn apply_lent(&self, now: Time, sent: Time, request: &LendRequest, lent: LentRate) {
        let mut slices = self.slices.lock().expect("no panic while held");
        let key = (request.workspace.clone(), request.pipeline.clone());
        if let Some(s) = slices.get_mut(&key) {
            s.renew(now, sent, LentSlice { rate: lent.rate });
        }
    }
}

/// Rate limit of a workspace on a pipeline, requests per second, if there is one.
pub fn rate_limit(core: &Core, workspace: &str, pipeline: &str) -> Option<f64> {
    let config = core.fleet.config();
    let w = config.set.workspaces.get(workspace)?;
    w.limits.iter().find(|l| *l.pipeline == *pipeline).map(|l| l.rate)
}

/// Renews slices until the process ends.
pub async fn renew_slices(core: Arc<Core>) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let sent = core.clock.now();
        for request in core.rates.lend_requests(sent, &core.settings.name) {
            let Some(lent) = request_slice(&core, &request).await else {
                continue;
            };
            core.rates.apply_lent(core.clock.now(), sent, &request, lent);
        }
    }
}

async fn request_slice(core: &Core, request: &LendRequest) -> Option<LentRate> {
    let members = core.members.load();
    let home = hash::rendezvous(&request.workspace, members.iter().map(|m| &m.id.name), 1);
    let home = home.first()?;
    if *home == core.settings.name {
        let rate = rate_limit(core, &request.workspace, &request.pipeline)?;
        return Some(core.rates.lend(core.clock.now(), request, rate, members.len()));
    }
    let peer = members.iter().find(|m| m.id.name == *home)?.entry.to_string();
    core.client.rmp(&peer, path::LEND, request, LEND_TIMEOUT).await.ok()
}
