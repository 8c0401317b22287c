//! Example declarations, compiled in so that the program runs from any directory.

use std::path::Path;

use cli::declare::{self, Declaration};

/// Body of the request that the quick start sends.
pub const REQUEST: &str = include_str!("../../../examples/parabaas/requests/minutes.json");

const FILES: [(&str, &str); 4] = [
    ("pools.yaml", include_str!("../../../examples/parabaas/pools.yaml")),
    ("models.yaml", include_str!("../../../examples/parabaas/models.yaml")),
    ("pipelines.yaml", include_str!("../../../examples/parabaas/pipelines.yaml")),
    ("workspaces.yaml", include_str!("../../../examples/parabaas/workspaces.yaml")),
];

/// All declarations of the Parabaas example.
pub fn parabaas() -> anyhow::Result<Vec<Declaration>> {
    let mut all = Vec::new();
    for (name, text) in FILES {
        all.extend(declare::parse(Path::new(name), text)?);
    }
    declare::check(&all)?;
    Ok(all)
}
