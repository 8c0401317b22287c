//! Reloads the settings on SIGHUP and whenever the file changes.
//!
//! The repeat budget, the seeds, the stop time and the store's address can change while the node
//! runs. A file that is invalid, or that would make the process a different node (by a new name,
//! address or region map, for example), is rejected as a whole.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

use crate::events::Event;
use crate::node::Node;
use crate::settings::Settings;

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Starts to watch the settings file. Without a handler SIGHUP would end the process.
pub fn start(node: &Rc<Node>, path: PathBuf) -> anyhow::Result<()> {
    let mut hangups = signal(SignalKind::hangup()).context("could not wait for SIGHUP")?;
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let mut last_read = std::fs::read(&path).ok();
        loop {
            let is_requested = tokio::select! {
                _ = hangups.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            let text = std::fs::read(&path).ok();
            if is_requested || (text.is_some() && text != last_read) {
                reload(&node, &path);
                last_read = text;
            }
        }
    });
    Ok(())
}

fn reload(node: &Rc<Node>, path: &std::path::Path) {
    let loaded: Result<Settings, _> = util::settings::load(path);
    let why = match loaded {
        Ok(settings) => match settings.changed_fixed_field(&node.settings()) {
            None => {
                node.set_settings(settings);
                String::new()
            }
            Some(field) => format!("{field} cannot change while the node runs"),
        },
        Err(e) => e.to_string(),
    };
    Event::Reload { accepted: why.is_empty(), why: &why }.emit();
}
