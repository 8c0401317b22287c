//! Consistency audit of a test run. Joins the records of callers, targets and the store by request
//! id and reports every request that was lost, answered twice, answered with the text of another
//! request, run twice, or falsely reported as not run.

use std::collections::{BTreeMap, BTreeSet};

use model::Name;
use model::claim::Claims;
use model::key::Key;
use model::outcome::Outcome;

/// Record of one request on the caller's side.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// Number that the caller assigned to the request.
    pub call: u64,
    /// Request id, if a response contained one.
    pub request: Option<Name>,
    /// Idempotency key, if the request had one.
    pub key: Option<Key>,
    /// Outcomes received; exactly one is correct.
    pub outcomes: Vec<Outcome>,
    /// Whether the connection broke before an outcome was received.
    pub disconnected: bool,
    /// Text received.
    pub text: String,
    /// Text of the complete answer.
    pub expected_text: String,
}

/// Record of one run of a step on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepRun {
    /// Request id.
    pub request: Name,
    /// Step.
    pub step: Name,
    /// Whether the run only resumed the stream of an earlier run.
    pub resumed: bool,
    /// Whether the run finished.
    pub completed: bool,
}

/// Declaration of the pipeline under audit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PipelineRules {
    /// All steps.
    pub steps: Vec<Name>,
    /// Steps that must not run more than once.
    pub single_run: BTreeSet<Name>,
}

/// Violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Finding {
    /// call {0} received no outcome although its connection stayed open
    NoOutcome(u64),
    /// call {0} received {1} outcomes
    DuplicateOutcome(u64, usize),
    /// call {0} is complete, but its text is wrong or truncated
    WrongText(u64),
    /// call {0} received text that is not a prefix of its answer
    ForeignText(u64),
    /// request {0} is complete, but step {1} never finished
    StepNotRun(Name, Name),
    /// request {0} is reported as not run, but step {1} ran
    FalseNotRun(Name, Name),
    /// key {0}: step {1} ran {2} times
    RanTwice(Key, Name, usize),
    /// request {0} ran step {1} without holding its key
    Unclaimed(Name, Name),
}

/// Records of all parties in one test run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// Requests, as recorded by the callers.
    pub calls: Vec<CallRecord>,
    /// Runs, as recorded by the targets.
    pub runs: Vec<StepRun>,
    /// All claim objects in the store.
    pub claims: Vec<Claims>,
    /// Pipeline that the requests ran.
    pub rules: PipelineRules,
}

impl Record {
    /// Returns all violations.
    pub fn audit(&self) -> Vec<Finding> {
        let mut out = Vec::new();
        let mut runs: BTreeMap<&Name, Vec<&StepRun>> = BTreeMap::new();
        for r in &self.runs {
            runs.entry(&r.request).or_default().push(r);
        }
        for s in &self.calls {
            check_outcomes(s, &mut out);
            let empty = Vec::new();
            let own_runs = s.request.as_ref().and_then(|id| runs.get(id)).unwrap_or(&empty);
            self.check_runs(s, own_runs, &mut out);
        }
        self.check_single_runs(&runs, &mut out);
        out
    }

    fn check_runs(&self, s: &CallRecord, own_runs: &[&StepRun], out: &mut Vec<Finding>) {
        let Some(request) = &s.request else {
            return;
        };
        match s.outcomes.first() {
            Some(Outcome::NotRun) => {
                let steps =
                    own_runs.iter().map(|r| Finding::FalseNotRun(request.clone(), r.step.clone()));
                out.extend(steps);
            }
            Some(Outcome::Complete) => {
                for step in &self.rules.steps {
                    if !own_runs.iter().any(|r| r.step == *step && r.completed) {
                        out.push(Finding::StepNotRun(request.clone(), step.clone()));
                    }
                }
            }
            _ => {}
        }
    }

    /// Counts the runs of single-run steps per key, over all requests that hold it.
    fn check_single_runs(&self, runs: &BTreeMap<&Name, Vec<&StepRun>>, out: &mut Vec<Finding>) {
        let mut holder: BTreeMap<&Key, &Name> = BTreeMap::new();
        for c in &self.claims {
            holder.extend(c.keys.iter());
        }
        let mut counts: BTreeMap<(Key, Name), usize> = BTreeMap::new();
        let owners: BTreeMap<&Name, Key> = holder.iter().map(|(k, r)| (*r, **k)).collect();
        for (request, list) in runs {
            for r in list.iter().filter(|r| !r.resumed && self.rules.single_run.contains(&r.step)) {
                match owners.get(request) {
                    Some(key) => *counts.entry((*key, r.step.clone())).or_default() += 1,
                    None => out.push(Finding::Unclaimed((*request).clone(), r.step.clone())),
                }
            }
        }
        let twice = counts.into_iter().filter(|(_, n)| *n > 1);
        out.extend(twice.map(|((key, step), n)| Finding::RanTwice(key, step, n)));
    }
}

fn check_outcomes(s: &CallRecord, out: &mut Vec<Finding>) {
    match s.outcomes.len() {
        0 if !s.disconnected => out.push(Finding::NoOutcome(s.call)),
        0 | 1 => {}
        n => out.push(Finding::DuplicateOutcome(s.call, n)),
    }
    if s.outcomes.first() == Some(&Outcome::Complete) {
        if s.text != s.expected_text {
            out.push(Finding::WrongText(s.call));
        }
    } else if !s.expected_text.starts_with(&s.text) {
        out.push(Finding::ForeignText(s.call));
    }
}
