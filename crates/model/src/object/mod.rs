//! Objects that operators declare, and their validation.

mod check;
mod kinds;
mod set;

pub use check::{Fault, check};
pub use kinds::{
    Drain, Envelope, Limit, Model, Pipeline, Pool, Priority, Role, Spec, Stage, Target, Workspace,
};
pub use set::ObjectSet;

/// Kinds that operators declare; each refers only to kinds before it.
pub const KINDS: [&str; 5] = ["Pool", "Model", "Pipeline", "Workspace", "Drain"];
