//! What each role costs as the system grows: the real machines and encodings,
//! driven with 10, 30, 100 and 340 nodes' worth of events.

mod claims;
mod config;
mod fleet;
mod leases;
mod members;
mod routes;
mod starts;
mod wire;

use serde::{Deserialize, Serialize};

pub use members::{DetectionStats, measure_detection};
pub use routes::pool_table;

/// Sizes at which slopes are measured.
pub const SIZES: [usize; 4] = [10, 30, 100, 340];
/// The same, and a failure domain's own size.
const MEMBER_SIZES: [usize; 5] = [10, 30, DOMAIN_SIZE, 100, 340];
/// Nodes of one failure domain at the size to design for: 340 in 6.
pub const DOMAIN_SIZE: usize = 57;

/// One figure at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// At which size, in the unit that the name gives.
    pub size: usize,
    /// Value.
    pub value: f64,
    /// Whether it repeats exactly on every run and machine.
    pub counted: bool,
}

/// A figure that repeats exactly.
pub(crate) fn counted(name: &str, size: usize, value: f64) -> Figure {
    Figure { name: name.into(), size, value, counted: true }
}

/// A figure that depends on the machine.
pub(crate) fn timed(name: &str, size: usize, value: f64) -> Figure {
    Figure { name: name.into(), size, value, counted: false }
}

/// Every figure, or only the counted ones that are quick to get.
pub fn measure(only_counted: bool) -> Vec<Figure> {
    let mut all = Vec::new();
    let sizes: &[usize] = if only_counted { &[DOMAIN_SIZE] } else { &MEMBER_SIZES };
    all.extend(sizes.iter().flat_map(|n| members::measure(*n)));
    // A start of 2,000 nodes takes too long for each run of the tests.
    all.extend(fleet_figures(if only_counted {
        &fleet::FLEET_SIZES[2..3]
    } else {
        &fleet::FLEET_SIZES
    }));
    all.extend(config::measure(only_counted));
    all.extend(claims::measure());
    all.extend(leases::measure());
    if !only_counted {
        all.extend(routes::measure());
    }
    all.retain(|f| !only_counted || f.counted);
    all
}

/// Figures of whole fleets at every size.
pub fn measure_fleets() -> Vec<Figure> {
    fleet_figures(&fleet::FLEET_SIZES)
}

fn fleet_figures(started: &[usize]) -> Vec<Figure> {
    let work = fleet::FLEET_SIZES.iter().flat_map(|n| fleet::measure(*n));
    work.chain(started.iter().flat_map(|n| starts::measure(*n))).collect()
}
