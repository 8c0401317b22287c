//! The routing policies: the default one and the baselines it is measured against.

use std::fmt;

use model::hash::mix;
use model::{Name, Time};
use serde::{Deserialize, Serialize};

use super::share::PrefixShares;
use super::table::{PoolTable, Slot};
use crate::rng::Rng;

/// Targets considered in the rendezvous order of a prefix.
const MAX_RANKED: usize = 8;
/// Targets after the homes among which a spill chooses.
const SPILL_CANDIDATES: usize = 3;
/// Distance classes: own failure domain, own region, beyond.
const DISTANCES: u8 = 3;

/// Input of a policy for one request.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Current time.
    pub now: Time,
    /// Hash of the prompt's leading block, or of the session.
    pub prefix: u64,
    /// `model@version`, for engines.
    pub model: Option<&'a str>,
    /// Time left for the step, milliseconds.
    pub budget: f64,
    /// Targets that already failed this step.
    pub tried: &'a [Name],
}

impl RouteQuery<'_> {
    fn fits(&self, s: &Slot) -> bool {
        PoolTable::fits(s, self.now, self.model) && !self.tried.contains(&s.info.name)
    }
}

/// Chooses a target.
pub trait Policy: Send + fmt::Debug {
    /// Index of the chosen slot, or `None` if no candidate fits.
    fn pick(&mut self, query: &RouteQuery, table: &PoolTable) -> Option<usize>;
}

/// Policies by name, as used in settings and benchmark plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Each target in turn.
    RoundRobin,
    /// Fewest attempts in flight from this node.
    LeastOutstanding,
    /// Rendezvous hashing of the session, regardless of load.
    SessionHash,
    /// Rendezvous hashing of the session with a load bound on counts.
    SessionHashBound,
    /// Rendezvous hashing of the prefix with a bound on the expected wait.
    #[default]
    Home,
    /// [`PolicyKind::Home`] without its load bound.
    HomeUnbound,
    /// [`PolicyKind::Home`] that spills to the next target in order, without two choices.
    HomeNext,
    /// [`PolicyKind::Home`] with one home for every prefix, however hot.
    HomeSingle,
}

/// Creates a policy; `seed` drives its random choices.
pub fn make(kind: PolicyKind, seed: u64) -> Box<dyn Policy> {
    let tuning = HomeTuning::default();
    match kind {
        PolicyKind::RoundRobin => Box::new(RoundRobin::default()),
        PolicyKind::LeastOutstanding => Box::new(LeastOutstanding(Rng::new(seed))),
        PolicyKind::SessionHash => Box::new(SessionHash { bound: None }),
        PolicyKind::SessionHashBound => Box::new(SessionHash { bound: Some(1.25) }),
        PolicyKind::Home => Box::new(Home::new(tuning, seed)),
        PolicyKind::HomeUnbound => {
            Box::new(Home::new(HomeTuning { max_wait_share: f64::INFINITY, ..tuning }, seed))
        }
        PolicyKind::HomeSingle => Box::new(Home::new(HomeTuning { spread: 0.0, ..tuning }, seed)),
        PolicyKind::HomeNext => Box::new(Home::new(HomeTuning { choices: 1, ..tuning }, seed)),
    }
}

/// Each target in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, query: &RouteQuery, table: &PoolTable) -> Option<usize> {
        let n = table.slots().len();
        for _ in 0..n {
            let i = self.next % n;
            self.next = i + 1;
            if query.fits(&table.slots()[i]) {
                return Some(i);
            }
        }
        None
    }
}

/// Fewest attempts in flight from this node; ties at random.
#[derive(Debug)]
pub struct LeastOutstanding(Rng);

impl Policy for LeastOutstanding {
    fn pick(&mut self, query: &RouteQuery, table: &PoolTable) -> Option<usize> {
        let fitting = table.slots().iter().enumerate().filter(|(_, s)| query.fits(s));
        fitting.min_by_key(|(_, s)| (s.in_flight, self.0.next_u64())).map(|(i, _)| i)
    }
}

/// Rendezvous hashing of the session. With a bound, a target with more than `bound` times the mean
/// in flight is skipped (Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded loads",
/// 2016): the baseline that kvroute leaves out.
#[derive(Debug)]
pub struct SessionHash {
    bound: Option<f64>,
}

impl Policy for SessionHash {
    fn pick(&mut self, query: &RouteQuery, table: &PoolTable) -> Option<usize> {
        let max_in_flight = self.bound.map(|b| {
            let (mut n, mut in_flight) = (0.0, 1.0);
            for s in table.slots().iter().filter(|s| query.fits(s)) {
                n += 1.0;
                in_flight += f64::from(s.in_flight);
            }
            (b * in_flight / n).ceil()
        });
        let fitting = table.slots().iter().enumerate().filter(|(_, s)| query.fits(s));
        let has_room =
            fitting.filter(|(_, s)| max_in_flight.is_none_or(|m| f64::from(s.in_flight) < m));
        has_room.max_by_key(|(_, s)| mix(query.prefix, s.hash)).map(|(i, _)| i)
    }
}

/// Tuning of [`Home`].
#[derive(Debug, Clone, Copy)]
pub struct HomeTuning {
    /// A home below its limit is skipped only if its expected wait exceeds this share of the step's
    /// budget; with a shorter wait, a spill gains nothing.
    pub max_wait_share: f64,
    /// A spill target's expected wait must be shorter than the home's by more than this factor,
    /// unless the home is at its limit and the spill target is not.
    pub min_gain: f64,
    /// A spill target's expected wait may be at most this share of the step's budget: where all
    /// targets are loaded, a spill only adds cold starts. The exception of `min_gain` applies.
    pub max_spill_share: f64,
    /// Number of homes of a prefix, relative to the number of targets that its share of the traffic
    /// would fill; 0 keeps one home.
    pub spread: f64,
    /// Targets compared once the home is skipped.
    pub choices: usize,
}

impl Default for HomeTuning {
    fn default() -> Self {
        HomeTuning {
            max_wait_share: 0.2,
            min_gain: 2.0,
            max_spill_share: 0.05,
            spread: 1.5,
            choices: 2,
        }
    }
}

/// Rendezvous hashing of the prompt's prefix: every node finds the same home without a shared
/// index. A hot prefix has as many homes as its share of the traffic requires; every node sees
/// about the same share in its own slice. A cold start costs the whole fleet prefill capacity that
/// it may not have to spare, so the home is skipped only when waiting for it would put the deadline
/// at risk. The request then goes to the better of the next two in the same order, so that all
/// nodes spill to the same warm targets, and no herd forms at the target that a stale report shows
/// as least loaded.
#[derive(Debug)]
pub struct Home {
    tuning: HomeTuning,
    shares: PrefixShares,
    rng: Rng,
}

/// Highest-scored slots of a rendezvous order, in a fixed array to avoid allocation.
#[derive(Debug, Clone, Copy)]
struct Ranking {
    len: usize,
    score: [u64; MAX_RANKED],
    index: [usize; MAX_RANKED],
}

impl Ranking {
    fn new() -> Self {
        Ranking { len: 0, score: [0; MAX_RANKED], index: [0; MAX_RANKED] }
    }

    #[inline]
    fn offer(&mut self, score: u64, index: usize) {
        if self.len == MAX_RANKED && score <= self.score[MAX_RANKED - 1] {
            return;
        }
        let mut at = self.len.min(MAX_RANKED - 1);
        while at > 0 && self.score[at - 1] < score {
            self.score[at] = self.score[at - 1];
            self.index[at] = self.index[at - 1];
            at -= 1;
        }
        self.score[at] = score;
        self.index[at] = index;
        self.len = (self.len + 1).min(MAX_RANKED);
    }
}

impl Home {
    /// Creates the policy with this tuning.
    pub fn new(tuning: HomeTuning, seed: u64) -> Self {
        Home { tuning, shares: PrefixShares::default(), rng: Rng::new(seed) }
    }

    /// Ranks the candidates of one distance class; also returns their number.
    fn rank(query: &RouteQuery, table: &PoolTable, distance: u8) -> (Ranking, usize) {
        let mut top = Ranking::new();
        let mut count = 0;
        for (i, s) in table.slots().iter().enumerate() {
            if s.info.distance == distance && query.fits(s) {
                top.offer(mix(query.prefix, s.hash), i);
                count += 1;
            }
        }
        (top, count)
    }

    fn home_or_spill(
        &mut self,
        query: &RouteQuery,
        table: &PoolTable,
        top: &Ranking,
        homes: usize,
    ) -> usize {
        let wait = |i: usize| table.slots()[i].wait(query.now);
        let has_room =
            |i: usize| table.slots()[i].in_flight < table.slots()[i].limit.max_in_flight();
        let home = self.best_home(query, table, top, homes);
        if top.len <= homes {
            return home;
        }
        let home_wait = wait(home);
        if has_room(home) && home_wait <= self.tuning.max_wait_share * query.budget {
            return home;
        }
        let rest = &top.index[homes..top.len.min(homes + SPILL_CANDIDATES)];
        let mut other = rest[0];
        if self.tuning.choices > 1 && rest.len() > 1 {
            let second = rest[1 + self.rng.below(rest.len() - 1)];
            if wait(second) < wait(other) {
                other = second;
            }
        }
        let full = !has_room(home) && has_room(other);
        let idle = wait(other) <= self.tuning.max_spill_share * query.budget;
        if full || (idle && wait(other) * self.tuning.min_gain < home_wait) { other } else { home }
    }

    /// The better of two homes drawn at random from those of a hot prefix; all are warm.
    fn best_home(
        &mut self,
        query: &RouteQuery,
        table: &PoolTable,
        top: &Ranking,
        homes: usize,
    ) -> usize {
        let wait = |i: usize| table.slots()[i].wait(query.now);
        if homes < 2 {
            return top.index[0];
        }
        let first = self.rng.below(homes);
        let second = (first + 1 + self.rng.below(homes - 1)) % homes;
        let (a, b) = (top.index[first], top.index[second]);
        if wait(b) < wait(a) { b } else { a }
    }
}

impl Policy for Home {
    fn pick(&mut self, query: &RouteQuery, table: &PoolTable) -> Option<usize> {
        let share = self.shares.count(query.prefix);
        let mut fallback = None;
        for distance in 0..DISTANCES {
            let (top, count) = Self::rank(query, table, distance);
            if top.len == 0 {
                continue;
            }
            let fair = (share * count as f64 * self.tuning.spread).ceil() as usize;
            let homes = fair.clamp(1, top.len);
            let i = self.home_or_spill(query, table, &top, homes);
            let s = &table.slots()[i];
            if s.in_flight < s.limit.max_in_flight() {
                return Some(i);
            }
            // All targets this near are at their limit: try the next distance, but keep this one as
            // the fallback.
            fallback = fallback.or(Some(i));
        }
        fallback
    }
}
