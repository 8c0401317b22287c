//! `pumicevale diff`: shows what apply would change.

use std::path::PathBuf;

use crate::{Remote, declare};

/// Arguments of `diff`.
pub struct Diff {
    /// File or directory of declarations.
    pub files: PathBuf,
    /// Address of the Object API.
    pub store: String,
}

impl Diff {
    /// Prints the objects that differ from the Object API, and their count.
    pub async fn run(self) -> anyhow::Result<()> {
        let all = declare::load(&self.files)?;
        let remote = Remote::new(&self.store)?;
        let mut changes = 0;
        for d in all {
            let (version, old) = remote.read(d.spec.kind(), &d.name).await?;
            let new = d.spec.to_value();
            match old {
                Some(e) if e.spec == new => continue,
                Some(e) => {
                    println!("~ {} (version {version}, by {})", d.key(), e.author);
                    println!("  - {}", e.spec);
                    println!("  + {new}");
                }
                None => println!("+ {}", d.key()),
            }
            changes += 1;
        }
        println!("{changes} objects differ");
        Ok(())
    }
}
