//! Arguments of `pumicevale-control`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Membership, configuration, leases, load and placement of one node.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Settings file, YAML
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Only check the settings
    pub check: bool,
}
