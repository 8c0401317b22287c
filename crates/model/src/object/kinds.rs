//! Kinds of declared objects. Times are in milliseconds, rates per second.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Pipeline: a sequence of stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in order; at least one, three to six in practice.
    pub stages: Vec<Stage>,
}

/// Stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique within the pipeline.
    pub name: Name,
    /// Pool that serves it.
    pub pool: Name,
    /// Model; required for engines.
    #[serde(default)]
    pub model: Option<Name>,
    /// Whether the stage may run more than once for a request.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

fn yes() -> bool {
    true
}

/// Priority of a workspace's requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Interactive: a user waits for the answer.
    Urgent,
    /// Default priority.
    #[default]
    Normal,
    /// Background work that yields to all other requests.
    Patient,
}

/// Workspace: settings for the requests of one group of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Deadline of its requests, in milliseconds.
    pub deadline: u64,
    /// Time past the deadline for which a caller still waits, in milliseconds.
    #[serde(default)]
    pub grace: u64,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: Priority,
    /// Rate limits per pipeline; a pipeline that is not listed is unlimited.
    #[serde(default)]
    pub limits: Vec<Limit>,
}

/// Rate limit of a workspace on a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Pipeline that the limit applies to.
    pub pipeline: Name,
    /// Maximum requests per second across all nodes.
    pub rate: f64,
}

/// Role of a pool's targets.
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

/// Pool of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Role of the targets.
    pub role: Role,
    /// Cost of one second of a target.
    pub cost: f64,
    /// Whether the targets check the epoch of orders.
    #[serde(default)]
    pub fenced: bool,
    /// Targets of the pool.
    pub targets: Vec<Target>,
}

/// Target of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique across all pools.
    pub name: Name,
    /// IP address and port.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// Host, by its name in the host list.
    pub host: Name,
}

/// Model and its desired version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Pool that serves it.
    pub pool: Name,
    /// Desired version.
    pub version: Name,
    /// Number of targets that load it.
    pub replicas: u32,
}

/// Host to be drained.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name of the host.
    pub host: Name,
    /// Reason, informational only.
    #[serde(default)]
    pub reason: String,
}

/// Spec of a declared object of any kind.
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
    /// Name of the kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Spec::Pipeline(_) => "Pipeline",
            Spec::Workspace(_) => "Workspace",
            Spec::Pool(_) => "Pool",
            Spec::Model(_) => "Model",
            Spec::Drain(_) => "Drain",
        }
    }

    /// Parses the spec of a kind from a stored value.
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

    /// Encodes the spec as it is stored.
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

/// Declared object as stored: the spec and its author.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Declared spec.
    pub spec: serde_json::Value,
    /// Author of the write, informational only.
    pub author: String,
    /// Nonce of the write; after a lost response it shows whether the write was applied.
    pub nonce: u64,
}
