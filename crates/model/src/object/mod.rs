//! Objects that operators declare, and the checks of a set of them.

mod check;
mod kinds;
mod set;

pub use check::{Fault, check};
pub use kinds::{
    Drain, Envelope, Limit, Model, Pipeline, Pool, Priority, Role, Spec, Stage, Target, Workspace,
};
pub use set::ObjectSet;

/// Kinds that operators declare, in the order in which they need each other.
pub const KINDS: [&str; 5] = ["Pool", "Model", "Pipeline", "Workspace", "Drain"];
