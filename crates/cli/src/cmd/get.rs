//! `pumicevale get`: shows declared objects and their status.

use anyhow::Context;
use model::object::KINDS;
use store::Store;

use crate::Remote;

/// Arguments of `get`.
pub struct Get {
    /// Address of the Object API.
    pub store: String,
    /// Kind, in any case.
    pub kind: String,
    /// Name; every object of the kind if `None`.
    pub name: Option<String>,
}

impl Get {
    /// Prints each object as YAML with its status.
    pub async fn run(self) -> anyhow::Result<()> {
        let known = KINDS.iter().find(|k| k.eq_ignore_ascii_case(&self.kind));
        let Some(kind) = known else {
            anyhow::bail!("kind {:?} is not one of {}", self.kind, KINDS.join(", "));
        };
        let remote = Remote::new(&self.store)?;
        let names: Vec<String> = match self.name {
            Some(n) => vec![n],
            None => {
                let listing = remote.store().list(kind).await.context("could not list objects")?;
                listing.objects.iter().map(|o| o.name.to_string()).collect()
            }
        };
        for name in names {
            show(&remote, kind, &name).await?;
        }
        Ok(())
    }
}

async fn show(remote: &Remote, kind: &str, name: &str) -> anyhow::Result<()> {
    let (version, envelope) = remote.read(kind, name).await?;
    let Some(e) = envelope else {
        anyhow::bail!("no {kind} is named {name:?}");
    };
    let status = remote.status(&format!("{kind}/{name}")).await?;
    let document = serde_json::json!({
        "kind": kind,
        "name": name,
        "spec": e.spec,
        "version": version,
        "author": e.author,
        "status": status,
    });
    println!(
        "---\n{}",
        serde_saphyr::to_string(&document)
            .context("could not encode the object as YAML")?
            .trim_end()
    );
    Ok(())
}
