//! Workspace rates: this node's slices, and what it lends as a home.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use decide::limit::{LentSlice, RateLender, RateSlice};
use model::view::{LendRequest, LentRate, path};
use model::{Name, Time, hash};

use crate::node::Core;

/// How often slices are renewed.
const RENEW: Duration = Duration::from_millis(500);
/// Longest wait for a home.
const WAIT: Duration = Duration::from_millis(300);

type LimitKey = (Name, Name);

/// Slices and loans.
#[derive(Debug, Default)]
pub struct Rates {
    slices: Mutex<HashMap<LimitKey, RateSlice>>,
    homes: Mutex<HashMap<LimitKey, RateLender>>,
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
        slice.try_acquire(now, nodes)
    }

    /// Lends as the home of a workspace.
    pub fn lend(&self, now: Time, ask: &LendRequest, rate: f64, nodes: usize) -> LentRate {
        let mut homes = self.homes.lock().expect("no panic while held");
        let key = (ask.workspace.clone(), ask.pipeline.clone());
        let home = homes.entry(key).or_insert_with(|| RateLender::new(rate));
        home.set_rate(rate);
        LentRate { rate: home.lend(now, &ask.node, ask.demand, nodes).rate }
    }

    fn asks(&self, now: Time, node: &Name) -> Vec<LendRequest> {
        let mut slices = self.slices.lock().expect("no panic while held");
        let ask = |((workspace, pipeline), slice): (&LimitKey, &mut RateSlice)| LendRequest {
            workspace: workspace.clone(),
            pipeline: pipeline.clone(),
            node: node.clone(),
            demand: slice.demand(now),
        };
        slices.iter_mut().map(ask).collect()
    }

    fn lent(&self, now: Time, sent: Time, ask: &LendRequest, lent: LentRate) {
        let mut slices = self.slices.lock().expect("no panic while held");
        let key = (ask.workspace.clone(), ask.pipeline.clone());
        if let Some(s) = slices.get_mut(&key) {
            s.renew(now, sent, LentSlice { rate: lent.rate });
        }
    }
}

/// The rate of a workspace on a pipeline, if it is limited.
pub fn limit_of(core: &Core, workspace: &str, pipeline: &str) -> Option<f64> {
    let config = core.fleet.config();
    let w = config.set.workspaces.get(workspace)?;
    w.limits.iter().find(|l| *l.pipeline == *pipeline).map(|l| l.rate)
}

/// Renews slices until the process ends.
pub async fn renew(core: Arc<Core>) {
    loop {
        tokio::time::sleep(RENEW).await;
        let sent = core.clock.now();
        for ask in core.rates.asks(sent, &core.settings.name) {
            let Some(lent) = ask_home(&core, &ask).await else {
                continue;
            };
            core.rates.lent(core.clock.now(), sent, &ask, lent);
        }
    }
}

async fn ask_home(core: &Core, ask: &LendRequest) -> Option<LentRate> {
    let members = core.members.load();
    let home = hash::rendezvous(&ask.workspace, members.iter().map(|m| &m.id.name), 1);
    let home = home.first()?;
    if *home == core.settings.name {
        let rate = limit_of(core, &ask.workspace, &ask.pipeline)?;
        return Some(core.rates.lend(core.clock.now(), ask, rate, members.len()));
    }
    let peer = members.iter().find(|m| m.id.name == *home)?.entry.to_string();
    core.client.rmp(&peer, path::LEND, ask, WAIT).await.ok()
}
