//! Clients read their answers slowly. Every client uses a kept connection, on which a small request
//! was answered before.
//!
//! There are four kinds of clients. Two have a small window: one reads a stream of 120 short events,
//! the other an answer of 4,800 bytes, the largest of a plain service in the site files. A third one
//! has the sockets of this host and an answer of 400 kB. These three read nothing for 3 s after the
//! head and then go on at once. The fourth kind never pauses and reads 400 kB at 40 kB a second. All
//! would be done well before their deadline and the route's timeout, of 20 s each. With and without
//! the disruption, one node of three is told that its settings file has changed (SIGHUP).

use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome, Pace};
use crate::sys::{self, Receiving};
use crate::world::{Verdict, World, ONCE};

/// Clients of each kind at each node.
const CLIENTS: usize = 2;
/// Time for which a slow client reads nothing.
const PAUSE: Duration = Duration::from_secs(3);
/// Requests that the rule forgives.
const FORGIVEN: usize = 3;

/// Bytes a second of a client that reads slowly all the time.
const RATE: usize = 40_000;

/// A kind of client: name, path, how its host receives, and how it reads.
struct Kind {
    name: &'static str,
    path: &'static str,
    receiving: Receiving,
    pace: Pace,
}

const SMALL: Receiving = Receiving { buffer: 1_024, segment: 0 };
const DEFAULT: Receiving = Receiving { buffer: 0, segment: 0 };
const PROMPT: Pace = Pace { pause: Duration::ZERO, rate: 0 };
const PAUSING: Pace = Pace { pause: PAUSE, rate: 0 };
const STEADY: Pace = Pace { pause: Duration::ZERO, rate: RATE };
const KINDS: [Kind; 4] = [
    Kind { name: "stream", path: "/chat/x/120", receiving: SMALL, pace: PAUSING },
    Kind { name: "answer", path: "/post/x/4800", receiving: SMALL, pace: PAUSING },
    Kind { name: "large", path: "/post/x/400000", receiving: DEFAULT, pace: PAUSING },
    Kind { name: "steady", path: "/post/x/400000", receiving: DEFAULT, pace: STEADY },
];

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    let targets: Vec<_> = {
        let running = world.nodes.lock().expect("no panic");
        running.0.iter().map(|n| (n.name.clone(), n.callers)).collect()
    };
    let mut clients = Vec::new();
    for (node, address) in &targets {
        for Kind { name: kind, path, receiving, pace } in KINDS {
            for number in 0..CLIENTS {
                let name = format!("{node}-{kind}-{number}");
                let Ok(mut connection) = Connection::open(*address, receiving) else {
                    return Verdict::NotRun(format!("{name}: no connection"));
                };
                let first =
                    connection.ask(&format!("{name}-first"), &format!("{ONCE}x/200"), PROMPT);
                if !first.is_whole() {
                    return Verdict::NotRun(format!("{name}: {}", first.describe()));
                }
                let pace = if trouble { pace } else { PROMPT };
                clients.push((name, path, pace, connection));
            }
        }
    }
    world.record.line(&format!("{} kept connections, each with one whole answer", clients.len()));
    let told = targets[0].0.clone();
    for node in world.nodes.lock().expect("no panic").0.iter().filter(|n| n.name == told) {
        node.signal(sys::SIGHUP);
        world.record.line(&format!("SIGHUP to {}", node.name));
    }
    thread::sleep(Duration::from_millis(200));
    let asked = clients.into_iter().map(|(name, path, pace, mut connection)| {
        let record = world.record.clone();
        thread::spawn(move || {
            record.line(&format!("client {name}: sends {name}-second to {path}"));
            let outcome = connection.ask(&format!("{name}-second"), path, pace);
            record.line(&format!("client {name}: {}", outcome.describe()));
            (name, outcome)
        })
    });
    let asked: Vec<_> = asked.collect();
    let outcomes: Vec<(String, Outcome)> = asked.into_iter().flat_map(|a| a.join()).collect();
    judge(world, &outcomes, &told)
}

/// Counts requests that a sound replica ran and answered whole, and whose kept connection the node
/// closed before the whole answer: at all nodes, and at the one that got SIGHUP.
fn judge(world: &World, outcomes: &[(String, Outcome)], told: &str) -> Verdict {
    if let Some((node, how)) = world.ended().first() {
        return Verdict::NotRun(format!("{node} ended: {how}"));
    }
    let (mut lost, mut lost_there) = (0, 0);
    for (name, outcome) in outcomes {
        let runs = world.runs_of(&format!("{name}-second"));
        let ran_well = runs.len() == 1 && runs[0].answered;
        if !outcome.is_whole() && ran_well && outcome.end.is_some() {
            lost += 1;
            lost_there += usize::from(name.starts_with(told));
        }
    }
    let whole = outcomes.iter().filter(|(_, o)| o.is_whole()).count();
    let text = format!(
        "LOST: of {} requests on kept connections, {lost} ended without a whole answer although a replica wrote one, {lost_there} of them at the node with SIGHUP; {whole} whole",
        outcomes.len()
    );
    world.record.line(&text);
    if lost > FORGIVEN || lost_there > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
