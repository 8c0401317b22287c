//! Orders, workers and calls for the tests of the batch coordinator.

use decide::batch::{Action, Call, CallEnd, Coordinator, Event, OrderId, WorkerInfo};
use model::Time;
use model::forward::{
    Allowed, BatchOrder, Handle, PieceOrder, PieceResult, Policy, Rank, StageInput, StagePool,
    TargetId,
};

/// Capacity and call times of each worker.
pub fn pool() -> StagePool {
    StagePool { slots: 1, batch: 10, call_ms: 100.0, item_ms: 10.0, room_mb: 100.0, keep_ms: 4000 }
}

/// Time since the start.
pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Event of an order that may be handed over.
pub fn order_event(id: OrderId, order: BatchOrder) -> Event {
    Event::Order { id, order, pinned: false }
}

/// Snapshot of workers, given with their failure domains; none is cold.
pub fn workers(of: &[(&str, &str)]) -> Event {
    let info = |(id, domain): &(&str, &str)| WorkerInfo {
        id: (*id).into(),
        domain: (*domain).into(),
        region: None,
        gap: None,
        max_pieces: None,
        share: None,
    };
    Event::Workers(of.iter().map(info).collect())
}

/// An order of small pieces that may run anywhere.
pub fn order(attempt: &str, pieces: u32) -> BatchOrder {
    BatchOrder {
        service: "encode".into(),
        attempt: attempt.into(),
        stage: 0,
        pieces,
        input: StageInput::Key("key".into()),
        slack_ms: 2000,
        left_ms: 8000,
        rank: Rank::new(None, 1),
        allowed: Allowed::ANY,
        region: None,
        spilled: false,
        near: None,
        moved_bytes: 0,
        spread_bytes: 0,
        result_bytes: 1000,
        skipped: Vec::new(),
        passed_on: false,
    }
}

/// A coordinator with these workers.
pub fn coordinator(of: &[(&str, &str)]) -> Coordinator {
    let mut c = Coordinator::new(pool(), Policy::default());
    c.handle_event(at(0), workers(of));
    c
}

/// Calls that the actions start.
pub fn calls(actions: &[Action]) -> Vec<Call> {
    let call = |a: &Action| match a {
        Action::Start(call) => Some(call.clone()),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Outcome of a call that produced all pieces.
pub fn made(call: &Call) -> CallEnd {
    let result = |p: &PieceOrder| {
        let text = format!("{}/{}/{}", p.attempt, p.piece, call.number);
        PieceResult::Made(Handle { maker: call.worker.clone(), text })
    };
    CallEnd::Answered(call.pieces.iter().map(result).collect())
}

/// Workers that the actions probe.
pub fn probes(actions: &[Action]) -> Vec<TargetId> {
    let probe = |a: &Action| match a {
        Action::Probe(worker) => Some(worker.clone()),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

/// Orders that the actions answer.
pub fn answers(actions: &[Action]) -> Vec<(OrderId, Vec<PieceResult>)> {
    let answer = |a: &Action| match a {
        Action::Answer(id, results) => Some((*id, results.clone())),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}
