//! The progress of one request's stages: which may start, whose results may be freed,
//! and what is made again when a result is gone.
//!
//! Results rest at their makers and die with them. A stage that finds an input gone is
//! not the request's end: nothing has run that may not run again, so the stages before
//! it are made anew as long as there is time.

mod schedule;

pub use schedule::{latest_starts, longest, tails};

/// Times that stages of one request are made again after a result was gone.
const REMAKES: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Does not start before it is released.
    Postponed,
    Waiting,
    Running,
    /// Made, and its results rest at their makers.
    Held,
    /// Made, and its results were freed.
    Freed,
}

impl State {
    fn is_made(self) -> bool {
        matches!(self, State::Held | State::Freed)
    }
}

/// Progress of the stages of one request.
#[derive(Debug, Clone)]
pub struct Progress {
    after: Vec<Vec<usize>>,
    states: Vec<State>,
    remakes: u32,
}

impl Progress {
    /// Stages that each come after the named ones.
    pub fn new(after: Vec<Vec<usize>>) -> Self {
        let states = vec![State::Waiting; after.len()];
        Progress { after, states, remakes: REMAKES }
    }

    /// A stage that has not started does not start before it is released.
    pub fn postpone(&mut self, stage: usize) {
        self.states[stage] = State::Postponed;
    }

    /// A postponed stage may start.
    pub fn release(&mut self, stage: usize) {
        self.states[stage] = State::Waiting;
    }

    /// Whether all stages are made.
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|s| s.is_made())
    }

    /// Stages that no other stage comes after.
    pub fn last(&self) -> Vec<usize> {
        (0..self.after.len()).filter(|i| self.dependents(*i).next().is_none()).collect()
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let after = move |(_, before): &(usize, &Vec<usize>)| before.contains(&stage);
        self.after.iter().enumerate().filter(after).map(|(i, _)| i)
    }

    /// Takes a stage that may start now; it counts as running from now on.
    pub fn start(&mut self) -> Option<usize> {
        let may_start = |i: &usize| {
            let inputs_held = self.after[*i].iter().all(|j| self.states[*j] == State::Held);
            self.states[*i] == State::Waiting && inputs_held
        };
        let stage = (0..self.after.len()).find(may_start)?;
        self.states[stage] = State::Running;
        Some(stage)
    }

    /// A stage was made; returns those whose results nobody wants any more.
    pub fn made(&mut self, stage: usize) -> Vec<usize> {
        self.states[stage] = State::Held;
        let unwanted = |j: &usize| {
            let over = self.dependents(*j).all(|d| self.states[d].is_made());
            over && self.states[*j] == State::Held
        };
        let freed: Vec<usize> = self.after[stage].iter().copied().filter(unwanted).collect();
        for j in &freed {
            self.states[*j] = State::Freed;
        }
        freed
    }

    /// A stage found an input gone; returns the stages that are made again, whose
    /// results are to be freed, or `None` if they have been made again often enough.
    pub fn input_gone(&mut self, stage: usize) -> Option<Vec<usize>> {
        self.remakes = self.remakes.checked_sub(1)?;
        self.states[stage] = State::Waiting;
        let mut again = Vec::new();
        for before in self.after[stage].clone() {
            self.redo(before, &mut again);
        }
        Some(again)
    }

    fn redo(&mut self, stage: usize, again: &mut Vec<usize>) {
        if !self.states[stage].is_made() {
            return;
        }
        self.states[stage] = State::Waiting;
        again.push(stage);
        for before in self.after[stage].clone() {
            if self.states[before] == State::Freed {
                self.redo(before, again);
            }
        }
    }
}
