//! Starts stand-ins, as a program or inside another process.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use tokio::task::JoinHandle;
use util::http::Server;
use util::stop::{self, Stop};

use crate::api::Api;
use crate::args::Args;
use crate::settings::Settings;
use crate::target::{TargetServer, TargetSpec};

/// Runs the program until a termination signal.
pub fn main(args: Args) -> anyhow::Result<()> {
    util::cli::serve(&args.settings, args.check, 0, |s: &Settings| &s.logs, serve)
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let (stopper, stop) = stop::channel();
    let mut tasks = Vec::new();
    if let Some(address) = &settings.api {
        let (at, _, task) = start_api(address, stop.clone()).await?;
        log::info!("standin: Object API at {at}.");
        tasks.push(task);
    }
    for spec in settings.targets {
        let name = spec.name.clone();
        let (at, _, task) = start_target(spec, stop.clone()).await?;
        log::info!("standin: target {name} at {at}.");
        tasks.push(task);
    }
    stop::signal().await.context("could not wait for signals")?;
    stopper.stop();
    for t in tasks {
        t.abort();
    }
    Ok(())
}

/// Starts the Object API; returns its bound address, its state and its task.
pub async fn start_api(
    address: &str,
    stop: Stop,
) -> anyhow::Result<(SocketAddr, Arc<Api>, JoinHandle<()>)> {
    let server = Server::bind(address).await?;
    let (at, api) = (server.address(), Api::new());
    let task = tokio::spawn(server.run(api.clone(), stop));
    Ok((at, api, task))
}

/// Starts a target; returns its bound address, its state and its task.
pub async fn start_target(
    spec: TargetSpec,
    stop: Stop,
) -> anyhow::Result<(SocketAddr, Arc<TargetServer>, JoinHandle<()>)> {
    let server = Server::bind(&spec.address).await?;
    let (at, target) = (server.address(), TargetServer::new(spec));
    let task = tokio::spawn(server.run(target.clone(), stop));
    Ok((at, target, task))
}
