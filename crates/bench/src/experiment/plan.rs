//! Plans: what to measure, in YAML.

use std::fmt;

use decide::route::PolicyKind;
use serde::{Deserialize, Serialize};
use standin::engine::EngineSpec;
use util::settings::{BadValue, Check};

/// One policy as an experiment runs it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyPlan {
    /// Name in the rows.
    pub name: String,
    /// Routing.
    pub routing: PolicyKind,
    /// Admission at the door.
    #[serde(default)]
    pub admission: bool,
    /// Hedges of short steps.
    #[serde(default)]
    pub hedging: bool,
}

/// A fault during the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// One engine is gone from a third of the run on.
    Killed,
    /// One engine takes ten times as long from a third of the run on.
    Slow,
    /// Half of the engines refuse from a third of the run on.
    Half,
    /// Load reports come every two seconds.
    Lag,
    /// A burst of long minutes in the middle third.
    Burst,
    /// Every target of the encode stage fails outright.
    StageDown,
}

/// Who sends what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mix {
    /// Turns of conversations with long prefixes.
    #[default]
    Turns,
    /// Stock checks alone.
    Stock,
    /// Stock checks beside patient catalogue rewrites.
    Catalogue,
}

/// A plan.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name.
    pub name: String,
    /// Seed of arrivals.
    pub seed: u64,
    /// Runs of each cell and policy.
    pub repetitions: usize,
    /// Seconds before counting begins.
    pub warmup: f64,
    /// Seconds that count.
    pub seconds: f64,
    /// Engines.
    pub engines: usize,
    /// Rates of an engine.
    pub engine: EngineSpec,
    /// Entry nodes; several lists are several cells.
    pub entries: Vec<usize>,
    /// Words of a conversation's prefix.
    pub prefix: usize,
    /// Words of an answer.
    pub words: usize,
    /// Milliseconds of the deadline.
    pub deadline: u64,
    /// Working set against all caches.
    pub working_set: Vec<f64>,
    /// Zipf exponent of the conversations.
    pub skew: Vec<f64>,
    /// Arrivals as a share of the capacity measured for the cell.
    pub load: Vec<f64>,
    /// Faults.
    #[serde(default = "no_fault")]
    pub faults: Vec<Fault>,
    /// Mixes.
    #[serde(default = "turns")]
    pub mixes: Vec<Mix>,
    /// Policies.
    pub policies: Vec<PolicyPlan>,
}

fn no_fault() -> Vec<Fault> {
    vec![Fault::None]
}

fn turns() -> Vec<Mix> {
    vec![Mix::Turns]
}

/// One cell of a plan's grid.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cell {
    /// Entry nodes.
    pub entries: usize,
    /// Working set.
    pub working_set: f64,
    /// Skew.
    pub skew: f64,
    /// Load.
    pub load: f64,
    /// Fault.
    pub fault: Fault,
    /// Mix.
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
    /// Every cell.
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

    /// What makes two runs comparable: everything but the policies.
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
            return Err(BadValue::new("policies", "name at least one"));
        }
        Ok(())
    }
}
