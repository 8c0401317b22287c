//! Makes all stages of one request, each as soon as those before it are made.

use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use model::Name;
use model::forward::{
    BatchOrder, CallerHead, Handle, PieceOrder, PieceResult, Route, Stage, StageInput,
};

use super::order;
use crate::events::Event;
use crate::node::Node;

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
    kept: Vec<Vec<Handle>>,
    inputs: Vec<String>,
}

impl Made {
    /// Handles of the stages that no other stage comes after.
    pub fn inputs(&self) -> &[String] {
        &self.inputs
    }

    fn release(&mut self, stage: usize) {
        let handles = std::mem::take(&mut self.kept[stage]);
        if !handles.is_empty() {
            self.node.pools.freer.push(&self.node, handles);
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
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// Makes all stages of a request that has any.
pub async fn make(node: &Rc<Node>, job: Job<'_>) -> Result<Made, StageError> {
    let stages = &job.route.stages;
    let n = stages.len();
    let mut made = Made { node: node.clone(), kept: vec![Vec::new(); n], inputs: Vec::new() };
    let mut done = vec![false; n];
    let mut started = vec![false; n];
    let mut running = FuturesUnordered::new();
    let begun = node.now();
    loop {
        for i in 0..n {
            if started[i] || !stages[i].after.iter().all(|j| done[*j]) {
                continue;
            }
            started[i] = true;
            let passed = node.now().since(begun).as_millis() as u64;
            match order_of(&job, i, &made.kept, passed, node)? {
                Some(order) => running.push(make_stage(node, i, order, stages[i].bytes)),
                None => done[i] = true,
            }
        }
        if done.iter().all(|d| *d) {
            break;
        }
        let Some((i, results)) = running.next().await else {
            if started.iter().all(|s| *s) {
                break;
            }
            continue;
        };
        keep(&mut made, i, results)?;
        done[i] = true;
        for before in &stages[i].after {
            if dependents(stages, *before).all(|d| done[d]) {
                made.release(*before);
            }
        }
    }
    let last = (0..n).filter(|i| dependents(stages, *i).next().is_none());
    made.inputs = last.flat_map(|i| made.kept[i].iter().map(|h| h.text.clone())).collect();
    Ok(made)
}

/// Stages that come after `stage`.
fn dependents(stages: &[Stage], stage: usize) -> impl Iterator<Item = usize> + '_ {
    let after = move |(_, s): &(usize, &Stage)| s.after.contains(&stage);
    stages.iter().enumerate().filter(after).map(|(i, _)| i)
}

fn keep(made: &mut Made, stage: usize, results: Vec<PieceResult>) -> Result<(), StageError> {
    let mut failed = None;
    for result in results {
        match result {
            PieceResult::Made(handle) => made.kept[stage].push(handle),
            PieceResult::Late => failed = Some(StageError::Late),
            PieceResult::InputGone => failed = Some(StageError::InputGone),
            PieceResult::Failed => failed = Some(StageError::Failed),
        }
    }
    failed.map_or(Ok(()), Err)
}

/// The order for one stage; `None` if the request leaves the stage out.
fn order_of(
    job: &Job<'_>,
    stage: usize,
    kept: &[Vec<Handle>],
    passed_ms: u64,
    node: &Node,
) -> Result<Option<BatchOrder>, StageError> {
    let pieces = job.head.pieces.get(stage).copied().unwrap_or(0);
    if pieces == 0 {
        return Ok(None);
    }
    let what = &job.route.stages[stage];
    let before = || what.after.iter().flat_map(|j| &kept[*j]);
    let input = if what.after.is_empty() {
        let key = job.head.piece_key.clone().ok_or(StageError::NoKey)?;
        StageInput::Key(key)
    } else {
        StageInput::Handles(before().map(|h| h.text.clone()).collect())
    };
    let left_ms = job.left_ms.saturating_sub(passed_ms);
    let piece = |piece| PieceOrder {
        attempt: job.head.id.clone(),
        stage,
        piece,
        left_ms: Some(left_ms),
        input: input.clone(),
    };
    let is_last = dependents(&job.route.stages, stage).next().is_none();
    let near = if is_last && what.after.is_empty() {
        job.near.clone()
    } else {
        let maker = before().next().map(|h| h.maker.clone());
        maker.and_then(|m| node.fleet(|f| f.domain_of(&m).cloned()))
    };
    Ok(Some(BatchOrder {
        service: what.service.clone(),
        pieces: (0..pieces).map(piece).collect(),
        slack_ms: job.slack_ms.saturating_sub(passed_ms),
        left_ms,
        rank: job.rank,
        near,
    }))
}

async fn make_stage(
    node: &Rc<Node>,
    stage: usize,
    order: BatchOrder,
    bytes: u64,
) -> (usize, Vec<PieceResult>) {
    let begun = node.now();
    let (id, service) = (order.pieces[0].attempt.clone(), order.service.clone());
    let results = order::place(node, order, bytes).await;
    let made = results.iter().all(|r| matches!(r, PieceResult::Made(_)));
    let took_ms = node.now().since(begun).as_millis() as u64;
    let pieces = results.len();
    Event::Stage { id: &id, stage, service: &service, pieces, made, took_ms }.emit();
    (stage, results)
}
