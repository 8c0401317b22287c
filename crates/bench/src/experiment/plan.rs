//! Experiment plans, read from YAML.

use std::fmt;

use decide::route::PolicyKind;
use serde::{Deserialize, Serialize};
use standin::engine::EngineSpec;
use util::settings::{BadValue, Check};

/// A routing policy and the features that run with it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyPlan {
    /// Label in the result rows.
    pub name: String,
    /// How requests are routed to targets.
    pub routing: PolicyKind,
    /// Whether entry nodes limit admission.
    #[serde(default)]
    pub admission: bool,
    /// Whether short steps are hedged.
    #[serde(default)]
    pub hedging: bool,
}

/// Fault injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// One engine fails every call, from a third of the run on.
    Killed,
    /// One engine is ten times slower, from a third of the run on.
    Slow,
    /// Half of the engines refuse calls, from a third of the run on.
    Half,
    /// Load reports arrive only every two seconds.
    Lag,
    /// A share of the requests has long answers in the middle third of the run.
    Burst,
    /// Every target of the encode stage fails every call, from a third of the run on.
    StageDown,
}

/// Mix of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mix {
    /// Turns of conversations with long prefixes.
    #[default]
    Turns,
    /// Stock checks only.
    Stock,
    /// Stock checks, together with catalogue rewrites of patient priority.
    Catalogue,
}

/// Grid of cells to run under each policy.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name, the first part of the id.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Runs of each cell and policy.
    pub repetitions: usize,
    /// Seconds before the measurement starts.
    pub warmup: f64,
    /// Seconds measured after the warmup.
    pub seconds: f64,
    /// Number of engines.
    pub engines: usize,
    /// Speed and capacity of an engine.
    pub engine: EngineSpec,
    /// Numbers of entry nodes. Each combination of values in this and the other lists is a cell.
    pub entries: Vec<usize>,
    /// Words in the prefix of a conversation.
    pub prefix: usize,
    /// Words in an answer.
    pub words: usize,
    /// Deadline of conversation turns, in milliseconds.
    pub deadline: u64,
    /// Size of the working set relative to all caches together.
    pub working_set: Vec<f64>,
    /// Zipf exponents of the popularity of conversations.
    pub skew: Vec<f64>,
    /// Arrival rates as a share of the throughput measured for the cell.
    pub load: Vec<f64>,
    /// Faults to inject.
    #[serde(default = "no_fault")]
    pub faults: Vec<Fault>,
    /// Request mixes.
    #[serde(default = "turns")]
    pub mixes: Vec<Mix>,
    /// Policies to compare.
    pub policies: Vec<PolicyPlan>,
}

fn no_fault() -> Vec<Fault> {
    vec![Fault::None]
}

fn turns() -> Vec<Mix> {
    vec![Mix::Turns]
}

/// One combination of a plan's values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cell {
    /// Number of entry nodes.
    pub entries: usize,
    /// Size of the working set relative to all caches together.
    pub working_set: f64,
    /// Zipf exponent of the popularity of conversations.
    pub skew: f64,
    /// Arrival rate as a share of the throughput measured for the cell.
    pub load: f64,
    /// Fault injected during the run.
    pub fault: Fault,
    /// Requests that are sent.
    pub mix: Mix,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} ws {} skew {} load {} {:?} entries {}",
            self.mix, self.working_set, self.skew, self.load, self.fault, self.entries
        )
    }
}

impl Plan {
    /// All combinations of the plan's values, in a fixed order.
    pub fn cells(&self) -> Vec<Cell> {
        let mut out = Vec::new();
        for &mix in &self.mixes {
            for &fault in &self.faults {
                for &load in &self.load {
                    for &skew in &self.skew {
                        for &working_set in &self.working_set {
                            for &entries in &self.entries {
                                out.push(Cell { entries, working_set, skew, load, fault, mix });
                            }
                        }
                    }
                }
            }
        }
        out
    }

    /// Identifies comparable runs: the name and a hash of all values except the policies.
    pub fn id(&self) -> String {
        let fixed = Plan { policies: Vec::new(), ..self.clone() };
        let text = format!("{fixed:?}");
        format!("{}-{:08x}", self.name, model::hash::hash64(text.as_bytes()) as u32)
    }
}

impl Check for Plan {
    fn check(&self) -> Result<(), BadValue> {
        let positive = [
            ("repetitions", self.repetitions as f64),
            ("seconds", self.seconds),
            ("engines", self.engines as f64),
            ("words", self.words as f64),
            ("prefix", self.prefix as f64),
        ];
        for (field, value) in positive {
            if value.is_nan() || value <= 0.0 {
                return Err(BadValue::new(field, "must be more than 0"));
            }
        }
        if self.policies.is_empty() {
            return Err(BadValue::new("policies", "must name at least one policy"));
        }
        Ok(())
    }
}
