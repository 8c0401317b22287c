//! Experiments that send the same seeded arrivals under every policy, through real entry nodes to
//! stand-in targets on loopback.

mod cell;
mod fleet;
mod plan;
mod plots;
mod rows;
mod work;

pub use cell::{calibrate, run_cell};
pub use plan::{Cell, Fault, Mix, Plan, PolicyPlan};
pub use plots::plot;
pub use rows::{Row, summary};
