//! `pumicevale drain`: drains a host, or undoes its drain.

use model::object::{Drain, Spec};

use crate::Remote;

/// Arguments of `drain`.
pub struct DrainHost {
    /// Address of the Object API.
    pub store: String,
    /// Whether to undo the drain.
    pub undo: bool,
    /// Reason, for operators.
    pub reason: String,
    /// Host to drain.
    pub host: String,
}

impl DrainHost {
    /// Writes or deletes the `Drain` object that is named after the host.
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
