//! Queue of log lines, and the thread that writes them.

use std::cell::RefCell;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use anyhow::Context;
use model::Name;
use serde::Serialize;
use util::clock::Clock;

use super::gate::RateLimiter;
use super::kinds::Event;

/// Capacity of the queue.
const QUEUE_LINES: usize = 2048;
/// Time for which the end of the process waits until the last lines are written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Stack size of the writer thread.
const STACK_BYTES: usize = 128 << 10;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

struct Sink {
    node: Name,
    clock: Clock,
    limiter: RateLimiter,
    lines: SyncSender<String>,
    /// Disconnected once the writer thread has ended.
    written: Receiver<()>,
    dropped: u64,
}

thread_local! {
    static SINK: RefCell<Option<Sink>> = const { RefCell::new(None) };
}

/// Starts the writer thread and sends it the events that are emitted on the calling thread.
pub fn install(node: Name, clock: Clock) -> anyhow::Result<()> {
    let (lines, receiver) = sync_channel(QUEUE_LINES);
    let (is_writing, written) = sync_channel(0);
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || write(receiver, is_writing))
        .context("could not start the log writer thread")?;
    let sink = Sink { node, clock, limiter: RateLimiter::default(), lines, written, dropped: 0 };
    SINK.with_borrow_mut(|s| *s = Some(sink));
    Ok(())
}

fn write(lines: Receiver<String>, _is_writing: SyncSender<()>) {
    for line in lines {
        log::info!("{line}");
    }
}

/// Waits until the queued lines are written, unless nobody reads them; later events are not logged.
pub fn close() {
    let Some(Sink { lines, written, .. }) = SINK.take() else {
        return;
    };
    drop(lines);
    let _ = written.recv_timeout(CLOSE_TIMEOUT);
}

impl Event<'_> {
    /// Queues a line; counts it as dropped if a rate limit or the queue is exceeded. Does nothing
    /// before [`install`].
    pub fn emit(&self) {
        SINK.with_borrow_mut(|sink| {
            if let Some(sink) = sink {
                sink.write_event(self);
            }
        });
    }
}

impl Sink {
    fn write_event(&mut self, event: &Event<'_>) {
        let at_ms = self.clock.now().0 / 1000;
        let is_allowed = self.limiter.allow(event.is_important(), at_ms);
        if !is_allowed || !self.enqueue(at_ms, event) {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 && self.enqueue(at_ms, &Event::Dropped { lines: self.dropped }) {
            self.dropped = 0;
        }
    }

    fn enqueue(&self, at_ms: u64, event: &Event<'_>) -> bool {
        let line = Line { at_ms, node: &self.node, event };
        let text = serde_json::to_string(&line).expect("events have string keys");
        self.lines.try_send(text).is_ok()
    }
}
