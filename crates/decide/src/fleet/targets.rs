//! Registry of all targets, and the rules for which of them may get requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{
    Allowed, Evacuations, Notice, ReportedLimit, ReportedLoad, RetryAfter, Target, TargetId,
    TargetList,
};
use model::{Name, Time};

use super::changed::ChangeLog;
use super::notice::{NoticeChange, Notices};
use super::state::{Observation, Presence, TargetState};
use super::{ChangedTargets, ColdLimit, Evacuated, EvacuationChange, Exclusion, Regions, Terms};
use crate::permit::{LimitChange, LimitObservation, Limits};
use crate::relay::RESTORE_SETTLE_TIME;
use crate::rollout::Versions;
use crate::slots::BrittleTargets;

/// All targets known to a node; only the latest start of each name.
#[derive(Debug, Default)]
pub struct Fleet {
    states: BTreeMap<Name, TargetState>,
    services: BTreeMap<Name, Vec<Name>>,
    /// Names whose entries cannot be parsed, including names that never belonged to a known target.
    unreadable: BTreeSet<Name>,
    evacuated: Evacuated,
    versions: Versions,
    regions: Regions,
    limits: Limits,
    brittle: BrittleTargets,
    notices: Notices,
    /// When the store was last restored from an older copy.
    restored_at: Option<Time>,
    changes: ChangeLog,
}

impl Fleet {
    /// Current cursor for [`Fleet::changes_since`].
    pub fn cursor(&self) -> u64 {
        self.changes.next()
    }

    /// Targets whose usability may have changed since a cursor, except for changes by time alone:
    /// see [`Fleet::valid_until`].
    pub fn changes_since(&self, cursor: u64) -> ChangedTargets {
        self.changes.since(cursor)
    }

    /// State of the latest start of a target.
    pub fn by_name(&self, name: &str) -> Option<&TargetState> {
        self.states.get(name)
    }

    /// When time alone next changes whether a target is usable or cold.
    pub fn valid_until(
        &self,
        t: &TargetState,
        limit: Option<ColdLimit>,
        now: Time,
    ) -> Option<Time> {
        let ended = self.evacuated.ended_at(&t.target.domain);
        let warm = limit.and_then(|l| Some(ended? + l.duration));
        let backoff = self.notices.backoff_until(&t.target.id, now);
        let times = [t.missing_until, Some(t.cold_until), warm, backoff, self.restore_settled_at()];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// State of one start of a target; `None` if another start has taken over its name.
    pub fn get(&self, id: &TargetId) -> Option<&TargetState> {
        self.states.get(&id.name).filter(|t| t.target.id == *id)
    }

    /// Whether a target is known and belongs to this service.
    pub fn belongs_to(&self, id: &TargetId, service: &str) -> bool {
        self.get(id).is_some_and(|t| *t.target.service == *service)
    }

    /// State of one start of a target according to discovery.
    pub fn presence(&self, id: &TargetId) -> Presence {
        match self.states.get(&id.name) {
            None => Presence::Removed,
            Some(t) if t.target.id != *id => Presence::Restarted,
            Some(t) if t.target.draining => Presence::Draining,
            Some(_) => Presence::Present,
        }
    }

    pub(super) fn get_mut(&mut self, id: &TargetId) -> Option<&mut TargetState> {
        self.states.get_mut(&id.name).filter(|t| t.target.id == *id)
    }

    /// Targets of a service, usable or not.
    pub fn service_targets<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a TargetState> {
        let names = self.services.get(service).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.states.get(name))
    }

    /// Targets of a service that may get new requests under these terms, including ejected ones.
    pub fn usable<'a>(
        &'a self,
        service: &str,
        terms: Terms<'a>,
        now: Time,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.eligible(service, terms, now).filter(move |t| !self.is_backed_off(t, now))
    }

    /// Same as [`Fleet::usable`], including targets that are backed off.
    pub fn eligible<'a>(
        &'a self,
        service: &str,
        terms: Terms<'a>,
        now: Time,
    ) -> impl Iterator<Item = &'a TargetState> {
        // Looked up once because it costs as much as all other checks of a target together.
        let versions = self.versions.on_side(service, terms.side);
        let is_eligible =
            move |t: &&TargetState| self.lasting_exclusion(t, terms.allowed, now).is_none();
        self.service_targets(service)
            .filter(move |t| versions.contains(&t.target.version))
            .filter(move |t| terms.permits_version(&t.target.version))
            .filter(is_eligible)
    }

    /// Targets of a service that may get new requests in these regions, of any version; includes
    /// those that are backed off.
    pub fn eligible_in<'a>(
        &'a self,
        service: &str,
        allowed: &'a Allowed,
        now: Time,
    ) -> impl Iterator<Item = &'a TargetState> {
        let versions = self.versions.on_any_side(service);
        let is_eligible = move |t: &&TargetState| self.lasting_exclusion(t, allowed, now).is_none();
        self.service_targets(service)
            .filter(move |t| versions.contains(&t.target.version))
            .filter(is_eligible)
    }

    /// Whether a target may get new requests under these terms.
    pub fn is_usable(&self, id: &TargetId, terms: Terms<'_>, now: Time) -> bool {
        self.get(id).is_some_and(|t| self.exclusion(t, terms, now).is_none())
    }

    /// Why a target may not get new requests under these terms now; `None` if it may. The only
    /// check that callers need before they pick a target.
    pub fn exclusion(&self, t: &TargetState, terms: Terms<'_>, now: Time) -> Option<Exclusion> {
        if let Some(exclusion) = self.exclusion_any_version(t, terms.allowed, now) {
            return Some(exclusion);
        }
        let version = &t.target.version;
        let side = self.versions.side(&t.target.service, version);
        let is_permitted = side == Some(terms.side) && terms.permits_version(version);
        (!is_permitted).then_some(Exclusion::Version)
    }

    fn is_backed_off(&self, t: &TargetState, now: Time) -> bool {
        self.notices.backoff_until(&t.target.id, now).is_some()
    }

    /// Same as [`Fleet::exclusion`] for any version.
    fn exclusion_any_version(
        &self,
        t: &TargetState,
        allowed: &Allowed,
        now: Time,
    ) -> Option<Exclusion> {
        let lasting = self.lasting_exclusion(t, allowed, now);
        lasting.or_else(|| self.is_backed_off(t, now).then_some(Exclusion::BackedOff))
    }

    /// Same as [`Fleet::exclusion_any_version`] without backoffs, which are short.
    pub(super) fn lasting_exclusion(
        &self,
        t: &TargetState,
        allowed: &Allowed,
        now: Time,
    ) -> Option<Exclusion> {
        let target = &t.target;
        if self.unreadable.contains(&target.id.name) {
            return Some(Exclusion::Unreadable);
        }
        if target.draining {
            return Some(Exclusion::Draining);
        }
        if t.missing_until.is_some_and(|until| now >= until) {
            return Some(Exclusion::Missing);
        }
        if self.evacuated.contains(&target.domain) {
            return Some(Exclusion::Evacuated);
        }
        if self.restore_settled_at().is_some_and(|at| now < at)
            && self.notices.was_removed(&target.id)
        {
            return Some(Exclusion::Restored);
        }
        let region = self.regions.region_of(&target.domain).map(|r| &**r);
        (!allowed.permits(region)).then_some(Exclusion::Region)
    }

    /// When entries from a restored copy of the store can be trusted.
    fn restore_settled_at(&self) -> Option<Time> {
        Some(self.restored_at? + RESTORE_SETTLE_TIME)
    }

    /// Handles a restore of the store from an older copy: revisions restart from an earlier number,
    /// and draining marks written since may be lost.
    pub fn begin_epoch(&mut self, now: Time) {
        self.restored_at = Some(now);
        self.evacuated.begin_epoch(now);
        self.versions.begin_epoch(now);
        for t in self.states.values_mut() {
            t.target.revision = 0;
            if t.target.draining {
                self.notices.mark_draining(&t.target.id, now);
            }
        }
        self.changes.invalidate();
    }

    /// Regions of failure domains.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Replaces the regions of failure domains.
    pub fn set_regions(&mut self, regions: Regions) {
        self.changes.invalidate();
        self.regions = regions;
    }

    /// Versions of services, and the rollouts that concern them.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Mutable access to the versions; marks every target as changed.
    pub fn versions_mut(&mut self) -> &mut Versions {
        self.changes.invalidate();
        &mut self.versions
    }

    /// Limits that targets have named.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Mutable access to the limits.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Targets that said that they are brittle.
    pub fn brittle(&self) -> &BrittleTargets {
        &self.brittle
    }

    /// Mutable access to the brittle targets.
    pub fn brittle_mut(&mut self) -> &mut BrittleTargets {
        &mut self.brittle
    }

    /// Records the limit in an answer to a request that was sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        id: &TargetId,
        report: ReportedLimit,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let change = self.limits.record(id, report, sent_at, now)?;
        self.changes.push(&id.name);
        Some(change)
    }

    /// Merges a limit observation received from a peer.
    pub fn merge_peer_limit(
        &mut self,
        id: &TargetId,
        limit: LimitObservation,
    ) -> Option<LimitChange> {
        let change = self.limits.merge(id, limit)?;
        self.changes.push(&id.name);
        Some(change)
    }

    /// Backoffs and draining marks that targets have reported.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Records the notice in an answer; returns what is new.
    pub fn record_notice(&mut self, id: &TargetId, report: Notice, now: Time) -> Vec<NoticeChange> {
        let changes = self.notices.record(id, report, now);
        if changes.contains(&NoticeChange::Draining) {
            self.set_draining(id);
        }
        if report.retry_after != RetryAfter::None {
            self.changes.push(&id.name);
        }
        changes
    }

    /// Records that a request or call is sent to a target.
    pub fn record_attempt(&mut self, id: &TargetId, now: Time) {
        if let Some(t) = self.get_mut(id) {
            t.record_send(now);
        }
        if self.notices.record_attempt(id, now) {
            self.changes.push(&id.name);
        }
    }

    /// Records that a target accepted a request sent at `sent_at`, whatever the answer.
    pub fn record_accepted(&mut self, id: &TargetId, sent_at: Time) {
        if self.notices.record_accepted(id, sent_at) {
            self.changes.push(&id.name);
        }
    }

    /// Time until the first backoff ends, if every target of a service that is eligible in these
    /// regions is backed off; `None` if some are not, or there are none.
    pub fn backoff_left(&self, service: &str, allowed: &Allowed, now: Time) -> Option<Duration> {
        let is_eligible = |t: &&TargetState| self.lasting_exclusion(t, allowed, now).is_none();
        let eligible = self.service_targets(service).filter(is_eligible);
        let ends = eligible.filter(|t| !self.limits.is_closed(&t.target.id, now));
        let ends = ends.map(|t| self.notices.backoff_until(&t.target.id, now));
        Some(ends.collect::<Option<Vec<Time>>>()?.into_iter().min()?.since(now))
    }

    /// Marks a target as draining, whatever its entry says.
    fn set_draining(&mut self, id: &TargetId) {
        let Some(t) = self.states.get_mut(&id.name).filter(|t| t.target.id == *id) else {
            return;
        };
        update_versions(&mut self.versions, &mut self.changes, |versions| {
            uncount_version(versions, &t.target)
        });
        t.target.draining = true;
        self.changes.push(&id.name);
    }

    /// Records the load report in an answer; returns whether it cannot be parsed although the one
    /// before it could, or there was none.
    pub fn record_load(&mut self, id: &TargetId, report: ReportedLoad, now: Time) -> bool {
        self.get_mut(id).is_some_and(|t| t.record_load(report, now))
    }

    /// Evacuations known to this node.
    pub fn evacuated(&self) -> &Evacuated {
        &self.evacuated
    }

    /// Follows evacuations: no target is usable before the first list has arrived.
    pub fn follow_evacuations(&mut self) {
        self.changes.invalidate();
        self.evacuated.follow();
    }

    /// Applies a list of evacuations unless a newer one is known; returns the resulting changes.
    pub fn set_evacuations(&mut self, list: Evacuations, now: Time) -> Vec<EvacuationChange> {
        // The first list makes all other domains usable, even if it is empty.
        let was_known = self.evacuated.is_known();
        let changes = self.evacuated.update(list, now);
        if !was_known || !changes.is_empty() {
            self.changes.invalidate();
        }
        changes
    }

    /// Ends the evacuations that the store lost in a restore and that were not repeated; returns the
    /// resulting changes.
    pub fn settle_evacuations(&mut self, now: Time) -> Vec<EvacuationChange> {
        self.changes.invalidate();
        self.evacuated.settle(now)
    }

    /// Whether a target is cold: according to its entry, or because the evacuation of its failure
    /// domain has just ended, which the entry reflects only a moment later.
    pub fn is_cold(&self, t: &TargetState, limit: ColdLimit, now: Time) -> bool {
        let ended = self.evacuated.ended_at(&t.target.domain);
        now < t.cold_until || ended.is_some_and(|at| now < at + limit.duration)
    }

    /// Records that this node starts a request at a target; if that is cold, the next start is
    /// delayed.
    pub fn record_cold_start(&mut self, id: &TargetId, limit: ColdLimit, now: Time) {
        let is_cold = self.get(id).is_some_and(|t| self.is_cold(t, limit, now));
        if let Some(t) = self.get_mut(id).filter(|_| is_cold) {
            t.next_start = limit.interval.map_or(Time::NEVER, |interval| now + interval);
        }
    }

    /// Entries of all listed targets that can be parsed.
    pub fn targets(&self, now: Time) -> Vec<Target> {
        let is_readable = |t: &&TargetState| {
            t.missing_until.is_none() && !self.unreadable.contains(&t.target.id.name)
        };
        self.states.values().filter(is_readable).map(|t| t.entry(now)).collect()
    }

    /// All entries, for another node that is starting.
    pub fn list(&self, now: Time) -> TargetList {
        let unreadable = self.unreadable.iter().cloned().collect();
        TargetList { targets: self.targets(now), unreadable }
    }

    /// Number of entries that cannot be parsed.
    pub fn count_unreadable(&self) -> usize {
        self.unreadable.len()
    }

    /// Number of targets whose entries say that they are cold.
    pub fn count_cold(&self, now: Time) -> usize {
        self.states.values().filter(|t| now < t.cold_until).count()
    }

    pub(super) fn all_targets(&self) -> impl Iterator<Item = &TargetState> {
        self.states.values()
    }

    pub(super) fn all_targets_mut(&mut self) -> impl Iterator<Item = &mut TargetState> {
        self.states.values_mut()
    }

    /// Number of known targets.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Applies an entry; returns whether the state changed. State of an earlier start, or of one in
    /// another service, failure domain or address, is discarded.
    ///
    /// An entry older than the known one is ignored: a source that lags behind would restore an
    /// earlier start.
    pub fn upsert(&mut self, target: Target, now: Time) -> bool {
        let known = self.states.get(&target.id.name).map_or(0, |t| t.target.revision);
        let is_older = target.revision > 0 && target.revision < known;
        !is_older && self.apply_entry(target, now)
    }

    fn apply_entry(&mut self, mut target: Target, now: Time) -> bool {
        let name = target.id.name.clone();
        // The target's own report takes precedence over its entry, which may be older or arrive
        // later.
        target.draining |= self.notices.is_draining(&target.id);
        if self.restore_settled_at().is_none_or(|at| now >= at) {
            self.notices.mark_present(&target.id);
        }
        self.changes.push(&name);
        let was_unreadable = self.unreadable.remove(&name);
        let is_same = |t: &TargetState| {
            let known = &t.target;
            known.id == target.id
                && known.service == target.service
                && known.domain == target.domain
                && known.address == target.address
        };
        if let Some(t) = self.states.get_mut(&name).filter(|t| is_same(t)) {
            let was_missing = t.missing_until.take().is_some();
            update_versions(&mut self.versions, &mut self.changes, |versions| {
                // Counted before the old entry is removed, so that a version does not seem new when
                // its only target is replaced.
                count_version(versions, &target);
                uncount_version(versions, &t.target);
            });
            return t.set_target(target, now) || was_missing || was_unreadable;
        }
        self.forget(&name);
        self.services.entry(target.service.clone()).or_default().push(name.clone());
        update_versions(&mut self.versions, &mut self.changes, |versions| {
            count_version(versions, &target)
        });
        self.states.insert(name, TargetState::new(target, now));
        true
    }

    /// Marks an entry as unparsable: its target gets no new requests, and running ones continue.
    /// Returns whether that is new.
    pub fn mark_unreadable(&mut self, name: &Name) -> bool {
        self.changes.push(name);
        if let Some(t) = self.states.get_mut(name) {
            t.missing_until = None;
        }
        self.unreadable.insert(name.clone())
    }

    /// Handles the removal of an entry. After an outage of the store it may have expired although
    /// its target is alive; the target is then kept until `grace`.
    pub fn remove(&mut self, name: &Name, grace: Option<Time>, now: Time) {
        let was_unreadable = self.unreadable.remove(name);
        let Some(t) = self.states.get_mut(name) else {
            return;
        };
        match grace {
            Some(until) if !t.target.draining && !was_unreadable => {
                t.missing_until = Some(until);
                self.changes.push(name);
            }
            _ => {
                self.notices.mark_removed(&t.target.id, now);
                self.forget(name);
            }
        }
    }

    /// Applies a complete list: entries missing from it were removed. Its entries replace the known
    /// ones whatever their revisions.
    pub fn replace(&mut self, list: impl Into<TargetList>, grace: Option<Time>, now: Time) {
        let TargetList { targets, unreadable } = list.into();
        let readable = targets.iter().map(|t| &t.id.name);
        let listed: BTreeSet<&Name> = readable.chain(&unreadable).collect();
        let known = self.states.keys().chain(&self.unreadable);
        let removed: Vec<Name> = known.filter(|name| !listed.contains(name)).cloned().collect();
        for name in removed {
            self.remove(&name, grace, now);
        }
        for target in targets {
            self.apply_entry(target, now);
        }
        for name in &unreadable {
            self.mark_unreadable(name);
        }
    }

    /// Drops targets whose entry did not reappear in time, and expired records of removed ones.
    pub fn expire(&mut self, now: Time) {
        let is_expired = |t: &TargetState| t.missing_until.is_some_and(|until| now >= until);
        let ids: Vec<TargetId> =
            self.states.values().filter(|t| is_expired(t)).map(|t| t.target.id.clone()).collect();
        for id in ids {
            self.notices.mark_removed(&id, now);
            self.forget(&id.name);
        }
        let states = &self.states;
        let is_known = |id: &TargetId| states.get(&id.name).is_some_and(|t| t.target.id == *id);
        self.limits.expire(is_known, now);
        self.brittle.expire(is_known, now);
        self.notices.expire(is_known, now);
    }

    fn forget(&mut self, name: &Name) {
        let Some(t) = self.states.remove(name) else {
            return;
        };
        if let Some(names) = self.services.get_mut(&t.target.service) {
            names.retain(|n| n != name);
        }
        self.changes.push(name);
        update_versions(&mut self.versions, &mut self.changes, |versions| {
            uncount_version(versions, &t.target)
        });
    }

    /// Records that a target was picked for a request.
    pub fn record_choice(&mut self, id: &TargetId, now: Time) {
        if let Some(t) = self.get_mut(id) {
            t.record_choice(now);
        }
    }

    /// Records a request in flight at a target, with this many prompt tokens to process.
    pub fn request_sent(&mut self, id: &TargetId, tokens: u64) {
        if let Some(t) = self.get_mut(id) {
            t.count_request(tokens);
        }
    }

    /// Records that the target has processed the prompt of a request.
    pub fn prompt_read(&mut self, id: &TargetId, tokens: u64) {
        if let Some(t) = self.get_mut(id) {
            t.prefill_tokens = t.prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request has left the target.
    pub fn request_done(&mut self, id: &TargetId) {
        if let Some(t) = self.get_mut(id) {
            t.outstanding = t.outstanding.saturating_sub(1);
        }
    }

    /// Records the outcome of a request; returns whether the target is now ejected.
    pub fn observe(&mut self, id: &TargetId, observation: Observation, now: Time) -> bool {
        let Some(t) = self.get_mut(id) else {
            return false;
        };
        t.observe(observation, now);
        t.is_ejected(now)
    }
}

/// Runs `count`; a change in the set of versions affects every target.
fn update_versions(
    versions: &mut Versions,
    changes: &mut ChangeLog,
    count: impl FnOnce(&mut Versions),
) {
    let before = versions.changes();
    count(versions);
    if versions.changes() != before {
        changes.invalidate();
    }
}

/// Counts a target towards its version unless it is draining: a service could not continue on that
/// one.
fn count_version(versions: &mut Versions, target: &Target) {
    if !target.draining {
        versions.add_target(&target.service, &target.version, target.revision, target.id.start);
    }
}

/// Removes a target from the count of its version.
fn uncount_version(versions: &mut Versions, target: &Target) {
    if !target.draining {
        versions.remove_target(&target.service, &target.version);
    }
}
