//! Planned shutdown of a process.

use tokio::sync::watch;

/// Receives the shutdown signal.
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<bool>);

/// Sends the shutdown signal to every [`Stop`].
#[derive(Debug)]
pub struct Stopper(watch::Sender<bool>);

/// Creates a connected sender and receiver.
pub fn channel() -> (Stopper, Stop) {
    let (tx, rx) = watch::channel(false);
    (Stopper(tx), Stop(rx))
}

impl Stopper {
    /// Starts the shutdown.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Whether the shutdown has started.
    pub fn stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the shutdown starts or the sender is dropped.
    pub async fn wait(&mut self) {
        let _ = self.0.wait_for(|s| *s).await;
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
