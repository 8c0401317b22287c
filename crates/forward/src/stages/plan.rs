//! Makes all stages of one request, each as soon as those before it are made.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use decide::forecast;
use decide::stages::{self, Progress};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use model::forward::{BatchOrder, CallerHead, Handle, PieceResult, Rank, Route, Stage, StageInput};
use model::{Name, Time};

use super::order::{self, Placed};
use crate::events::Event;
use crate::node::Node;

/// Time that an engine is expected to take to its first event: between the median and the
/// 90th percentile (139 and 404 ms) of long prompts on the users' bench.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Bytes of one result above which its stage is made as late as the others allow.
const LARGE_RESULT: u64 = 1 << 20;

/// Why stages could not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum StageError {
    /// a stage's time was over
    Late,
    /// no maker made a piece
    Failed,
    /// an input of a stage was gone
    InputGone,
    /// the request names pieces without a key
    NoKey,
}

/// Results that a request's target takes as inputs; freed when this goes.
pub struct Made {
    node: Rc<Node>,
    kept: Vec<Kept>,
    inputs: Vec<String>,
}

/// Results of one stage that still rest at their makers.
#[derive(Default)]
struct Kept {
    handles: Vec<Handle>,
    service: Name,
    peer: Option<SocketAddr>,
}

impl Made {
    /// Handles of the stages that no other stage comes after.
    pub fn inputs(&self) -> &[String] {
        &self.inputs
    }

    fn release_all(&mut self, stages: &[usize]) {
        for stage in stages {
            self.release(*stage);
        }
    }

    fn release(&mut self, stage: usize) {
        let Kept { handles, service, peer } = std::mem::take(&mut self.kept[stage]);
        if handles.is_empty() {
            return;
        }
        let pools = &self.node.pools;
        match peer {
            Some(peer) => pools.freer.at_peer(&self.node, peer, &service, handles),
            None => pools.free(&self.node, &service, handles),
        }
    }
}

impl Drop for Made {
    fn drop(&mut self) {
        for stage in 0..self.kept.len() {
            self.release(stage);
        }
    }
}

/// What the stages of one request are made for.
pub struct Job<'a> {
    /// Route.
    pub route: &'a Route,
    /// Request.
    pub head: &'a CallerHead,
    /// Failure domain of the target that takes the results.
    pub near: Option<Name>,
    /// Milliseconds until the first event is due.
    pub slack_ms: u64,
    /// Milliseconds until the request ends.
    pub left_ms: u64,
    /// Rank.
    pub rank: Rank,
}

/// Makes all stages of a request that has any.
pub async fn make(node: &Rc<Node>, job: Job<'_>) -> Result<Made, StageError> {
    let stages = &job.route.stages;
    let kept = stages.iter().map(|_| Kept::default()).collect();
    let mut made = Made { node: node.clone(), kept, inputs: Vec::new() };
    let mut progress = Progress::new(job.route.order());
    let mut running = FuturesUnordered::new();
    let begun = node.now();
    let least_after = job.least_after(node);
    let mut postponed = job.postponed(node, begun);
    postponed.iter().for_each(|(_, i)| progress.postpone(*i));
    loop {
        while let Some(i) = progress.start() {
            let passed = node.now().since(begun).as_millis() as u64;
            let spent = Spent { passed_ms: passed, after_ms: least_after[i].as_millis() as u64 };
            match order_of(&job, i, &made.kept, spent, node)? {
                Some(order) => running.push(make_stage(node, i, order)),
                None => made.release_all(&progress.made(i)),
            }
        }
        let ended = match postponed.front() {
            Some((due, _)) => {
                let due = node.clock.instant(*due);
                tokio::time::timeout_at(due, running.next()).await.ok().flatten()
            }
            None => running.next().await,
        };
        let Some((i, placed)) = ended else {
            // The next postponed stage is due, or nothing else goes on.
            let Some((_, due)) = postponed.pop_front() else {
                break;
            };
            progress.release(due);
            continue;
        };
        match keep(&mut made.kept[i], &stages[i].service, placed) {
            Ok(()) => made.release_all(&progress.made(i)),
            Err(StageError::InputGone) if node.settings().policy.recompute => {
                let again = progress.input_gone(i).ok_or(StageError::InputGone)?;
                Event::Remade { id: &job.head.id, stage: i, again: again.len() }.emit();
                made.release(i);
                made.release_all(&again);
            }
            Err(e) => return Err(e),
        }
    }
    let handles = progress.last().into_iter().flat_map(|i| &made.kept[i].handles);
    made.inputs = handles.map(|h| h.text.clone()).collect();
    Ok(made)
}

/// Stages that come after `stage`.
fn dependents(stages: &[Stage], stage: usize) -> impl Iterator<Item = usize> + '_ {
    let after = move |(_, s): &(usize, &Stage)| s.after.contains(&stage);
    stages.iter().enumerate().filter(after).map(|(i, _)| i)
}

fn keep(kept: &mut Kept, service: &Name, placed: Placed) -> Result<(), StageError> {
    kept.service = service.clone();
    kept.peer = placed.peer;
    let mut failed = None;
    for result in placed.results {
        match result {
            PieceResult::Made(handle) => kept.handles.push(handle),
            PieceResult::Late => failed = Some(StageError::Late),
            PieceResult::InputGone => failed = Some(StageError::InputGone),
            PieceResult::Failed | PieceResult::NoRoom => failed = Some(StageError::Failed),
        }
    }
    failed.map_or(Ok(()), Err)
}

/// What of a request's time is not left for a stage.
struct Spent {
    /// Milliseconds passed since the first stage could start.
    passed_ms: u64,
    /// Least milliseconds from the end of the stage to the first event.
    after_ms: u64,
}

/// The order for one stage; `None` if the request leaves the stage out.
fn order_of(
    job: &Job<'_>,
    stage: usize,
    kept: &[Kept],
    spent: Spent,
    node: &Node,
) -> Result<Option<BatchOrder>, StageError> {
    let pieces = job.pieces_of(stage);
    if pieces == 0 {
        return Ok(None);
    }
    let stages = &job.route.stages;
    let what = &stages[stage];
    let inputs: Vec<&Handle> = what.after.iter().flat_map(|j| &kept[*j].handles).collect();
    let input = if what.after.is_empty() {
        let key = job.head.piece_key.clone().ok_or(StageError::NoKey)?;
        StageInput::Key(key.into())
    } else {
        StageInput::Handles(inputs.iter().map(|h| h.text.clone()).collect())
    };
    let left_ms = job.left_ms.saturating_sub(spent.passed_ms);
    let out_bytes = u64::from(pieces) * what.bytes;
    // Each piece fetches all of its inputs.
    let in_bytes: u64 =
        what.after.iter().map(|j| kept[*j].handles.len() as u64 * stages[*j].bytes).sum();
    let in_bytes = in_bytes * u64::from(pieces);
    let later: u64 = dependents(stages, stage).map(|d| u64::from(job.pieces_of(d))).sum();
    let is_last = dependents(stages, stage).next().is_none();
    let wanted_bytes = if is_last { out_bytes } else { 0 };
    let near = if !node.settings().policy.affinity {
        None
    } else if in_bytes > wanted_bytes {
        let maker = inputs.first().map(|h| h.maker.clone());
        maker.and_then(|m| node.fleet(|f| f.domain_of(&m).cloned()))
    } else {
        job.near.clone().filter(|_| is_last)
    };
    let spread_bytes = (out_bytes * later).max(in_bytes).max(wanted_bytes);
    let spread_bytes = if node.settings().policy.affinity { spread_bytes } else { 0 };
    Ok(Some(BatchOrder {
        service: what.service.clone(),
        attempt: job.head.id.as_str().into(),
        stage,
        pieces,
        input,
        slack_ms: job.slack_ms.saturating_sub(spent.passed_ms + spent.after_ms),
        left_ms,
        rank: job.rank,
        near,
        moved_bytes: in_bytes.max(wanted_bytes),
        spread_bytes,
        result_bytes: what.bytes,
        skipped: Vec::new(),
        passed_on: false,
    }))
}

impl Job<'_> {
    fn pieces_of(&self, stage: usize) -> u32 {
        self.head.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Least time from the end of each stage to the first event.
    fn least_after(&self, node: &Node) -> Vec<Duration> {
        let table = node.table();
        let service = |name: &Name| table.service(name);
        let least = forecast::least_times(self.route, &self.head.pieces, service);
        let tails = stages::tails(&self.route.order(), &least);
        tails.into_iter().map(|tail| tail + FIRST_EVENT).collect()
    }

    /// Stages whose results are large, and when they are due, the first due first: they
    /// start so late that they end with the longest path, since room at makers is short.
    fn postponed(&self, node: &Node, now: Time) -> VecDeque<(Time, usize)> {
        if !node.settings().policy.late_starts {
            return VecDeque::new();
        }
        let table = node.table();
        let service = |name: &Name| table.service(name);
        let pieces = &self.head.pieces;
        let times = node.forecast(|f| f.stage_times(self.route, pieces, self.rank, now, service));
        let latest = stages::latest_starts(&self.route.order(), &times);
        let large = self.route.stages.iter().enumerate().filter(|(i, s)| {
            s.bytes >= LARGE_RESULT && s.after.is_empty() && self.pieces_of(*i) > 0
        });
        let mut postponed: Vec<_> = large.map(|(i, _)| (now + latest[i], i)).collect();
        postponed.retain(|(due, _)| *due > now);
        postponed.sort_unstable();
        postponed.into()
    }
}

async fn make_stage(node: &Rc<Node>, stage: usize, order: BatchOrder) -> (usize, Placed) {
    let begun = node.now();
    let (id, service) = (order.attempt.clone(), order.service.clone());
    let (near, slack_ms) = (order.near.clone(), order.slack_ms);
    let placed = order::place(node, order).await;
    let results = &placed.results;
    let made = results.iter().all(|r| matches!(r, PieceResult::Made(_)));
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
        pieces,
        near,
        elsewhere,
        made,
        slack_ms,
        took_ms,
    }
    .emit();
    node.metrics.time("stage", &service, took_ms);
    (stage, placed)
}

/// Whether a result lies in a failure domain.
fn is_made_in(node: &Node, result: &PieceResult, domain: &str) -> bool {
    let PieceResult::Made(handle) = result else {
        return false;
    };
    node.fleet(|f| f.domain_of(&handle.maker).is_some_and(|d| **d == *domain))
}
