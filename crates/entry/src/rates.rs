//! Workspace rates: this node's slices, and what it lends as a home.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use decide::limit::{LentSlice, RateLender, RateSlice};
use model::view::{LendRequest, LentRate, path};
use model::{Name, Time, hash};

use crate::node::Core;

/// How often slices are renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a home.
const LEND_TIMEOUT: Duration = Duration::from_millis(300);

type LimitKey = (Name, Name);

/// Slices and loans.
#[derive(Debug, Default)]
pub struct Rates {
    slices: Mutex<HashMap<LimitKey, RateSlice>>,
    lenders: Mutex<HashMap<LimitKey, RateLender>>,
}

impl Rates {
    /// Takes one request's token, or says when to come back.
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
        slice.take(now, nodes)
    }

    /// Lends as the home of a workspace.
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

/// The rate of a workspace on a pipeline, if it is limited.
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
