//! `pumicevale drain`: empties a host, or takes that back.

use model::object::{Drain, Spec};

use crate::Remote;

/// Declares or deletes a Drain.
pub struct DrainHost {
    /// Address of the Object API.
    pub store: String,
    /// Whether to take it back.
    pub undo: bool,
    /// Why.
    pub reason: String,
    /// Host.
    pub host: String,
}

impl DrainHost {
    /// Writes or deletes the Drain named after the host.
    pub async fn run(self) -> anyhow::Result<()> {
        model::name::check(&self.host)?;
        let remote = Remote::new(&self.store)?;
        let (expect, old) = remote.read("Drain", &self.host).await?;
        if old.is_none() && self.undo {
            anyhow::bail!("host {} is not being drained", self.host);
        }
        let spec = Spec::Drain(Drain { host: self.host.as_str().into(), reason: self.reason });
        let spec = (!self.undo).then_some(&spec);
        remote.write("Drain", &self.host, expect, spec).await?;
        println!("Drain/{} {}", self.host, if self.undo { "deleted" } else { "written" });
        Ok(())
    }
}
