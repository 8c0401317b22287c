//! Results of one request's stages that rest at their makers, until they are freed.

use std::net::SocketAddr;
use std::rc::Rc;

use model::Name;
use model::forward::{Allowed, Handle, PieceResult, PoolId, Stage, TargetId};

use super::order::Placed;
use super::plan::StageError;
use crate::crossed;
use crate::node::Node;

/// Results that a request's target takes as inputs; freed when this goes.
pub struct Made {
    node: Rc<Node>,
    /// Results by stage.
    pub(super) kept: Vec<Kept>,
    inputs: Vec<String>,
    /// Who made the inputs, and their bytes.
    fetched: Vec<(TargetId, u64)>,
    lies_at: Option<Name>,
}

/// Results of one stage that still rest at their makers.
#[derive(Default)]
pub(super) struct Kept {
    /// Where the results rest.
    pub(super) handles: Vec<Handle>,
    pool: Option<PoolId>,
    peer: Option<SocketAddr>,
}

impl Made {
    /// Nothing made yet, of this many stages.
    pub(super) fn new(node: &Rc<Node>, stages: usize) -> Self {
        let kept = (0..stages).map(|_| Kept::default()).collect();
        Made { node: node.clone(), kept, inputs: Vec::new(), fetched: Vec::new(), lies_at: None }
    }

    /// Takes what came of a stage. If a piece of it was not made, what was made of the
    /// others is held all the same, to be freed.
    pub(super) fn keep(&mut self, stage: usize, placed: Placed) -> Result<(), StageError> {
        let follows_rollouts = self.node.settings().rollouts.is_some();
        let kept = &mut self.kept[stage];
        kept.pool = Some(placed.pool);
        kept.peer = placed.peer;
        let failed = StageError::of_any(&placed.results);
        for result in placed.results {
            if let PieceResult::Made(handle) = result {
                if follows_rollouts {
                    self.node.rollouts.held.keep(&handle);
                }
                kept.handles.push(handle);
            }
        }
        failed.map_or(Ok(()), Err)
    }

    /// The request's target will take the results of these stages.
    pub(super) fn set_inputs(&mut self, last: &[usize], stages: &[Stage]) {
        let bytes = |i: &&usize| self.kept[**i].handles.len() as u64 * stages[**i].bytes;
        let largest = last.iter().max_by_key(bytes);
        let maker = largest.and_then(|i| self.kept[*i].handles.first()).map(|h| &h.maker);
        self.lies_at = maker.and_then(|m| self.node.fleet(|f| f.domain_of(m).cloned()));
        let inputs = last.iter().flat_map(|i| {
            let bytes = stages[*i].bytes;
            self.kept[*i].handles.iter().map(move |handle| (handle, bytes))
        });
        let both = inputs.map(|(h, bytes)| (h.text.clone(), (h.maker.clone(), bytes)));
        (self.inputs, self.fetched) = both.unzip();
    }

    /// Counts what the makers of a stage have fetched from other regions: each piece takes all
    /// results of the stages before.
    pub(super) fn count_fetched(&self, stage: usize, stages: &[Stage]) {
        for piece in &self.kept[stage].handles {
            let inputs = stages[stage].after.iter().flat_map(|j| {
                let handles = self.kept[*j].handles.iter();
                handles.map(|h| (h.maker.clone(), stages[*j].bytes))
            });
            crossed::count_inputs(&self.node, &piece.maker, inputs);
        }
    }

    /// Whether the results of a stage rest where they may. Its coordinator sees to that, by
    /// what it knows.
    pub(super) fn is_inside(&self, stage: usize, allowed: &Allowed) -> bool {
        let mut makers = self.kept[stage].handles.iter().map(|h| &h.maker);
        self.node.fleet(|f| makers.all(|maker| f.is_in_allowed_region(maker, allowed)))
    }

    /// Targets at which results rest.
    pub fn makers(&self) -> impl Iterator<Item = &TargetId> {
        self.kept.iter().flat_map(|k| &k.handles).map(|h| &h.maker)
    }

    /// Handles of the stages that no other stage comes after.
    pub fn inputs(&self) -> &[String] {
        &self.inputs
    }

    /// Who made them, and their bytes.
    pub fn fetched(&self) -> impl Iterator<Item = (TargetId, u64)> {
        self.fetched.iter().cloned()
    }

    /// Failure domain where most bytes of the inputs lie, as far as is known.
    pub fn lies_at(&self) -> Option<&Name> {
        self.lies_at.as_ref()
    }

    /// Frees the results of these stages.
    pub(super) fn release_all(&mut self, stages: &[usize]) {
        for stage in stages {
            self.release(*stage);
        }
    }

    /// Frees the results of a stage.
    pub(super) fn release(&mut self, stage: usize) {
        let Kept { handles, pool, peer } = std::mem::take(&mut self.kept[stage]);
        let Some(pool) = pool.filter(|_| !handles.is_empty()) else {
            return;
        };
        handles.iter().for_each(|handle| self.node.rollouts.held.release(handle));
        let pools = &self.node.pools;
        match peer {
            Some(peer) => pools.freer.at_peer(&self.node, peer, &pool, handles),
            None => pools.free(&self.node, &pool, handles),
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
