//! Arguments of `pumicevale-entry`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Takes callers' requests and sends their steps to targets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Settings file, YAML
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Only check the settings
    pub check: bool,
}
