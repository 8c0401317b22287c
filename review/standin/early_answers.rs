//! Some replicas answer a part of the requests with long bodies before they have read them, hold the
//! connection open and read on half a second later.
//!
//! Four replicas of seven do so for 5 s, each with one long request in 34. Clients post texts of
//! 1 MB meanwhile. What a replica has of a text in the end is compared with what was sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Connection, Outcome, Pace};
use crate::replica::{content, Run};
use crate::sys::Receiving;
use crate::world::{Verdict, World, ONCE};

/// Clients at each node, and the pause of each between two postings.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(50);
/// Size of a posting; `maxBodyBytes` is 4,194,304.
const SIZE: usize = 1_000_000;
/// Replicas that answer early, of seven: a share of 0.57.
const EARLY_REPLICAS: usize = 4;
/// Time for which they do, and for which clients post.
const LASTS: Duration = Duration::from_secs(5);
/// Time after which all replicas have read what they get.
const SETTLE: Duration = Duration::from_secs(4);

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    let targets: Vec<_> = {
        let running = world.nodes.lock().expect("no panic");
        running.0.iter().map(|n| (n.name.clone(), n.callers)).collect()
    };
    let text = String::from_utf8(content(SIZE)).expect("letters");
    let text: Arc<str> = text.into();
    let pace = Pace { pause: Duration::ZERO, rate: 0 };
    let set_early = |is_early| {
        world.replicas.iter().take(EARLY_REPLICAS).for_each(|r| r.answer_early(is_early));
    };
    set_early(trouble);
    let until = Instant::now() + LASTS;
    let mut clients = Vec::new();
    for (node, address) in targets {
        for number in 0..CLIENTS {
            let (record, text) = (world.record.clone(), text.clone());
            let client = format!("{node}-{number}");
            clients.push(thread::spawn(move || {
                let mut outcomes = Vec::new();
                for n in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let name = format!("{client}-{n}");
                    let Ok(mut connection) = Connection::open(address, Receiving::default()) else {
                        break;
                    };
                    let outcome = connection.post(&name, &format!("{ONCE}x/200"), &text, pace);
                    let posted = format!("client {name}: posted {} bytes", text.len());
                    record.line(&format!("{posted}: {}", outcome.describe()));
                    outcomes.push((name, outcome));
                    thread::sleep(PAUSE);
                }
                outcomes
            }));
        }
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    set_early(false);
    let outcomes: Vec<(String, Outcome)> =
        clients.into_iter().flat_map(|c| c.join()).flatten().collect();
    thread::sleep(SETTLE);
    judge(world, &outcomes, trouble)
}

/// Counts requests that a replica ran with another body than the client sent.
fn judge(world: &World, outcomes: &[(String, Outcome)], trouble: bool) -> Verdict {
    if let Some((node, how)) = world.ended().first() {
        return Verdict::NotRun(format!("{node} ended: {how}"));
    }
    let runs: BTreeMap<String, Run> =
        world.runs().into_iter().map(|run| (run.attempt.clone(), run)).collect();
    let (mut changed, mut accepted) = (0, 0);
    for (name, outcome) in outcomes {
        let Some(run) = runs.get(name).filter(|run| !run.is_body_whole) else {
            continue;
        };
        changed += 1;
        accepted += usize::from(outcome.is_whole());
        world.record.line(&format!(
            "{name}: ran with {} of {SIZE} bytes of its body; its client has {}",
            run.body_bytes,
            outcome.describe()
        ));
    }
    let text = format!(
        "UNASKED: of {} requests, {} ran, {changed} with a changed body; clients have a whole 200 of {accepted} of these",
        outcomes.len(),
        runs.len()
    );
    world.record.line(&text);
    if changed > 0 {
        Verdict::Broken(text)
    } else if runs.is_empty() || (trouble && !world.has_early_runs()) {
        Verdict::NotRun(text)
    } else {
        Verdict::Held(text)
    }
}
