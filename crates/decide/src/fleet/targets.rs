//! All targets that a node knows, and which of them may get anything.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::forward::{
    Allowed, Evacuations, NamedLimit, Notice, ReportedLoad, RetryAfter, Target, TargetId,
    TargetList,
};
use model::{Name, Time};

use super::belief::{Belief, Observation, Presence};
use super::changed::ChangeLog;
use super::notice::{NoticeChange, Notices};
use super::{Barred, ChangedTargets, ColdLimit, Evacuated, EvacuationChange, Regions, Terms};
use crate::permit::{LimitChange, Limits, Word};
use crate::rollout::Versions;

/// All targets that a node knows; of each name only the latest start.
#[derive(Debug, Default)]
pub struct Fleet {
    beliefs: BTreeMap<Name, Belief>,
    services: BTreeMap<Name, Vec<Name>>,
    /// Names whose entries cannot be read; not all belong to a target that was ever known.
    unreadable: BTreeSet<Name>,
    evacuated: Evacuated,
    versions: Versions,
    regions: Regions,
    limits: Limits,
    notices: Notices,
    /// When the store was last known to come back from an older copy.
    restored: Option<Time>,
    changed: ChangeLog,
}

/// Time after which an entry that an older copy of the store brought back is its target's own: it
/// would have lapsed, and what was written since the copy has been written again.
const RESTORE_SETTLES: Duration = Duration::from_secs(10);

impl Fleet {
    /// Cursor for [`Fleet::changes_since`], of this moment.
    pub fn cursor(&self) -> u64 {
        self.changed.next()
    }

    /// Targets that may be usable or not otherwise than at a cursor, but for what time alone
    /// changes: see [`Fleet::holds_until`].
    pub fn changes_since(&self, cursor: u64) -> ChangedTargets {
        self.changed.since(cursor)
    }

    /// Belief about the latest start of a target.
    pub fn named(&self, name: &str) -> Option<&Belief> {
        self.beliefs.get(name)
    }

    /// When a target becomes unusable, or warm, by time alone.
    pub fn holds_until(&self, b: &Belief, limit: Option<ColdLimit>, now: Time) -> Option<Time> {
        let ended = self.evacuated.ended(&b.target.domain);
        let warm = limit.and_then(|l| Some(ended? + l.lasts));
        let rests = self.notices.rests_until(&b.target.id, now);
        let times = [b.missing, Some(b.cold), warm, rests, self.settles()];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Belief about one start of a target; `None` if another one has its name by now.
    pub fn get(&self, id: &TargetId) -> Option<&Belief> {
        self.beliefs.get(&id.name).filter(|b| b.target.id == *id)
    }

    /// Whether a target is known, and of this service.
    pub fn is_of(&self, id: &TargetId, service: &str) -> bool {
        self.get(id).is_some_and(|b| *b.target.service == *service)
    }

    /// What discovery says of one start of a target.
    pub fn presence(&self, id: &TargetId) -> Presence {
        match self.beliefs.get(&id.name) {
            None => Presence::Gone,
            Some(b) if b.target.id != *id => Presence::StartedAgain,
            Some(b) if b.target.draining => Presence::Leaving,
            Some(_) => Presence::Here,
        }
    }

    fn get_mut(&mut self, id: &TargetId) -> Option<&mut Belief> {
        self.beliefs.get_mut(&id.name).filter(|b| b.target.id == *id)
    }

    /// Targets of a service, whatever they may get.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Belief> {
        let names = self.services.get(service).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.beliefs.get(name))
    }

    /// Targets of a service that may get new work on these terms, those left out included.
    pub fn usable<'a>(
        &'a self,
        service: &str,
        terms: Terms<'a>,
        now: Time,
    ) -> impl Iterator<Item = &'a Belief> {
        self.on_terms(service, terms, now).filter(move |b| !self.rests(b, now))
    }

    /// The same with those that want nothing for a while.
    pub fn on_terms<'a>(
        &'a self,
        service: &str,
        terms: Terms<'a>,
        now: Time,
    ) -> impl Iterator<Item = &'a Belief> {
        // Looked up once: that takes as long as all else that is asked of a target.
        let versions = self.versions.on_side(service, terms.side);
        let may = move |b: &&Belief| self.bars_lasting(b, terms.allowed, now).is_none();
        self.of_service(service).filter(move |b| versions.contains(&b.target.version)).filter(may)
    }

    /// Targets of a service that may get new work in these regions, whatever their version; those
    /// that want nothing for a while included.
    pub fn usable_in<'a>(
        &'a self,
        service: &str,
        allowed: &'a Allowed,
        now: Time,
    ) -> impl Iterator<Item = &'a Belief> {
        let versions = self.versions.on_any_side(service);
        let may = move |b: &&Belief| self.bars_lasting(b, allowed, now).is_none();
        self.of_service(service).filter(move |b| versions.contains(&b.target.version)).filter(may)
    }

    /// Whether a target may get new work on these terms.
    pub fn is_usable(&self, id: &TargetId, terms: Terms<'_>, now: Time) -> bool {
        self.get(id).is_some_and(|b| self.bars(b, terms, now).is_none())
    }

    /// Why a target may not get new work on these terms now; `None` if it may. Whoever
    /// chooses a target asks this and nothing else.
    pub fn bars(&self, b: &Belief, terms: Terms<'_>, now: Time) -> Option<Barred> {
        if let Some(barred) = self.bars_any_version(b, terms.allowed, now) {
            return Some(barred);
        }
        let side = self.versions.side(&b.target.service, &b.target.version);
        (side != Some(terms.side)).then_some(Barred::Version)
    }

    fn rests(&self, b: &Belief, now: Time) -> bool {
        self.notices.rests_until(&b.target.id, now).is_some()
    }

    /// The same whichever version the work is for.
    fn bars_any_version(&self, b: &Belief, allowed: &Allowed, now: Time) -> Option<Barred> {
        let lasting = self.bars_lasting(b, allowed, now);
        lasting.or_else(|| self.rests(b, now).then_some(Barred::Resting))
    }

    /// The same, but for what is over in a moment.
    fn bars_lasting(&self, b: &Belief, allowed: &Allowed, now: Time) -> Option<Barred> {
        let target = &b.target;
        if self.unreadable.contains(&target.id.name) {
            return Some(Barred::Unreadable);
        }
        if target.draining {
            return Some(Barred::Leaving);
        }
        if b.missing.is_some_and(|until| now >= until) {
            return Some(Barred::Missing);
        }
        if self.evacuated.contains(&target.domain) {
            return Some(Barred::Evacuated);
        }
        if self.settles().is_some_and(|at| now < at) && self.notices.was_gone(&target.id) {
            return Some(Barred::Restored);
        }
        let region = self.regions.of(&target.domain).map(|r| &**r);
        (!allowed.permits(region)).then_some(Barred::Region)
    }

    /// When what an older copy of the store brought back can be believed.
    fn settles(&self) -> Option<Time> {
        Some(self.restored? + RESTORE_SETTLES)
    }

    /// The store came back from an older copy: revisions begin anew from somewhere before, and what
    /// targets had written of leaving since may be there no longer.
    pub fn begin_epoch(&mut self, now: Time) {
        self.restored = Some(now);
        self.evacuated.begin_epoch();
        self.versions.begin_epoch();
        for b in self.beliefs.values_mut() {
            b.target.revision = 0;
            if b.target.draining {
                self.notices.note_leaving(&b.target.id, now);
            }
        }
        self.changed.note_all();
    }

    /// Where failure domains lie.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Takes where failure domains lie.
    pub fn set_regions(&mut self, regions: Regions) {
        self.changed.note_all();
        self.regions = regions;
    }

    /// Versions of services, and the roll-outs that concern them.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// The same, to be changed.
    pub fn versions_mut(&mut self) -> &mut Versions {
        self.changed.note_all();
        &mut self.versions
    }

    /// Limits that targets name.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The same, to be changed.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Takes what an answer of a target says of its limit, whose request was sent at `sent`.
    pub fn hear_limit(
        &mut self,
        id: &TargetId,
        said: NamedLimit,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let change = self.limits.hear(id, said, sent, now)?;
        self.changed.note(&id.name);
        Some(change)
    }

    /// Takes a word of a target's limit from a peer.
    pub fn learn_limit(&mut self, id: &TargetId, word: Word) -> Option<LimitChange> {
        let change = self.limits.learn(id, word)?;
        self.changed.note(&id.name);
        Some(change)
    }

    /// What targets said of further requests to them.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Takes what an answer of a target says of further requests; returns what is new.
    pub fn hear_notice(&mut self, id: &TargetId, said: Notice, now: Time) -> Vec<NoticeChange> {
        let changes = self.notices.hear(id, said, now);
        if changes.contains(&NoticeChange::Leaves) {
            self.set_leaving(id);
        }
        if said.retry_after != RetryAfter::None {
            self.changed.note(&id.name);
        }
        changes
    }

    /// A request, or a call, goes to a target.
    pub fn goes_to(&mut self, id: &TargetId, now: Time) {
        if self.notices.sent(id, now) {
            self.changed.note(&id.name);
        }
    }

    /// A target took a request that was sent at `sent`, whatever it answers.
    pub fn took(&mut self, id: &TargetId, sent: Time) {
        if self.notices.took(id, sent) {
            self.changed.note(&id.name);
        }
    }

    /// Time until the first target of a service gets something again where all that may get it in
    /// these regions want nothing for a while; `None` if there are others, or none at all.
    pub fn rest_left(&self, service: &str, allowed: &Allowed, now: Time) -> Option<Duration> {
        let may = |b: &&Belief| self.bars_lasting(b, allowed, now).is_none();
        let open = self.of_service(service).filter(may);
        let ends = open.filter(|b| !self.limits.is_closed(&b.target.id, now));
        let ends = ends.map(|b| self.notices.rests_until(&b.target.id, now));
        Some(ends.collect::<Option<Vec<Time>>>()?.into_iter().min()?.since(now))
    }

    /// A target leaves, whatever its entry says.
    fn set_leaving(&mut self, id: &TargetId) {
        let Some(b) = self.beliefs.get_mut(&id.name).filter(|b| b.target.id == *id) else {
            return;
        };
        recount(&mut self.versions, &mut self.changed, |versions| count_out(versions, &b.target));
        b.target.draining = true;
        self.changed.note(&id.name);
    }

    /// Takes what an answer of a target says of its load; returns whether it cannot be read while
    /// the word before could, or there was none.
    pub fn note_load(&mut self, id: &TargetId, said: ReportedLoad, now: Time) -> bool {
        self.get_mut(id).is_some_and(|b| b.note_load(said, now))
    }

    /// What is known of evacuations.
    pub fn evacuated(&self) -> &Evacuated {
        &self.evacuated
    }

    /// Evacuations are followed: nothing is usable before they are known.
    pub fn follow_evacuations(&mut self) {
        self.changed.note_all();
        self.evacuated.follow();
    }

    /// Takes a list of evacuations unless a newer one is known; returns what it changes.
    pub fn evacuate(&mut self, list: Evacuations, now: Time) -> Vec<EvacuationChange> {
        // With the first list all domains but those on it may be used, also where it is empty.
        let was_known = self.evacuated.is_known();
        let changes = self.evacuated.take(list, now);
        if !was_known || !changes.is_empty() {
            self.changed.note_all();
        }
        changes
    }

    /// Whether a target is cold: its entry says so, or the evacuation of its failure domain
    /// has just been taken back, which its entry tells a moment later.
    pub fn is_cold(&self, b: &Belief, limit: ColdLimit, now: Time) -> bool {
        let ended = self.evacuated.ended(&b.target.domain);
        now < b.cold || ended.is_some_and(|at| now < at + limit.lasts)
    }

    /// This node starts a request at a target; if that is cold, the next one waits.
    pub fn start(&mut self, id: &TargetId, limit: ColdLimit, now: Time) {
        let is_cold = self.get(id).is_some_and(|b| self.is_cold(b, limit, now));
        if let Some(b) = self.get_mut(id).filter(|_| is_cold) {
            b.next_start = limit.gap.map_or(Time::NEVER, |gap| now + gap);
        }
    }

    /// All targets with an entry that can be read.
    pub fn targets(&self, now: Time) -> Vec<Target> {
        let is_read =
            |b: &&Belief| b.missing.is_none() && !self.unreadable.contains(&b.target.id.name);
        self.beliefs.values().filter(is_read).map(|b| b.entry(now)).collect()
    }

    /// All entries, for another node that starts.
    pub fn list(&self, now: Time) -> TargetList {
        let unreadable = self.unreadable.iter().cloned().collect();
        TargetList { targets: self.targets(now), unreadable }
    }

    /// Count of entries that cannot be read.
    pub fn count_unreadable(&self) -> usize {
        self.unreadable.len()
    }

    /// Count of targets whose entries say that they are cold.
    pub fn count_cold(&self, now: Time) -> usize {
        self.beliefs.values().filter(|b| now < b.cold).count()
    }

    /// Count of targets known.
    pub fn len(&self) -> usize {
        self.beliefs.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.beliefs.is_empty()
    }

    /// Takes an entry as it is now; returns whether what is believed changed. Nothing that
    /// was believed of an earlier start, or of one in another service or place, holds on.
    ///
    /// An entry that is older than the one known changes nothing: a source that is behind
    /// would bring an earlier start back.
    pub fn upsert(&mut self, target: Target, now: Time) -> bool {
        let known = self.beliefs.get(&target.id.name).map_or(0, |b| b.target.revision);
        let is_older = target.revision > 0 && target.revision < known;
        !is_older && self.put(target, now)
    }

    fn put(&mut self, mut target: Target, now: Time) -> bool {
        let name = target.id.name.clone();
        // The target's own word comes before its entry, which may be older or come later.
        target.draining |= self.notices.leaves(&target.id);
        if self.settles().is_none_or(|at| now >= at) {
            self.notices.note_back(&target.id);
        }
        self.changed.note(&name);
        let was_unreadable = self.unreadable.remove(&name);
        let is_same = |b: &Belief| {
            let known = &b.target;
            known.id == target.id
                && known.service == target.service
                && known.domain == target.domain
                && known.address == target.address
        };
        if let Some(b) = self.beliefs.get_mut(&name).filter(|b| is_same(b)) {
            let was_missing = b.missing.take().is_some();
            recount(&mut self.versions, &mut self.changed, |versions| {
                // In first: a version's only target does not make it a new one.
                count_in(versions, &target);
                count_out(versions, &b.target);
            });
            return b.set_target(target, now) || was_missing || was_unreadable;
        }
        self.forget(&name);
        self.services.entry(target.service.clone()).or_default().push(name.clone());
        recount(&mut self.versions, &mut self.changed, |versions| count_in(versions, &target));
        self.beliefs.insert(name, Belief::new(target, now));
        true
    }

    /// An entry cannot be read: its target gets nothing new, and what it has goes on. Returns
    /// whether that is new.
    pub fn unreadable(&mut self, name: &Name) -> bool {
        self.changed.note(name);
        if let Some(b) = self.beliefs.get_mut(name) {
            b.missing = None;
        }
        self.unreadable.insert(name.clone())
    }

    /// An entry is gone. After an outage of the store it may have lapsed although its
    /// target lives: until `doubt` the target is kept then.
    pub fn vanish(&mut self, name: &Name, doubt: Option<Time>, now: Time) {
        let was_unreadable = self.unreadable.remove(name);
        let Some(b) = self.beliefs.get_mut(name) else {
            return;
        };
        match doubt {
            Some(until) if !b.target.draining && !was_unreadable => {
                b.missing = Some(until);
                self.changed.note(name);
            }
            _ => {
                self.notices.note_gone(&b.target.id, now);
                self.forget(name);
            }
        }
    }

    /// Takes a whole list: what it lacks has vanished. Of the entries that it has it is the
    /// last word, whatever their revisions.
    pub fn replace(&mut self, list: impl Into<TargetList>, doubt: Option<Time>, now: Time) {
        let TargetList { targets, unreadable } = list.into();
        let read = targets.iter().map(|t| &t.id.name);
        let listed: BTreeSet<&Name> = read.chain(&unreadable).collect();
        let known = self.beliefs.keys().chain(&self.unreadable);
        let lacking: Vec<Name> = known.filter(|name| !listed.contains(name)).cloned().collect();
        for name in lacking {
            self.vanish(&name, doubt, now);
        }
        for target in targets {
            self.put(target, now);
        }
        for name in &unreadable {
            self.unreadable(name);
        }
    }

    /// Forgets targets whose vanished entry did not come back in time, and what was kept of others
    /// that are gone.
    pub fn expire(&mut self, now: Time) {
        let over = |b: &Belief| b.missing.is_some_and(|until| now >= until);
        let ids: Vec<TargetId> =
            self.beliefs.values().filter(|b| over(b)).map(|b| b.target.id.clone()).collect();
        for id in ids {
            self.notices.note_gone(&id, now);
            self.forget(&id.name);
        }
        let beliefs = &self.beliefs;
        let is_known = |id: &TargetId| beliefs.get(&id.name).is_some_and(|b| b.target.id == *id);
        self.limits.expire(is_known, now);
        self.notices.expire(is_known, now);
    }

    fn forget(&mut self, name: &Name) {
        let Some(b) = self.beliefs.remove(name) else {
            return;
        };
        if let Some(names) = self.services.get_mut(&b.target.service) {
            names.retain(|n| n != name);
        }
        self.changed.note(name);
        recount(&mut self.versions, &mut self.changed, |versions| count_out(versions, &b.target));
    }

    /// A target was chosen for a request.
    pub fn chosen(&mut self, id: &TargetId, now: Time) {
        if let Some(b) = self.get_mut(id) {
            b.chosen(now);
        }
    }

    /// A request goes to the target, with this many prompt tokens to read.
    pub fn sent(&mut self, id: &TargetId, tokens: u64) {
        if let Some(b) = self.get_mut(id) {
            b.outstanding += 1;
            b.prefill += tokens;
        }
    }

    /// The prompt of a request has been read there.
    pub fn read(&mut self, id: &TargetId, tokens: u64) {
        if let Some(b) = self.get_mut(id) {
            b.prefill = b.prefill.saturating_sub(tokens);
        }
    }

    /// A request is no longer at the target.
    pub fn done(&mut self, id: &TargetId) {
        if let Some(b) = self.get_mut(id) {
            b.outstanding = b.outstanding.saturating_sub(1);
        }
    }

    /// Takes what a send brought; returns whether the target is now left out.
    pub fn observe(&mut self, id: &TargetId, what: Observation, now: Time) -> bool {
        let Some(b) = self.get_mut(id) else {
            return false;
        };
        b.observe(what, now);
        b.is_ejected(now)
    }
}

/// Counts targets of versions otherwise; which versions there are decides for all targets.
fn recount(versions: &mut Versions, changed: &mut ChangeLog, count: impl FnOnce(&mut Versions)) {
    let before = versions.changes();
    count(versions);
    if versions.changes() != before {
        changed.note_all();
    }
}

/// Counts a target of a version, unless it leaves: such a one is no other that its service
/// could go on with.
fn count_in(versions: &mut Versions, target: &Target) {
    if !target.draining {
        versions.add_target(&target.service, &target.version, target.revision, target.id.start);
    }
}

/// Counts a target of a version no longer.
fn count_out(versions: &mut Versions, target: &Target) {
    if !target.draining {
        versions.remove_target(&target.service, &target.version);
    }
}
