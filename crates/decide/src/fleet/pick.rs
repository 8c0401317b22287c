//! Which target gets a request.

use std::collections::BTreeMap;

use model::forward::{Allowed, PromptPart, Side, Target, TargetId};
use model::{Name, Time, hash};

use super::{Belief, ColdLimit, Fleet, Terms};
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
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// How far the others lie.
    pub map: &'a Map,
    /// What the request asks of its target.
    pub terms: Terms<'a>,
    /// Region whose targets are homes before others; `None` if those of any region are.
    pub region: Option<&'a Name>,
    /// Targets that the request was sent to before.
    pub but: &'a [TargetId],
    /// Requests that this node may have at one target: its part of the connections that
    /// a target takes from all nodes together.
    pub most_each: u32,
    /// Share of homes by failure domain, relative to each other; equal if empty.
    pub shares: &'a [(Name, f64)],
    /// What the service's cold targets bear; `None` if as much as others.
    pub limit: Option<ColdLimit>,
    /// Which of them may be chosen.
    pub cold: ColdStarts<'a>,
    /// Whether the request may be sent again after a target ran it.
    pub may_repeat: bool,
}

impl Wanted<'_> {
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
    pub shared: u64,
}

/// Tokens in flight above which the next target in the home's order is looked at.
const SPILL_TOKENS: u64 = 40_000;
/// Size of a part beside the largest below which it does not decide about the home.
const SMALL_PART: f64 = 0.2;
/// Makers that a failure domain without any is counted with.
const NO_MAKER: f64 = 0.2;
/// Extra milliseconds that a request to another failure domain of the region costs.
const CROSSING_MS: f64 = 2.0;
/// Milliseconds assumed of a target that has answered nothing yet.
const UNKNOWN_MS: f64 = 20.0;

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
        let is_large = |p: &&PromptPart| p.tokens as f64 >= largest as f64 * SMALL_PART;
        let part = shared.iter().rev().find(is_large)?;
        Some(Home { key: part.id, shared: shared.iter().map(|p| p.tokens).sum() })
    }
}

/// Extra milliseconds that a request to a failure domain costs.
fn crossing_ms(wanted: Wanted<'_>, domain: &Name) -> f64 {
    if **domain == *wanted.domain {
        return 0.0;
    }
    if wanted.map.is_near(domain) {
        return CROSSING_MS;
    }
    wanted.map.round_trip(domain).as_secs_f64() * 1000.0
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
    makers: &str,
    targets: &str,
    allowed: &Allowed,
    now: Time,
) -> Vec<(Name, f64)> {
    let terms = Terms { allowed, side: Side::Serving };
    let count = |service: &str| {
        let mut by_domain: BTreeMap<Name, u32> = BTreeMap::new();
        // A rest is over in a moment, and homes that moved meanwhile are read anew.
        for b in fleet.on_terms(service, terms, now) {
            *by_domain.entry(b.target.domain.clone()).or_default() += 1;
        }
        by_domain
    };
    let makers = count(makers);
    if makers.is_empty() {
        return Vec::new();
    }
    let share = |(domain, targets): (Name, u32)| {
        let made = makers.get(&domain).map_or(NO_MAKER, |n| f64::from(*n));
        let share = made / f64::from(targets);
        (domain, share)
    };
    count(targets).into_iter().map(share).collect()
}

/// Targets in the order in which they are the home of a prompt.
fn home_order<'a>(
    targets: impl Iterator<Item = &'a Belief>,
    wanted: Wanted<'_>,
    home: Home,
) -> Vec<&'a Belief> {
    let place = |b: &'a Belief| {
        let hash = hash::mix(home.key, hash::of(b.target.id.name.as_bytes()));
        (distance(hash, wanted.share_of(&b.target.domain)), b)
    };
    let mut order: Vec<(f64, &Belief)> = targets.map(place).collect();
    order.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
    order.into_iter().map(|(_, b)| b).collect()
}

impl Fleet {
    /// The target with the least expected wait, for services without a cache; before it one
    /// that names a limit, lies near and was not asked for long, or one that was left out and may
    /// be well again. The latter is no place for a second send.
    pub fn pick_plain(&self, wanted: Wanted<'_>, now: Time, rng: &mut Rng) -> Option<Target> {
        let mut best: Option<(f64, &Belief)> = None;
        for b in self.candidates(wanted, now) {
            let crossing = crossing_ms(wanted, &b.target.domain);
            if crossing <= CROSSING_MS && self.limits().is_due(&b.target.id, now) {
                return Some(b.target.clone());
            }
            if wanted.but.is_empty() && b.wants_probe(wanted.may_repeat, now) {
                return Some(b.target.clone());
            }
            let mean = b.answer_ms(now).unwrap_or(UNKNOWN_MS) * b.slowdown(now);
            let jitter = rng.below(100) as f64 / 100.0;
            let cost =
                mean * (1.0 + b.load(now)) / (1.0 - b.failing(now)).max(0.05) + crossing + jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, b));
            }
        }
        best.map(|(_, b)| b.target.clone())
    }

    /// The first target in the home's order that is not overloaded, so that all
    /// nodes of a region find the same one without a message. One of the wanted region if any
    /// is.
    pub fn pick_home(&self, wanted: Wanted<'_>, home: Home, now: Time) -> Option<Target> {
        let mut order = home_order(self.candidates(wanted, now), wanted, home);
        if let Some(region) = wanted.region {
            order.sort_by_key(|b| wanted.map.region_of(&b.target.domain) != *region);
        }
        let free = |b: &&&Belief| b.prefill < SPILL_TOKENS && b.outstanding < b.target.slots;
        let chosen = order.iter().find(free).or(order.first());
        chosen.map(|b| b.target.clone())
    }

    /// Targets of the wanted failure domain in the home's order.
    pub fn near_homes(&self, wanted: Wanted<'_>, home: Home, now: Time) -> Vec<TargetId> {
        let near = self.candidates(wanted, now).filter(|b| *b.target.domain == *wanted.domain);
        home_order(near, wanted, home).into_iter().map(|b| b.target.id.clone()).collect()
    }

    /// Usable targets not tried yet that take another connection; those left out for failures only if no other is.
    fn candidates<'a>(&'a self, wanted: Wanted<'a>, now: Time) -> impl Iterator<Item = &'a Belief> {
        let fresh = move |b: &&Belief| {
            !wanted.but.contains(&b.target.id)
                && b.outstanding < wanted.most_each
                && !self.limits().is_closed(&b.target.id, now)
                && self.may_start(b, wanted, now)
        };
        let sound = self
            .usable(wanted.service, wanted.terms, now)
            .filter(fresh)
            .any(|b| !b.is_ejected(now));
        self.usable(wanted.service, wanted.terms, now)
            .filter(fresh)
            .filter(move |b| !sound || !b.is_ejected(now))
    }

    /// Whether a request may start at a target, if that is cold.
    fn may_start(&self, b: &Belief, wanted: Wanted<'_>, now: Time) -> bool {
        let Some(limit) = wanted.limit.filter(|l| self.is_cold(b, *l, now)) else {
            return true;
        };
        match wanted.cold {
            ColdStarts::Avoid => false,
            ColdStarts::InTurn(is_own) => {
                limit.gap.is_some() && b.next_start <= now && is_own(&b.target.id)
            }
        }
    }

    /// Whether a target lies in a region that is allowed; one that is not known lies in none.
    pub fn is_allowed_at(&self, id: &TargetId, allowed: &Allowed) -> bool {
        let region = self.domain_of(id).and_then(|domain| self.regions().of(domain));
        allowed.permits(region.map(|r| &**r))
    }

    /// Failure domain of a target.
    pub fn domain_of(&self, id: &TargetId) -> Option<&Name> {
        self.get(id).map(|b| &b.target.domain)
    }
}
