//! Store calls and bytes written per claim, by claims per second.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::claim::{Action, Committer, Event, ReadOutcome, WriteOutcome};
use model::claim::{ClaimRequest, Claims};
use model::key::Key;
use model::{Name, Time};

use super::{Figure, counted};

/// Claims per second at one home node.
const RATES: [u64; 4] = [1, 10, 100, 1000];
/// Simulated seconds.
const MEASURED_SECONDS: u64 = 10;
/// Duration of one store call.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// Unix time at the start, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// In-memory store that counts its calls and the bytes written.
#[derive(Default)]
struct CountingStore {
    objects: BTreeMap<Name, (u64, Claims)>,
    reads: u64,
    writes: u64,
    bytes: u64,
}

impl CountingStore {
    /// Executes an action and returns the event that answers it, if any.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Answer { .. } => None,
            Action::ReadFloor => {
                self.reads += 1;
                Some(Event::Floor(Some(0)))
            }
            Action::Read(object) => {
                self.reads += 1;
                let found = match self.objects.get(&object).cloned() {
                    Some((version, claims)) => ReadOutcome::Found { version, claims },
                    None => ReadOutcome::NeverWritten,
                };
                Some(Event::Read { object, found })
            }
            Action::Write { object, expect, claims } => {
                self.writes += 1;
                self.bytes += serde_json::to_vec(&claims).map_or(0, |b| b.len() as u64);
                self.objects.insert(object.clone(), (expect + 1, claims));
                Some(Event::Written { object, end: WriteOutcome::Done(expect + 1) })
            }
        }
    }
}

/// Figures at one rate, from evenly spaced claims with distinct keys.
fn measure_rate(rate: u64) -> Vec<Figure> {
    let mut committer = Committer::default();
    let mut store = CountingStore::default();
    let mut queue: BTreeMap<(Time, u64), Event> = BTreeMap::new();
    let total = rate * MEASURED_SECONDS;
    for i in 0..total {
        let at = Time(i * 1_000_000 / rate);
        let unix_ms = START_UNIX_MS + at.0 / 1000;
        let key = Key::new(unix_ms, u128::from(i) * 0x9e37_79b9_7f4a_7c15);
        let ask = ClaimRequest { key, request: format!("hall-a-1-0a1b2c3d-{i}").into() };
        let expires = at + Duration::from_secs(2);
        queue.insert((at, i), Event::Claim { ask, ticket: i, unix_ms, expires });
    }
    let mut seq = total;
    while let Some(((at, _), event)) = queue.pop_first() {
        for action in committer.handle_event(at, event) {
            if let Some(event) = store.execute(action) {
                seq += 1;
                queue.insert((at + STORE_LATENCY, seq), event);
            }
        }
        let tick = committer.next_tick();
        if let Some(tick) = tick
            && queue.keys().next().is_none_or(|(t, _)| *t > tick)
        {
            seq += 1;
            queue.insert((tick.max(at), seq), Event::Tick);
        }
    }
    let rate_size = rate as usize;
    let per_claim = |x: u64| x as f64 / total as f64;
    vec![
        counted("store writes per claim, by claims a second", rate_size, per_claim(store.writes)),
        counted("store reads per claim, by claims a second", rate_size, per_claim(store.reads)),
        counted(
            "store bytes written per claim, by claims a second",
            rate_size,
            per_claim(store.bytes),
        ),
    ]
}

/// Store writes, reads and bytes per claim at each rate.
pub fn measure() -> Vec<Figure> {
    RATES.iter().flat_map(|r| measure_rate(*r)).collect()
}
