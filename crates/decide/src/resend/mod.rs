//! Whether a forwarded request may be sent to another target, and how it ends if not.
//!
//! A request that may run only once is sent again only while it is certain that no target began to
//! run it; "may have run" counts as "has run".

mod budget;
mod verdict;

pub use budget::{BudgetTuning, RepeatBudget};
pub use verdict::{Attempts, Ending, Execution, Next};
