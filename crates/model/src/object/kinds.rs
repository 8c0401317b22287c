//! The declared kinds. Times are milliseconds, rates are per second.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A pipeline: stages in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages, three to six in practice, at least one.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: Name,
    /// Pool that serves it.
    pub pool: Name,
    /// Model, for engines.
    #[serde(default)]
    pub model: Option<Name>,
    /// Whether the stage may run twice for one request.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

fn yes() -> bool {
    true
}

/// How urgent a workspace's work is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody watches a spinner.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Patient work that yields to the rest.
    Patient,
}

/// A workspace: whose requests, under which deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Deadline of its requests, milliseconds.
    pub deadline: u64,
    /// How long past the deadline a caller still waits, milliseconds.
    #[serde(default)]
    pub grace: u64,
    /// Priority.
    #[serde(default)]
    pub priority: Priority,
    /// Limits per pipeline; a pipeline not listed is not limited.
    #[serde(default)]
    pub limits: Vec<Limit>,
}

/// A limit of one workspace on one pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Pipeline.
    pub pipeline: Name,
    /// Requests per second over all nodes.
    pub rate: f64,
}

/// What a pool's targets do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Model engine.
    Engine,
    /// Encoder.
    Encoder,
    /// Retriever.
    Retriever,
    /// Reranker.
    Reranker,
    /// Any other service.
    Plain,
}

/// A pool of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the targets do.
    pub role: Role,
    /// Cost of one target's second.
    pub cost: f64,
    /// Whether targets check the epoch of an order.
    #[serde(default)]
    pub fenced: bool,
    /// Targets.
    pub targets: Vec<Target>,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique over all pools.
    pub name: Name,
    /// IP address and port.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// Host, as the host list names it.
    pub host: Name,
}

/// A model and the version wanted in service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Pool that serves it.
    pub pool: Name,
    /// Version wanted.
    pub version: Name,
    /// Count of targets that hold it.
    pub replicas: u32,
}

/// A host that is to be emptied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Host.
    pub host: Name,
    /// Why, for people.
    #[serde(default)]
    pub reason: String,
}

/// Any declared object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Spec {
    /// See [`Pipeline`].
    Pipeline(Pipeline),
    /// See [`Workspace`].
    Workspace(Workspace),
    /// See [`Pool`].
    Pool(Pool),
    /// See [`Model`].
    Model(Model),
    /// See [`Drain`].
    Drain(Drain),
}

impl Spec {
    /// The kind's name.
    pub fn kind(&self) -> &'static str {
        match self {
            Spec::Pipeline(_) => "Pipeline",
            Spec::Workspace(_) => "Workspace",
            Spec::Pool(_) => "Pool",
            Spec::Model(_) => "Model",
            Spec::Drain(_) => "Drain",
        }
    }

    /// Reads the spec of a kind from a stored value.
    pub fn from_value(kind: &str, value: serde_json::Value) -> Result<Spec, serde_json::Error> {
        use serde_json::from_value;
        match kind {
            "Pipeline" => from_value(value).map(Spec::Pipeline),
            "Workspace" => from_value(value).map(Spec::Workspace),
            "Pool" => from_value(value).map(Spec::Pool),
            "Model" => from_value(value).map(Spec::Model),
            "Drain" => from_value(value).map(Spec::Drain),
            _ => Err(serde::de::Error::custom(format!("unknown kind {kind}"))),
        }
    }

    /// The spec as stored.
    pub fn to_value(&self) -> serde_json::Value {
        let value = match self {
            Spec::Pipeline(s) => serde_json::to_value(s),
            Spec::Workspace(s) => serde_json::to_value(s),
            Spec::Pool(s) => serde_json::to_value(s),
            Spec::Model(s) => serde_json::to_value(s),
            Spec::Drain(s) => serde_json::to_value(s),
        };
        value.expect("a spec has string keys only")
    }
}

/// A declared object as stored: the spec, and who wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// What was declared.
    pub spec: serde_json::Value,
    /// Who wrote it, for people.
    pub author: String,
    /// Nonce of the write, to settle a lost answer.
    pub nonce: u64,
}
