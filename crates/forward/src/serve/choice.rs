//! Which target a request goes to.

use decide::fleet::{ColdStarts, Home, Terms, Wanted, shares};
use decide::region::Map;
use decide::resend::Next;
use model::forward::{LARGE_RESULT, Target, TargetId};
use model::{Name, Time};

use super::exchange::Exchange;
use crate::events::Event;
use crate::prefill::{self, Prompt, Ticket};

/// The target of one send.
pub struct Choice {
    /// Target.
    pub target: Target,
    /// Held until the target has read the prompt, if a scheduler chose it.
    pub ticket: Option<Ticket>,
}

impl Exchange {
    /// The target that a request is best sent to now; a cold one only if it is this node's
    /// turn to start a request there.
    pub(super) fn choose(&self) -> Option<Target> {
        let now = self.node.now();
        let owns = |id: &TargetId| self.node.peers.roster(|r| r.owns(&id.name, now));
        let but = self.progress(|p| p.but.clone());
        let settings = self.node.settings();
        let shares = self.home_shares(now);
        let map = self.node.peers.roster(|r| r.map());
        let region = self.home_region(&map);
        let wanted = Wanted {
            service: &self.service,
            domain: &settings.domain,
            map: &map,
            region: region.as_ref(),
            terms: self.terms(),
            but: &but,
            most_each: self.connections_each(),
            shares: &shares,
            limit: self.node.cold_limit(&self.service),
            cold: ColdStarts::InTurn(&owns),
        };
        match self.home() {
            Some(home) => self.node.fleet(|f| f.pick_home(wanted, home, now)),
            None => self.node.fleet(|f| self.node.rng(|r| f.pick_plain(wanted, now, r))),
        }
    }

    /// What the request asks of any target.
    fn terms(&self) -> Terms<'_> {
        Terms { allowed: &self.allowed, side: self.side }
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
        lies_at.or_else(|| Some(map.own()))
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
        let nodes = self.node.peers.roster(|r| r.most_seen()) as u32;
        let table = self.node.table();
        let all = table.service(&self.service).map_or(u32::MAX, |s| s.connections);
        (all / nodes.max(1)).max(1)
    }

    /// Shares of homes by failure domain, where the route has large results that are
    /// made near their target.
    fn home_shares(&self, now: Time) -> Vec<(Name, f64)> {
        let large = self.route.stages.iter().find(|s| s.bytes >= LARGE_RESULT);
        let large = large.filter(|_| self.node.settings().policy.weighted_homes);
        let makers = large.map(|s| &s.service);
        makers.map_or_else(Vec::new, |m| self.node.fleet(|f| shares(f, m, &self.service, now)))
    }

    /// Whether a target chosen a while ago, or by another node, may get the request.
    fn is_usable(&self, target: &Target) -> bool {
        let now = self.node.now();
        let most = self.connections_each();
        self.node.fleet(|f| {
            let belief = f.get(&target.id);
            let is_sound = belief.is_some_and(|b| !b.is_ejected(now) && b.outstanding < most);
            is_sound && f.is_usable(&target.id, self.terms(), now)
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
        let tries = self.progress(|p| p.tries);
        let next = tries.next(self.left(), || self.node.take_repeat(&self.service));
        if next != Next::Resend {
            return None;
        }
        let Some(first) = chosen.filter(|t| self.is_usable(t)).or_else(|| self.choose()) else {
            let why = self.no_target();
            self.progress(|p| p.why = format!("{why}; before: {}", p.why));
            return None;
        };
        if let Some((choice, ahead)) = self.scheduled(&first).await {
            self.tell(&choice.target, "scheduler", ahead);
            return Some(choice);
        }
        let Some(target) = self.in_turn(first) else {
            self.progress(|p| p.why = "all targets are cold".into());
            return None;
        };
        self.start(&target);
        let by = if self.head.prompt.is_empty() { "least_wait" } else { "home" };
        self.tell(&target, by, 0);
        Some(Choice { target, ticket: None })
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
            self.node.fleet(|f| f.start(&target.id, limit, now));
        }
    }

    /// The engine that a scheduler chooses near the prompt's home.
    async fn scheduled(&self, first: &Target) -> Option<(Choice, u64)> {
        let home = self.home().filter(|_| self.node.settings().policy.scheduling)?;
        let prompt = Prompt {
            attempt: self.head.id.as_str().into(),
            allowed: self.allowed.clone(),
            side: self.side,
            home,
            tokens: self.head.tokens_in,
            slack_ms: self.slack().as_millis() as u64,
            but: self.progress(|p| p.but.clone()),
        };
        let scheduled = prefill::schedule(&self.node, first, prompt).await?;
        let target = self.node.fleet(|f| f.get(&scheduled.engine).map(|b| b.target.clone()))?;
        if !self.is_usable(&target) {
            return None;
        }
        let choice = Choice { target, ticket: Some(scheduled.ticket) };
        Some((choice, scheduled.ahead))
    }

    /// Why no target is left.
    pub(super) fn no_target(&self) -> String {
        match self.evacuated().as_slice() {
            [] => "no target".into(),
            domains => format!("no target outside of evacuated {}", domains.join(", ")),
        }
    }

    fn evacuated(&self) -> Vec<Name> {
        self.node.fleet(|f| f.evacuated().domains().cloned().collect())
    }

    fn tell(&self, target: &Target, by: &str, ahead: u64) {
        Event::Chosen {
            id: &self.head.id,
            target: &target.id.name,
            by,
            ahead,
            cold: self.is_cold(target),
            evacuated: &self.evacuated(),
            left_ms: self.left().as_millis() as u64,
            targets_age_ms: self.node.targets_age_ms(),
        }
        .emit();
    }
}
