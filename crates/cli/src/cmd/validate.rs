//! `pumicevale validate`: checks declarations offline.

use std::path::PathBuf;

use crate::declare;

/// Arguments of `validate`.
pub struct Validate {
    /// File or directory of declarations.
    pub files: PathBuf,
}

impl Validate {
    /// Checks the declarations and prints the number of objects.
    pub fn run(self) -> anyhow::Result<()> {
        let all = declare::load(&self.files)?;
        println!("{}: {} objects are valid", self.files.display(), all.len());
        Ok(())
    }
}
