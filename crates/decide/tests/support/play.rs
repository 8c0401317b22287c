//! Plays requests through a row of batch coordinators whose makers keep to the rules.

use std::collections::{BTreeMap, HashMap};

use decide::batch::{Action, Call, CallEnd, Coordinator, Event, OrderId};
use model::forward::{BatchOrder, Handle, PieceResult, Policy, Rank, StagePool};

use super::batch::{answers, at, calls, made, makers, order, placed};

/// Length of a play in milliseconds: no request has more time.
const LENGTH: u64 = 8_000;
/// Time between ticks, in milliseconds.
const TICK: u64 = 40;

/// One request, with the same count of pieces in each stage.
#[derive(Debug, Clone)]
pub struct Asked {
    /// When it comes.
    pub at_ms: u64,
    pub rank: u8,
    pub pieces: u32,
    /// Time that it has to spare beyond that of its calls.
    pub spare_ms: u64,
}

/// One stage.
pub struct Row {
    pub pool: StagePool,
    pub makers: &'static [(&'static str, &'static str)],
    /// Until when results that nobody can free take all the room but that for so many.
    pub full_until: (u64, usize),
}

/// What callers got.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Got {
    pub in_time: usize,
    /// Milliseconds for which those that were refused were held, together.
    pub held: u64,
    /// Pieces made for requests that were refused later.
    pub for_nobody: u32,
}

struct Play<'a> {
    asked: &'a [Asked],
    rows: &'a [Row],
    coordinators: Vec<Coordinator>,
    running: BTreeMap<(u64, usize, u64), Call>,
    held: HashMap<(usize, OrderId), Vec<Handle>>,
    got: Got,
}

/// Plays these requests.
pub fn play(asked: &[Asked], rows: &[Row], policy: Policy) -> Got {
    let coordinators = rows.iter().map(|row| {
        let mut c = Coordinator::new(row.pool.clone(), policy);
        c.on(at(0), makers(row.makers));
        c
    });
    let mut play = Play {
        asked,
        rows,
        coordinators: coordinators.collect(),
        running: BTreeMap::new(),
        held: HashMap::new(),
        got: Got::default(),
    };
    for now in 1..LENGTH {
        play.step(now);
    }
    play.got
}

impl Play<'_> {
    fn step(&mut self, now: u64) {
        let later = self.running.split_off(&(now + 1, 0, 0));
        for ((_, row, number), call) in std::mem::replace(&mut self.running, later) {
            let end = self.end(now, row, &call);
            self.feed(now, row, Event::Ended(number, end));
        }
        for id in 0..self.asked.len() {
            if self.asked[id].at_ms == now {
                self.place(now, 0, id as OrderId);
            }
        }
        for row in 0..self.rows.len() {
            if now.is_multiple_of(TICK) {
                self.feed(now, row, Event::Tick);
            }
        }
    }

    fn end(&self, now: u64, row: usize, call: &Call) -> CallEnd {
        let CallEnd::Answered(mut results) = made(call) else {
            unreachable!("all pieces are made");
        };
        let (until, room) = self.rows[row].full_until;
        if now < until {
            results.iter_mut().skip(room).for_each(|r| *r = PieceResult::NoRoom);
        }
        CallEnd::Answered(results)
    }

    /// Least time of a request's calls from a stage on.
    fn least(&self, row: usize, id: OrderId) -> u64 {
        let pieces = self.asked[id as usize].pieces;
        let times = self.rows[row..].iter().map(|r| r.pool.call_time(pieces).as_millis());
        times.sum::<u128>() as u64
    }

    fn due(&self, id: OrderId) -> u64 {
        let asked = &self.asked[id as usize];
        asked.at_ms + asked.spare_ms + self.least(0, id)
    }

    fn place(&mut self, now: u64, row: usize, id: OrderId) {
        let asked = &self.asked[id as usize];
        let order = BatchOrder {
            rank: Rank::of(None, asked.rank),
            stage: row,
            slack_ms: self.due(id).saturating_sub(now + self.least(row + 1, id)),
            left_ms: LENGTH - now,
            ..order(&format!("r{id}"), asked.pieces)
        };
        self.feed(now, row, placed(id, order));
    }

    fn feed(&mut self, now: u64, row: usize, event: Event) {
        let out = self.coordinators[row].on(at(now), event);
        for call in calls(&out) {
            let takes = self.rows[row].pool.call_time(call.pieces.len() as u32);
            self.running.insert((now + takes.as_millis() as u64, row, call.number), call);
        }
        for action in &out {
            if let Action::Free(handles) = action {
                self.coordinators[row].on(at(now), Event::Freed(handles.clone()));
            }
        }
        for (id, results) in answers(&out) {
            self.answered(now, row, id, &results);
        }
    }

    fn answered(&mut self, now: u64, row: usize, id: OrderId, results: &[PieceResult]) {
        if row > 0 {
            let inputs = self.held.remove(&(row - 1, id)).unwrap_or_default();
            self.feed(now, row - 1, Event::Freed(inputs));
        }
        let handle = |r: &PieceResult| match r {
            PieceResult::Made(handle) => Some(handle.clone()),
            _ => None,
        };
        let handles: Vec<Handle> = results.iter().filter_map(handle).collect();
        let asked = &self.asked[id as usize];
        if handles.len() < results.len() {
            self.got.held += now - asked.at_ms;
            self.got.for_nobody += asked.pieces * row as u32;
        } else if row + 1 < self.rows.len() {
            self.held.insert((row, id), handles);
            self.place(now, row + 1, id);
        } else {
            self.got.in_time += usize::from(now <= self.due(id));
            self.feed(now, row, Event::Freed(handles));
        }
    }
}
