//! Progress of one request's stages: which may start, whose results may be freed, and what is
//! recomputed when a result is lost.
//!
//! Results are stored at the workers that made them and are lost with them. A lost input does not
//! fail the request: stages may safely run again, so the stages before it are recomputed while time
//! allows.

mod schedule;

pub use schedule::{critical_path, latest_starts, remaining_times};

/// Maximum number of recomputations for lost results of one request.
const MAX_RECOMPUTES: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Must not start before it is released.
    Postponed,
    Waiting,
    Running,
    /// Complete; its results are stored at their workers.
    Held,
    /// Complete; its results were freed.
    Freed,
}

impl State {
    fn is_complete(self) -> bool {
        matches!(self, State::Held | State::Freed)
    }
}

/// Progress of the stages of one request.
#[derive(Debug, Clone)]
pub struct Progress {
    predecessors: Vec<Vec<usize>>,
    states: Vec<State>,
    recomputes_left: u32,
}

impl Progress {
    /// Creates the progress of stages, given the predecessors of each.
    pub fn new(predecessors: Vec<Vec<usize>>) -> Self {
        let states = vec![State::Waiting; predecessors.len()];
        Progress { predecessors, states, recomputes_left: MAX_RECOMPUTES }
    }

    /// Holds back a stage that has not started until it is released.
    pub fn postpone(&mut self, stage: usize) {
        self.states[stage] = State::Postponed;
    }

    /// Lets a postponed stage start.
    pub fn release(&mut self, stage: usize) {
        self.states[stage] = State::Waiting;
    }

    /// Whether all stages are complete.
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|s| s.is_complete())
    }

    /// Stages without dependents.
    pub fn final_stages(&self) -> Vec<usize> {
        (0..self.predecessors.len()).filter(|i| self.dependents(*i).next().is_none()).collect()
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let depends = move |(_, before): &(usize, &Vec<usize>)| before.contains(&stage);
        self.predecessors.iter().enumerate().filter(depends).map(|(i, _)| i)
    }

    /// Takes a stage that may start now and marks it as running.
    pub fn start_next(&mut self) -> Option<usize> {
        let may_start = |i: &usize| {
            let has_inputs = self.predecessors[*i].iter().all(|j| self.states[*j] == State::Held);
            self.states[*i] == State::Waiting && has_inputs
        };
        let stage = (0..self.predecessors.len()).find(may_start)?;
        self.states[stage] = State::Running;
        Some(stage)
    }

    /// Marks a stage as complete; returns the stages whose results are no longer needed.
    pub fn complete(&mut self, stage: usize) -> Vec<usize> {
        self.states[stage] = State::Held;
        let unwanted = |j: &usize| {
            let is_consumed = self.dependents(*j).all(|d| self.states[d].is_complete());
            is_consumed && self.states[*j] == State::Held
        };
        let freed: Vec<usize> = self.predecessors[stage].iter().copied().filter(unwanted).collect();
        for j in &freed {
            self.states[*j] = State::Freed;
        }
        freed
    }

    /// Handles a lost input of a stage. Returns the stages to recompute, whose results are to be
    /// freed, or `None` if the limit is reached.
    pub fn input_lost(&mut self, stage: usize) -> Option<Vec<usize>> {
        self.recomputes_left = self.recomputes_left.checked_sub(1)?;
        self.states[stage] = State::Waiting;
        let mut recomputed = Vec::new();
        for before in self.predecessors[stage].clone() {
            self.recompute(before, &mut recomputed);
        }
        Some(recomputed)
    }

    fn recompute(&mut self, stage: usize, recomputed: &mut Vec<usize>) {
        if !self.states[stage].is_complete() {
            return;
        }
        self.states[stage] = State::Waiting;
        recomputed.push(stage);
        for before in self.predecessors[stage].clone() {
            if self.states[before] == State::Freed {
                self.recompute(before, recomputed);
            }
        }
    }
}
