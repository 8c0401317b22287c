//! Cases of the independent review: `standin CASE FOLDER`, with `TROUBLE=0` for the same without
//! the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod early_answers;
mod http;
mod node;
mod planned_stop;
mod record;
mod replica;
mod slow_readers;
mod store;
mod sys;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use world::{Verdict, World};

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("standin CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let run = match case.as_str() {
        "slow-readers" => slow_readers::run,
        "early-answers" => early_answers::run,
        "planned-stop" => planned_stop::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    // The nodes must end with this process, so a case runs beside the clock that limits it.
    let (sender, verdict) = std::sync::mpsc::channel();
    let worlds = world::registry();
    let (registry, limit) = (worlds.clone(), LIMIT);
    thread::spawn(move || {
        let verdict = match World::start(&folder, registry) {
            Ok(mut world) => run(&mut world, trouble),
            Err(why) => Verdict::NotRun(why),
        };
        let _ = sender.send(verdict);
    });
    let verdict = verdict
        .recv_timeout(limit)
        .unwrap_or_else(|_| Verdict::NotRun("it took too long or failed".into()));
    world::end_nodes(&worlds);
    println!("{}", verdict.describe());
    exit(verdict.code());
}
