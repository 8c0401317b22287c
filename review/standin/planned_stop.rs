//! A machine is stopped as planned while clients are still reading their answers.
//!
//! Each client reads 4 MB at 800 kB a second, with small windows and the segments of an Ethernet
//! link, so that a whole answer takes it 5 s. Half a second after the requests one node gets SIGTERM;
//! its clients need 4.6 s more, of the 8 s that `graceS` gives.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Connection, Outcome, Pace};
use crate::node::GRACE_S;
use crate::sys::{self, Receiving};
use crate::world::{Verdict, World, ONCE};

/// Clients at each node.
const CLIENTS: usize = 4;
/// Size of an answer.
const SIZE: usize = 4_000_000;
/// Bytes that a client reads in a second: 6.4 Mbit/s.
const RATE: usize = 800_000;
/// Small windows, and segments of an Ethernet link.
const RECEIVING: Receiving = Receiving { buffer: 16_384, segment: 1460 };
/// Time from the requests to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(500);

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    let targets: Vec<_> = {
        let running = world.nodes.lock().expect("no panic");
        running.0.iter().map(|n| (n.name.clone(), n.callers)).collect()
    };
    let pace = Pace { pause: Duration::ZERO, rate: RATE };
    let mut asked = Vec::new();
    for (node, address) in &targets {
        for number in 0..CLIENTS {
            let (name, node, record) =
                (format!("{node}-{number}"), node.clone(), world.record.clone());
            let Ok(mut connection) = Connection::open(*address, RECEIVING) else {
                return Verdict::NotRun(format!("{name}: no connection"));
            };
            asked.push(thread::spawn(move || {
                record.line(&format!("client {name}: sends {name}-post, answer of {SIZE} bytes"));
                let outcome =
                    connection.ask(&format!("{name}-post"), &format!("{ONCE}x/{SIZE}"), pace);
                record.line(&format!("client {name}: {}", outcome.describe()));
                (name, node, outcome)
            }));
        }
    }
    thread::sleep(STOP_AFTER);
    let stopped = &targets[0].0;
    if trouble {
        stop(world, stopped);
    }
    let outcomes: Vec<(String, String, Outcome)> =
        asked.into_iter().flat_map(|a| a.join()).collect();
    judge(world, &outcomes, trouble.then_some(stopped.as_str()))
}

/// Sends SIGTERM to a node and records when its process has ended.
fn stop(world: &World, name: &str) {
    let started = Instant::now();
    for node in world.nodes.lock().expect("no panic").0.iter().filter(|n| n.name == name) {
        node.signal(sys::SIGTERM);
        world.record.line(&format!("SIGTERM to {name}"));
    }
    let (nodes, record, name) = (world.nodes.clone(), world.record.clone(), name.to_string());
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(50));
        let mut running = nodes.lock().expect("no panic");
        let Some(node) = running.0.iter_mut().find(|n| n.name == name) else {
            return;
        };
        if let Some(how) = node.ended() {
            record.line(&format!(
                "{name} ended {:.2} s after SIGTERM, of {GRACE_S} s: {how}",
                started.elapsed().as_secs_f64()
            ));
            return;
        }
    });
}

/// Counts requests that a sound replica ran and answered whole, and whose connection ended without
/// the whole answer around the planned stop of their node.
fn judge(world: &World, outcomes: &[(String, String, Outcome)], stopped: Option<&str>) -> Verdict {
    if let Some((node, how)) = world.ended().into_iter().find(|(n, _)| stopped != Some(n.as_str()))
    {
        return Verdict::NotRun(format!("{node} ended: {how}"));
    }
    let (mut lost, mut elsewhere) = (0, 0);
    for (name, node, outcome) in outcomes.iter().filter(|(_, _, o)| !o.is_whole()) {
        let runs = world.runs_of(&format!("{name}-post"));
        let ran_well = runs.len() == 1 && runs[0].answered;
        if ran_well && stopped == Some(node.as_str()) {
            lost += 1;
        } else {
            elsewhere += 1;
        }
        world.record.line(&format!(
            "client {name}: no whole answer, although a replica wrote one: {ran_well}, {}",
            outcome.describe()
        ));
    }
    let text = format!(
        "LOST: of {} requests, {lost} at the node that was stopped ended without a whole answer, and {elsewhere} elsewhere",
        outcomes.len()
    );
    world.record.line(&text);
    if elsewhere > 0 {
        return Verdict::NotRun(format!("{text}; the others should be whole"));
    }
    if lost > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
