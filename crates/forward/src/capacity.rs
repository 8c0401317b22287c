//! What callers hold of this node's memory and connections (see [`decide::callers`]).

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use decide::callers::{CallerLimits, Callers, HolderId, Shortage, Stage, Yield};
use model::Time;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;
use util::clock::Clock;

use crate::events::Event;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Part of the host's memory for what callers hold.
const MEMORY_SHARE: f64 = 1.0 / 3.0;
/// Part of the descriptors for callers' connections.
const CONNECTIONS_SHARE: f64 = 0.5;
/// Maximum time for which a request or body waits for memory; what stands still has yielded by then.
const MAX_WAIT: Duration = Duration::from_millis(1500);
/// Interval at which what waits looks for others that stand still by now.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time after a search that found nobody, since each looks at all holders.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Names of what yields, in log lines and metrics.
const CONNECTION: &str = "connection";
const BODY: &str = "body";

/// Why there is no memory for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMemory {
    /// Nobody yields any.
    Full,
    /// It had to yield.
    Yielded,
}

impl NoMemory {
    /// Reason in the answer and in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            NoMemory::Full => "callers hold all memory for requests",
            NoMemory::Yielded => {
                "others needed the memory that the request held while its body did not move"
            }
        }
    }
}

/// Memory and connections of this node that callers share.
#[derive(Debug, Clone)]
pub struct CallerCapacity(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    machine: RefCell<Callers>,
    /// Notified when a holder must yield.
    told: RefCell<HashMap<HolderId, Rc<Notify>>>,
    /// Notified when something is released.
    released: Notify,
    waiting: Cell<usize>,
    /// When nobody was found who stood still.
    looked_at: Cell<Option<Time>>,
    connections_yielded: Counter,
    bodies_yielded: Counter,
}

/// Limits for the host in the settings.
fn limits(settings: &Settings) -> CallerLimits {
    CallerLimits {
        bytes: (settings.host.memory_bytes() as f64 * MEMORY_SHARE) as usize,
        connections: ((settings.descriptors as f64 * CONNECTIONS_SHARE) as usize).max(1),
    }
}

impl CallerCapacity {
    /// Capacity for the host in the settings.
    pub fn new(settings: &Settings, clock: Clock, metrics: &Metrics) -> Self {
        CallerCapacity(Rc::new(Shared {
            clock,
            machine: RefCell::new(Callers::new(limits(settings))),
            told: RefCell::default(),
            released: Notify::new(),
            waiting: Cell::new(0),
            looked_at: Cell::new(None),
            connections_yielded: metrics.yielded(CONNECTION),
            bodies_yielded: metrics.yielded(BODY),
        }))
    }

    /// Applies reloaded settings to what is opened or grows from now on.
    pub fn set_limits(&self, settings: &Settings) {
        self.machine().set_limits(limits(settings));
        self.0.released.notify_waiters();
    }

    /// Bytes that callers hold.
    pub fn held(&self) -> usize {
        self.machine().held()
    }

    /// Open connections of callers.
    pub fn connections(&self) -> usize {
        self.machine().connections()
    }

    /// Whether connections or requests have lately had to wait.
    pub fn is_full(&self) -> bool {
        let now = self.now();
        self.machine().is_full(now)
    }

    /// A further connection, if there is room for one.
    pub fn try_connection(&self) -> Option<Held> {
        self.open(|machine, now| machine.open_connection(now)).ok()
    }

    /// Waits until there is room for a further connection.
    pub async fn connection(&self) -> Held {
        let open = || self.open(|machine, now| machine.open_connection(now));
        self.wait_for(None, open, || false).await.expect("it does not give up")
    }

    /// Waits for the memory of a request with this many pieces whose body will have at most
    /// `max_bytes`; `announced` is its size if that is known.
    pub async fn request(
        &self,
        pieces: usize,
        announced: Option<usize>,
        max_bytes: usize,
    ) -> Result<Held, NoMemory> {
        if announced.is_some_and(|bytes| !self.machine().can_hold(bytes)) {
            return Err(NoMemory::Full);
        }
        let max_bytes = announced.unwrap_or(max_bytes);
        let open = || self.open(|machine, now| machine.open_request(pieces, max_bytes, now));
        let until = self.now() + MAX_WAIT;
        // A caller that nobody yields to had better go to another node at once.
        let gives_up = || self.now() >= until || !self.machine().can_yield();
        self.wait_for(None, open, gives_up).await.ok_or(NoMemory::Full)
    }

    /// Waits until `take` succeeds, while others are told to yield; `None` if it gives up. `id` is the
    /// holder that waits, if it is one.
    async fn wait_for<T>(
        &self,
        id: Option<HolderId>,
        mut take: impl FnMut() -> Result<T, Shortage>,
        gives_up: impl Fn() -> bool,
    ) -> Option<T> {
        if let Ok(taken) = take() {
            return Some(taken);
        }
        let _waiting = Waiting::new(self, id);
        loop {
            let released = self.0.released.notified();
            match take() {
                Ok(taken) => return Some(taken),
                Err(shortage) => self.look_for_yields(shortage),
            }
            if gives_up() {
                return None;
            }
            let _ = tokio::time::timeout(POLL_INTERVAL, released).await;
        }
    }

    /// Tells others to yield, unless nobody stood still just now.
    fn look_for_yields(&self, shortage: Shortage) {
        let now = self.now();
        let is_recent = |at: Time| now.since(at) < LOOK_INTERVAL;
        if self.0.looked_at.get().is_some_and(is_recent) {
            return;
        }
        let told = self.machine().tell_to_yield(shortage, now);
        self.0.looked_at.set(told.is_empty().then_some(now));
        told.iter().for_each(|yielding| self.tell(yielding));
    }

    fn tell(&self, yielding: &Yield) {
        let (what, counter) = match yielding.stage {
            Stage::Receiving => (BODY, &self.0.bodies_yielded),
            Stage::Resting | Stage::Busy => (CONNECTION, &self.0.connections_yielded),
        };
        counter.inc();
        let still_ms = yielding.still.as_millis() as u64;
        Event::CallerYields { what, bytes: yielding.bytes, still_ms, held_bytes: self.held() }
            .emit();
        if let Some(told) = self.0.told.borrow().get(&yielding.id) {
            told.notify_one();
        }
    }

    fn open(
        &self,
        open: impl FnOnce(&mut Callers, Time) -> Result<HolderId, Shortage>,
    ) -> Result<Held, Shortage> {
        let now = self.now();
        let id = open(&mut self.machine(), now)?;
        let told = Rc::new(Notify::new());
        self.0.told.borrow_mut().insert(id, told.clone());
        Ok(Held { capacity: self.clone(), id, told })
    }

    fn now(&self) -> Time {
        self.0.clock.now()
    }

    fn machine(&self) -> RefMut<'_, Callers> {
        self.0.machine.borrow_mut()
    }
}

/// Counts what waits for memory or a connection until dropped.
struct Waiting<'a> {
    capacity: &'a CallerCapacity,
    id: Option<HolderId>,
}

impl<'a> Waiting<'a> {
    fn new(capacity: &'a CallerCapacity, id: Option<HolderId>) -> Self {
        let waiting = Waiting { capacity, id };
        waiting.change(true);
        waiting
    }

    fn change(&self, begins: bool) {
        let capacity = self.capacity;
        if let Some(id) = self.id {
            let now = capacity.now();
            capacity.machine().set_waiting(id, begins, now);
        }
        let count = &capacity.0.waiting;
        let before = count.get();
        count.set(if begins { before + 1 } else { before - 1 });
        if before.min(count.get()) == 0 {
            let (held_bytes, connections) = (capacity.held(), capacity.connections());
            Event::CallersWait { is_waiting: begins, held_bytes, connections }.emit();
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.change(false);
    }
}

/// What one connection or request holds until dropped.
#[derive(Debug)]
pub struct Held {
    capacity: CallerCapacity,
    id: HolderId,
    told: Rc<Notify>,
}

impl Held {
    /// Whether it has been told to yield.
    pub fn is_told(&self) -> bool {
        self.capacity.machine().must_yield(self.id)
    }

    /// Waits until it must yield.
    pub async fn must_yield(&self) {
        while !self.is_told() {
            self.told.notified().await;
        }
    }

    /// Waits until the request's body may have this size.
    pub async fn grow(&self, bytes: usize) -> Result<(), NoMemory> {
        let capacity = &self.capacity;
        let grow = || capacity.machine().grow(self.id, bytes);
        let until = capacity.now() + MAX_WAIT;
        let grown = capacity.wait_for(Some(self.id), grow, || capacity.now() >= until).await;
        grown.ok_or(NoMemory::Full)
    }

    /// Records bytes that have arrived.
    pub fn moved(&self, bytes: usize) {
        let now = self.capacity.now();
        self.capacity.machine().moved(self.id, bytes, now);
    }

    /// Sets what the head of the connection's next request takes.
    pub fn set_head(&self, bytes: usize) {
        self.capacity.machine().set_head(self.id, bytes);
    }

    /// Current time by the clock of the account.
    pub fn now(&self) -> Time {
        self.capacity.now()
    }

    /// Moves on to another stage.
    pub fn enter(&self, stage: Stage) {
        let now = self.capacity.now();
        self.capacity.machine().enter(self.id, stage, now);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.capacity.machine().close(self.id);
        self.capacity.0.told.borrow_mut().remove(&self.id);
        self.capacity.0.released.notify_waiters();
    }
}
