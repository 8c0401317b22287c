//! The share of requests that a trial version gets over the time of its order.
//!
//! The operator's cap counts all requests from the order to its deadline. It is spent on three
//! things: a small share for most of the time, a short step at a larger share that reveals faults
//! which only load causes, and the requests that reach a version which turns bad at the full step,
//! when it gets all requests, before that is detected. At any moment, the requests sent so far plus
//! those that the next step would add before a bad version is detected must stay within the cap; a
//! step that does not fit waits. Times are in seconds, rates in requests a second.

use std::time::Duration;

use super::Bounds;

/// Part of the cap that is planned with; the rest covers bursts and lost reports.
const PLANNED_PART: f64 = 0.9;
/// Part of the expected traffic that is counted on; less traffic lowers the cap.
const EXPECTED_PART: f64 = 0.9;
/// Part of the cap left beside the full step that the small share may use.
const SMALL_SHARE_PART: f64 = 0.5;
/// Part of the cap below which the requests left are too few to show anything.
const MIN_ROOM_PART: f64 = 0.05;
/// Part of the cap then left that the step may use; the rest covers requests in flight and random
/// variation, so that the full step is not delayed.
const STEP_PART: f64 = 0.6;
/// Part of the cap's share at which a trial starts, before the traffic is known.
const START_PART: f64 = 0.125;
/// Time after which the traffic is known well enough to plan with.
const MIN_TRAFFIC_AGE: f64 = 1.0;
/// Maximum share outside of the step.
const MAX_SHARE: f64 = 0.4;
/// Maximum share of the step: both versions get as much, so each shows how it handles the same
/// load, and at most half of the callers meet a bad version.
const MAX_STEP_SHARE: f64 = 0.5;
/// Two reports of every node and their replies: the delay until all nodes act on a decision of the
/// judge.
const REPORT_DELAY: f64 = 0.5;
/// Longest wait for the answers that show a version to be bad.
const MAX_DETECTION: f64 = 2.0;
/// Longest such wait as part of the order's time, since the cap grows with that.
const DETECTION_PART: f64 = 1.0 / 80.0;
/// Time kept at the end for a write that is answered at once, and the maximum, which also covers a
/// repeat of it and the delay until the order became known.
const WRITE_RESERVE: (f64, f64) = (0.15, 1.5);
/// Time kept for a write as part of the order's time.
const WRITE_RESERVE_PART: f64 = 1.0 / 30.0;
/// Minimum time kept for a write where the order is short, if the cap allows it.
const MIN_PREFERRED_WRITE: f64 = 0.8;
/// Time kept between the end of the old version's requests and the write, for reports of that end;
/// the maximum covers lost reports too.
const REPORT_RESERVE: (f64, f64) = (0.5, 0.8);
/// Time kept for reports as part of the order's time; an order of half a minute gets the maximum.
const REPORT_RESERVE_PART: f64 = 1.0 / 40.0;
/// Maximum part of a short order that such reserves may take, so that the trial gets the rest.
const MAX_RESERVE_PART: f64 = 0.1;
/// Maximum part of the order's time kept for requests of the old version to end. Longer requests
/// delay the order beyond its deadline, since a trial in less than the rest would show too little.
const MAX_DRAIN_PART: f64 = 1.0 / 3.0;
/// Maximum part of the order's time kept for a write.
const MAX_WRITE_PART: f64 = 0.2;
/// Length of the step as part of the order's time; faults that only load causes show within
/// seconds.
const STEP_TIME_PART: f64 = 1.0 / 20.0;
/// Maximum part of the time before the full step that the step may take.
const MAX_STEP_TIME_PART: f64 = 0.5;
/// Multiple of the median answer time within which enough answers arrive to show that a version is
/// bad.
const DETECTION_MEDIANS: f64 = 2.0;
/// Part of the cap that must be left for the trial if the whole time after the full step is to fit
/// into the cap.
const MIN_TRIAL_PART: f64 = 0.15;
/// Shortest and longest duration of the step.
const STEP_TIME: (f64, f64) = (1.0, 5.0);
/// Minimum time for the old version's requests to end.
const MIN_DRAIN: f64 = 0.2;
/// Minimum divisor, in requests a second, since a service may have no traffic.
const MIN_RATE: f64 = 0.1;

/// Measurements from which a share is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Observed {
    /// Age of the order.
    pub age: f64,
    /// Requests sent to either version.
    pub sent: f64,
    /// Requests sent to the trial version.
    pub trial_sent: f64,
    /// Recent requests a second.
    pub rate: f64,
    /// Share of requests that nodes now send to the trial version.
    pub current_share: f64,
    /// 99th percentile of the serving version's answer times.
    pub p99: f64,
    /// Median of the serving version's answer times.
    pub median: f64,
    /// Part of all usable targets that belong to the trial version.
    pub target_share: f64,
}

/// Times at which steps are due, counted from the order, and the shares that fit the cap.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    bounds: Bounds,
    duration: f64,
}

impl Plan {
    /// Plans an order of this duration.
    pub fn new(bounds: Bounds, lasts: Duration) -> Self {
        Plan { bounds, duration: lasts.as_secs_f64() }
    }

    /// Time for the old version's requests to end and for reports of that.
    fn drain(&self, observed: &Observed) -> f64 {
        let short = self.duration * MAX_RESERVE_PART;
        let settle = (self.duration * REPORT_RESERVE_PART)
            .clamp(REPORT_RESERVE.0, REPORT_RESERVE.1)
            .min(short);
        let drain = observed.p99.clamp(MIN_DRAIN.min(short), self.duration * MAX_DRAIN_PART);
        settle + drain
    }

    /// Time kept for the write; less where the requests of that time would exceed the cap.
    fn write_reserve(&self, observed: &Observed) -> f64 {
        let preferred =
            (self.duration * WRITE_RESERVE_PART).clamp(MIN_PREFERRED_WRITE, WRITE_RESERVE.1);
        let allowed =
            (1.0 - MIN_TRIAL_PART) * self.cap(observed) / Plan::peak_rate(observed).max(MIN_RATE);
        (allowed - self.drain(observed))
            .clamp(WRITE_RESERVE.0, preferred)
            .min(self.duration * MAX_WRITE_PART)
    }

    /// Time at which the final write must be sent.
    pub fn write_deadline(&self, observed: &Observed) -> f64 {
        self.duration - self.write_reserve(observed)
    }

    /// Time of the full step, which leaves enough time for the old version's requests to end.
    pub fn full_at(&self, observed: &Observed) -> f64 {
        self.write_deadline(observed) - self.drain(observed)
    }

    /// Duration of the step.
    pub fn step_length(&self, observed: &Observed) -> f64 {
        let preferred = (self.duration * STEP_TIME_PART).clamp(STEP_TIME.0, STEP_TIME.1);
        preferred.min(self.full_at(observed) * MAX_STEP_TIME_PART)
    }

    /// Time at which the step begins.
    pub fn step_start(&self, observed: &Observed) -> f64 {
        self.full_at(observed) - self.step_length(observed)
    }

    /// Time from when a version turns bad until no node sends to it any more.
    pub fn detection_time(&self, observed: &Observed) -> f64 {
        REPORT_DELAY
            + (DETECTION_MEDIANS * observed.median)
                .min(MAX_DETECTION)
                .min(self.duration * DETECTION_PART)
    }

    /// Requests that a bad version may get, as far as can be planned.
    fn cap(&self, observed: &Observed) -> f64 {
        let left = (self.duration - observed.age).max(0.0);
        let mean_rate = observed.sent / observed.age.max(MIN_TRAFFIC_AGE);
        let to_come = EXPECTED_PART * observed.rate.min(mean_rate) * left;
        PLANNED_PART
            * (self.bounds.share * (observed.sent + to_come) + f64::from(self.bounds.slack))
    }

    /// Highest request rate to plan for.
    fn peak_rate(observed: &Observed) -> f64 {
        observed.rate.max(observed.sent / observed.age.max(MIN_TRAFFIC_AGE))
    }

    /// Requests that the full step adds before the deadline: all of that time if the cap allows it,
    /// since the cap then holds even if a fault is never detected, otherwise those sent before it
    /// is.
    fn full_step_cost(&self, observed: &Observed) -> f64 {
        let left = (self.duration - observed.age.max(self.full_at(observed))).max(0.0);
        let full_cost = Plan::peak_rate(observed) * left;
        if full_cost <= (1.0 - MIN_TRIAL_PART) * self.cap(observed) {
            return full_cost;
        }
        Plan::peak_rate(observed) * self.detection_time(observed).min(left)
    }

    /// Requests that the trial version got, including an estimate of those not reported yet.
    fn spent(&self, observed: &Observed) -> f64 {
        observed.trial_sent + REPORT_DELAY * observed.current_share * Plan::peak_rate(observed)
    }

    /// Whether the full step stays within the cap.
    pub fn fits_full_step(&self, observed: &Observed) -> bool {
        observed.age >= self.duration
            || self.spent(observed) + self.full_step_cost(observed) <= self.cap(observed)
    }

    /// Part of the cap left beside the full step. If the cap does not even allow that step, the
    /// whole cap: the step then waits for the deadline, after which requests do not count.
    fn room(&self, observed: &Observed) -> f64 {
        let cap = self.cap(observed);
        let rest = cap - self.full_step_cost(observed);
        if rest < MIN_ROOM_PART * cap { cap } else { rest }
    }

    /// Share to send before the step.
    pub fn share(&self, observed: &Observed) -> f64 {
        if observed.age < MIN_TRAFFIC_AGE {
            return START_PART * self.bounds.share;
        }
        let part = SMALL_SHARE_PART * self.room(observed) - observed.trial_sent;
        let left = (self.step_start(observed) - observed.age).max(1.0);
        let chance = part / (Plan::peak_rate(observed).max(MIN_RATE) * left);
        chance.clamp(0.0, MAX_SHARE.min(observed.target_share))
    }

    /// Share to send during the step, as far as the cap allows beside the full step.
    pub fn step_share(&self, observed: &Observed) -> f64 {
        let part = STEP_PART * (self.room(observed) - self.spent(observed));
        let chance = part
            / (Plan::peak_rate(observed).max(MIN_RATE)
                * (self.step_length(observed) + REPORT_DELAY));
        chance.clamp(0.0, MAX_STEP_SHARE.min(observed.target_share))
    }
}
