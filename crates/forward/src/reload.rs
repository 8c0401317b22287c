//! Reads the settings again, at SIGHUP and whenever the file has changed.
//!
//! What can change while the node runs is the budget for repeats, the seeds, the
//! time for a stop and the store's address. A file that is wrong, or that would
//! make this another node, changes nothing.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

use crate::events::Event;
use crate::node::Node;
use crate::settings::Settings;

/// Time between looks at whether the file has changed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Starts to follow the settings file. SIGHUP ends a process that does not.
pub fn start(node: &Rc<Node>, path: PathBuf) -> anyhow::Result<()> {
    let mut hangups = signal(SignalKind::hangup()).context("could not wait for SIGHUP")?;
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let mut known = std::fs::read(&path).ok();
        loop {
            let asked = tokio::select! {
                _ = hangups.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            let text = std::fs::read(&path).ok();
            if asked || (text.is_some() && text != known) {
                reload(&node, &path);
                known = text;
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
