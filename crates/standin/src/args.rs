//! Arguments of `pumicevale-standin`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Stand-ins for the platform and for targets, for tests and the quick start.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Settings file, YAML
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Only check the settings
    pub check: bool,
}
