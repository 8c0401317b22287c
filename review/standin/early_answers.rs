//! Replicas answer requests with long bodies before they have read them, hold the connection open
//! and read on half a second later.
//!
//! Each client posts a text of 4 MB, which the limits of the configuration allow, and gets its
//! answer. What the replica has of the text then is compared with what the client sent.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome, Pace};
use crate::replica::content;
use crate::sys::Receiving;
use crate::world::{Verdict, World, ONCE};

/// Clients at each node.
const CLIENTS: usize = 3;
/// Size of a posting; `maxBodyBytes` is 4,194,304.
const SIZE: usize = 4_000_000;
/// Time after the last answer until which all replicas have read what they get.
const SETTLE: Duration = Duration::from_secs(5);

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    let targets: Vec<_> = {
        let running = world.nodes.lock().expect("no panic");
        running.0.iter().map(|n| (n.name.clone(), n.callers)).collect()
    };
    if trouble {
        world.replicas.iter().for_each(|r| r.answer_early());
    }
    let text = String::from_utf8(content(SIZE)).expect("letters");
    let text: Arc<str> = text.into();
    let pace = Pace { pause: Duration::ZERO, rate: 0 };
    let mut posts = Vec::new();
    for (node, address) in &targets {
        for number in 0..CLIENTS {
            let (name, record, text) =
                (format!("{node}-{number}"), world.record.clone(), text.clone());
            let Ok(mut connection) = Connection::open(*address, Receiving::default()) else {
                return Verdict::NotRun(format!("{name}: no connection"));
            };
            posts.push(thread::spawn(move || {
                record.line(&format!("client {name}: posts {} bytes", text.len()));
                let outcome = connection.post(&name, &format!("{ONCE}x/200"), &text, pace);
                record.line(&format!("client {name}: {}", outcome.describe()));
                (name, outcome)
            }));
        }
    }
    let outcomes: Vec<(String, Outcome)> = posts.into_iter().flat_map(|p| p.join()).collect();
    thread::sleep(SETTLE);
    judge(world, &outcomes, &text)
}

/// Counts requests that a replica ran with another body than the client sent.
fn judge(world: &World, outcomes: &[(String, Outcome)], text: &str) -> Verdict {
    if let Some((node, how)) = world.ended().first() {
        return Verdict::NotRun(format!("{node} ended: {how}"));
    }
    let (mut changed, mut accepted, mut ran) = (0, 0, 0);
    for (name, outcome) in outcomes {
        let runs = world.runs_of(name);
        ran += runs.len();
        let is_changed = runs.iter().any(|run| run.body != text);
        changed += usize::from(is_changed);
        accepted += usize::from(is_changed && outcome.is_whole());
    }
    let text = format!(
        "UNASKED: of {} requests, {ran} ran, {changed} with a changed body; clients have a whole 200 of {accepted} of these",
        outcomes.len()
    );
    world.record.line(&text);
    match (changed, ran) {
        (0, 0) => Verdict::NotRun(text),
        (0, _) => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
