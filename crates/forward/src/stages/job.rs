//! What the stages of one request are made for, and the order for each of them.

use std::collections::VecDeque;
use std::time::Duration;

use decide::{forecast, stages};
use model::forward::{
    Allowed, BatchOrder, CallerHead, LARGE_RESULT_BYTES, Rank, Route, Stage, StageInput,
};
use model::{Name, Time};

use super::made::Kept;
use super::plan::StageError;
use crate::node::Node;

/// Time that stages leave an engine for its first event: between the median and the 90th
/// percentile (139 and 404 ms) of long prompts. Less would leave half of them late, more would
/// have stages hurry for the sake of a few.
const KEPT_FOR_ENGINE: Duration = Duration::from_millis(200);

/// What the stages of one request are made for.
pub struct Job<'a> {
    /// Route.
    pub route: &'a Route,
    /// Request.
    pub head: &'a CallerHead,
    /// Regions in which its pieces may be made.
    pub allowed: &'a Allowed,
    /// Failure domain of the target that takes the results.
    pub near: Option<Name>,
    /// Milliseconds until the first event is due.
    pub slack_ms: u64,
    /// Milliseconds until the request ends.
    pub left_ms: u64,
    /// Rank.
    pub rank: Rank,
}

impl Job<'_> {
    /// Pieces of a stage; none if the request leaves it out.
    fn pieces_of(&self, stage: usize) -> u32 {
        self.head.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Time of each stage without any wait.
    pub(super) fn least_times(&self, node: &Node) -> Vec<Duration> {
        let table = node.table();
        forecast::min_stage_times(self.route, &self.head.pieces, |name| table.service(name))
    }

    /// Least time from the end of each stage to the first event, given that of the stages.
    pub(super) fn least_after(&self, least: &[Duration]) -> Vec<Duration> {
        let tails = stages::remaining_times(&self.route.order(), least);
        tails.into_iter().map(|tail| tail + KEPT_FOR_ENGINE).collect()
    }

    /// Stages whose results are large, and when they are due, the first due first: they
    /// start so late that they end with the longest path, since room at makers is short.
    pub(super) fn postponed(
        &self,
        node: &Node,
        least: &[Duration],
        now: Time,
    ) -> VecDeque<(Time, usize)> {
        if !node.settings().policy.late_starts {
            return VecDeque::new();
        }
        let (least, queues) =
            node.stage_estimates(self.route, &self.head.pieces, self.allowed, least);
        let times = node.forecast(|f| f.stage_times(&least, &queues, self.rank, now));
        let latest = stages::latest_starts(&self.route.order(), &times);
        let large = self.route.stages.iter().enumerate().filter(|(i, s)| {
            s.bytes >= LARGE_RESULT_BYTES && s.after.is_empty() && self.pieces_of(*i) > 0
        });
        let mut postponed: Vec<_> = large.map(|(i, _)| (now + latest[i], i)).collect();
        postponed.retain(|(due, _)| *due > now);
        postponed.sort_unstable();
        postponed.into()
    }

    /// Region that a stage is wanted in: where its inputs lie, or, for the last one, where its
    /// results are wanted. A chain so changes its region once at most.
    fn region_of(&self, stage: usize, kept: &[Kept], node: &Node) -> Option<Name> {
        let inputs = self.route.stages[stage].after.iter();
        let first = inputs.flat_map(|j| &kept[*j].handles).next();
        let at = first.and_then(|h| node.fleet(|f| f.domain_of(&h.maker).cloned()));
        let is_last = dependents(&self.route.stages, stage).next().is_none();
        let at = at.or_else(|| self.near.clone().filter(|_| is_last))?;
        Some(node.peers.roster(|r| r.map().region_of(&at)))
    }

    /// Where a stage is best made: where its inputs lie, or, for the last one, where its
    /// results are wanted, whichever moves more bytes.
    fn place_of(&self, stage: usize, kept: &[Kept], node: &Node) -> Place {
        if !node.settings().policy.affinity {
            return Place::default();
        }
        let stages = &self.route.stages;
        let (what, pieces) = (&stages[stage], u64::from(self.pieces_of(stage)));
        let out_bytes = pieces * what.bytes;
        // Each piece fetches all of its inputs.
        let fetched = what.after.iter().map(|j| kept[*j].handles.len() as u64 * stages[*j].bytes);
        let in_bytes = fetched.sum::<u64>() * pieces;
        let later: u64 = dependents(stages, stage).map(|d| u64::from(self.pieces_of(d))).sum();
        let is_last = dependents(stages, stage).next().is_none();
        let wanted_bytes = if is_last { out_bytes } else { 0 };
        let near = if in_bytes > wanted_bytes {
            let first = what.after.iter().find_map(|j| kept[*j].handles.first());
            first.and_then(|h| node.fleet(|f| f.domain_of(&h.maker).cloned()))
        } else {
            self.near.clone().filter(|_| is_last)
        };
        let moved_bytes = in_bytes.max(wanted_bytes);
        Place { near, moved_bytes, spread_bytes: moved_bytes.max(out_bytes * later) }
    }
}

/// Where a stage is best made, and what it costs to make it elsewhere.
#[derive(Default)]
struct Place {
    /// Failure domain; none if it does not matter.
    near: Option<Name>,
    /// Bytes that cross failure domains if the pieces are made elsewhere.
    moved_bytes: u64,
    /// Bytes that cross later if the results lie in several failure domains.
    spread_bytes: u64,
}

/// Stages that come after `stage`.
fn dependents(stages: &[Stage], stage: usize) -> impl Iterator<Item = usize> + '_ {
    let after = move |(_, s): &(usize, &Stage)| s.after.contains(&stage);
    stages.iter().enumerate().filter(after).map(|(i, _)| i)
}

/// What of a request's time is not left for a stage.
pub(super) struct Spent {
    /// Milliseconds passed since the first stage could start.
    pub(super) passed_ms: u64,
    /// Least milliseconds from the end of the stage to the first event.
    pub(super) after_ms: u64,
}

/// The order for one stage; `None` if the request leaves the stage out.
pub(super) fn order_of(
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
    let what = &job.route.stages[stage];
    let input = if what.after.is_empty() {
        let key = job.head.piece_key.clone().ok_or(StageError::NoKey)?;
        StageInput::Key(key.into())
    } else {
        let inputs = what.after.iter().flat_map(|j| &kept[*j].handles);
        StageInput::Handles(inputs.map(|h| h.text.clone()).collect())
    };
    let place = job.place_of(stage, kept, node);
    let wanted = job.region_of(stage, kept, node);
    Ok(Some(BatchOrder {
        service: what.service.clone(),
        attempt: job.head.id.as_str().into(),
        stage,
        pieces,
        input,
        slack_ms: job.slack_ms.saturating_sub(spent.passed_ms + spent.after_ms),
        left_ms: job.left_ms.saturating_sub(spent.passed_ms),
        rank: job.rank,
        allowed: job.allowed.clone(),
        region: node.region_for(&what.service, job.allowed, wanted),
        spilled: false,
        near: place.near,
        moved_bytes: place.moved_bytes,
        spread_bytes: place.spread_bytes,
        result_bytes: what.bytes,
        skipped: Vec::new(),
        passed_on: false,
    }))
}
