//! `pumicevale explain`: traces one request through the nodes' logs.

use std::path::PathBuf;

use crate::trace::{Line, Trace};

/// Arguments of `explain`.
pub struct Explain {
    /// Request id.
    pub id: String,
    /// Log files of the nodes.
    pub files: Vec<PathBuf>,
}

impl Explain {
    /// Prints the request's lines in time order, and how it ended.
    pub fn run(self) -> anyhow::Result<()> {
        let trace = Trace::read(&self.id, &self.files)?;
        if trace.malformed > 0 {
            eprintln!("{} lines could not be read", trace.malformed);
        }
        if trace.lines.is_empty() {
            anyhow::bail!("no line of request {:?} in these files", self.id);
        }
        for line in &trace.lines {
            println!("{}", show(line));
        }
        println!("\n{}", trace.cause());
        Ok(())
    }
}

fn show(line: &Line) -> String {
    format!("{}  {:<20} {:<8} {}", line.time, line.node, line.event, line.details())
}
