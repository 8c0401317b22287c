//! Wraps the admission machine: a request waits for its verdict.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use decide::admit::{AdmissionQueue, PendingRequest, Verdict};
use model::outcome::Reason;
use model::{Name, Time};
use tokio::sync::oneshot;

use crate::drive::Job;
use crate::node::Core;

/// How often waiting requests are looked over for those that cannot finish.
const LOOK: Duration = Duration::from_millis(20);

/// A refusal and when to come back.
#[derive(Debug)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub wait: Duration,
}

#[derive(Debug)]
struct Inner {
    gate: AdmissionQueue,
    waiting: HashMap<Name, oneshot::Sender<Result<(), Reason>>>,
}

/// The admission of one node.
#[derive(Debug)]
pub struct GateKeeper {
    inner: Mutex<Inner>,
}

impl GateKeeper {
    /// Wraps a gate.
    pub fn new(gate: AdmissionQueue) -> Self {
        GateKeeper { inner: Mutex::new(Inner { gate, waiting: HashMap::new() }) }
    }

    /// Waits for a turn. A caller that goes away meanwhile gives up its place.
    pub async fn enter(&self, core: &Core, job: &Job) -> Result<(), Refused> {
        let now = core.clock.now();
        let config = core.fleet.config();
        let steps = config.set.pipelines.get(&job.pipeline).map_or(0, |p| p.stages.len());
        let mut need = core.fleet.need(&job.pipeline, steps, job.deadline.since(now));
        if !core.settings.admission {
            need = Duration::ZERO;
        }
        let deadline = if core.settings.admission { job.deadline } else { job.until };
        let w =
            PendingRequest { request: job.request.clone(), priority: job.priority, deadline, need };
        let (tx, rx) = oneshot::channel();
        {
            let mut inner = self.inner.lock().expect("no panic while held");
            inner.waiting.insert(job.request.clone(), tx);
            let verdicts = inner.gate.submit(now, w);
            inner.tell(verdicts);
        }
        let mut place = Place { keeper: self, core, request: &job.request, kept: true };
        let verdict = rx.await.unwrap_or(Err(Reason::Overload));
        place.kept = false;
        let wait = || {
            let inner = self.inner.lock().expect("no panic while held");
            inner.gate.retry_after(need.max(LOOK))
        };
        verdict.map_err(|reason| Refused { reason, wait: wait() })
    }

    /// Refuses those that wait and can no longer finish, until the process ends.
    pub async fn watch(core: std::sync::Arc<Core>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let now = core.clock.now();
            core.gate.change(|gate| gate.tick(now));
        }
    }

    /// A request ended after running for `ran` under a deadline of `most`.
    pub fn finished(&self, now: Time, request: &Name, ran: Duration, most: Duration) {
        self.change(|gate| gate.complete(now, request, ran, most));
    }

    fn leave(&self, now: Time, request: &Name) {
        self.change(|gate| gate.remove_request(now, request));
    }

    fn change(&self, f: impl FnOnce(&mut AdmissionQueue) -> Vec<Verdict>) {
        let mut inner = self.inner.lock().expect("no panic while held");
        let verdicts = f(&mut inner.gate);
        inner.tell(verdicts);
    }
}

impl Inner {
    fn tell(&mut self, verdicts: Vec<Verdict>) {
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

/// Gives a waiting request's place up if its caller goes away.
struct Place<'a> {
    keeper: &'a GateKeeper,
    core: &'a Core,
    request: &'a Name,
    kept: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.kept {
            self.keeper.leave(self.core.clock.now(), self.request);
        }
    }
}
