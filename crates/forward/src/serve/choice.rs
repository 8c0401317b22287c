//! Which target a request goes to.

use std::time::Duration;

use decide::fleet::{ColdStarts, Exclusion, Home, PickCriteria, Terms, home_weights};
use decide::region::Map;
use decide::resend::Next;
use model::forward::{Allowed, LARGE_RESULT, Phase, Side, Target, TargetId};
use model::{Name, Time};

use super::exchange::{COME_BACK, Exchange};
use crate::events::Event;
use crate::limits::{self, Permit};
use crate::prefill::{self, Prompt, Ticket};
use crate::quarantine::HELD;
use crate::rollout;
use crate::stages::RequestResults;

/// Asks for permits that may hold one request up.
const PERMIT_ASKS: usize = 3;

/// The target of one send.
pub struct Choice {
    /// Target.
    pub target: Target,
    /// Held until the target has read the prompt, if a scheduler chose it.
    pub ticket: Option<Ticket>,
    /// What allows the send.
    pub permit: Permit,
}

/// A target that is chosen, before its permit is asked for.
struct Pick {
    target: Target,
    ticket: Option<Ticket>,
    by: &'static str,
    /// Prompt tokens that it has to read before, as far as is known.
    ahead: u64,
}

impl Exchange {
    /// The target that a request is best sent to now; a cold one only if it is this node's
    /// turn to start a request there.
    pub(super) fn choose(&self) -> Option<Target> {
        let chosen = self.choose_now();
        if chosen.is_none() && self.leave_trial() {
            return self.choose_now();
        }
        chosen
    }

    fn choose_now(&self) -> Option<Target> {
        let now = self.node.now();
        let owns = |id: &TargetId| self.node.peers.roster(|r| r.owns(&id.name, now));
        let but = self.progress(|p| p.but.clone());
        let settings = self.node.settings();
        let allowed = self.allowed_now();
        let shares = self.home_shares(&allowed, now);
        let map = self.node.peers.roster(|r| r.map());
        let region = self.home_region(&map);
        let wanted = PickCriteria {
            service: &self.service,
            domain: &settings.domain,
            map: &map,
            home_region: region.as_ref(),
            terms: self.terms(&allowed),
            exclude: &but,
            max_per_target: self.connections_each(),
            home_weights: &shares,
            cold_limit: self.node.cold_limit(&self.service),
            cold_starts: ColdStarts::InTurn(&owns),
            may_repeat: self.route.repeat.may_repeat() && self.route.max_attempts > 1,
        };
        let chosen = match self.home() {
            Some(home) => self.node.fleet(|f| f.pick_home(wanted, home, now)),
            None => self.node.fleet(|f| self.node.rng(|r| f.pick_by_wait(wanted, now, r))),
        }?;
        self.node.fleet(|f| f.note_chosen(&chosen.id, now));
        Some(chosen)
    }

    /// Regions in which what has not begun yet may be served: those allowed when the request
    /// was taken in, as far as the rules in force still allow them.
    pub(super) fn allowed_now(&self) -> Allowed {
        let table = self.node.table();
        if table.rules.version == self.version {
            return self.allowed.clone();
        }
        self.allowed.and(&table.allowed(&self.head))
    }

    /// Returns once other regions than these are allowed.
    pub(super) async fn allowed_changes(&self, from: &Allowed) {
        let mut versions = self.node.versions();
        while self.allowed_now() == *from {
            if versions.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// What the request asks of any target.
    fn terms<'a>(&self, allowed: &'a Allowed) -> Terms<'a> {
        Terms { allowed, side: self.version_now() }
    }

    /// Whether the rules in force allow the request where a target is.
    pub(super) fn is_allowed_at(&self, target: &TargetId) -> bool {
        let allowed = self.allowed_now();
        self.node.fleet(|f| f.is_in_allowed_region(target, &allowed))
    }

    /// Why the request may not go to a target any more that was chosen before its inputs were
    /// made or its connection stood; `None` if it may.
    pub(super) fn barred(&self, target: &TargetId) -> Option<&'static str> {
        let now = self.node.now();
        let allowed = self.allowed_now();
        let terms = self.terms(&allowed);
        self.node.fleet(|f| match f.get(target) {
            Some(belief) => f.exclusion(belief, terms, now).map(Exclusion::as_str),
            None => Some("gone"),
        })
    }

    /// Whether all results rest where the rules in force allow them.
    pub(super) fn is_inside(&self, made: &RequestResults) -> bool {
        let allowed = self.allowed_now();
        self.node.fleet(|f| made.workers().all(|maker| f.is_in_allowed_region(maker, &allowed)))
    }

    /// The first service, of those that the request needs, without any target in the regions
    /// that are allowed; `None` if the request names no regions.
    pub(super) fn unserved(&self) -> Option<&Name> {
        let allowed = self.allowed_now();
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

    /// Whether a failure domain lies in a region that is allowed, so that it may help to
    /// come back.
    pub(super) fn is_reachable(&self) -> bool {
        let allowed = self.allowed_now();
        self.node.fleet(|f| f.regions().any_allowed(&allowed))
    }

    /// The version that the request goes to now. While one is on trial a request goes to it once
    /// at most; where all go to one version, those that are under way do so too.
    fn version_now(&self) -> Side {
        let is_trial = self.side == Side::Trial && !self.progress(|p| p.left_trial);
        self.node.fleet(|f| match f.versions().phase(&self.service) {
            Some(Phase::Share(_)) if is_trial => Side::Trial,
            Some(Phase::Share(_)) => Side::Serving,
            Some(Phase::All | Phase::Back) | None => {
                f.versions().side_for_attempt(&self.service, &self.head.id)
            }
        })
    }

    /// The request goes to the version that serves from now on; whether it would have gone to
    /// the one on trial.
    fn leave_trial(&self) -> bool {
        let was_trial = self.version_now() == Side::Trial;
        self.progress(|p| p.left_trial = true);
        was_trial && self.version_now() == Side::Serving
    }

    fn home(&self) -> Option<Home> {
        Home::of(&self.head.prompt).filter(|_| self.node.settings().policy.homes)
    }

    /// Region in which the home is sought first: where the inputs lie, or this one. None if
    /// regions are as good as one. Shared parts are read in each region: sending prompts across
    /// saves half of that, and costs more in bytes and in time than it saves.
    fn home_region(&self, map: &Map) -> Option<Name> {
        if !map.is_split() {
            return None;
        }
        let lies_at = self.progress(|p| p.lies_at.clone());
        lies_at.or_else(|| Some(map.local_region()))
    }

    /// Whether a target is in the region where the inputs lie, if there are any. Inputs that
    /// another region made are larger than what the request sends there.
    pub(super) fn is_by_inputs(&self, target: &Target) -> bool {
        let map = self.node.peers.roster(|r| r.map());
        let lies_at = self.progress(|p| p.lies_at.clone());
        !map.is_split() || lies_at.is_none_or(|r| map.region_of(&target.domain) == r)
    }

    /// Connections that this node may have to one target: an equal part of what a target
    /// takes from all nodes.
    fn connections_each(&self) -> u32 {
        let nodes = self.node.peers.roster(|r| r.max_seen()) as u32;
        let table = self.node.table();
        let all = table.service(&self.service).map_or(u32::MAX, |s| s.connections);
        (all / nodes.max(1)).max(1)
    }

    /// Shares of homes by failure domain, where the route has large results that are
    /// made near their target.
    fn home_shares(&self, allowed: &Allowed, now: Time) -> Vec<(Name, f64)> {
        let large = self.route.stages.iter().find(|s| s.bytes >= LARGE_RESULT);
        let large = large.filter(|_| self.node.settings().policy.weighted_homes);
        let Some(makers) = large.map(|s| &s.service) else {
            return Vec::new();
        };
        self.node.fleet(|f| home_weights(f, makers, &self.service, allowed, now))
    }

    /// Whether a target chosen a while ago, or by another node, may get the request.
    fn is_usable(&self, target: &Target) -> bool {
        let now = self.node.now();
        let most = self.connections_each();
        let allowed = self.allowed_now();
        let terms = self.terms(&allowed);
        self.node.fleet(|f| {
            let belief = f.get(&target.id);
            let is_sound = belief.is_some_and(|b| !b.is_ejected(now) && b.outstanding < most);
            is_sound
                && f.is_usable(&target.id, terms, now)
                && !f.limits().is_closed(&target.id, now)
        })
    }

    /// Whether a target is cold.
    fn is_cold(&self, target: &Target) -> bool {
        let Some(limit) = self.node.cold_limit(&self.service) else {
            return false;
        };
        let now = self.node.now();
        self.node.fleet(|f| f.get(&target.id).is_some_and(|b| f.is_cold(b, limit, now)))
    }

    /// The next target; `None` if the request is not to be sent again.
    pub(super) async fn next_target(&self, chosen: Option<Target>) -> Option<Choice> {
        if self.held().is_some() {
            self.node.metrics.held_back(&self.route.name);
            self.progress(|p| p.why = HELD.into());
            return None;
        }
        let tries = self.progress(|p| p.tries);
        let next = tries.next(self.left(), || self.node.take_repeat(&self.service));
        if next != Next::Resend {
            return None;
        }
        if self.progress(|p| !p.but.is_empty()) {
            self.leave_trial();
        }
        self.permitted(chosen).await
    }

    /// A target that this request may be sent to now, `chosen` if it may. One whose keeper grants
    /// no permit is closed to this node, so that another one is chosen.
    async fn permitted(&self, mut chosen: Option<Target>) -> Option<Choice> {
        for asks in 0.. {
            if asks >= PERMIT_ASKS {
                self.avoid_limited();
            }
            let Pick { target, ticket, by, ahead } = self.pick(chosen.take()).await?;
            if ticket.is_none() {
                // Before the permit: another request of this node would start there meanwhile.
                self.start(&target);
            }
            let id = || self.head.id.clone();
            if let Some(permit) = limits::permit(&self.node, &target, 1, id).await {
                self.tell(&target, by, ahead);
                return Some(Choice { target, ticket, permit });
            }
        }
        None
    }

    /// Targets that name a limit are not chosen for this request any more: each ask for a permit
    /// holds it up.
    fn avoid_limited(&self) {
        let limited: Vec<TargetId> =
            self.node.fleet(|f| f.limits().named().map(|(id, _)| id.clone()).collect());
        self.progress(|p| p.but.extend(limited));
    }

    async fn pick(&self, chosen: Option<Target>) -> Option<Pick> {
        let Some(first) = chosen.filter(|t| self.is_usable(t)).or_else(|| self.choose()) else {
            let why = self.no_target();
            self.progress(|p| p.why = format!("{why}; before: {}", p.why));
            return None;
        };
        if let Some(pick) = self.scheduled(&first).await {
            return Some(pick);
        }
        let Some(target) = self.in_turn(first) else {
            self.progress(|p| p.why = "all targets are cold".into());
            return None;
        };
        let by = if self.head.prompt.is_empty() { "least_wait" } else { "home" };
        Some(Pick { target, ticket: None, by, ahead: 0 })
    }

    /// The target itself, or another one if it is cold and not this node's to start a request
    /// at now: that may have changed since it was chosen.
    fn in_turn(&self, target: Target) -> Option<Target> {
        if self.is_cold(&target) { self.choose() } else { Some(target) }
    }

    /// A request starts at a target that no scheduler chose; if that is cold, the next one
    /// of this node has to wait.
    fn start(&self, target: &Target) {
        if let Some(limit) = self.node.cold_limit(&self.service) {
            let now = self.node.now();
            self.node.fleet(|f| f.note_cold_start(&target.id, limit, now));
        }
    }

    /// The engine that a scheduler chooses near the prompt's home.
    async fn scheduled(&self, first: &Target) -> Option<Pick> {
        let home = self.home().filter(|_| self.node.settings().policy.scheduling)?;
        let prompt = Prompt {
            attempt: self.head.id.as_str().into(),
            allowed: self.allowed_now(),
            side: self.version_now(),
            home,
            tokens: self.head.tokens_in,
            slack_ms: self.slack().as_millis() as u64,
            but: self.not_chosen(),
        };
        let scheduled = prefill::schedule(&self.node, first, prompt).await?;
        let target = self.node.fleet(|f| f.get(&scheduled.engine).map(|b| b.target.clone()))?;
        if !self.is_usable(&target) {
            return None;
        }
        let (ticket, ahead) = (Some(scheduled.ticket), scheduled.ahead);
        Some(Pick { target, ticket, by: "scheduler", ahead })
    }

    /// Targets that a scheduler is not to choose: it does not know which are closed to this node,
    /// nor what they told it.
    fn not_chosen(&self) -> Vec<TargetId> {
        let now = self.node.now();
        let mut but = self.progress(|p| p.but.clone());
        self.node.fleet(|f| {
            let limited = f.limits().named().map(|(id, _)| id);
            but.extend(limited.filter(|id| f.limits().is_closed(id, now)).cloned());
            let told = f.notices().draining().chain(f.notices().backed_off(now));
            but.extend(told.filter(|id| f.belongs_to(id, &self.service)).cloned());
        });
        but
    }

    /// Time after which to come back if all targets that may serve the request are at their limits.
    pub(super) fn limit_wait(&self) -> Option<Duration> {
        let now = self.node.now();
        let allowed = self.allowed_now();
        let targets: Vec<TargetId> = self.node.fleet(|f| {
            let rests = |id: &TargetId| f.notices().backoff_until(id, now).is_some();
            let ids = f.eligible_in(&self.service, &allowed, now).map(|b| &b.target.id);
            ids.filter(|id| !rests(id)).cloned().collect()
        });
        self.node.limits.come_back(&self.node, &self.service, &targets)
    }

    /// Time after which to come back if all targets that may serve the request want nothing for a
    /// while. Callers are told somewhat different ones: each node tries one request first.
    pub(super) fn rest_wait(&self) -> Option<Duration> {
        let now = self.node.now();
        let allowed = self.allowed_now();
        let left = self.node.fleet(|f| f.backoff_left(&self.service, &allowed, now))?;
        Some(left + self.node.rng(|r| r.jitter(COME_BACK)))
    }

    /// Why no target is left.
    pub(super) fn no_target(&self) -> String {
        let lacking = self.unserved().map_or(String::new(), |s| format!(" of {s}"));
        let inside = inside(&self.allowed_now());
        match self.evacuated().as_slice() {
            [] => format!("no target{lacking}{inside}"),
            domains => {
                format!("no target{lacking}{inside} outside of evacuated {}", domains.join(", "))
            }
        }
    }

    fn evacuated(&self) -> Vec<Name> {
        self.node.fleet(|f| f.evacuated().domains().cloned().collect())
    }

    fn tell(&self, target: &Target, by: &str, ahead: u64) {
        let region = self.node.fleet(|f| f.regions().of(&target.domain).cloned());
        let allowed: Vec<Name> = self.allowed_now().names().cloned().collect();
        let phase = self.node.fleet(|f| f.versions().phase(&self.service));
        let side = match self.version_now() {
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
            by,
            ahead,
            cold: self.is_cold(target),
            limit: self.node.fleet(|f| f.limits().get(&target.id)),
            notice,
            evacuated: &self.evacuated(),
            left_ms: self.left().as_millis() as u64,
            targets_age_ms: self.node.targets_age_ms(),
        }
        .emit();
    }
}

/// The regions that are allowed, as part of a reason; nothing if all are.
fn inside(allowed: &Allowed) -> String {
    let names: Vec<&str> = allowed.names().map(|name| &**name).collect();
    match names.as_slice() {
        _ if allowed.is_any() => String::new(),
        [] => ": no region is allowed".into(),
        names => format!(" in allowed {}", names.join(", ")),
    }
}
