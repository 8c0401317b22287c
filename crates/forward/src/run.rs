//! Start and graceful stop of a node.

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

/// Time for which the load balancer may still send callers to a stopping node.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// Part of the stop time reserved for the exit of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Part of the stop time, before [`STOP_MARGIN`], in which this node itself answers requests that
/// are still open, so that none ends without an answer.
const ENDING_PERIOD: Duration = Duration::from_millis(200);
/// Interval at which a stopping node checks whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node on this thread until SIGTERM; `path` is the settings file, for reloads.
pub fn run(settings: Settings, path: PathBuf, dialect: Box<dyn Dialect>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not start the runtime")?;
    let node = Rc::new(Node::new(settings, dialect));
    let end = LocalSet::new().block_on(&runtime, serve(node, path));
    crate::events::close();
    end
}

async fn serve(node: Rc<Node>, path: PathBuf) -> anyhow::Result<()> {
    let s = node.settings();
    crate::events::install(s.name.clone(), node.clock)?;
    Event::Start { domain: &s.domain, callers: &s.callers.to_string() }.emit();
    reload::start(&node, path)?;
    peers::start(&node).await?;
    watch::start(&node);
    let callers = ingress::listen_for_callers(s.callers)?;
    let readiness = ingress::listen(s.readiness)?;
    tokio::task::spawn_local(ingress::serve_readiness(node.clone(), readiness));
    if let Some(address) = s.metrics {
        let metrics = ingress::listen(address)?;
        tokio::task::spawn_local(ingress::serve_readiness(node.clone(), metrics));
    }
    tokio::task::spawn_local(ingress::serve_callers(node.clone(), callers));
    util::stop::signal().await.context("could not wait for signals")?;
    stop(&node).await;
    Ok(())
}

/// Reports unready at once, keeps serving requests that still arrive, and returns when the other
/// sides have all answers or the stop time is over.
async fn stop(node: &Rc<Node>) {
    let started = node.now();
    Event::Stop { open: node.open_requests() }.emit();
    node.enter_phase(LifePhase::Stopping);
    node.peers.roster(|r| r.stop());
    // Peers choose other nodes from now on; orders that they have placed here still run.
    node.peers.leave();
    node.feed.notify();
    node.pools.hand_over(node);
    let stop_time = Duration::from_millis(node.settings().stop_ms).saturating_sub(STOP_MARGIN);
    loop {
        let elapsed = node.now().since(started);
        if elapsed >= BALANCER_LAG {
            node.enter_phase(LifePhase::Closing);
        }
        if elapsed + ENDING_PERIOD >= stop_time {
            node.enter_phase(LifePhase::Ending);
        }
        if elapsed >= stop_time || (elapsed >= BALANCER_LAG && is_all_delivered(node)) {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    log_stopped(node, node.now().since(started));
}

/// Whether nothing is open, and the other sides have acknowledged all that was sent: after the end of
/// the process the kernel may drop the rest.
fn is_all_delivered(node: &Node) -> bool {
    let work = node.work();
    let is_answered = work.requests() == 0 && work.messages == 0;
    is_answered && node.pools.open_orders() == 0 && node.sockets.unacknowledged() == 0
}

fn log_stopped(node: &Node, took: Duration) {
    let work = node.work();
    Event::Stopped {
        took_ms: took.as_millis() as u64,
        receiving: work.receiving,
        running: work.running,
        sending: work.sending,
        messages: work.messages,
        orders: node.pools.open_orders(),
        unacknowledged: node.sockets.unacknowledged(),
    }
    .emit();
}
