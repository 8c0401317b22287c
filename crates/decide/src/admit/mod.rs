//! Admission at one entry node: how many requests run, who waits, who is shed.
//!
//! Requests run up to a width; beyond it they wait in a bounded queue, urgent
//! before normal before patient, and by the earliest deadline within one
//! priority. A full queue sheds its last, which may be the newcomer. Whoever
//! waits and can no longer finish is refused at once, never held back.

use std::collections::BTreeMap;
use std::time::Duration;

use model::object::Priority;
use model::outcome::Reason;
use model::{Name, Time};

/// Share of the width that patient work may take while others run.
const PATIENT_SHARE: f64 = 0.7;

/// Weight of a new sample in the pace.
const PACE: f64 = 0.05;
/// Running that takes more than this share of the deadline means congestion.
const CONGESTED: f64 = 0.6;
/// Growth of the width with each uncongested end, and its loss with each
/// congested one: it settles where a fifth of the ends are congested. Cutting on
/// single late ones kept it far too narrow.
const GROW: f64 = 0.001;
const SHRINK: f64 = 0.004;
/// Width at the start; an overload must not flood the targets before it is noticed.
const WIDTH_START: f64 = 64.0;
/// Least width.
const WIDTH_LEAST: f64 = 4.0;

/// A request at the door.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Request id.
    pub request: Name,
    /// Priority of its workspace.
    pub priority: Priority,
    /// When its answer is due.
    pub deadline: Time,
    /// Least time that it needs.
    pub need: Duration,
}

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Run it.
    Run(Name),
    /// Refuse it: not run.
    Refuse(Name, Reason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: Priority,
    deadline: Time,
    seq: u64,
}

/// How many requests run at once: wider while running takes little of the
/// deadline, narrower when it takes most, so that the wait stays at the door, where
/// the hopeless can be refused before they cost anything.
#[derive(Debug)]
struct Width {
    most: f64,
    now: f64,
    fixed: bool,
}

impl Width {
    fn get(&self) -> usize {
        (self.now as usize).max(1)
    }

    fn learn(&mut self, congested: bool, busy: bool) {
        if self.fixed {
            return;
        }
        let step = match (congested, busy) {
            (true, _) => -SHRINK,
            (false, true) => GROW,
            (false, false) => 0.0,
        };
        self.now = (self.now * (1.0 + step)).clamp(WIDTH_LEAST.min(self.most), self.most);
    }
}

/// Smoothed time between two requests' ends while the gate is full.
#[derive(Debug, Default)]
struct Pace {
    last: Option<Time>,
    gap: Duration,
}

impl Pace {
    fn finished(&mut self, now: Time, busy: bool) {
        let last = self.last.replace(now).filter(|_| busy);
        let Some(last) = last else {
            return;
        };
        let sample = now.since(last);
        self.gap = match self.gap {
            Duration::ZERO => sample,
            gap => gap.mul_f64(1.0 - PACE) + sample.mul_f64(PACE),
        };
    }
}

/// Admission of one node.
#[derive(Debug)]
pub struct Gate {
    width: Width,
    depth: usize,
    running: BTreeMap<Name, Priority>,
    waiting: BTreeMap<Order, Waiter>,
    seq: u64,
    pace: Pace,
}

impl Gate {
    /// At most `width` requests run and `depth` wait.
    pub fn new(width: usize, depth: usize) -> Self {
        let now = (width as f64).min(WIDTH_START);
        let width = Width { most: width as f64, now, fixed: false };
        Gate {
            width,
            depth,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            seq: 0,
            pace: Pace::default(),
        }
    }

    /// Keeps the width as it was given.
    pub fn with_fixed_width(mut self) -> Self {
        self.width.now = self.width.most;
        self.width.fixed = true;
        self
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Time, w: Waiter) -> Vec<Verdict> {
        // With nothing running there is nothing to wait for: times seen under
        // load must not shut an idle node.
        if !self.running.is_empty() && now + w.need > w.deadline {
            return vec![Verdict::Refuse(w.request, Reason::Hopeless)];
        }
        self.seq += 1;
        let order = Order { priority: w.priority, deadline: w.deadline, seq: self.seq };
        let full = self.running.len() >= self.width.get();
        if full && now + self.expected_wait(&order) + w.need > w.deadline {
            return vec![Verdict::Refuse(w.request, Reason::Hopeless)];
        }
        self.waiting.insert(order, w);
        let mut out = self.advance(now);
        if self.waiting.len() > self.depth
            && let Some((_, last)) = self.waiting.pop_last()
        {
            out.push(Verdict::Refuse(last.request, Reason::Overload));
        }
        out
    }

    /// Requests that may run at once, as adapted.
    pub fn width(&self) -> usize {
        self.width.get()
    }

    /// A request ended after running for `ran` under a deadline of `most`.
    pub fn finished(
        &mut self,
        now: Time,
        request: &Name,
        ran: Duration,
        most: Duration,
    ) -> Vec<Verdict> {
        let congested = ran > most.mul_f64(CONGESTED);
        let busy = self.running.len() * 5 >= self.width.get() * 4;
        self.width.learn(congested, busy);
        self.pace.finished(now, busy);
        self.leave(now, request)
    }

    /// A request went away, running or waiting.
    pub fn leave(&mut self, now: Time, request: &Name) -> Vec<Verdict> {
        if self.running.remove(request).is_none() {
            self.waiting.retain(|_, w| w.request != *request);
        }
        self.advance(now)
    }

    /// Time passed: refuses those that can no longer finish.
    pub fn tick(&mut self, now: Time) -> Vec<Verdict> {
        self.advance(now)
    }

    /// Time after which a refused caller finds room, if `mean` is a request's time.
    pub fn come_back(&self, mean: Duration) -> Duration {
        mean.mul_f64((self.waiting.len() + 1) as f64 / self.width.get() as f64)
    }

    /// Wait of a newcomer, by those before it and the pace at which turns come free.
    fn expected_wait(&self, order: &Order) -> Duration {
        let ahead = self.waiting.range(..*order).count() as u32;
        self.pace.gap * (ahead + 1)
    }

    fn advance(&mut self, now: Time) -> Vec<Verdict> {
        let mut out = Vec::new();
        let idle = self.running.is_empty();
        self.waiting.retain(|_, w| {
            let need = if idle { Duration::ZERO } else { w.need };
            let late = now + need > w.deadline;
            if late {
                out.push(Verdict::Refuse(w.request.clone(), Reason::Hopeless));
            }
            !late
        });
        while self.running.len() < self.width.get() {
            let Some((order, w)) = self.next() else {
                break;
            };
            self.waiting.remove(&order);
            self.running.insert(w.request.clone(), w.priority);
            out.push(Verdict::Run(w.request));
        }
        out
    }

    fn next(&self) -> Option<(Order, Waiter)> {
        let (order, w) = self.waiting.first_key_value()?;
        if w.priority == Priority::Patient {
            let patient = self.running.values().filter(|p| **p == Priority::Patient).count();
            let share = ((self.width.get() as f64 * PATIENT_SHARE) as usize).max(1);
            if patient >= share {
                return None;
            }
        }
        Some((*order, w.clone()))
    }
}
