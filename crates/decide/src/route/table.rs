//! One pool as one entry node sees it.

use std::time::Duration;

use model::load::TargetNews;
use model::{Name, Time, hash};

use super::health::Health;
use crate::limit::Concurrency;

/// Weight of a new sample in the smoothed service time.
const SMOOTHING: f64 = 0.2;
/// Service time assumed before the first answer, milliseconds.
const DEFAULT_SERVICE_MS: f64 = 20.0;
/// Least work of a call, milliseconds.
const MIN_WORK_MS: f64 = 0.5;
/// A reported wait loses half its weight in this time.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Largest share of a pool that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.34;

/// What is declared about a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Name.
    pub name: Name,
    /// IP address and port.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// 0 in the node's own failure domain, 1 in its region, 2 beyond.
    pub distance: u8,
}

/// One target in a table.
#[derive(Debug, Clone)]
pub struct Slot {
    /// What is declared.
    pub info: TargetInfo,
    /// Hash of the name, for rendezvous.
    pub hash: u64,
    /// Answering, by the last report; true until one says otherwise.
    pub ready: bool,
    /// Leaving, or drained.
    pub leaving: bool,
    /// Model versions held, or `None` if nothing was reported.
    pub models: Option<Vec<Name>>,
    /// Attempts that this node has in flight.
    pub in_flight: u32,
    /// Attempts sent since the last report.
    pub sent_since: u32,
    /// Most attempts in flight.
    pub limit: Concurrency,
    health: Health,
    service_ms: f64,
    wait: f64,
    reported_at: Time,
    seq: u64,
}

impl Slot {
    fn new(info: TargetInfo) -> Self {
        Slot {
            hash: hash::of(info.name.as_bytes()),
            info,
            ready: true,
            leaving: false,
            models: None,
            in_flight: 0,
            sent_since: 0,
            limit: Concurrency::default(),
            health: Health::default(),
            service_ms: DEFAULT_SERVICE_MS,
            wait: 0.0,
            reported_at: Time::ZERO,
            seq: 0,
        }
    }

    /// Expected wait of a new call, milliseconds: the last report fading out,
    /// and the work of what this node sent since.
    pub fn wait(&self, now: Time) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        // Cheap stand-in for 2^-age, within 7 % of it over the first half-life.
        let faded = self.wait / (1.0 + age);
        let own = f64::from(self.sent_since) * self.service_ms;
        faded + own
    }
}

/// What one entry node believes about one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolTable {
    slots: Vec<Slot>,
}

impl PoolTable {
    /// Takes a new list of targets; what is known about those that stay is kept.
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

    /// The targets.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// One target by name.
    pub fn slot(&self, name: &str) -> Option<&Slot> {
        self.slots.iter().find(|s| &*s.info.name == name)
    }

    fn slot_mut(&mut self, name: &str) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|s| &*s.info.name == name)
    }

    /// Takes news about a target; older news than the last is ignored.
    pub fn update(&mut self, now: Time, news: &TargetNews) {
        let Some(s) = self.slot_mut(&news.report.target) else {
            return;
        };
        if news.seq <= s.seq {
            return;
        }
        s.seq = news.seq;
        s.ready = news.ready;
        s.leaving = news.report.leaving;
        if !news.ready {
            return;
        }
        s.models = news.polled.then(|| news.report.models.clone());
        s.wait = f64::from(news.report.wait);
        s.reported_at = now;
        s.sent_since = 0;
    }

    /// Marks a target as leaving: by its own refusal, or a drained host.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(s) = self.slot_mut(name) {
            s.leaving = true;
        }
    }

    /// An attempt was sent; returns the wait expected at that moment, milliseconds.
    pub fn record_sent(&mut self, now: Time, name: &str) -> f64 {
        let Some(s) = self.slot_mut(name) else {
            return 0.0;
        };
        let wait = s.wait(now);
        s.in_flight += 1;
        s.sent_since += 1;
        wait
    }

    /// The first frame of an attempt came after `took`, where `wait` milliseconds were expected.
    pub fn record_first_frame(&mut self, now: Time, name: &str, wait: f64, took: Duration) {
        let Some(s) = self.slot_mut(name) else {
            return;
        };
        let ms = took.as_secs_f64() * 1e3;
        // What is left of the time once the wait is taken off is the call's own work.
        let work = (ms - wait).max(MIN_WORK_MS);
        s.service_ms += SMOOTHING * (work - s.service_ms);
        let in_flight = s.in_flight;
        s.limit.sample(now, ms, in_flight);
    }

    /// An attempt ended well.
    pub fn record_success(&mut self, now: Time, name: &str) {
        if let Some(s) = self.slot_mut(name) {
            s.in_flight = s.in_flight.saturating_sub(1);
            s.health.success(now);
        }
    }

    /// The target told its expected wait with an answer.
    pub fn record_wait(&mut self, now: Time, name: &str, wait: u32) {
        if let Some(s) = self.slot_mut(name) {
            s.wait = f64::from(wait);
            s.reported_at = now;
            s.sent_since = 0;
        }
    }

    /// An attempt failed; returns true if that ejected the target.
    pub fn record_failure(&mut self, now: Time, name: &str) -> bool {
        let ejected = self.slots.iter().filter(|s| s.health.ejected(now)).count();
        let room = ((self.slots.len() as f64 * MAX_EJECTED_SHARE) as usize).max(1);
        let Some(s) = self.slot_mut(name) else {
            return false;
        };
        s.in_flight = s.in_flight.saturating_sub(1);
        s.limit.drop_back(now);
        (ejected < room) && s.health.failure(now)
    }

    /// An attempt was cancelled, by nobody's fault.
    pub fn record_cancel(&mut self, name: &str) {
        if let Some(s) = self.slot_mut(name) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }

    /// Whether a target may take this request at all.
    #[inline]
    pub fn fits(s: &Slot, now: Time, model: Option<&str>) -> bool {
        let holds = match (model, &s.models) {
            (Some(m), Some(held)) => held.iter().any(|h| &**h == m),
            _ => true,
        };
        s.ready && !s.leaving && holds && !s.health.ejected(now)
    }
}
