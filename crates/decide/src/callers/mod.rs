//! What callers hold of a node's memory and connections, and who yields when they run out.
//!
//! Connections, requests and bodies share one limit, each counted by the memory that it takes. Large
//! bodies find it full first, then connections, and requests with small bodies last. A large body may
//! only grow if, after that, all bodies on the way can still arrive one after the other (see
//! [`crate::hold`]).
//!
//! What does not fit waits until others yield: connections without a request and bodies on the way
//! that stand still, those first that have held most for longest. A large body that waits for memory
//! itself yields to connections and small requests only. What moves or has arrived never yields.

mod holder;

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;

use crate::hold::Holds;
use holder::Holder;

/// Memory of an open connection, in bytes, without what it is sent.
pub const CONNECTION_BYTES: usize = 20 << 10;
/// Memory of a request and its connection to a target, in bytes, without its body.
pub const REQUEST_BYTES: usize = 48 << 10;
/// Memory of a piece of a stage that a request asks for, in bytes.
pub const PIECE_BYTES: usize = 256;
/// Size up to which a body is small, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;
/// Time without movement after which a connection or body stands still.
pub const STILL_TIME: Duration = Duration::from_secs(1);
/// Bytes that must arrive in this time to count as movement.
pub const MIN_MOVED_BYTES: usize = 1 << 10;
/// Part of the memory that connections may fill; the rest is for requests with small bodies.
const CONNECTIONS_SHARE: f64 = 0.75;
/// Part of the memory that large requests and bodies may fill.
const LARGE_SHARE: f64 = 0.5;
/// Time in which one that was told to yield is expected to have done so.
const YIELD_TIME: Duration = Duration::from_millis(200);
/// Time after a connection or request had to wait in which the node counts as full.
const FULL_TTL: Duration = Duration::from_secs(1);

/// A connection, or a request with its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What a holder is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A connection without a request.
    Resting,
    /// A request whose body is on the way.
    Receiving,
    /// A request that has arrived, or a connection with a request.
    Busy,
}

/// Limits of what all callers may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Memory in bytes.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// A holder that must yield.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Yield {
    /// The holder.
    pub id: HolderId,
    /// What it is doing.
    pub stage: Stage,
    /// Bytes that it holds.
    pub bytes: usize,
    /// Time for which it has stood still.
    pub still: Duration,
}

/// What there is too little of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// Memory for a connection or a small request, in bytes.
    Memory(usize),
    /// Memory for a large request or body, in bytes.
    LargeMemory(usize),
    /// Connections.
    Connections,
    /// Memory with which the bodies on the way could all arrive.
    Bodies,
}

impl Shortage {
    /// Whether bodies that wait for memory yield as well: they could not arrive now anyway.
    fn is_urgent(self) -> bool {
        matches!(self, Shortage::Memory(_) | Shortage::Connections)
    }
}

/// What all callers hold.
#[derive(Debug)]
pub struct Callers {
    limits: CallerLimits,
    holders: BTreeMap<HolderId, Holder>,
    /// Bodies on the way that are not small.
    large: Holds,
    held: usize,
    connections: usize,
    next: u64,
    short_at: Option<Time>,
}

impl Callers {
    /// Nobody holds anything.
    pub fn new(limits: CallerLimits) -> Self {
        Callers {
            limits,
            holders: BTreeMap::new(),
            large: Holds::new(share(limits.bytes, LARGE_SHARE)),
            held: 0,
            connections: 0,
            next: 0,
            short_at: None,
        }
    }

    /// Changes the limits for what begins or grows from now on.
    pub fn set_limits(&mut self, limits: CallerLimits) {
        self.limits = limits;
        self.large.set_limit(share(limits.bytes, LARGE_SHARE));
    }

    /// Bytes held in all.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Begins to count a connection, which is busy at first.
    pub fn open_connection(&mut self, now: Time) -> Result<HolderId, Shortage> {
        let fits = if self.connections < self.limits.connections {
            let limit = share(self.limits.bytes, CONNECTIONS_SHARE);
            self.check(CONNECTION_BYTES, limit, Shortage::Memory)
        } else {
            Err(Shortage::Connections)
        };
        self.note(fits, now)?;
        self.connections += 1;
        Ok(self.insert(Holder::connection(now)))
    }

    /// Begins to count a request with this many pieces whose body will have at most `max_bytes`.
    pub fn open_request(
        &mut self,
        pieces: usize,
        max_bytes: usize,
        now: Time,
    ) -> Result<HolderId, Shortage> {
        let holder = Holder::request(pieces, max_bytes, now);
        let is_large = holder.bytes() > REQUEST_BYTES + SMALL_BYTES;
        let fits = self.check_memory(holder.bytes(), is_large);
        self.note(fits, now)?;
        Ok(self.insert(holder))
    }

    /// Whether a body of this size can be held at all.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= share(self.limits.bytes, LARGE_SHARE)
    }

    /// Lets a request's body have this size, if there is memory by now. Bodies do not shrink.
    pub fn grow(&mut self, id: HolderId, bytes: usize) -> Result<(), Shortage> {
        let Some(holder) = self.holders.get(&id) else {
            return Ok(());
        };
        let more = bytes.saturating_sub(holder.body);
        if more == 0 {
            return Ok(());
        }
        let is_large = bytes > SMALL_BYTES;
        self.check_memory(more, is_large)?;
        if is_large {
            self.grow_large(id, bytes)?;
        }
        self.holders.get_mut(&id).expect("found above").body = bytes;
        self.held += more;
        Ok(())
    }

    fn grow_large(&mut self, id: HolderId, bytes: usize) -> Result<(), Shortage> {
        let holder = self.holders.get_mut(&id).expect("the caller has found it");
        let hold = *holder.hold.get_or_insert_with(|| self.large.open(holder.max_bytes));
        if self.large.resize(hold, bytes) { Ok(()) } else { Err(Shortage::Bodies) }
    }

    /// Sets what the head of a connection's next request takes, which has arrived already.
    pub fn set_head(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.held = self.held - holder.head + bytes;
            holder.head = bytes;
        }
    }

    /// Records bytes that have arrived.
    pub fn moved(&mut self, id: HolderId, bytes: usize, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved(bytes, now);
        }
    }

    /// Records that a holder waits for memory, or does not any more.
    pub fn set_waiting(&mut self, id: HolderId, is_waiting: bool, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.set_waiting(is_waiting, now);
        }
    }

    /// Moves a holder on to another stage.
    pub fn enter(&mut self, id: HolderId, stage: Stage, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.enter(stage, now);
            if let Some(hold) = holder.hold.take_if(|_| stage != Stage::Receiving) {
                self.large.close(hold);
            }
        }
    }

    /// Whether a holder must yield.
    pub fn must_yield(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|h| h.told_at.is_some())
    }

    /// Ends a holder.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.held -= holder.bytes();
        self.connections -= usize::from(holder.is_connection);
        if let Some(hold) = holder.hold {
            self.large.close(hold);
        }
    }

    /// Tells holders to yield until enough do; returns those that were not told before.
    pub fn tell_to_yield(&mut self, shortage: Shortage, now: Time) -> Vec<Yield> {
        let missing = match shortage {
            Shortage::Memory(bytes) | Shortage::LargeMemory(bytes) => bytes,
            Shortage::Connections | Shortage::Bodies => 1,
        };
        let leaving = self.holders.values().filter(|h| h.is_leaving(now));
        let mut expected: usize = leaving.map(Holder::bytes).sum();
        let mut told = Vec::new();
        while expected < missing
            && let Some(next) = self.next_yield(shortage, now)
        {
            expected += next.bytes;
            self.holders.get_mut(&next.id).expect("found above").told_at = Some(now);
            told.push(next);
        }
        told
    }

    /// Whether a holder could yield, now or once it has stood still for long enough.
    pub fn can_yield(&self) -> bool {
        self.holders.values().any(Holder::can_yield)
    }

    /// Whether a connection or request has lately had to wait.
    pub fn is_full(&self, now: Time) -> bool {
        self.short_at.is_some_and(|at| now.since(at) < FULL_TTL)
    }

    /// The one that has held most for longest while it stood still.
    fn next_yield(&self, shortage: Shortage, now: Time) -> Option<Yield> {
        let helps = |h: &Holder| shortage != Shortage::Bodies || h.hold.is_some();
        let candidates = self.holders.iter().filter(|(_, h)| h.told_at.is_none() && helps(h));
        let still = candidates.filter_map(|(id, h)| {
            let still = h.still_time(shortage.is_urgent(), now)?;
            Some(Yield { id: *id, stage: h.stage, bytes: h.bytes(), still })
        });
        still.max_by_key(|y| y.bytes as u128 * y.still.as_millis())
    }

    /// Whether a request or its body may take this much more.
    fn check_memory(&self, more: usize, is_large: bool) -> Result<(), Shortage> {
        if is_large {
            self.check(more, share(self.limits.bytes, LARGE_SHARE), Shortage::LargeMemory)
        } else {
            self.check(more, self.limits.bytes, Shortage::Memory)
        }
    }

    fn check(
        &self,
        more: usize,
        limit: usize,
        shortage: fn(usize) -> Shortage,
    ) -> Result<(), Shortage> {
        match (self.held + more).saturating_sub(limit) {
            0 => Ok(()),
            missing => Err(shortage(missing)),
        }
    }

    /// Records a shortage of what ordinary callers need.
    fn note(&mut self, fits: Result<(), Shortage>, now: Time) -> Result<(), Shortage> {
        if fits.is_err_and(Shortage::is_urgent) {
            self.short_at = Some(now);
        }
        fits
    }

    fn insert(&mut self, holder: Holder) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        self.held += holder.bytes();
        self.holders.insert(id, holder);
        id
    }
}

fn share(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}
