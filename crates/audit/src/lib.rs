//! The auditor: takes what callers, targets and the store each saw, joins it by
//! request id, and names every request that was lost, doubled, given to another
//! request, run twice, or untruly said not to have run.

use std::collections::{BTreeMap, BTreeSet};

use model::Name;
use model::claim::Claims;
use model::key::Key;
use model::outcome::Outcome;

/// What a caller saw of one request that it sent.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The caller's own number for the request.
    pub call: u64,
    /// Request id, once an answer named one.
    pub request: Option<Name>,
    /// Key, if the request had one.
    pub key: Option<Key>,
    /// Final words that arrived; one is right.
    pub outcomes: Vec<Outcome>,
    /// Whether the connection broke before a final word.
    pub disconnected: bool,
    /// Text that arrived.
    pub text: String,
    /// Text that the request should get if complete.
    pub expected_text: String,
}

/// One run at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepRun {
    /// Request id.
    pub request: Name,
    /// Step.
    pub step: Name,
    /// Whether it only read the rest of an earlier stream.
    pub resumed: bool,
    /// Whether the work was done to its end.
    pub completed: bool,
}

/// What the pipeline declares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PipelineRules {
    /// Every step.
    pub steps: Vec<Name>,
    /// Steps that may not be repeated.
    pub single_run: BTreeSet<Name>,
}

/// One broken promise.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Finding {
    /// call {0} got no final word though its connection held
    NoOutcome(u64),
    /// call {0} got {1} final words
    DuplicateOutcome(u64, usize),
    /// call {0} is complete, but its text is not its own or not whole
    WrongText(u64),
    /// call {0} got text that is no beginning of its own answer
    ForeignText(u64),
    /// request {0} is complete, but step {1} never ran to its end
    StepNotRun(Name, Name),
    /// request {0} is said not to have run, but step {1} did
    FalseNotRun(Name, Name),
    /// key {0}: step {1} ran {2} times
    RanTwice(Key, Name, usize),
    /// request {0} ran step {1} without holding its key
    Unclaimed(Name, Name),
}

/// Everything that was seen.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// By callers.
    pub calls: Vec<CallRecord>,
    /// By targets.
    pub runs: Vec<StepRun>,
    /// By the store: every claim object.
    pub claims: Vec<Claims>,
    /// Declared.
    pub rules: PipelineRules,
}

impl Record {
    /// Every broken promise.
    pub fn audit(&self) -> Vec<Finding> {
        let mut out = Vec::new();
        let mut runs: BTreeMap<&Name, Vec<&StepRun>> = BTreeMap::new();
        for r in &self.runs {
            runs.entry(&r.request).or_default().push(r);
        }
        for s in &self.calls {
            check_outcomes(s, &mut out);
            let empty = Vec::new();
            let own = s.request.as_ref().and_then(|id| runs.get(id)).unwrap_or(&empty);
            self.check_runs(s, own, &mut out);
        }
        self.check_single_runs(&runs, &mut out);
        out
    }

    fn check_runs(&self, s: &CallRecord, own: &[&StepRun], out: &mut Vec<Finding>) {
        let Some(request) = &s.request else {
            return;
        };
        match s.outcomes.first() {
            Some(Outcome::NotRun) => {
                let steps =
                    own.iter().map(|r| Finding::FalseNotRun(request.clone(), r.step.clone()));
                out.extend(steps);
            }
            Some(Outcome::Complete) => {
                for step in &self.rules.steps {
                    if !own.iter().any(|r| r.step == *step && r.completed) {
                        out.push(Finding::StepNotRun(request.clone(), step.clone()));
                    }
                }
            }
            _ => {}
        }
    }

    /// Over all requests of one key together.
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
