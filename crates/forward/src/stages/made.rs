//! Ownership of a request's stage results, which are stored at the workers until freed.

use std::net::SocketAddr;
use std::rc::Rc;

use model::Name;
use model::forward::{Allowed, Handle, PieceResult, PoolId, Stage, TargetId};

use super::order::CompletedOrder;
use super::plan::StageError;
use crate::crossed;
use crate::node::Node;

/// Stage results of one request; frees them at their workers when dropped.
pub struct RequestResults {
    node: Rc<Node>,
    /// Stored results by stage.
    pub(super) stages: Vec<StageResults>,
    inputs: Vec<String>,
    /// Worker and size in bytes of each input.
    input_sources: Vec<(TargetId, u64)>,
    inputs_domain: Option<Name>,
}

/// Results of one stage that are stored at their workers.
#[derive(Default)]
pub(super) struct StageResults {
    /// Handles of the stored results.
    pub(super) handles: Vec<Handle>,
    pool: Option<PoolId>,
    peer: Option<SocketAddr>,
}

impl RequestResults {
    /// Creates an empty set for this number of stages.
    pub(super) fn new(node: &Rc<Node>, stages: usize) -> Self {
        let stage_results = (0..stages).map(|_| StageResults::default()).collect();
        RequestResults {
            node: node.clone(),
            stages: stage_results,
            inputs: Vec::new(),
            input_sources: Vec::new(),
            inputs_domain: None,
        }
    }

    /// Adds the results of a stage. If a piece failed, the results of the others are kept all the
    /// same, so that they are freed.
    pub(super) fn add_stage(
        &mut self,
        stage: usize,
        completed: CompletedOrder,
    ) -> Result<(), StageError> {
        let tracks_rollouts = self.node.settings().rollouts.is_some();
        let stage_results = &mut self.stages[stage];
        stage_results.pool = Some(completed.pool);
        stage_results.peer = completed.peer;
        let failed = StageError::last_error(&completed.results);
        for result in completed.results {
            if let PieceResult::Made(handle) = result {
                if tracks_rollouts {
                    self.node.rollouts.needed_results.add(&handle);
                }
                stage_results.handles.push(handle);
            }
        }
        failed.map_or(Ok(()), Err)
    }

    /// Sets the results of the final stages as the inputs of the request's target.
    pub(super) fn set_inputs(&mut self, final_stages: &[usize], stages: &[Stage]) {
        let bytes = |i: &&usize| self.stages[**i].handles.len() as u64 * stages[**i].bytes;
        let largest = final_stages.iter().max_by_key(bytes);
        let worker = largest.and_then(|i| self.stages[*i].handles.first()).map(|h| &h.maker);
        self.inputs_domain = worker.and_then(|m| self.node.fleet(|f| f.domain_of(m).cloned()));
        let inputs = final_stages.iter().flat_map(|i| {
            let bytes = stages[*i].bytes;
            self.stages[*i].handles.iter().map(move |handle| (handle, bytes))
        });
        let both = inputs.map(|(h, bytes)| (h.text.clone(), (h.maker.clone(), bytes)));
        (self.inputs, self.input_sources) = both.unzip();
    }

    /// Counts the bytes that a stage's workers fetched from other regions; each piece fetches all
    /// results of the stages that it depends on.
    pub(super) fn count_fetched(&self, stage: usize, stages: &[Stage]) {
        for piece in &self.stages[stage].handles {
            let inputs = stages[stage].after.iter().flat_map(|j| {
                let handles = self.stages[*j].handles.iter();
                handles.map(|h| (h.maker.clone(), stages[*j].bytes))
            });
            crossed::count_inputs(&self.node, &piece.maker, inputs);
        }
    }

    /// Whether all results of a stage are stored in allowed regions. The coordinator ensures that
    /// by its own state, which may differ from this node's.
    pub(super) fn is_within_regions(&self, stage: usize, allowed: &Allowed) -> bool {
        let mut workers = self.stages[stage].handles.iter().map(|h| &h.maker);
        self.node.fleet(|f| workers.all(|worker| f.is_in_allowed_region(worker, allowed)))
    }

    /// Workers that store results.
    pub fn workers(&self) -> impl Iterator<Item = &TargetId> {
        self.stages.iter().flat_map(|k| &k.handles).map(|h| &h.maker)
    }

    /// Handles of the final stages' results.
    pub fn inputs(&self) -> &[String] {
        &self.inputs
    }

    /// Worker and size in bytes of each input.
    pub fn input_sources(&self) -> impl Iterator<Item = (TargetId, u64)> {
        self.input_sources.iter().cloned()
    }

    /// Failure domain that stores most bytes of the inputs, if known.
    pub fn inputs_domain(&self) -> Option<&Name> {
        self.inputs_domain.as_ref()
    }

    /// Frees the results of these stages.
    pub(super) fn release_all(&mut self, stages: &[usize]) {
        for stage in stages {
            self.release(*stage);
        }
    }

    /// Frees the results of a stage.
    pub(super) fn release(&mut self, stage: usize) {
        let StageResults { handles, pool, peer } = std::mem::take(&mut self.stages[stage]);
        let Some(pool) = pool.filter(|_| !handles.is_empty()) else {
            return;
        };
        handles.iter().for_each(|handle| self.node.rollouts.needed_results.remove(handle));
        let pools = &self.node.pools;
        match peer {
            Some(peer) => pools.free_queue.free_via_peer(&self.node, peer, &pool, handles),
            None => pools.free(&self.node, &pool, handles),
        }
    }
}

impl Drop for RequestResults {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.release(stage);
        }
    }
}
