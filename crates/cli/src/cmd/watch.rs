//! `pumicevale watch`: prints statuses as they change.

use std::time::Duration;

use model::store::kind;
use store::Store;
use tokio::time::Instant;

use crate::Remote;

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of `watch`.
pub struct Watch {
    /// Address of the Object API.
    pub store: String,
    /// Seconds to watch; unlimited if `None`.
    pub seconds: Option<u64>,
}

impl Watch {
    /// Prints a line for each changed status.
    pub async fn run(self) -> anyhow::Result<()> {
        let remote = Remote::new(&self.store)?;
        let deadline = self.seconds.map(|s| Instant::now() + Duration::from_secs(s));
        let mut revision = 0;
        loop {
            let remaining =
                deadline.map_or(WATCH_TIMEOUT, |d| d.saturating_duration_since(Instant::now()));
            if remaining.is_zero() {
                return Ok(());
            }
            match remote.store().watch(kind::STATUS, revision, remaining.min(WATCH_TIMEOUT)).await {
                Ok(listing) => {
                    revision = listing.revision;
                    for o in listing.objects {
                        let value = o.value.map(|v| v.to_string()).unwrap_or("deleted".into());
                        println!("{} {value}", o.name);
                    }
                }
                Err(e) => {
                    eprintln!("{e}");
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
        }
    }
}
