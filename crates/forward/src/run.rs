//! Start and planned stop of a node.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::task::LocalSet;

use crate::border::Dialect;
use crate::events::Event;
use crate::node::Node;
use crate::phase::LifePhase;
use crate::settings::Settings;
use crate::{ingress, peers, reload, watch};

/// Time during which the balancer may still bring callers to a stopping node.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// Part of the stop's time kept for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Part of the stop's time before that in which requests that are still open are answered
/// by this node, so that none of them ends without an answer.
const ENDING_PERIOD: Duration = Duration::from_millis(200);
/// Time between looks at whether all is answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node on this thread until SIGTERM; `path` is where its settings were read.
pub fn run(settings: Settings, path: PathBuf, dialect: Box<dyn Dialect>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not start the runtime")?;
    let node = Rc::new(Node::new(settings, dialect));
    LocalSet::new().block_on(&runtime, serve(node, path))
}

async fn serve(node: Rc<Node>, path: PathBuf) -> anyhow::Result<()> {
    let s = node.settings();
    crate::events::install(s.name.clone(), node.clock)?;
    Event::Start { domain: &s.domain, callers: &s.callers.to_string() }.emit();
    reload::start(&node, path)?;
    peers::start(&node).await?;
    watch::start(&node);
    let callers = ingress::listen(s.callers)?;
    let readiness = ingress::listen(s.readiness)?;
    tokio::task::spawn_local(ingress::serve_readiness(node.clone(), readiness));
    if let Some(address) = s.metrics {
        let figures = ingress::listen(address)?;
        tokio::task::spawn_local(ingress::serve_readiness(node.clone(), figures));
    }
    tokio::task::spawn_local(ingress::serve_callers(node.clone(), callers));
    util::stop::signal().await.context("could not wait for signals")?;
    stop(&node).await;
    Ok(())
}

/// Unready at once; goes on serving what still comes; ends when all is answered.
async fn stop(node: &Rc<Node>) {
    let begun = node.now();
    Event::Stop { open: node.open_requests() }.emit();
    node.enter_phase(LifePhase::Stopping);
    node.peers.roster(|r| r.stop());
    // Peers turn to others at once; what they have placed here is still made.
    node.peers.leave();
    node.feed.notify();
    node.pools.hand_over(node);
    let most = Duration::from_millis(node.settings().stop_ms).saturating_sub(STOP_MARGIN);
    loop {
        let passed = node.now().since(begun);
        if passed >= BALANCER_LAG {
            node.enter_phase(LifePhase::Closing);
        }
        if passed + ENDING_PERIOD >= most {
            node.enter_phase(LifePhase::Ending);
        }
        let answered = node.open_requests() == 0 && node.pools.open_orders() == 0;
        if passed >= most || (passed >= BALANCER_LAG && answered) {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}
