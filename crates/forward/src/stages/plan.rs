//! Runs all stages of one request, each as soon as its dependencies are complete.

use std::rc::Rc;

use decide::stages::Progress;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use model::Time;
use model::forward::{BatchOrder, PieceResult};

use super::job::{Job, TimeUsed, build_order};
use super::made::RequestResults;
use super::order::{self, CompletedOrder};
use crate::events::Event;
use crate::node::Node;

/// Reason for which a request's stages failed.
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
    WrongRegion,
    /// no target of a stage is in an allowed region
    NoAllowedTarget,
}

impl StageError {
    /// Label in logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            StageError::Late => "late",
            StageError::NoRoom => "no_room",
            StageError::Failed => "failed",
            StageError::InputGone => "input_gone",
            StageError::NoKey => "no_key",
            StageError::WrongRegion => "outside",
            StageError::NoAllowedTarget => "barred",
        }
    }

    /// Error of the last failed piece; `None` if all pieces succeeded.
    pub(super) fn last_error(results: &[PieceResult]) -> Option<StageError> {
        results.iter().rev().find_map(StageError::from_piece)
    }

    fn from_piece(result: &PieceResult) -> Option<StageError> {
        match result {
            PieceResult::Made(_) => None,
            PieceResult::Late => Some(StageError::Late),
            PieceResult::InputGone => Some(StageError::InputGone),
            PieceResult::NoRoom => Some(StageError::NoRoom),
            PieceResult::Failed => Some(StageError::Failed),
        }
    }
}

/// Runs all stages of a request and returns their results.
pub async fn run_all(node: &Rc<Node>, job: Job<'_>) -> Result<RequestResults, StageError> {
    let stages = &job.route.stages;
    let mut results = RequestResults::new(node, stages.len());
    let mut progress = Progress::new(job.route.order());
    let mut running = FuturesUnordered::new();
    let started = node.now();
    let min_times = job.min_stage_times(node);
    let min_remaining = job.min_remaining_times(&min_times);
    let mut postponed = job.postponed_stages(node, &min_times, started);
    postponed.iter().for_each(|(_, i)| progress.postpone(*i));
    loop {
        while let Some(i) = progress.start_next() {
            let elapsed = node.now().since(started).as_millis() as u64;
            let used =
                TimeUsed { elapsed_ms: elapsed, reserved_ms: min_remaining[i].as_millis() as u64 };
            match build_order(&job, i, &results.stages, used, node)? {
                Some(order) => running.push(run_stage(node, i, order)),
                None => results.release_all(&progress.complete(i)),
            }
        }
        let ended =
            next_completed(node, &mut running, postponed.front().map(|(due, _)| *due)).await;
        let Some((i, completed)) = ended else {
            // The next postponed stage is due, or no stage is running.
            let Some((_, due)) = postponed.pop_front() else {
                break;
            };
            progress.release(due);
            continue;
        };
        match results.add_stage(i, completed) {
            Ok(()) if !results.is_within_regions(i, job.allowed) => {
                return Err(StageError::WrongRegion);
            }
            Ok(()) => {
                results.count_fetched(i, stages);
                results.release_all(&progress.complete(i));
            }
            Err(StageError::InputGone) if node.settings().policy.recompute => {
                let rerun = progress.input_lost(i).ok_or(StageError::InputGone)?;
                Event::Remade { id: &job.head.id, stage: i, again: rerun.len() }.emit();
                results.release(i);
                results.release_all(&rerun);
            }
            Err(e) => {
                node.metrics.count_stage_refusal(&stages[i].service, e.cause());
                return Err(e);
            }
        }
    }
    results.set_inputs(&progress.final_stages(), stages);
    Ok(results)
}

/// Waits for the next stage to complete; `None` at `due`, or if no stage is running.
async fn next_completed<T>(
    node: &Node,
    running: &mut FuturesUnordered<impl Future<Output = T>>,
    due: Option<Time>,
) -> Option<T> {
    let Some(due) = due else {
        return running.next().await;
    };
    node.clock.timeout_at(due, running.next()).await.flatten()
}

async fn run_stage(node: &Rc<Node>, stage: usize, order: BatchOrder) -> (usize, CompletedOrder) {
    let started = node.now();
    let (id, service) = (order.attempt.clone(), order.service.clone());
    let (near, slack_ms) = (order.near.clone(), order.slack_ms);
    let requested = order.region.clone();
    let completed = order::submit(node, order).await;
    let region = &completed.pool.region;
    let results = &completed.results;
    let error = StageError::last_error(results);
    let took_ms = node.now().since(started).as_millis() as u64;
    let pieces = results.len();
    let near = near.as_deref().unwrap_or_default();
    let elsewhere = results.iter().filter(|r| !near.is_empty() && !is_in_domain(node, r, near));
    let elsewhere = elsewhere.count();
    let settings = node.settings();
    let coordinator = completed.coordinator.as_ref().unwrap_or(&settings.name);
    Event::Stage {
        id: &id,
        stage,
        service: &service,
        coordinator,
        region: region.as_deref().unwrap_or_default(),
        spilled: *region != requested,
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
    (stage, completed)
}

/// Whether a result is stored in a failure domain.
fn is_in_domain(node: &Node, result: &PieceResult, domain: &str) -> bool {
    let PieceResult::Made(handle) = result else {
        return false;
    };
    node.fleet(|f| f.domain_of(&handle.maker).is_some_and(|d| **d == *domain))
}
