//! Makes all stages of one request, each as soon as those before it are made.

use std::rc::Rc;

use decide::stages::Progress;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use model::Time;
use model::forward::{BatchOrder, PieceResult};

use super::job::{Job, Spent, order_of};
use super::made::Made;
use super::order::{self, Placed};
use crate::events::Event;
use crate::node::Node;

/// Why stages could not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum StageError {
    /// a stage's time was over
    Late,
    /// no maker of a stage had room in time
    NoRoom,
    /// no maker made a piece
    Failed,
    /// an input of a stage was gone
    InputGone,
    /// the request names pieces without a key
    NoKey,
    /// a result was made outside of the allowed regions
    Outside,
    /// no target of a stage is in an allowed region
    Barred,
}

impl StageError {
    /// One word for it, in logs and figures.
    pub fn cause(self) -> &'static str {
        match self {
            StageError::Late => "late",
            StageError::NoRoom => "no_room",
            StageError::Failed => "failed",
            StageError::InputGone => "input_gone",
            StageError::NoKey => "no_key",
            StageError::Outside => "outside",
            StageError::Barred => "barred",
        }
    }

    /// Why a piece of a stage was not made: the last one of which that is so; `None` if all were.
    pub(super) fn of_any(results: &[PieceResult]) -> Option<StageError> {
        results.iter().rev().find_map(StageError::of)
    }

    fn of(result: &PieceResult) -> Option<StageError> {
        match result {
            PieceResult::Made(_) => None,
            PieceResult::Late => Some(StageError::Late),
            PieceResult::InputGone => Some(StageError::InputGone),
            PieceResult::NoRoom => Some(StageError::NoRoom),
            PieceResult::Failed => Some(StageError::Failed),
        }
    }
}

/// Makes all stages of a request that has any.
pub async fn make(node: &Rc<Node>, job: Job<'_>) -> Result<Made, StageError> {
    let stages = &job.route.stages;
    let mut made = Made::new(node, stages.len());
    let mut progress = Progress::new(job.route.order());
    let mut running = FuturesUnordered::new();
    let begun = node.now();
    let least = job.least_times(node);
    let least_after = job.least_after(&least);
    let mut postponed = job.postponed(node, &least, begun);
    postponed.iter().for_each(|(_, i)| progress.postpone(*i));
    loop {
        while let Some(i) = progress.start_next() {
            let passed = node.now().since(begun).as_millis() as u64;
            let spent = Spent { passed_ms: passed, after_ms: least_after[i].as_millis() as u64 };
            match order_of(&job, i, &made.kept, spent, node)? {
                Some(order) => running.push(make_stage(node, i, order)),
                None => made.release_all(&progress.complete(i)),
            }
        }
        let ended = next_ended(node, &mut running, postponed.front().map(|(due, _)| *due)).await;
        let Some((i, placed)) = ended else {
            // The next postponed stage is due, or nothing else goes on.
            let Some((_, due)) = postponed.pop_front() else {
                break;
            };
            progress.release(due);
            continue;
        };
        match made.keep(i, placed) {
            Ok(()) if !made.is_inside(i, job.allowed) => return Err(StageError::Outside),
            Ok(()) => {
                made.count_fetched(i, stages);
                made.release_all(&progress.complete(i));
            }
            Err(StageError::InputGone) if node.settings().policy.recompute => {
                let again = progress.input_lost(i).ok_or(StageError::InputGone)?;
                Event::Remade { id: &job.head.id, stage: i, again: again.len() }.emit();
                made.release(i);
                made.release_all(&again);
            }
            Err(e) => {
                node.metrics.count_stage_refusal(&stages[i].service, e.cause());
                return Err(e);
            }
        }
    }
    made.set_inputs(&progress.final_stages(), stages);
    Ok(made)
}

/// The next stage that ends, unless none does before this time or none goes on.
async fn next_ended<T>(
    node: &Node,
    running: &mut FuturesUnordered<impl Future<Output = T>>,
    due: Option<Time>,
) -> Option<T> {
    let Some(due) = due else {
        return running.next().await;
    };
    node.clock.timeout_at(due, running.next()).await.flatten()
}

async fn make_stage(node: &Rc<Node>, stage: usize, order: BatchOrder) -> (usize, Placed) {
    let begun = node.now();
    let (id, service) = (order.attempt.clone(), order.service.clone());
    let (near, slack_ms) = (order.near.clone(), order.slack_ms);
    let ordered = order.region.clone();
    let placed = order::place(node, order).await;
    let region = &placed.pool.region;
    let results = &placed.results;
    let error = StageError::of_any(results);
    let took_ms = node.now().since(begun).as_millis() as u64;
    let pieces = results.len();
    let near = near.as_deref().unwrap_or_default();
    let elsewhere = results.iter().filter(|r| !near.is_empty() && !is_made_in(node, r, near));
    let elsewhere = elsewhere.count();
    let here = node.settings();
    let coordinator = placed.coordinator.as_ref().unwrap_or(&here.name);
    Event::Stage {
        id: &id,
        stage,
        service: &service,
        coordinator,
        region: region.as_deref().unwrap_or_default(),
        spilled: *region != ordered,
        pieces,
        near,
        elsewhere,
        made: error.is_none(),
        why: error.map_or("", StageError::cause),
        slack_ms,
        took_ms,
    }
    .emit();
    node.metrics.record_time("stage", &service, took_ms);
    (stage, placed)
}

/// Whether a result lies in a failure domain.
fn is_made_in(node: &Node, result: &PieceResult, domain: &str) -> bool {
    let PieceResult::Made(handle) = result else {
        return false;
    };
    node.fleet(|f| f.domain_of(&handle.maker).is_some_and(|d| **d == *domain))
}
