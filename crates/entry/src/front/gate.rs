//! Admission of requests: each waits for a verdict of the [`AdmissionQueue`].

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use decide::admit::{AdmissionQueue, PendingRequest, Verdict};
use model::outcome::Reason;
use model::{Name, Time};
use tokio::sync::oneshot;

use crate::drive::RequestJob;
use crate::node::Core;

/// Interval between checks for queued requests that can no longer finish in time.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A rejected request.
#[derive(Debug)]
pub struct Rejection {
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Inner {
    queue: AdmissionQueue,
    waiting: HashMap<Name, oneshot::Sender<Result<(), Reason>>>,
}

/// Admission control of one node.
#[derive(Debug)]
pub struct AdmissionController {
    inner: Mutex<Inner>,
}

impl AdmissionController {
    /// Creates a controller around a queue.
    pub fn new(queue: AdmissionQueue) -> Self {
        AdmissionController { inner: Mutex::new(Inner { queue, waiting: HashMap::new() }) }
    }

    /// Waits until the request may run. Dropping the future removes it from the queue.
    pub async fn admit(&self, core: &Core, job: &RequestJob) -> Result<(), Rejection> {
        let now = core.clock.now();
        let config = core.fleet.config();
        let steps = config.set.pipelines.get(&job.pipeline).map_or(0, |p| p.stages.len());
        let mut required = core.fleet.required_time(&job.pipeline, steps, job.deadline.since(now));
        if !core.settings.admission {
            required = Duration::ZERO;
        }
        let deadline = if core.settings.admission { job.deadline } else { job.expires };
        let pending = PendingRequest {
            request: job.request.clone(),
            priority: job.priority,
            deadline,
            need: required,
        };
        let (tx, rx) = oneshot::channel();
        {
            let mut inner = self.inner.lock().expect("no panic while held");
            inner.waiting.insert(job.request.clone(), tx);
            let verdicts = inner.queue.submit(now, pending);
            inner.deliver(verdicts);
        }
        let mut guard = WaitGuard { controller: self, core, request: &job.request, armed: true };
        let verdict = rx.await.unwrap_or(Err(Reason::Overload));
        guard.armed = false;
        let retry_after = || {
            let inner = self.inner.lock().expect("no panic while held");
            inner.queue.retry_after(required.max(CHECK_INTERVAL))
        };
        verdict.map_err(|reason| Rejection { reason, retry_after: retry_after() })
    }

    /// Rejects queued requests that can no longer finish in time, until the process ends.
    pub async fn expire_waiting(core: std::sync::Arc<Core>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = core.clock.now();
            core.admission.update(|queue| queue.tick(now));
        }
    }

    /// Records that a request ended after running for `ran` with `budget` as its total time.
    pub fn complete(&self, now: Time, request: &Name, ran: Duration, budget: Duration) {
        self.update(|queue| queue.complete(now, request, ran, budget));
    }

    fn remove(&self, now: Time, request: &Name) {
        self.update(|queue| queue.remove_request(now, request));
    }

    fn update(&self, f: impl FnOnce(&mut AdmissionQueue) -> Vec<Verdict>) {
        let mut inner = self.inner.lock().expect("no panic while held");
        let verdicts = f(&mut inner.queue);
        inner.deliver(verdicts);
    }
}

impl Inner {
    fn deliver(&mut self, verdicts: Vec<Verdict>) {
        for v in verdicts {
            let (request, result) = match v {
                Verdict::Run(r) => (r, Ok(())),
                Verdict::Refuse(r, reason) => (r, Err(reason)),
            };
            if let Some(tx) = self.waiting.remove(&request) {
                let _ = tx.send(result);
            }
        }
    }
}

/// Removes a queued request if its caller disconnects.
struct WaitGuard<'a> {
    controller: &'a AdmissionController,
    core: &'a Core,
    request: &'a Name,
    armed: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.controller.remove(self.core.clock.now(), self.request);
        }
    }
}
