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
const PLANNED: f64 = 0.9;
/// Part of the traffic to come that is counted on: less of it makes the cap smaller.
const COUNTED_ON: f64 = 0.9;
/// Part of what the cap leaves beside the step to all that the small share may use.
const SHARE_PART: f64 = 0.5;
/// Part of the cap below which what is left of it is too few requests to show anything.
const ROOM_LEAST: f64 = 0.05;
/// Part of what is left then that the step may use; the rest is for what is under way and for
/// chance, so that the step to all is not kept waiting.
const STEP_PART: f64 = 0.6;
/// Part of the cap's share with which a trial starts, before the traffic is known.
const START_PART: f64 = 0.125;
/// Time after which the traffic is known well enough to plan by.
const TRAFFIC_KNOWN: f64 = 1.0;
/// Greatest share outside of the step.
const SHARE_MOST: f64 = 0.4;
/// Greatest share of the step: both versions get as much, so that each shows what the same load
/// does to it; callers of a bad version are no more than half.
const STEP_SHARE_MOST: f64 = 0.5;
/// Two reports of every node and the answers to them: what a node does after the judge knows.
const TOLD: f64 = 0.5;
/// Longest time that is waited for the answers which show that a version is bad.
const SHOWN_MOST: f64 = 2.0;
/// Longest such time as part of the order's time, since the cap grows with that.
const SHOWN_PART: f64 = 1.0 / 80.0;
/// Kept at the end for a write: one that is answered at once; at most, for a repeat of it and
/// for the time that the order took to be heard of as well.
const WRITE: (f64, f64) = (0.15, 1.5);
/// Time kept for a write as part of the order's time.
const WRITE_PART: f64 = 1.0 / 30.0;
/// Time wanted for a write at least, where the order's time is short and the cap allows it.
const WRITE_SHORT: f64 = 0.8;
/// Kept between the end of the old version's requests and that, for reports of it; at most,
/// for some that are lost as well.
const SETTLE: (f64, f64) = (0.5, 0.8);
/// Time kept for reports as part of the order's time: an order of half a minute has the most.
const SETTLE_PART: f64 = 1.0 / 40.0;
/// Most that such times may take of an order whose time is short: the trial has to get the rest.
const SHORT_PART: f64 = 0.1;
/// Most of the order's time that is kept for requests of the old version to end. Longer ones hold
/// the order up beyond its deadline, for the trial would show too little in less than the rest.
const DRAIN_PART: f64 = 1.0 / 3.0;
/// Most of the order's time that is kept for a write.
const WRITE_PART_MOST: f64 = 0.2;
/// Length of the step as part of the order's time: what only load shows is seen within seconds.
const STEP_TIME_PART: f64 = 1.0 / 20.0;
/// Most of the time before the step to all that the step at a greater share may take.
const STEP_TIME_MOST: f64 = 0.5;
/// Times of the middle answer within which enough answers are back to show that a version is bad.
const ANSWERS_SHOWN: f64 = 2.0;
/// Part of the cap that has to be left for the trial if the whole time after the step to all
/// is to fit into the cap.
const TRIAL_LEAST: f64 = 0.15;
/// Shortest and longest step at a greater share.
const STEP: (f64, f64) = (1.0, 5.0);
/// Shortest time allowed for the old version's requests to end.
const DRAIN_LEAST: f64 = 0.2;
/// Rate that is divided by at least, in requests a second: a service may have no traffic.
const RATE_LEAST: f64 = 0.1;

/// What is known when a share is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Known {
    /// Time since the order.
    pub age: f64,
    /// Requests to either version.
    pub sent: f64,
    /// Requests to the version on trial.
    pub tried: f64,
    /// Requests a second, recently.
    pub rate: f64,
    /// Chance by which the nodes send there now.
    pub chance: f64,
    /// Time within which nearly all answers of the version that serves come.
    pub longest: f64,
    /// Time within which half of them come.
    pub middle: f64,
    /// Part of all usable targets that are of the version on trial.
    pub targets: f64,
}

/// When things are due, counted from the order.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    bounds: Bounds,
    lasts: f64,
}

impl Plan {
    /// For an order that lasts so long.
    pub fn new(bounds: Bounds, lasts: Duration) -> Self {
        Plan { bounds, lasts: lasts.as_secs_f64() }
    }

    /// Time that the old version's requests need to end, and to be heard of.
    fn drain(&self, known: &Known) -> f64 {
        let short = self.lasts * SHORT_PART;
        let settle = (self.lasts * SETTLE_PART).clamp(SETTLE.0, SETTLE.1).min(short);
        let drain = known.longest.clamp(DRAIN_LEAST.min(short), self.lasts * DRAIN_PART);
        settle + drain
    }

    /// Time kept for the write: less where all requests of that time would not fit the cap.
    fn write(&self, known: &Known) -> f64 {
        let wanted = (self.lasts * WRITE_PART).clamp(WRITE_SHORT, WRITE.1);
        let allowed = (1.0 - TRIAL_LEAST) * self.cap(known) / Plan::most(known).max(RATE_LEAST);
        (allowed - self.drain(known)).clamp(WRITE.0, wanted).min(self.lasts * WRITE_PART_MOST)
    }

    /// When the last write has to go out.
    pub fn write_by(&self, known: &Known) -> f64 {
        self.lasts - self.write(known)
    }

    /// When all requests go to the new version, so that those of the old one can end.
    pub fn all_at(&self, known: &Known) -> f64 {
        self.write_by(known) - self.drain(known)
    }

    /// How long the greater share is held.
    pub fn step(&self, known: &Known) -> f64 {
        let wanted = (self.lasts * STEP_TIME_PART).clamp(STEP.0, STEP.1);
        wanted.min(self.all_at(known) * STEP_TIME_MOST)
    }

    /// When the greater share begins.
    pub fn step_at(&self, known: &Known) -> f64 {
        self.all_at(known) - self.step(known)
    }

    /// Time from a version's turning bad until no node sends there any more.
    pub fn seen_after(&self, known: &Known) -> f64 {
        TOLD + (ANSWERS_SHOWN * known.middle).min(SHOWN_MOST).min(self.lasts * SHOWN_PART)
    }

    /// Requests that a bad version may get, as far as can be planned with.
    fn cap(&self, known: &Known) -> f64 {
        let left = (self.lasts - known.age).max(0.0);
        let usual = known.sent / known.age.max(TRAFFIC_KNOWN);
        let to_come = COUNTED_ON * known.rate.min(usual) * left;
        PLANNED * (self.bounds.share * (known.sent + to_come) + f64::from(self.bounds.slack))
    }

    /// Traffic to be ready for.
    fn most(known: &Known) -> f64 {
        known.rate.max(known.sent / known.age.max(TRAFFIC_KNOWN))
    }

    /// Requests that the step to all adds before the deadline. All of them if the cap allows
    /// that: it then holds for a version too whose badness is not seen. Else those that go out
    /// before it is.
    fn jump(&self, known: &Known) -> f64 {
        let left = (self.lasts - known.age.max(self.all_at(known))).max(0.0);
        let whole = Plan::most(known) * left;
        if whole <= (1.0 - TRIAL_LEAST) * self.cap(known) {
            return whole;
        }
        Plan::most(known) * self.seen_after(known).min(left)
    }

    /// Requests that the version has got, those not reported yet included.
    fn spent(&self, known: &Known) -> f64 {
        known.tried + TOLD * known.chance * Plan::most(known)
    }

    /// Whether the step to all stays within the cap.
    pub fn fits_all(&self, known: &Known) -> bool {
        known.age >= self.lasts || self.spent(known) + self.jump(known) <= self.cap(known)
    }

    /// What the cap leaves beside the step to all. Where it does not even allow that step, all
    /// of it: the step then waits for the deadline, after which nothing counts.
    fn room(&self, known: &Known) -> f64 {
        let cap = self.cap(known);
        let rest = cap - self.jump(known);
        if rest < ROOM_LEAST * cap { cap } else { rest }
    }

    /// The small share.
    pub fn share(&self, known: &Known) -> f64 {
        if known.age < TRAFFIC_KNOWN {
            return START_PART * self.bounds.share;
        }
        let part = SHARE_PART * self.room(known) - known.tried;
        let left = (self.step_at(known) - known.age).max(1.0);
        let chance = part / (Plan::most(known).max(RATE_LEAST) * left);
        chance.clamp(0.0, SHARE_MOST.min(known.targets))
    }

    /// The greater share, as the cap leaves beside the step to all.
    pub fn greater(&self, known: &Known) -> f64 {
        let part = STEP_PART * (self.room(known) - self.spent(known));
        let chance = part / (Plan::most(known).max(RATE_LEAST) * (self.step(known) + TOLD));
        chance.clamp(0.0, STEP_SHARE_MOST.min(known.targets))
    }
}
