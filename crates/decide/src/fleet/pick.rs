//! Choice of the target for a request.

use std::collections::BTreeMap;

use model::forward::{Allowed, PromptPart, Target, TargetId};
use model::{Name, Time, hash};

use super::{ColdLimit, Fleet, TargetState, Terms};
use crate::region::Map;
use crate::rng::Rng;

/// Which cold targets may be picked.
#[derive(Clone, Copy)]
pub enum ColdStarts<'a> {
    /// None.
    Avoid,
    /// Those that this node owns, rate-limited.
    InTurn(&'a dyn Fn(&TargetId) -> bool),
}

impl std::fmt::Debug for ColdStarts<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ColdStarts::Avoid => "Avoid",
            ColdStarts::InTurn(_) => "InTurn",
        })
    }
}

/// Criteria for picking a target.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// Service of the target.
    pub service: &'a str,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Distances to the other failure domains.
    pub map: &'a Map,
    /// Constraints that the target must meet.
    pub terms: Terms<'a>,
    /// Region whose targets are preferred as homes; `None` for no preference.
    pub home_region: Option<&'a Name>,
    /// Targets that the request was already sent to.
    pub exclude: &'a [TargetId],
    /// Maximum concurrent requests of this node at one target: its share of the connections that a
    /// target accepts from all nodes together.
    pub max_per_target: u32,
    /// Relative weights of the failure domains for homes; all equal if empty.
    pub home_weights: &'a [(Name, f64)],
    /// Limit of the service's cold targets; `None` if they need none.
    pub cold_limit: Option<ColdLimit>,
    /// Which cold targets may be picked.
    pub cold_starts: ColdStarts<'a>,
    /// Whether the request may be repeated after a target has run it.
    pub may_repeat: bool,
}

impl PickCriteria<'_> {
    fn weight_of(&self, domain: &str) -> f64 {
        let weight = self.home_weights.iter().find(|(d, _)| **d == *domain);
        weight.map_or(1.0, |(_, weight)| *weight)
    }
}

/// Home of a prompt: the target whose cache most likely holds its shared parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Home {
    /// Hash that determines the order of the targets.
    pub key: u64,
    /// Tokens that any other target has to process again.
    pub shared_tokens: u64,
}

/// Prompt tokens in flight above which the next target in home order is tried.
const SPILL_TOKENS: u64 = 40_000;
/// Minimum size of the part that determines the home, relative to the largest part.
const MIN_PART_RATIO: f64 = 0.2;
/// Number of workers assumed for a failure domain that has none.
const EMPTY_DOMAIN_WORKERS: f64 = 0.2;
/// Additional milliseconds for a request to another failure domain of the same region.
const REGION_NETWORK_MS: f64 = 2.0;
/// Latency in milliseconds assumed for a target that has not answered yet.
const DEFAULT_ANSWER_MS: f64 = 20.0;

impl Home {
    /// Home of a prompt: determined by the last of its shared parts (all parts but the last) that
    /// is not small compared with the largest. A prompt with a single part uses that part.
    ///
    /// The earlier a part stands, the more requests share it. The first part may be common to all
    /// requests; a home derived from it would be overloaded while the other targets are idle.
    pub fn for_prompt(prompt: &[PromptPart]) -> Option<Home> {
        let shared = match prompt {
            [] => return None,
            [only] => std::slice::from_ref(only),
            [shared @ .., _] => shared,
        };
        let largest = shared.iter().map(|p| p.tokens).max()?;
        let is_large = |p: &&PromptPart| p.tokens as f64 >= largest as f64 * MIN_PART_RATIO;
        let part = shared.iter().rev().find(is_large)?;
        Some(Home { key: part.id, shared_tokens: shared.iter().map(|p| p.tokens).sum() })
    }
}

/// Additional milliseconds for a request to a failure domain.
fn network_ms(criteria: PickCriteria<'_>, domain: &Name) -> f64 {
    if **domain == *criteria.domain {
        return 0.0;
    }
    if criteria.map.is_near(domain) {
        return REGION_NETWORK_MS;
    }
    criteria.map.round_trip(domain).as_secs_f64() * 1000.0
}

/// Distance in weighted rendezvous hashing: the smallest wins, in proportion to the weights (the
/// logarithmic method of Schindelhauer and Schomaker, 2005).
fn distance(hash: u64, weight: f64) -> f64 {
    /// Bits of a hash that an `f64` can represent exactly.
    const BITS: u32 = 53;
    let unit = ((hash >> (u64::BITS - BITS)) + 1) as f64 / (1u64 << BITS) as f64;
    -unit.ln() / weight.max(f64::MIN_POSITIVE)
}

/// Weight of each failure domain for homes, for requests whose inputs are produced close to their
/// target: the number of workers there divided by the number of targets. Only targets in allowed
/// regions are counted.
pub fn home_weights(
    fleet: &Fleet,
    worker_service: &str,
    target_service: &str,
    allowed: &Allowed,
    now: Time,
) -> Vec<(Name, f64)> {
    let terms = Terms { allowed, ..Terms::ANY };
    let count = |service: &str| {
        let mut by_domain: BTreeMap<Name, u32> = BTreeMap::new();
        // Backed-off targets count: a backoff is short, and moving homes would invalidate their
        // caches.
        for t in fleet.eligible(service, terms, now) {
            *by_domain.entry(t.target.domain.clone()).or_default() += 1;
        }
        by_domain
    };
    let workers = count(worker_service);
    if workers.is_empty() {
        return Vec::new();
    }
    let weight = |(domain, targets): (Name, u32)| {
        let present = workers.get(&domain).map_or(EMPTY_DOMAIN_WORKERS, |n| f64::from(*n));
        let weight = present / f64::from(targets);
        (domain, weight)
    };
    count(target_service).into_iter().map(weight).collect()
}

/// Targets in home order for a prompt.
fn home_order<'a>(
    targets: impl Iterator<Item = &'a TargetState>,
    criteria: PickCriteria<'_>,
    home: Home,
) -> Vec<&'a TargetState> {
    let score = |t: &'a TargetState| {
        let hash = hash::mix(home.key, hash::hash64(t.target.id.name.as_bytes()));
        (distance(hash, criteria.weight_of(&t.target.domain)), t)
    };
    let mut order: Vec<(f64, &TargetState)> = targets.map(score).collect();
    order.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
    order.into_iter().map(|(_, t)| t).collect()
}

impl Fleet {
    /// Target with the lowest expected wait, for services without a cache. Preferred to it are a
    /// nearby target with a named limit that has not been asked for a while, and an ejected target
    /// that is due for a probe. A request that was already sent elsewhere is never used as a probe
    /// of the latter.
    pub fn pick_by_wait(
        &self,
        criteria: PickCriteria<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> Option<Target> {
        let mut best: Option<(f64, &TargetState)> = None;
        for t in self.candidates(criteria, now) {
            let network = network_ms(criteria, &t.target.domain);
            if network <= REGION_NETWORK_MS && self.limits().needs_probe(&t.target.id, now) {
                return Some(t.target.clone());
            }
            if criteria.exclude.is_empty() && t.needs_probe(criteria.may_repeat, now) {
                return Some(t.target.clone());
            }
            let mean = t.answer_ms(now).unwrap_or(DEFAULT_ANSWER_MS) * t.slowdown(now);
            let jitter = rng.below(100) as f64 / 100.0;
            let cost = mean * (1.0 + t.load(now)) / (1.0 - t.failure_rate(now)).max(0.05)
                + network
                + jitter;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, t));
            }
        }
        best.map(|(_, t)| t.target.clone())
    }

    /// First target in home order that is not overloaded, so that all nodes of a region pick the
    /// same one without communicating. Targets of the preferred region come first.
    pub fn pick_home(&self, criteria: PickCriteria<'_>, home: Home, now: Time) -> Option<Target> {
        let mut order = home_order(self.candidates(criteria, now), criteria, home);
        if let Some(region) = criteria.home_region {
            order.sort_by_key(|t| criteria.map.region_of(&t.target.domain) != *region);
        }
        let has_capacity =
            |t: &&&TargetState| t.prefill_tokens < SPILL_TOKENS && t.outstanding < t.target.slots;
        let chosen = order.iter().find(has_capacity).or(order.first());
        chosen.map(|t| t.target.clone())
    }

    /// Targets of this node's failure domain in home order.
    pub fn local_homes(&self, criteria: PickCriteria<'_>, home: Home, now: Time) -> Vec<TargetId> {
        let near = self.candidates(criteria, now).filter(|t| *t.target.domain == *criteria.domain);
        home_order(near, criteria, home).into_iter().map(|t| t.target.id.clone()).collect()
    }

    /// Usable targets not yet tried that accept another connection. Ejected ones are included only
    /// if there is no other.
    fn candidates<'a>(
        &'a self,
        criteria: PickCriteria<'a>,
        now: Time,
    ) -> impl Iterator<Item = &'a TargetState> {
        let is_candidate = move |t: &&TargetState| {
            !criteria.exclude.contains(&t.target.id)
                && t.outstanding < criteria.max_per_target
                && !self.limits().is_closed(&t.target.id, now)
                && !self.brittle().is_closed(&t.target.id, now)
                && self.may_start(t, criteria, now)
        };
        let any_healthy = self
            .usable(criteria.service, criteria.terms, now)
            .filter(is_candidate)
            .any(|t| !t.is_ejected(now));
        self.usable(criteria.service, criteria.terms, now)
            .filter(is_candidate)
            .filter(move |t| !any_healthy || !t.is_ejected(now))
    }

    /// Whether a request may start at a target, which matters only if that is cold.
    fn may_start(&self, t: &TargetState, criteria: PickCriteria<'_>, now: Time) -> bool {
        let Some(limit) = criteria.cold_limit.filter(|l| self.is_cold(t, *l, now)) else {
            return true;
        };
        match criteria.cold_starts {
            ColdStarts::Avoid => false,
            ColdStarts::InTurn(owns) => {
                limit.interval.is_some() && t.next_start <= now && owns(&t.target.id)
            }
        }
    }

    /// Whether a target is in an allowed region; false for an unknown target.
    pub fn is_in_allowed_region(&self, id: &TargetId, allowed: &Allowed) -> bool {
        let region = self.domain_of(id).and_then(|domain| self.regions().region_of(domain));
        allowed.permits(region.map(|r| &**r))
    }

    /// Failure domain of a target.
    pub fn domain_of(&self, id: &TargetId) -> Option<&Name> {
        self.get(id).map(|t| &t.target.domain)
    }
}
