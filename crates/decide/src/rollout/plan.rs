//! How much of the requests a version on trial gets, and when.
//!
//! The operator's cap counts all requests from the order to its deadline. It is spent on three
//! things: a small share for most of the time, a short step at a greater share that shows what
//! only load shows, and the requests that all go to a version which turns bad at the step to
//! all, until that is seen. At every moment what was sent so far and what the next step would
//! add before a bad version is seen has to stay within the cap; a step that does not fit waits.
//! Times are in seconds, rates in requests a second.

use std::time::Duration;

use super::Bounds;

/// Part of the cap that is planned with; the rest is for bursts and for lost reports.
const PLANNED_PART: f64 = 0.9;
/// Part of the traffic to come that is counted on: less of it makes the cap smaller.
const EXPECTED_PART: f64 = 0.9;
/// Part of what the cap leaves beside the step to all that the small share may use.
const SMALL_SHARE_PART: f64 = 0.5;
/// Part of the cap below which what is left of it is too few requests to show anything.
const MIN_ROOM_PART: f64 = 0.05;
/// Part of what is left then that the step may use; the rest is for what is under way and for
/// chance, so that the step to all is not kept waiting.
const STEP_PART: f64 = 0.6;
/// Part of the cap's share with which a trial starts, before the traffic is known.
const START_PART: f64 = 0.125;
/// Time after which the traffic is known well enough to plan by.
const MIN_TRAFFIC_AGE: f64 = 1.0;
/// Greatest share outside of the step.
const MAX_SHARE: f64 = 0.4;
/// Greatest share of the step: both versions get as much, so that each shows what the same load
/// does to it; callers of a bad version are no more than half.
const MAX_STEP_SHARE: f64 = 0.5;
/// Two reports of every node and the answers to them: what a node does after the judge knows.
const REPORT_DELAY: f64 = 0.5;
/// Longest time that is waited for the answers which show that a version is bad.
const MAX_DETECTION: f64 = 2.0;
/// Longest such time as part of the order's time, since the cap grows with that.
const DETECTION_PART: f64 = 1.0 / 80.0;
/// Kept at the end for a write: one that is answered at once; at most, for a repeat of it and
/// for the time that the order took to be heard of as well.
const WRITE_RESERVE: (f64, f64) = (0.15, 1.5);
/// Time kept for a write as part of the order's time.
const WRITE_RESERVE_PART: f64 = 1.0 / 30.0;
/// Time wanted for a write at least, where the order's time is short and the cap allows it.
const MIN_WANTED_WRITE: f64 = 0.8;
/// Kept between the end of the old version's requests and that, for reports of it; at most,
/// for some that are lost as well.
const REPORT_RESERVE: (f64, f64) = (0.5, 0.8);
/// Time kept for reports as part of the order's time: an order of half a minute has the most.
const REPORT_RESERVE_PART: f64 = 1.0 / 40.0;
/// Most that such times may take of an order whose time is short: the trial has to get the rest.
const MAX_RESERVE_PART: f64 = 0.1;
/// Most of the order's time that is kept for requests of the old version to end. Longer ones hold
/// the order up beyond its deadline, for the trial would show too little in less than the rest.
const MAX_DRAIN_PART: f64 = 1.0 / 3.0;
/// Most of the order's time that is kept for a write.
const MAX_WRITE_PART: f64 = 0.2;
/// Length of the step as part of the order's time: what only load shows is seen within seconds.
const STEP_TIME_PART: f64 = 1.0 / 20.0;
/// Most of the time before the step to all that the step at a greater share may take.
const MAX_STEP_TIME_PART: f64 = 0.5;
/// Times of the middle answer within which enough answers are back to show that a version is bad.
const DETECTION_MEDIANS: f64 = 2.0;
/// Part of the cap that has to be left for the trial if the whole time after the step to all
/// is to fit into the cap.
const MIN_TRIAL_PART: f64 = 0.15;
/// Shortest and longest step at a greater share.
const STEP_TIME: (f64, f64) = (1.0, 5.0);
/// Shortest time allowed for the old version's requests to end.
const MIN_DRAIN: f64 = 0.2;
/// Rate that is divided by at least, in requests a second: a service may have no traffic.
const MIN_RATE: f64 = 0.1;

/// What is known when a share is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Observed {
    /// Time since the order.
    pub age: f64,
    /// Requests to either version.
    pub sent: f64,
    /// Requests to the version on trial.
    pub trial_sent: f64,
    /// Requests a second, recently.
    pub rate: f64,
    /// Chance by which the nodes send there now.
    pub current_share: f64,
    /// Time within which nearly all answers of the version that serves come.
    pub p99: f64,
    /// Time within which half of them come.
    pub median: f64,
    /// Part of all usable targets that are of the version on trial.
    pub target_share: f64,
}

/// When things are due, counted from the order.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    bounds: Bounds,
    duration: f64,
}

impl Plan {
    /// For an order that lasts so long.
    pub fn new(bounds: Bounds, lasts: Duration) -> Self {
        Plan { bounds, duration: lasts.as_secs_f64() }
    }

    /// Time that the old version's requests need to end, and to be heard of.
    fn drain(&self, observed: &Observed) -> f64 {
        let short = self.duration * MAX_RESERVE_PART;
        let settle = (self.duration * REPORT_RESERVE_PART)
            .clamp(REPORT_RESERVE.0, REPORT_RESERVE.1)
            .min(short);
        let drain = observed.p99.clamp(MIN_DRAIN.min(short), self.duration * MAX_DRAIN_PART);
        settle + drain
    }

    /// Time kept for the write: less where all requests of that time would not fit the cap.
    fn write_reserve(&self, observed: &Observed) -> f64 {
        let wanted = (self.duration * WRITE_RESERVE_PART).clamp(MIN_WANTED_WRITE, WRITE_RESERVE.1);
        let allowed =
            (1.0 - MIN_TRIAL_PART) * self.cap(observed) / Plan::peak_rate(observed).max(MIN_RATE);
        (allowed - self.drain(observed))
            .clamp(WRITE_RESERVE.0, wanted)
            .min(self.duration * MAX_WRITE_PART)
    }

    /// When the last write has to go out.
    pub fn write_deadline(&self, observed: &Observed) -> f64 {
        self.duration - self.write_reserve(observed)
    }

    /// When all requests go to the new version, so that those of the old one can end.
    pub fn full_at(&self, observed: &Observed) -> f64 {
        self.write_deadline(observed) - self.drain(observed)
    }

    /// How long the greater share is held.
    pub fn step_length(&self, observed: &Observed) -> f64 {
        let wanted = (self.duration * STEP_TIME_PART).clamp(STEP_TIME.0, STEP_TIME.1);
        wanted.min(self.full_at(observed) * MAX_STEP_TIME_PART)
    }

    /// When the greater share begins.
    pub fn step_start(&self, observed: &Observed) -> f64 {
        self.full_at(observed) - self.step_length(observed)
    }

    /// Time from a version's turning bad until no node sends there any more.
    pub fn detection_time(&self, observed: &Observed) -> f64 {
        REPORT_DELAY
            + (DETECTION_MEDIANS * observed.median)
                .min(MAX_DETECTION)
                .min(self.duration * DETECTION_PART)
    }

    /// Requests that a bad version may get, as far as can be planned with.
    fn cap(&self, observed: &Observed) -> f64 {
        let left = (self.duration - observed.age).max(0.0);
        let usual = observed.sent / observed.age.max(MIN_TRAFFIC_AGE);
        let to_come = EXPECTED_PART * observed.rate.min(usual) * left;
        PLANNED_PART
            * (self.bounds.share * (observed.sent + to_come) + f64::from(self.bounds.slack))
    }

    /// Traffic to be ready for.
    fn peak_rate(observed: &Observed) -> f64 {
        observed.rate.max(observed.sent / observed.age.max(MIN_TRAFFIC_AGE))
    }

    /// Requests that the step to all adds before the deadline. All of them if the cap allows
    /// that: it then holds for a version too whose badness is not seen. Else those that go out
    /// before it is.
    fn full_step_cost(&self, observed: &Observed) -> f64 {
        let left = (self.duration - observed.age.max(self.full_at(observed))).max(0.0);
        let whole = Plan::peak_rate(observed) * left;
        if whole <= (1.0 - MIN_TRIAL_PART) * self.cap(observed) {
            return whole;
        }
        Plan::peak_rate(observed) * self.detection_time(observed).min(left)
    }

    /// Requests that the version has got, those not reported yet included.
    fn spent(&self, observed: &Observed) -> f64 {
        observed.trial_sent + REPORT_DELAY * observed.current_share * Plan::peak_rate(observed)
    }

    /// Whether the step to all stays within the cap.
    pub fn fits_full_step(&self, observed: &Observed) -> bool {
        observed.age >= self.duration
            || self.spent(observed) + self.full_step_cost(observed) <= self.cap(observed)
    }

    /// What the cap leaves beside the step to all. Where it does not even allow that step, all
    /// of it: the step then waits for the deadline, after which nothing counts.
    fn room(&self, observed: &Observed) -> f64 {
        let cap = self.cap(observed);
        let rest = cap - self.full_step_cost(observed);
        if rest < MIN_ROOM_PART * cap { cap } else { rest }
    }

    /// The small share.
    pub fn share(&self, observed: &Observed) -> f64 {
        if observed.age < MIN_TRAFFIC_AGE {
            return START_PART * self.bounds.share;
        }
        let part = SMALL_SHARE_PART * self.room(observed) - observed.trial_sent;
        let left = (self.step_start(observed) - observed.age).max(1.0);
        let chance = part / (Plan::peak_rate(observed).max(MIN_RATE) * left);
        chance.clamp(0.0, MAX_SHARE.min(observed.target_share))
    }

    /// The greater share, as the cap leaves beside the step to all.
    pub fn step_share(&self, observed: &Observed) -> f64 {
        let part = STEP_PART * (self.room(observed) - self.spent(observed));
        let chance = part
            / (Plan::peak_rate(observed).max(MIN_RATE)
                * (self.step_length(observed) + REPORT_DELAY));
        chance.clamp(0.0, MAX_STEP_SHARE.min(observed.target_share))
    }
}
