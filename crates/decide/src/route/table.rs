//! One entry node's view of one pool.

use std::time::Duration;

use model::load::TargetStatus;
use model::{Name, Time, hash};

use super::health::Health;
use crate::limit::ConcurrencyLimit;

/// Weight of a new sample in the smoothed service time.
const SMOOTHING: f64 = 0.2;
/// Service time assumed before the first answer, milliseconds.
const DEFAULT_SERVICE_MS: f64 = 20.0;
/// Minimum service time of a call, milliseconds.
const MIN_WORK_MS: f64 = 0.5;
/// Time in which a reported wait loses half its weight.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Maximum share of a pool that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.34;

/// Configured properties of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Name, by which the pool finds the target.
    pub name: Name,
    /// IP address and port.
    pub address: Name,
    /// Failure domain of its host.
    pub domain: Name,
    /// 0 in the node's own failure domain, 1 in its region, 2 beyond.
    pub distance: u8,
}

/// State of one target.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Configured properties.
    pub info: TargetInfo,
    /// Hash of the name, for rendezvous hashing.
    pub hash: u64,
    /// Whether the last report showed it as ready; true until one says otherwise.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Model versions it holds, or `None` if nothing was reported.
    pub models: Option<Vec<Name>>,
    /// Attempts that this node has in flight.
    pub in_flight: u32,
    /// Attempts sent since the last report.
    pub sent_since: u32,
    /// Limit on the attempts in flight.
    pub limit: ConcurrencyLimit,
    health: Health,
    service_ms: f64,
    wait: f64,
    reported_at: Time,
    seq: u64,
}

impl Slot {
    fn new(info: TargetInfo) -> Self {
        Slot {
            hash: hash::hash64(info.name.as_bytes()),
            info,
            ready: true,
            draining: false,
            models: None,
            in_flight: 0,
            sent_since: 0,
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            service_ms: DEFAULT_SERVICE_MS,
            wait: 0.0,
            reported_at: Time::ZERO,
            seq: 0,
        }
    }

    /// Expected wait of a new call, milliseconds: the last report with decaying weight, plus the
    /// work of what this node sent since.
    pub fn wait(&self, now: Time) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        // Cheap approximation of 2^-age, within 7 % of it over the first half-life.
        let faded = self.wait / (1.0 + age);
        let own = f64::from(self.sent_since) * self.service_ms;
        faded + own
    }
}

/// Targets of one pool with all that one entry node knows of them.
#[derive(Debug, Clone, Default)]
pub struct PoolTable {
    slots: Vec<Slot>,
}

impl PoolTable {
    /// Replaces the list of targets; the state of those that remain is kept.
    pub fn set_targets(&mut self, infos: Vec<TargetInfo>) {
        let mut old: Vec<Option<Slot>> = self.slots.drain(..).map(Some).collect();
        for info in infos {
            let known = old.iter_mut().find(|s| {
                s.as_ref()
                    .is_some_and(|s| s.info.name == info.name && s.info.address == info.address)
            });
            let slot = match known.and_then(Option::take) {
                Some(mut s) => {
                    s.info = info;
                    s
                }
                None => Slot::new(info),
            };
            self.slots.push(slot);
        }
    }

    /// All targets.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// A target by name.
    pub fn slot(&self, name: &str) -> Option<&Slot> {
        self.slots.iter().find(|s| &*s.info.name == name)
    }

    fn slot_mut(&mut self, name: &str) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|s| &*s.info.name == name)
    }

    /// Applies a report about a target; one older than the last is ignored.
    pub fn update(&mut self, now: Time, status: &TargetStatus) {
        let Some(s) = self.slot_mut(&status.report.target) else {
            return;
        };
        if status.seq <= s.seq {
            return;
        }
        s.seq = status.seq;
        s.ready = status.ready;
        s.draining = status.report.leaving;
        if !status.ready {
            return;
        }
        s.models = status.polled.then(|| status.report.models.clone());
        s.wait = f64::from(status.report.wait);
        s.reported_at = now;
        s.sent_since = 0;
    }

    /// Marks a target as draining, after its own refusal or because its host is drained.
    pub fn mark_draining(&mut self, name: &str) {
        if let Some(s) = self.slot_mut(name) {
            s.draining = true;
        }
    }

    /// Records an attempt that was sent; returns the wait expected at that moment, milliseconds.
    pub fn record_sent(&mut self, now: Time, name: &str) -> f64 {
        let Some(s) = self.slot_mut(name) else {
            return 0.0;
        };
        let wait = s.wait(now);
        s.in_flight += 1;
        s.sent_since += 1;
        wait
    }

    /// Records the first frame of an attempt after `took`, where a wait of `wait` milliseconds was
    /// expected.
    pub fn record_first_frame(&mut self, now: Time, name: &str, wait: f64, took: Duration) {
        let Some(s) = self.slot_mut(name) else {
            return;
        };
        let ms = took.as_secs_f64() * 1e3;
        // The rest of the time, less the wait, is the call's own work.
        let work = (ms - wait).max(MIN_WORK_MS);
        s.service_ms += SMOOTHING * (work - s.service_ms);
        let in_flight = s.in_flight;
        s.limit.record_latency(now, ms, in_flight);
    }

    /// Records an attempt that succeeded.
    pub fn record_success(&mut self, now: Time, name: &str) {
        if let Some(s) = self.slot_mut(name) {
            s.in_flight = s.in_flight.saturating_sub(1);
            s.health.record_success(now);
        }
    }

    /// Records the expected wait, in milliseconds, that the target sent with an answer.
    pub fn record_wait(&mut self, now: Time, name: &str, wait: u32) {
        if let Some(s) = self.slot_mut(name) {
            s.wait = f64::from(wait);
            s.reported_at = now;
            s.sent_since = 0;
        }
    }

    /// Records an attempt that failed; returns true if that ejected the target.
    pub fn record_failure(&mut self, now: Time, name: &str) -> bool {
        let ejected = self.slots.iter().filter(|s| s.health.is_ejected(now)).count();
        let room = ((self.slots.len() as f64 * MAX_EJECTED_SHARE) as usize).max(1);
        let Some(s) = self.slot_mut(name) else {
            return false;
        };
        s.in_flight = s.in_flight.saturating_sub(1);
        s.limit.decrease(now);
        (ejected < room) && s.health.record_failure(now)
    }

    /// Records an attempt that was cancelled through no fault of the target.
    pub fn record_cancel(&mut self, name: &str) {
        if let Some(s) = self.slot_mut(name) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }

    /// Whether a target can take a request for this model at all.
    #[inline]
    pub fn fits(s: &Slot, now: Time, model: Option<&str>) -> bool {
        let holds = match (model, &s.models) {
            (Some(m), Some(held)) => held.iter().any(|h| &**h == m),
            _ => true,
        };
        s.ready && !s.draining && holds && !s.health.is_ejected(now)
    }
}
