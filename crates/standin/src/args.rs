//! Arguments of `pumicevale-standin`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Stand-ins for the platform and for targets, for tests and the quick start.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// YAML settings file
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}
