//! Which target gets a request.

use std::collections::BTreeMap;

use model::forward::{Allowed, PromptPart, Side, Target, TargetId};
use model::{Name, Time, hash};

use super::{ColdLimit, Fleet, TargetState, Terms};
use crate::region::Map;
use crate::rng::Rng;

/// Which cold targets a choice may fall on.
#[derive(Clone, Copy)]
pub enum ColdStarts<'a> {
    /// None.
    Avoid,
    /// Those that this node owns, at its pace.
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

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// Service.
    pub service: &'a str,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// How far the others lie.
    pub map: &'a Map,
    /// What the request asks of its target.
    pub terms: Terms<'a>,
    /// Region whose targets are homes before others; `None` if those of any region are.
    pub home_region: Option<&'a Name>,
    /// Targets that the request was sent to before.
    pub exclude: &'a [TargetId],
    /// Requests that this node may have at one target: its part of the connections that
    /// a target takes from all nodes together.
    pub max_per_target: u32,
    /// Share of homes by failure domain, relative to each other; equal if empty.
    pub shares: &'a [(Name, f64)],
    /// What the service's cold targets bear; `None` if as much as others.
    pub cold_limit: Option<ColdLimit>,
    /// Which of them may be chosen.
    pub cold_starts: ColdStarts<'a>,
    /// Whether the request may be sent again after a target ran it.
    pub may_repeat: bool,
}

impl PickCriteria<'_> {
    fn share_of(&self, domain: &str) -> f64 {
        let share = self.shares.iter().find(|(d, _)| **d == *domain);
        share.map_or(1.0, |(_, share)| *share)
    }
}

/// The home of a prompt: where its shared parts are most likely kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Home {
    /// Hash by which targets are ordered.
    pub key: u64,
    /// Tokens that are read again elsewhere.
    pub shared_tokens: u64,
}

/// Tokens in flight above which the next target in the home's order is looked at.
const SPILL_TOKENS: u64 = 40_000;
/// Size of a part beside the largest below which it does not decide about the home.
const MIN_PART_RATIO: f64 = 0.2;
/// Makers that a failure domain without any is counted with.
const EMPTY_DOMAIN_PRODUCERS: f64 = 0.2;
/// Extra milliseconds that a request to another failure domain of the region costs.
const REGION_NETWORK_MS: f64 = 2.0;
/// Milliseconds assumed of a target that has answered nothing yet.
const DEFAULT_ANSWER_MS: f64 = 20.0;

impl Home {
    /// Home of a prompt: the last of its shared parts, which are all but the very last,
    /// that is not small beside the largest. A prompt of one part has itself as home.
    ///
    /// A part is shared by more requests the earlier it stands; the first may be shared by
    /// all, and a home for all of them would be overrun while the other targets idle.
    pub fn of(prompt: &[PromptPart]) -> Option<Home> {
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

/// Extra milliseconds that a request to a failure domain costs.
fn network_ms(criteria: PickCriteria<'_>, domain: &Name) -> f64 {
    if **domain == *criteria.domain {
        return 0.0;
    }
    if criteria.map.is_near(domain) {
        return REGION_NETWORK_MS;
    }
    criteria.map.round_trip(domain).as_secs_f64() * 1000.0
}

/// Weighted rendezvous: the least distance wins, in proportion to the shares
/// (Schindelhauer, Schomaker 2005: the logarithmic method).
fn distance(hash: u64, share: f64) -> f64 {
    /// Bits of a hash that a float tells apart.
    const BITS: u32 = 53;
    let unit = ((hash >> (u64::BITS - BITS)) + 1) as f64 / (1u64 << BITS) as f64;
    -unit.ln() / share.max(f64::MIN_POSITIVE)
}

/// Share of homes by failure domain for requests whose inputs are made near their
/// target: as many as the makers there can make, over the targets that are there, those
/// outside of the regions that are allowed left out.
pub fn shares(
    fleet: &Fleet,
    producers: &str,
    targets: &str,
    allowed: &Allowed,
    now: Time,
) -> Vec<(Name, f64)> {
    let terms = Terms { allowed, side: Side::Serving };
    let count = |service: &str| {
        let mut by_domain: BTreeMap<Name, u32> = BTreeMap::new();
        // A rest is over in a moment, and homes that moved meanwhile are read anew.
        for t in fleet.eligible(service, terms, now) {
            *by_domain.entry(t.target.domain.clone()).or_default() += 1;
        }
        by_domain
    };
    let producers = count(producers);
    if producers.is_empty() {
        return Vec::new();
    }
    let share = |(domain, targets): (Name, u32)| {
        let produced = producers.get(&domain).map_or(EMPTY_DOMAIN_PRODUCERS, |n| f64::from(*n));
        let share = produced / f64::from(targets);
        (domain, share)
    };
    count(targets).into_iter().map(share).collect()
}

/// Targets in the order in which they are the home of a prompt.
fn home_order<'a>(
    targets: impl Iterator<Item = &'a TargetState>,
    criteria: PickCriteria<'_>,
    home: Home,
) -> Vec<&'a TargetState> {
    let score = |t: &'a TargetState| {
        let hash = hash::mix(home.key, hash::of(t.target.id.name.as_bytes()));
        (distance(hash, criteria.share_of(&t.target.domain)), t)
    };
    let mut order: Vec<(f64, &TargetState)> = targets.map(score).collect();
    order.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
    order.into_iter().map(|(_, t)| t).collect()
}

impl Fleet {
    /// The target with the least expected wait, for services without a cache; before it one
    /// that names a limit, lies near and was not asked for long, or one that was left out and may
    /// be well again. The latter is no place for a second send.
    pub fn pick_plain(
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

    /// The first target in the home's order that is not overloaded, so that all
    /// nodes of a region find the same one without a message. One of the wanted region if any
    /// is.
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

    /// Targets of the wanted failure domain in the home's order.
    pub fn local_homes(&self, criteria: PickCriteria<'_>, home: Home, now: Time) -> Vec<TargetId> {
        let near = self.candidates(criteria, now).filter(|t| *t.target.domain == *criteria.domain);
        home_order(near, criteria, home).into_iter().map(|t| t.target.id.clone()).collect()
    }

    /// Usable targets not tried yet that take another connection; those left out for failures only if no other is.
    fn candidates<'a>(
        &'a self,
        criteria: PickCriteria<'a>,
        now: Time,
    ) -> impl Iterator<Item = &'a TargetState> {
        let is_candidate = move |t: &&TargetState| {
            !criteria.exclude.contains(&t.target.id)
                && t.outstanding < criteria.max_per_target
                && !self.limits().is_closed(&t.target.id, now)
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

    /// Whether a request may start at a target, if that is cold.
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

    /// Whether a target lies in a region that is allowed; one that is not known lies in none.
    pub fn is_in_allowed_region(&self, id: &TargetId, allowed: &Allowed) -> bool {
        let region = self.domain_of(id).and_then(|domain| self.regions().of(domain));
        allowed.permits(region.map(|r| &**r))
    }

    /// Failure domain of a target.
    pub fn domain_of(&self, id: &TargetId) -> Option<&Name> {
        self.get(id).map(|t| &t.target.domain)
    }
}
