//! `pumicevale validate`: checks declarations offline.

use std::path::PathBuf;

use crate::declare;

/// Checks declarations.
pub struct Validate {
    /// Folder or file.
    pub files: PathBuf,
}

impl Validate {
    /// Prints the count of valid objects.
    pub fn run(self) -> anyhow::Result<()> {
        let all = declare::load(&self.files)?;
        println!("{}: {} objects are valid", self.files.display(), all.len());
        Ok(())
    }
}
