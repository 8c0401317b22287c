//! Choice of the target for a request.

use std::time::Duration;

use decide::fleet::{ColdStarts, Exclusion, Home, PickCriteria, Terms, home_weights};
use decide::region::Map;
use decide::resend::Next;
use model::forward::{Allowed, LARGE_RESULT_BYTES, Phase, Side, Target, TargetId};
use model::{Name, Time};

use super::exchange::{Exchange, NO_TARGET_RETRY_AFTER};
use crate::events::Event;
use crate::limits::{self, Permit};
use crate::prefill::{self, Prompt, PromptGuard};
use crate::repeat::RepeatGuard;
use crate::rollout;
use crate::slots::{self, SlotGuard};
use crate::stages::RequestResults;

/// Maximum number of requests for permits and slots that may delay one request; after that, targets
/// that need one are excluded.
const MAX_PERMIT_REQUESTS: usize = 3;

/// The target of one attempt.
pub struct Choice {
    pub target: Target,
    /// Held until the target has read the prompt, if a scheduler chose the target.
    pub prompt_guard: Option<PromptGuard>,
    pub permit: Permit,
    /// The repeat taken from the budget, unless this is the first attempt.
    pub repeat: Option<RepeatGuard>,
    /// Slot that the request holds if the target is brittle.
    pub slot: Option<SlotGuard>,
}

/// A target whose permit has not been requested yet.
struct Pick {
    target: Target,
    prompt_guard: Option<PromptGuard>,
    chosen_by: &'static str,
    /// Prompt tokens queued ahead at the target, as far as known.
    tokens_ahead: u64,
}

impl Exchange {
    /// The best target for the request now; a cold one only if it is this node's turn to start a
    /// request there. Falls back to the serving version if the trial version has no target.
    pub(super) fn choose(&self) -> Option<Target> {
        let chosen = self.try_choose();
        if chosen.is_none() && self.leave_trial() {
            return self.try_choose();
        }
        chosen
    }

    fn try_choose(&self) -> Option<Target> {
        let now = self.node.now();
        let owns = |id: &TargetId| self.node.peers.roster(|r| r.owns(&id.name, now));
        let excluded = self.excluded_targets(now);
        let settings = self.node.settings();
        let allowed = self.allowed_regions();
        let version = self.stream_version();
        let weights = self.home_weights(&allowed, now);
        let map = self.node.peers.roster(|r| r.map());
        let region = self.home_region(&map);
        let criteria = PickCriteria {
            service: &self.service,
            domain: &settings.domain,
            map: &map,
            home_region: region.as_ref(),
            terms: self.terms(&allowed, version.as_ref()),
            exclude: &excluded,
            max_per_target: self.max_connections(),
            home_weights: &weights,
            cold_limit: self.node.cold_limit(&self.service),
            cold_starts: ColdStarts::InTurn(&owns),
            may_repeat: self.route.repeat.may_repeat() && self.route.max_attempts > 1,
        };
        let chosen = match self.home() {
            Some(home) => self.node.fleet(|f| f.pick_home(criteria, home, now)),
            None => self.node.fleet(|f| self.node.rng(|r| f.pick_by_wait(criteria, now, r))),
        }?;
        self.node.fleet(|f| f.record_choice(&chosen.id, now));
        Some(chosen)
    }

    /// Targets that must not be chosen: those already tried and, for a replacement, silent ones.
    fn excluded_targets(&self, now: Time) -> Vec<TargetId> {
        let (mut excluded, quiet_time) = self.progress(|p| (p.excluded.clone(), p.quiet_time));
        if let Some(quiet_time) = quiet_time {
            let since = now - quiet_time;
            self.node.fleet(|f| excluded.extend(f.silent_targets(&self.service, since).cloned()));
        }
        excluded
    }

    /// Regions in which the remaining work may be done: those allowed at admission, as far as the
    /// rules in force still allow them.
    pub(super) fn allowed_regions(&self) -> Allowed {
        let table = self.node.table();
        if table.rules.version == self.rules_version {
            return self.allowed.clone();
        }
        self.allowed.intersection(&table.allowed_regions(&self.head))
    }

    /// Returns once the allowed regions differ from `from`.
    pub(super) async fn wait_allowed_changed(&self, from: &Allowed) {
        let mut versions = self.node.subscribe_version();
        while self.allowed_regions() == *from {
            if versions.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// The only version that may serve the request, if it is the rest of a stream.
    fn stream_version(&self) -> Option<Name> {
        self.progress(|p| p.begun_at.clone())
    }

    /// Constraints that every target of the request must meet.
    fn terms<'a>(&self, allowed: &'a Allowed, version: Option<&'a Name>) -> Terms<'a> {
        Terms { allowed, side: self.current_side(), version }
    }

    /// Whether a target is in an allowed region.
    pub(super) fn is_target_allowed(&self, target: &TargetId) -> bool {
        let allowed = self.allowed_regions();
        self.node.fleet(|f| f.is_in_allowed_region(target, &allowed))
    }

    /// Why the request may no longer be sent to a target, which was chosen before its inputs were
    /// computed or its connection was open; `None` if it still may.
    pub(super) fn exclusion_reason(&self, target: &TargetId) -> Option<&'static str> {
        let now = self.node.now();
        let (allowed, version) = (self.allowed_regions(), self.stream_version());
        let terms = self.terms(&allowed, version.as_ref());
        self.node.fleet(|f| match f.get(target) {
            Some(state) => f.exclusion(state, terms, now).map(Exclusion::as_str),
            None => Some("gone"),
        })
    }

    /// Whether all results are stored in allowed regions.
    pub(super) fn is_result_allowed(&self, results: &RequestResults) -> bool {
        let allowed = self.allowed_regions();
        self.node
            .fleet(|f| results.workers().all(|worker| f.is_in_allowed_region(worker, &allowed)))
    }

    /// The first service that the request needs and that has no target in the allowed regions;
    /// `None` if there is none, or all regions are allowed.
    pub(super) fn unserved_service(&self) -> Option<&Name> {
        let allowed = self.allowed_regions();
        if allowed.is_any() {
            return None;
        }
        let now = self.node.now();
        let has_none = |service: &Name| {
            self.node.fleet(|f| f.eligible_in(service, &allowed, now).next().is_none())
        };
        let pieces_of = |i: usize| self.head.pieces.get(i).copied().unwrap_or(0);
        let stages = self.route.stages.iter().enumerate().filter(|(i, _)| pieces_of(*i) > 0);
        let mut needed = stages.map(|(_, s)| &s.service).chain([&self.service]);
        needed.find(|service| has_none(service))
    }

    /// Whether any failure domain is in an allowed region, so that a retry may succeed.
    pub(super) fn has_allowed_domain(&self) -> bool {
        let allowed = self.allowed_regions();
        self.node.fleet(|f| f.regions().any_allowed(&allowed))
    }

    /// Side of the rollout that the request uses now. During a trial a request is sent to the trial
    /// version at most once; once all requests go to one version, those in progress do so too. The
    /// rest of a stream stays with its version.
    fn current_side(&self) -> Side {
        if let Some(version) = self.stream_version() {
            let side = self.node.fleet(|f| f.versions().side(&self.service, &version));
            return side.unwrap_or(Side::Serving);
        }
        let is_trial = self.side == Side::Trial && !self.progress(|p| p.left_trial);
        self.node.fleet(|f| match f.versions().phase(&self.service) {
            Some(Phase::Share(_)) if is_trial => Side::Trial,
            Some(Phase::Share(_)) => Side::Serving,
            Some(Phase::All | Phase::Back) | None => {
                f.versions().side_for_attempt(&self.service, &self.head.id)
            }
        })
    }

    /// Moves the request to the serving version; returns whether it was on the trial version.
    fn leave_trial(&self) -> bool {
        let was_trial = self.current_side() == Side::Trial;
        self.progress(|p| p.left_trial = true);
        was_trial && self.current_side() == Side::Serving
    }

    fn home(&self) -> Option<Home> {
        Home::for_prompt(&self.head.prompt).filter(|_| self.node.settings().policy.homes)
    }

    /// Region whose targets are preferred as homes: that of the inputs, or else the local one;
    /// `None` if the regions count as one. Each region reads shared prompt prefixes itself: sending
    /// prompts to another region would save half of that, but costs more bytes and time than it
    /// saves.
    fn home_region(&self, map: &Map) -> Option<Name> {
        if !map.is_split() {
            return None;
        }
        let input_region = self.progress(|p| p.input_region.clone());
        input_region.or_else(|| Some(map.local_region()))
    }

    /// Whether a target is in the region of the inputs, if there are any. Fetching inputs from
    /// another region takes more bytes than sending the request there.
    pub(super) fn is_near_inputs(&self, target: &Target) -> bool {
        let map = self.node.peers.roster(|r| r.map());
        let input_region = self.progress(|p| p.input_region.clone());
        !map.is_split() || input_region.is_none_or(|r| map.region_of(&target.domain) == r)
    }

    /// Maximum connections of this node to one target: an equal share of what a target accepts
    /// from all nodes.
    fn max_connections(&self) -> u32 {
        let nodes = self.node.peers.roster(|r| r.max_seen()) as u32;
        let table = self.node.table();
        let all = table.service(&self.service).map_or(u32::MAX, |s| s.connections);
        (all / nodes.max(1)).max(1)
    }

    /// Weights of the failure domains for homes, for a route with large results, which are produced
    /// close to their target; empty for other routes.
    fn home_weights(&self, allowed: &Allowed, now: Time) -> Vec<(Name, f64)> {
        let large = self.route.stages.iter().find(|s| s.bytes >= LARGE_RESULT_BYTES);
        let large = large.filter(|_| self.node.settings().policy.weighted_homes);
        let Some(workers) = large.map(|s| &s.service) else {
            return Vec::new();
        };
        self.node.fleet(|f| home_weights(f, workers, &self.service, allowed, now))
    }

    /// Whether a target that was chosen earlier, or by another node, may still get the request.
    fn is_usable(&self, target: &Target) -> bool {
        let now = self.node.now();
        let max_connections = self.max_connections();
        let (allowed, version) = (self.allowed_regions(), self.stream_version());
        let terms = self.terms(&allowed, version.as_ref());
        self.node.fleet(|f| {
            let state = f.get(&target.id);
            let is_available =
                state.is_some_and(|b| !b.is_ejected(now) && b.outstanding < max_connections);
            is_available
                && f.is_usable(&target.id, terms, now)
                && !f.limits().is_closed(&target.id, now)
                && !f.brittle().is_closed(&target.id, now)
        })
    }

    fn is_cold(&self, target: &Target) -> bool {
        let Some(limit) = self.node.cold_limit(&self.service) else {
            return false;
        };
        let now = self.node.now();
        self.node.fleet(|f| f.get(&target.id).is_some_and(|b| f.is_cold(b, limit, now)))
    }

    /// The next target; `None` if the request may not be sent again or no target may get it.
    pub(super) async fn next_target(&self, chosen: Option<Target>) -> Option<Choice> {
        if let Some(held) = self.quarantine_refusal() {
            self.node.metrics.count_quarantine_refusal(&self.route.name);
            self.progress(|p| p.reason = held.reason.into());
            return None;
        }
        let attempts = self.progress(|p| p.attempts);
        let mut repeat = None;
        let next = attempts.next(self.time_left(), || {
            repeat = RepeatGuard::take(&self.node, &self.service);
            repeat.is_some()
        });
        if next != Next::Resend {
            return None;
        }
        if self.progress(|p| !p.excluded.is_empty()) {
            self.leave_trial();
        }
        self.choose_permitted(chosen, repeat).await
    }

    /// A target that the request may be sent to now, preferably `chosen`. A target whose keeper
    /// grants no permit or slot becomes closed to this node, so that another one is chosen.
    async fn choose_permitted(
        &self,
        mut chosen: Option<Target>,
        mut repeat: Option<RepeatGuard>,
    ) -> Option<Choice> {
        for requests in 0.. {
            if requests >= MAX_PERMIT_REQUESTS {
                self.exclude_limited();
            }
            let Pick { target, prompt_guard, chosen_by, tokens_ahead } =
                self.pick(chosen.take()).await?;
            if prompt_guard.is_none() {
                // Recorded before the permit is requested: another request of this node would
                // otherwise start there meanwhile.
                self.record_cold_start(&target);
            }
            let (wait, time_left) = (self.slack(), self.time_left());
            let slot = slots::request_slot(&self.node, &target, &self.head.id, wait, time_left);
            let Ok(slot) = slot.await else {
                continue;
            };
            let id = || self.head.id.clone();
            if let Some(permit) = limits::request_permit(&self.node, &target, 1, id).await {
                self.log_choice(&target, chosen_by, tokens_ahead);
                let repeat = repeat.take();
                return Some(Choice { target, prompt_guard, permit, repeat, slot });
            }
        }
        None
    }

    /// Excludes targets that name a limit or are brittle from now on, since each request for a
    /// permit or a slot delays the request.
    fn exclude_limited(&self) {
        let (now, allowed) = (self.node.now(), self.allowed_regions());
        let limited: Vec<TargetId> = self.node.fleet(|f| {
            let limited = f.limits().limited().map(|(id, _)| id);
            let targets = f.eligible_in(&self.service, &allowed, now).map(|t| &t.target);
            let brittle = targets.filter(|t| f.brittle().max_rejected(t, now).is_some());
            limited.chain(brittle.map(|t| &t.id)).cloned().collect()
        });
        self.progress(|p| p.excluded.extend(limited));
    }

    async fn pick(&self, chosen: Option<Target>) -> Option<Pick> {
        let Some(first) = chosen.filter(|t| self.is_usable(t)).or_else(|| self.choose()) else {
            let reason = self.no_target_reason();
            self.progress(|p| p.reason = format!("{reason}; before: {}", p.reason));
            return None;
        };
        if let Some(pick) = self.pick_scheduled(&first).await {
            return Some(pick);
        }
        let Some(target) = self.recheck_cold(first) else {
            self.progress(|p| p.reason = "all targets are cold".into());
            return None;
        };
        let chosen_by = if self.head.prompt.is_empty() { "least_wait" } else { "home" };
        Some(Pick { target, prompt_guard: None, chosen_by, tokens_ahead: 0 })
    }

    /// Chooses again if the target is cold: whether this node may start a request there may have
    /// changed since it was chosen.
    fn recheck_cold(&self, target: Target) -> Option<Target> {
        if self.is_cold(&target) { self.choose() } else { Some(target) }
    }

    /// Records that the request starts at a target that no scheduler chose; if the target is cold,
    /// this node's next start there is delayed.
    fn record_cold_start(&self, target: &Target) {
        if let Some(limit) = self.node.cold_limit(&self.service) {
            let now = self.node.now();
            self.node.fleet(|f| f.record_cold_start(&target.id, limit, now));
        }
    }

    /// The engine that a scheduler chooses near the prompt's home, if it is usable.
    async fn pick_scheduled(&self, first: &Target) -> Option<Pick> {
        let home = self.home().filter(|_| self.node.settings().policy.scheduling)?;
        let prompt = Prompt {
            attempt: self.head.id.as_str().into(),
            allowed: self.allowed_regions(),
            side: self.current_side(),
            home,
            tokens: self.head.tokens_in,
            slack_ms: self.slack().as_millis() as u64,
            excluded: self.scheduler_exclusions(),
        };
        let scheduled = prefill::schedule(&self.node, first, prompt).await?;
        let target = self.node.fleet(|f| f.get(&scheduled.engine).map(|b| b.target.clone()))?;
        if !self.is_usable(&target) {
            return None;
        }
        let (prompt_guard, tokens_ahead) = (Some(scheduled.prompt_guard), scheduled.tokens_ahead);
        Some(Pick { target, prompt_guard, chosen_by: "scheduler", tokens_ahead })
    }

    /// Targets that a scheduler must not choose: it does not know which are closed to this node,
    /// nor which notices they sent to it.
    fn scheduler_exclusions(&self) -> Vec<TargetId> {
        let now = self.node.now();
        let mut excluded = self.excluded_targets(now);
        self.node.fleet(|f| {
            let limited = f.limits().limited().map(|(id, _)| id);
            excluded.extend(limited.filter(|id| f.limits().is_closed(id, now)).cloned());
            let brittle = f.brittle().closed(now);
            excluded.extend(brittle.filter(|id| f.belongs_to(id, &self.service)).cloned());
            let unwilling = f.notices().draining().chain(f.notices().backed_off(now));
            excluded.extend(unwilling.filter(|id| f.belongs_to(id, &self.service)).cloned());
        });
        excluded
    }

    /// Retry delay if all targets that may serve the request are at their limits.
    pub(super) fn limit_retry_after(&self) -> Option<Duration> {
        self.node.limits.retry_after(&self.node, &self.service, &self.willing_targets())
    }

    /// Retry delay if no target that may serve the request has a free slot.
    pub(super) fn slot_retry_after(&self) -> Option<Duration> {
        self.node.slots.retry_after(&self.node, &self.service, &self.willing_targets())
    }

    /// Targets that may serve the request and did not ask for a backoff.
    fn willing_targets(&self) -> Vec<TargetId> {
        let now = self.node.now();
        let allowed = self.allowed_regions();
        let version = self.stream_version();
        self.node.fleet(|f| {
            let is_backed_off = |id: &TargetId| f.notices().backoff_until(id, now).is_some();
            let targets = f.eligible_in(&self.service, &allowed, now).map(|b| &b.target);
            let targets = targets.filter(|t| version.as_ref().is_none_or(|v| *v == t.version));
            targets.map(|t| &t.id).filter(|id| !is_backed_off(id)).cloned().collect()
        })
    }

    /// Retry delay if all targets that may serve the request are backed off. Callers get different
    /// delays, because each node sends a single request first when a backoff ends.
    pub(super) fn backoff_retry_after(&self) -> Option<Duration> {
        let now = self.node.now();
        let allowed = self.allowed_regions();
        let remaining = self.node.fleet(|f| f.backoff_left(&self.service, &allowed, now))?;
        Some(remaining + self.node.rng(|r| r.jitter(NO_TARGET_RETRY_AFTER)))
    }

    /// Why no target is left.
    pub(super) fn no_target_reason(&self) -> String {
        let of_service = self.unserved_service().map_or(String::new(), |s| format!(" of {s}"));
        let of_version = self.stream_version().map_or(String::new(), |v| format!(" at {v}"));
        let in_regions = describe_allowed(&self.allowed_regions());
        let reason = format!("no target{of_service}{of_version}{in_regions}");
        match self.evacuated_domains().as_slice() {
            [] => reason,
            domains => format!("{reason} outside of evacuated {}", domains.join(", ")),
        }
    }

    fn evacuated_domains(&self) -> Vec<Name> {
        self.node.fleet(|f| f.evacuated().domains().cloned().collect())
    }

    fn log_choice(&self, target: &Target, chosen_by: &str, tokens_ahead: u64) {
        let region = self.node.fleet(|f| f.regions().region_of(&target.domain).cloned());
        let allowed: Vec<Name> = self.allowed_regions().names().cloned().collect();
        let phase = self.node.fleet(|f| f.versions().phase(&self.service));
        let side = match self.current_side() {
            _ if phase.is_none() => "",
            Side::Trial => "trial",
            Side::Serving if self.side == Side::Trial => "left_trial",
            Side::Serving => "serving",
        };
        let now = self.node.now();
        let notice = self.node.fleet(|f| match f.notices() {
            notices if notices.is_draining(&target.id) => "leaving",
            notices if notices.backoff_until(&target.id, now).is_some() => "retry_after",
            _ => "",
        });
        Event::Chosen {
            id: &self.head.id,
            target: &target.id.name,
            region: region.as_deref().unwrap_or_default(),
            allowed: &allowed,
            version: &target.version,
            side,
            share: phase.map(|phase| rollout::name_and_share(phase).1),
            by: chosen_by,
            ahead: tokens_ahead,
            cold: self.is_cold(target),
            limit: self.node.fleet(|f| f.limits().get(&target.id)),
            notice,
            evacuated: &self.evacuated_domains(),
            left_ms: self.time_left().as_millis() as u64,
            targets_age_ms: self.node.targets_age_ms(),
        }
        .emit();
    }
}

/// The allowed regions as part of a reason; empty if all are allowed.
fn describe_allowed(allowed: &Allowed) -> String {
    let names: Vec<&str> = allowed.names().map(|name| &**name).collect();
    match names.as_slice() {
        _ if allowed.is_any() => String::new(),
        [] => ": no region is allowed".into(),
        names => format!(" in allowed {}", names.join(", ")),
    }
}
