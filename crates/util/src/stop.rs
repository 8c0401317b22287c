//! A planned stop, told to every part of a process.

use tokio::sync::watch;

/// Told once that the process is to stop.
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<bool>);

/// Tells every [`Stop`].
#[derive(Debug)]
pub struct Stopper(watch::Sender<bool>);

/// A new pair.
pub fn channel() -> (Stopper, Stop) {
    let (tx, rx) = watch::channel(false);
    (Stopper(tx), Stop(rx))
}

impl Stopper {
    /// Starts the stop.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Whether the stop has started.
    pub fn stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Returns once the stop has started, or its sender is gone.
    pub async fn wait(&mut self) {
        let _ = self.0.wait_for(|s| *s).await;
    }
}

/// Returns at SIGTERM or SIGINT.
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
