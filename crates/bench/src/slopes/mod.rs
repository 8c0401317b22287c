//! Cost of each role by system size. Drives the real state machines and encodings with the events
//! of 10, 30, 100 and 340 nodes.

mod claims;
mod config;
mod ejections;
mod fleet;
mod leases;
mod links;
mod members;
mod routes;
mod slots;
mod starts;
mod streams;
mod wire;

use serde::{Deserialize, Serialize};

pub use members::{DetectionStats, measure_detection};
pub use routes::pool_table;

/// System sizes in nodes.
pub const SIZES: [usize; 4] = [10, 30, 100, 340];
/// [`SIZES`] and the size of one failure domain.
const MEMBER_SIZES: [usize; 5] = [10, 30, DOMAIN_SIZE, 100, 340];
/// Nodes of one failure domain at the design size of 340 nodes in 6 failure domains.
pub const DOMAIN_SIZE: usize = 57;

/// Bytes of the heads of a message between nodes and its answer.
const HEAD_BYTES: usize = 2 * 112;

/// Value measured at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Size at which it was measured, in the unit that the name gives.
    pub size: usize,
    /// Measured value, in the unit that the name gives.
    pub value: f64,
    /// Whether the value is the same on every run and machine.
    pub counted: bool,
}

/// Figure that is the same on every run and machine.
pub(crate) fn counted(name: &str, size: usize, value: f64) -> Figure {
    Figure { name: name.into(), size, value, counted: true }
}

/// Figure that depends on the machine.
pub(crate) fn timed(name: &str, size: usize, value: f64) -> Figure {
    Figure { name: name.into(), size, value, counted: false }
}

/// Measures all figures, or only those that are counted and quick to measure.
pub fn measure(only_counted: bool) -> Vec<Figure> {
    let mut all = Vec::new();
    let sizes: &[usize] = if only_counted { &[DOMAIN_SIZE] } else { &MEMBER_SIZES };
    all.extend(sizes.iter().flat_map(|n| members::measure(*n)));
    // A start of 2,000 nodes takes too long to run with the tests.
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

/// Measures the figures of whole fleets at every size.
pub fn measure_fleets() -> Vec<Figure> {
    fleet_figures(&fleet::FLEET_SIZES)
}

/// Figures of whole fleets; starts are simulated only at the sizes `started`.
fn fleet_figures(started: &[usize]) -> Vec<Figure> {
    let work = fleet::FLEET_SIZES
        .iter()
        .flat_map(|n| {
            [
                fleet::measure(*n),
                ejections::measure(*n),
                links::measure(*n),
                slots::measure(*n),
                streams::measure(*n),
            ]
        })
        .flatten();
    work.chain(started.iter().flat_map(|n| starts::measure(*n))).collect()
}
