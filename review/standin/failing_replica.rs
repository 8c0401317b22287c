//! One replica of seven fails a part of its requests for 6.5 s, after they have run, with a status
//! that promises to clients that the request has not run.
//!
//! Clients post numbered postings that may run at most once. As the pages allow after a promise,
//! and only then, a client sends a posting once more, with an id of its own.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Connection, Outcome, Pace};
use crate::sys::Receiving;
use crate::world::{Verdict, World, ONCE};

/// Clients at each node.
const CLIENTS: usize = 4;
/// Pause of a client between two postings.
const PAUSE: Duration = Duration::from_millis(50);
/// Time for which the replica fails requests, and for which clients post.
const FAILS_FOR: Duration = Duration::from_millis(6_500);
const POSTS_FOR: Duration = Duration::from_secs(8);
/// Status of the failures.
const STATUS: u16 = 503;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Wait before a client sends a posting again.
const COME_BACK: Duration = Duration::from_millis(200);

/// One attempt of a posting.
struct Attempt {
    id: String,
    posting: String,
    outcome: Outcome,
}

pub fn run(world: &mut World, trouble: bool) -> Verdict {
    let targets: Vec<_> = {
        let running = world.nodes.lock().expect("no panic");
        running.0.iter().map(|n| (n.name.clone(), n.callers)).collect()
    };
    if trouble {
        world.replicas[0].fail_for(STATUS, FAILS_FOR);
        world.record.line(&format!("replica i-0 fails 0.45 of its requests with {STATUS}"));
    }
    let until = Instant::now() + POSTS_FOR;
    let mut clients = Vec::new();
    for (node, address) in targets {
        for number in 0..CLIENTS {
            let (name, record) = (format!("{node}-{number}"), world.record.clone());
            clients.push(thread::spawn(move || {
                let mut attempts = Vec::new();
                for n in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let posting = format!("{name}-posting-{n}");
                    for again in ["a", "b"] {
                        let id = format!("{posting}-{again}");
                        let outcome = post(address, &id, &posting);
                        record.line(&format!("client: {id}: {}", outcome.describe()));
                        let may_repeat = PROMISES.contains(&outcome.status);
                        attempts.push(Attempt { id, posting: posting.clone(), outcome });
                        if !may_repeat {
                            break;
                        }
                        thread::sleep(COME_BACK);
                    }
                    thread::sleep(PAUSE);
                }
                attempts
            }));
        }
    }
    let attempts: Vec<Attempt> = clients.into_iter().flat_map(|c| c.join()).flatten().collect();
    judge(world, &attempts)
}

fn post(address: std::net::SocketAddrV4, id: &str, posting: &str) -> Outcome {
    let pace = Pace { pause: Duration::ZERO, rate: 0 };
    match Connection::open(address, Receiving::default()) {
        Ok(mut connection) => connection.post(id, &format!("{ONCE}x/200"), posting, pace),
        Err(e) => Outcome::failed(&e.to_string()),
    }
}

/// Counts attempts that ran and were answered with a promise that they had not.
fn judge(world: &World, attempts: &[Attempt]) -> Verdict {
    if let Some((node, how)) = world.ended().first() {
        return Verdict::NotRun(format!("{node} ended: {how}"));
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let mut by_posting: BTreeMap<String, usize> = BTreeMap::new();
    for run in world.runs() {
        *runs.entry(run.attempt).or_default() += 1;
        *by_posting.entry(run.body).or_default() += 1;
    }
    let is_refused = |a: &&Attempt| PROMISES.contains(&a.outcome.status);
    let has_run = |a: &&Attempt| runs.contains_key(&a.id);
    let broken: Vec<&Attempt> = attempts.iter().filter(is_refused).filter(has_run).collect();
    for attempt in &broken {
        let times = by_posting.get(&attempt.posting).copied().unwrap_or(0);
        world.record.line(&format!(
            "{}: has run and got {}; posting {} ran {times} times in all",
            attempt.id, attempt.outcome.status, attempt.posting
        ));
    }
    let doubled = by_posting.values().filter(|n| **n > 1).count();
    let text = format!(
        "REFUSED: of {} attempts, {} had run and were refused as not run; {doubled} postings of {} ran twice",
        attempts.len(),
        broken.len(),
        by_posting.len()
    );
    world.record.line(&text);
    if broken.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    }
}
