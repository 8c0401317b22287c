//! Constraints on the stages of one request, and the batch order built from them for each stage.

use std::collections::VecDeque;
use std::time::Duration;

use decide::{forecast, stages};
use model::forward::{
    Allowed, BatchOrder, CallerHead, LARGE_RESULT_BYTES, Rank, Route, Stage, StageInput,
};
use model::{Name, Time};

use super::made::StageResults;
use super::plan::StageError;
use crate::node::Node;

/// Time reserved for the engine's first event, between the median (139 ms) and the 90th percentile
/// (404 ms) for long prompts. With less, half of them would be late; with more, stages would be
/// ordered as more urgent for the sake of a few.
const ENGINE_RESERVE: Duration = Duration::from_millis(200);

/// Constraints on the stages of one request.
pub struct Job<'a> {
    /// Route that the request was matched to.
    pub route: &'a Route,
    /// Head of the caller's request.
    pub head: &'a CallerHead,
    /// Regions in which its pieces may run.
    pub allowed: &'a Allowed,
    /// Failure domain of the target that consumes the results, if it is chosen already.
    pub near: Option<Name>,
    /// Milliseconds until the first event's deadline.
    pub slack_ms: u64,
    /// Milliseconds until the request's deadline.
    pub left_ms: u64,
    /// Priority among orders.
    pub rank: Rank,
}

impl Job<'_> {
    /// Number of pieces of a stage; 0 if the request skips it.
    fn pieces_of(&self, stage: usize) -> u32 {
        self.head.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Duration of each stage without queueing.
    pub(super) fn min_stage_times(&self, node: &Node) -> Vec<Duration> {
        let table = node.table();
        forecast::min_stage_times(self.route, &self.head.pieces, |name| table.service(name))
    }

    /// Minimum time from the end of each stage to the first event.
    pub(super) fn min_remaining_times(&self, min_times: &[Duration]) -> Vec<Duration> {
        let tails = stages::remaining_times(&self.route.order(), min_times);
        tails.into_iter().map(|tail| tail + ENGINE_RESERVE).collect()
    }

    /// Stages with large results and their start times, earliest first. They start late enough to
    /// end together with the longest path, because room for results at workers is scarce.
    pub(super) fn postponed_stages(
        &self,
        node: &Node,
        min_times: &[Duration],
        now: Time,
    ) -> VecDeque<(Time, usize)> {
        if !node.settings().policy.late_starts {
            return VecDeque::new();
        }
        let (min_times, queues) =
            node.stage_estimates(self.route, &self.head.pieces, self.allowed, min_times);
        let times = node.forecast(|f| f.stage_times(&min_times, &queues, self.rank, now));
        let latest = stages::latest_starts(&self.route.order(), &times);
        let large = self.route.stages.iter().enumerate().filter(|(i, s)| {
            s.bytes >= LARGE_RESULT_BYTES && s.after.is_empty() && self.pieces_of(*i) > 0
        });
        let mut postponed: Vec<_> = large.map(|(i, _)| (now + latest[i], i)).collect();
        postponed.retain(|(due, _)| *due > now);
        postponed.sort_unstable();
        postponed.into()
    }

    /// Preferred region of a stage: that of its inputs; failing that, for a final stage, that of
    /// the consumer of its results. A chain of stages thus changes region at most once.
    fn preferred_region(
        &self,
        stage: usize,
        results: &[StageResults],
        node: &Node,
    ) -> Option<Name> {
        let inputs = self.route.stages[stage].after.iter();
        let first = inputs.flat_map(|j| &results[*j].handles).next();
        let at = first.and_then(|h| node.fleet(|f| f.domain_of(&h.maker).cloned()));
        let is_last = dependents(&self.route.stages, stage).next().is_none();
        let at = at.or_else(|| self.near.clone().filter(|_| is_last))?;
        Some(node.peers.roster(|r| r.map().region_of(&at)))
    }

    /// Preferred failure domain of a stage: that of its inputs or, for a final stage, that of the
    /// consumer of its results, whichever saves more transferred bytes.
    fn placement(&self, stage: usize, results: &[StageResults], node: &Node) -> Placement {
        if !node.settings().policy.affinity {
            return Placement::default();
        }
        let stages = &self.route.stages;
        let (spec, pieces) = (&stages[stage], u64::from(self.pieces_of(stage)));
        let out_bytes = pieces * spec.bytes;
        // Each piece fetches all inputs of the stage.
        let fetched =
            spec.after.iter().map(|j| results[*j].handles.len() as u64 * stages[*j].bytes);
        let in_bytes = fetched.sum::<u64>() * pieces;
        let dependent_pieces: u64 =
            dependents(stages, stage).map(|d| u64::from(self.pieces_of(d))).sum();
        let is_last = dependents(stages, stage).next().is_none();
        let wanted_bytes = if is_last { out_bytes } else { 0 };
        let near = if in_bytes > wanted_bytes {
            let first = spec.after.iter().find_map(|j| results[*j].handles.first());
            first.and_then(|h| node.fleet(|f| f.domain_of(&h.maker).cloned()))
        } else {
            self.near.clone().filter(|_| is_last)
        };
        let moved_bytes = in_bytes.max(wanted_bytes);
        Placement { near, moved_bytes, spread_bytes: moved_bytes.max(out_bytes * dependent_pieces) }
    }
}

/// Preferred place of a stage, and the cost of running it elsewhere.
#[derive(Default)]
struct Placement {
    /// Preferred failure domain; `None` if any will do.
    near: Option<Name>,
    /// Bytes that cross failure domains if the pieces run elsewhere.
    moved_bytes: u64,
    /// Bytes that cross failure domains later if the results lie in several of them.
    spread_bytes: u64,
}

/// Stages that take `stage`'s results as inputs.
fn dependents(stages: &[Stage], stage: usize) -> impl Iterator<Item = usize> + '_ {
    let after = move |(_, s): &(usize, &Stage)| s.after.contains(&stage);
    stages.iter().enumerate().filter(after).map(|(i, _)| i)
}

/// Parts of a request's time that are not available to a stage.
pub(super) struct TimeUsed {
    /// Milliseconds since the first stage could start.
    pub(super) elapsed_ms: u64,
    /// Minimum milliseconds from the end of the stage to the first event.
    pub(super) reserved_ms: u64,
}

/// Builds the order for a stage; `None` if the request skips the stage.
pub(super) fn build_order(
    job: &Job<'_>,
    stage: usize,
    results: &[StageResults],
    used: TimeUsed,
    node: &Node,
) -> Result<Option<BatchOrder>, StageError> {
    let pieces = job.pieces_of(stage);
    if pieces == 0 {
        return Ok(None);
    }
    let spec = &job.route.stages[stage];
    let input = if spec.after.is_empty() {
        let key = job.head.piece_key.clone().ok_or(StageError::NoKey)?;
        StageInput::Key(key.into())
    } else {
        let inputs = spec.after.iter().flat_map(|j| &results[*j].handles);
        StageInput::Handles(inputs.map(|h| h.text.clone()).collect())
    };
    let placement = job.placement(stage, results, node);
    let preferred = job.preferred_region(stage, results, node);
    Ok(Some(BatchOrder {
        service: spec.service.clone(),
        attempt: job.head.id.as_str().into(),
        stage,
        pieces,
        input,
        slack_ms: job.slack_ms.saturating_sub(used.elapsed_ms + used.reserved_ms),
        left_ms: job.left_ms.saturating_sub(used.elapsed_ms),
        rank: job.rank,
        allowed: job.allowed.clone(),
        region: node.region_for(&spec.service, job.allowed, preferred),
        spilled: false,
        near: placement.near,
        moved_bytes: placement.moved_bytes,
        spread_bytes: placement.spread_bytes,
        result_bytes: spec.bytes,
        skipped: Vec::new(),
        passed_on: false,
    }))
}
