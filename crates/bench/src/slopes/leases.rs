//! Store calls for leases, by failure domains. Three candidates per failure domain watch the
//! manifest's lease and the lease of their own domain.

use decide::lease::{Action, Event, LeaseClient, PERIOD};
use model::Time;
use model::lease::Lease;

use super::{Figure, counted};

/// Measured numbers of failure domains.
const DOMAIN_COUNTS: [usize; 4] = [1, 2, 3, 6];
/// Candidates per failure domain.
const CANDIDATES: usize = 3;
/// Simulated seconds.
const MEASURED_SECONDS: u64 = 600;
/// Time step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Store reads and writes per second of `n` candidates for one lease.
fn call_rates(n: usize) -> (f64, f64) {
    let mut candidates: Vec<LeaseClient> =
        (0..n).map(|i| LeaseClient::new(format!("n{i}").into(), PERIOD, i as u64)).collect();
    let mut stored: Option<(u64, Lease)> = None;
    let (mut reads, mut writes) = (0u64, 0u64);
    for ms in (0..MEASURED_SECONDS * 1000).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        for candidate in &mut candidates {
            if candidate.next_tick() > now {
                continue;
            }
            let mut events = vec![Event::Tick];
            while let Some(event) = events.pop() {
                for action in candidate.handle_event(now, event) {
                    match action {
                        Action::Read => {
                            reads += 1;
                            let version = stored.as_ref().map_or(0, |(v, _)| *v);
                            let lease = stored.as_ref().map(|(_, l)| l.clone());
                            events.push(Event::Read { version, lease });
                        }
                        Action::Write { expect, lease } => {
                            writes += 1;
                            let version = stored.as_ref().map_or(0, |(v, _)| *v);
                            if version == expect {
                                stored = Some((version + 1, lease));
                                events.push(Event::Written(version + 1));
                            } else {
                                events.push(Event::Conflict);
                            }
                        }
                        Action::Acquired(_) | Action::Lost => {}
                    }
                }
            }
        }
    }
    (reads as f64 / MEASURED_SECONDS as f64, writes as f64 / MEASURED_SECONDS as f64)
}

/// Store calls per second for all leases together.
pub fn measure() -> Vec<Figure> {
    let (domain_reads, domain_writes) = call_rates(CANDIDATES);
    let all = DOMAIN_COUNTS.iter().flat_map(|d| {
        let (manifest_reads, manifest_writes) = call_rates(CANDIDATES * d);
        let total = |one: f64, shared: f64| one * *d as f64 + shared;
        [
            counted(
                "lease reads a second, by failure domains",
                *d,
                total(domain_reads, manifest_reads),
            ),
            counted(
                "lease writes a second, by failure domains",
                *d,
                total(domain_writes, manifest_writes),
            ),
        ]
    });
    all.collect()
}
