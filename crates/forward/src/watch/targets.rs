//! Follows the targets: the relay of each failure domain reads them from the store, and the other
//! nodes follow the relay. Answers also carry the version of the rules, and newer rules are fetched
//! from the same peer.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use decide::fleet::drop_superseded;
use decide::relay::{Relays, Role, Source, Sources, waits};
use model::forward::{FollowAnswer, FollowAsk, Target, TargetChange, TargetList, TargetNews};
use model::member::{Node as PeerNode, NodeId};
use model::{Name, Time};
use util::http::{CallKind, Client};

use super::feed::Feed;
use super::snapshot::{SNAPSHOT_TTL, SnapshotKey};
use super::store::{Reader, StoreUpdate};
use super::{evacuations, millis, relays, rollouts};
use crate::border::{Change, ObjectKind};
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, FollowResponse};

/// Time after which a truncated list is read again. Until then watches deliver every change to its
/// missing part, and a retry costs one call per page.
const RELIST_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the targets until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut follower = Follower::new(node);
    loop {
        follower.step().await;
    }
}

struct Follower {
    node: Rc<Node>,
    reader: Reader,
    /// Client for calls to relays only, replaced when a connection has fallen silent.
    client: Client,
    sources: Sources,
    /// The store's history no longer covers this node's revision.
    history_gone: bool,
    /// Time at which the last list was read, if it was truncated.
    truncated_at: Option<Time>,
    /// A complete list was read after a truncated one. Followers may have the truncated list at the
    /// same revision, so the complete list is sent to them once the revision is later.
    snapshot_due: bool,
    source: Option<Source>,
    /// Peer that was last logged as behind this node.
    behind: Option<NodeId>,
}

impl Follower {
    fn new(node: Rc<Node>) -> Self {
        let reader = Reader::new(node.clone(), ObjectKind::Targets);
        let sources = Sources::default();
        let client = Client::new(peers::CONNECT_TIMEOUT);
        Follower {
            node,
            reader,
            client,
            sources,
            history_gone: false,
            truncated_at: None,
            snapshot_due: false,
            source: None,
            behind: None,
        }
    }

    async fn step(&mut self) {
        let relays = relays(&self.node);
        let now = self.node.now();
        let jitter = |max| self.node.rng(|r| r.jitter(max));
        let chosen = self.sources.choose(&relays, now, jitter);
        let reads_store = relays.role == Role::Relay || chosen.source == Source::Store;
        self.node.feed.set_reads_store(reads_store);
        if self.source.as_ref() != Some(&chosen.source) {
            self.log_source(&chosen.source);
            self.source = Some(chosen.source.clone());
        }
        tokio::time::sleep(chosen.pause).await;
        match chosen.source {
            Source::Store => self.read_store(&relays).await,
            Source::Peer { node, await_fresh: patient } => {
                self.read_peer(&node, patient, relays.role).await
            }
            Source::Unavailable => return,
        }
        tokio::time::sleep(waits::COALESCE_TIME).await;
    }

    fn log_source(&self, source: &Source) {
        let from = match source {
            Source::Store => "store",
            Source::Peer { node, .. } => &node.id.name,
            Source::Unavailable => "nobody",
        };
        let age_ms = millis(self.node.feed.age(self.node.now()));
        Event::Source { from, age_ms }.emit();
    }

    async fn read_store(&mut self, relays: &Relays) {
        let node = self.node.clone();
        let relist_due =
            self.truncated_at.is_some_and(|at| node.now().since(at) >= RELIST_INTERVAL);
        let known = node.feed.revision().filter(|_| !self.history_gone);
        let since = known.filter(|_| !relist_due);
        self.reader.set_epoch(node.feed.epoch());
        match self.reader.read(since, waits::TARGETS_WATCH_WAIT).await {
            Ok(mut update) => {
                self.history_gone = false;
                node.feed.set_out_of_touch(false);
                self.sources.store_answered();
                if since.is_none() {
                    self.snapshot_due = self.truncated_at.is_some() && update.is_snapshot;
                    self.truncated_at = update.truncated.then(|| node.now());
                }
                // Entries missing from a truncated list may have changed since the known revision,
                // so watches continue from that revision.
                let same_epoch = update.epoch.is_none_or(|epoch| epoch == node.feed.epoch());
                update.revision =
                    known.filter(|_| update.truncated && same_epoch).unwrap_or(update.revision);
                apply_update(&node, update);
                if self.snapshot_due && node.feed.revision() > known {
                    node.feed.restart(node.feed.epoch(), node.feed.revision().unwrap_or(0));
                    self.snapshot_due = false;
                }
            }
            Err(e) if e.is_history_gone() => self.history_gone = true,
            Err(_) => {
                let now = node.now();
                let jitter = |max| node.rng(|r| r.jitter(max));
                self.sources.store_failed(relays.role, now, jitter);
                // Followers of this node should switch to another source.
                node.feed.set_out_of_touch(true);
            }
        }
    }

    async fn read_peer(&mut self, peer: &PeerNode, patient: bool, role: Role) {
        let node = self.node.clone();
        let is_unsettled = node.fleet(|f| f.versions().unsettled().is_some());
        let wait = match role {
            // The peer reads the orders, and soon knows them up to the newest version.
            _ if is_unsettled => waits::COALESCE_TIME,
            Role::Standby => waits::STANDBY_WAIT,
            _ => waits::PEER_WAIT,
        };
        let ask = FollowAsk {
            at: node.feed.revision().unwrap_or(0),
            rules: node.table().rules.version,
            evacuations: node
                .fleet(|f| f.evacuated().revision().filter(|_| f.evacuated().is_current())),
            rollouts: node.fleet(|f| f.versions().revision().filter(|_| f.versions().is_current())),
            wait_ms: wait.as_millis() as u64,
            patient,
        };
        let answer = self.follow(peer, ask, wait).await;
        let now = node.now();
        let Some(FollowResponse { answer, epoch }) = answer else {
            self.sources.relay_failed(&peer.id, now);
            node.feed.set_out_of_touch(true);
            return;
        };
        let age = Duration::from_millis(answer.age_ms);
        let rules_age = Duration::from_millis(answer.rules_age_ms);
        if let Some(epoch) = epoch {
            node.observe_epoch(epoch, &peer.id.name);
        }
        let is_current = node.is_current_epoch(epoch);
        let is_stale = answer.out_of_touch || Feed::is_stale(age) || !is_current;
        if is_stale {
            self.sources.relay_stale(&peer.id, now);
        } else {
            self.sources.relay_fresh(&peer.id);
        }
        self.log_behind(peer, answer.at);
        let (rules, confirmed) = (answer.rules, now - age);
        if is_current {
            apply_answer(&node, &peer.id.name, answer, epoch, confirmed);
        }
        // A relay follows a peer only without contact with the store. Its standby must take its
        // place rather than follow it, or the two would follow each other.
        node.feed.set_out_of_touch(is_stale || role == Role::Relay);
        if rules > node.table().rules.version {
            peers::fetch_rules(&node, &self.client, peer.entry).await;
        }
        if rules <= node.table().rules.version {
            node.feed.confirm(ObjectKind::Rules, now - rules_age, now);
        }
    }

    /// Logs, once per peer, that it is behind this node.
    fn log_behind(&mut self, peer: &PeerNode, at: u64) {
        let known_at = self.node.feed.revision().unwrap_or(0);
        if at >= known_at {
            self.behind = None;
        } else if self.behind.as_ref() != Some(&peer.id) {
            self.behind = Some(peer.id.clone());
            Event::Behind { peer: &peer.id.name, at, known_at }.emit();
        }
    }

    /// Follows a peer, with one retry over a new connection after a timeout: the old connection may
    /// have fallen silent, and a peer that counts as failed is skipped for seconds.
    async fn follow(
        &mut self,
        peer: &PeerNode,
        ask: FollowAsk,
        wait: Duration,
    ) -> Option<FollowResponse> {
        let (node, entry) = (&self.node, peer.entry);
        let epoch = Some(node.feed.epoch());
        let timeout = wait + waits::PEER_SLACK;
        match peers::follow(node, &self.client, entry, &ask, epoch, timeout).await {
            Err(e) if e.kind == CallKind::Timeout => {
                self.client = Client::new(peers::CONNECT_TIMEOUT);
                let ask = FollowAsk { wait_ms: 0, patient: false, ..ask };
                let retry =
                    peers::follow(node, &self.client, entry, &ask, epoch, waits::RETRY_TIMEOUT);
                retry.await.ok()
            }
            answer => answer.ok(),
        }
    }
}

/// Applies an update from the store.
fn apply_update(node: &Node, update: StoreUpdate) {
    let now = node.now();
    let StoreUpdate { revision, epoch, is_snapshot, truncated, changes, .. } = update;
    let epoch = epoch.unwrap_or(node.feed.epoch());
    let changes: Vec<TargetChange> = changes.into_iter().filter_map(target_change).collect();
    let grace = node.outage_grace(|d| d.read_from_store(now));
    let is_new_state =
        truncated && (node.feed.revision() != Some(revision) || node.feed.epoch() != epoch);
    if is_snapshot {
        apply_snapshot(node, epoch, revision, list_targets(changes), grace);
    } else {
        apply_changes(node, revision, changes, grace);
    }
    if is_new_state {
        // The store may hold more, but what is known can be used, and followers can get no more.
        node.feed.restart(epoch, revision);
        node.mark_targets_known();
    }
    // This holds for a truncated list too: what was read is current, and followers that took this
    // node for stale would find no other node that knows more.
    node.feed.confirm(ObjectKind::Targets, now, now);
}

/// Applies an answer from a peer.
fn apply_answer(
    node: &Node,
    from: &str,
    answer: FollowAnswer,
    epoch: Option<u64>,
    confirmed: Time,
) {
    let FollowAnswer { at: revision, doubt_ms, news, evacuations, rollouts, .. } = answer;
    let epoch = epoch.unwrap_or(node.feed.epoch());
    // Evacuations and rollouts precede the targets, so that no new target is used that must get no
    // requests.
    if let Some(list) = evacuations {
        evacuations::apply(node, list, from);
    }
    if let Some(list) = rollouts {
        rollouts::apply(node, list, from);
    }
    let now = node.now();
    let grace = || node.outage_grace(|d| d.read_from_peer(Duration::from_millis(doubt_ms), now));
    match news {
        TargetNews::Unknown => return,
        TargetNews::Whole(list) => apply_snapshot(node, epoch, revision, list, grace()),
        // These changes belong to another history than this node's state.
        TargetNews::Changes(_) if epoch != node.feed.epoch() => return,
        TargetNews::Changes(changes) => apply_changes(node, revision, changes, grace()),
    }
    node.feed.confirm_all(confirmed, node.now());
}

fn apply_snapshot(node: &Node, epoch: u64, revision: u64, list: TargetList, grace: Option<Time>) {
    let now = node.now();
    let services: BTreeSet<Name> = list.targets.iter().map(|t| t.service.clone()).collect();
    node.fleet(|f| f.replace(list, grace, now));
    services.iter().for_each(|service| node.worker_added(service));
    node.feed.restart(epoch, revision);
    node.mark_targets_known();
}

fn apply_changes(node: &Node, revision: u64, changes: Vec<TargetChange>, grace: Option<Time>) {
    let now = node.now();
    let changes = drop_superseded(changes);
    for change in &changes {
        match change {
            TargetChange::Now(target) => {
                let state = match target {
                    Target { draining: true, .. } => "draining",
                    Target { cold_ms: 1.., .. } => "cold",
                    _ => "ready",
                };
                if node.fleet(|f| f.upsert(target.clone(), now)) {
                    node.worker_added(&target.service);
                    Event::Target { target: &target.id.name, service: &target.service, state }
                        .emit();
                }
            }
            TargetChange::Unreadable(name) => {
                if node.fleet(|f| f.mark_unreadable(name)) {
                    Event::Target { target: name, service: "", state: "unreadable" }.emit();
                }
            }
            TargetChange::Gone(name) => {
                node.fleet(|f| f.remove(name, grace, now));
                Event::Target { target: name, service: "", state: "gone" }.emit();
            }
        }
    }
    node.feed.append(revision, changes);
}

fn target_change(change: Change) -> Option<TargetChange> {
    match change {
        Change::Target(target) => Some(TargetChange::Now(target)),
        Change::Removed(id) => Some(TargetChange::Gone(id)),
        Change::Unreadable(name) => Some(TargetChange::Unreadable(name)),
        Change::Rules(_) | Change::Evacuated(_) | Change::Rollout(_) | Change::Held(_) => None,
    }
}

fn list_targets(changes: Vec<TargetChange>) -> TargetList {
    let mut list = TargetList::default();
    for change in changes {
        match change {
            TargetChange::Now(target) => list.targets.push(target),
            TargetChange::Unreadable(name) => list.unreadable.push(name),
            TargetChange::Gone(_) => {}
        }
    }
    list
}

/// Answers a follower as soon as there are changes for it, or its wait is over. `epoch` is the
/// epoch of its state, if it sent one. Returns the epoch of this node's state and an encoded
/// [`FollowAnswer`]; `None` if this node is stopping.
pub async fn answer_follower(
    node: &Node,
    ask: FollowAsk,
    epoch: Option<u64>,
) -> Option<(u64, Bytes)> {
    let deadline = node.now() + Duration::from_millis(ask.wait_ms);
    let mut updates = node.feed.subscribe();
    while is_up_to_date(node, &ask, epoch) {
        let changed = node.clock.timeout_at(deadline, updates.changed()).await;
        if changed.is_none() {
            break;
        }
    }
    if node.is_stopping() {
        return None;
    }
    let news = match changes_for(node, &ask, epoch) {
        _ if node.feed.revision().is_none() => TargetNews::Unknown,
        Some(changes) => TargetNews::Changes(changes),
        None => return Some((node.feed.epoch(), snapshot_answer(node))),
    };
    let known_rollouts = ask.rollouts.filter(|_| knows_epoch(node, epoch));
    Some((node.feed.epoch(), encode(&build_answer(node, news, known_rollouts, Duration::ZERO))))
}

/// Whether a peer's state is of the same epoch as this node's; builds that send no epoch are
/// assumed to be.
fn knows_epoch(node: &Node, epoch: Option<u64>) -> bool {
    epoch.is_none_or(|epoch| epoch == node.feed.epoch())
}

/// Whether the current lists belong to the epoch of the targets, which an answer names for all that
/// it holds. After a restore of the store, the targets may be read last.
fn lists_are_of_feed_epoch(node: &Node) -> bool {
    node.is_current_epoch(Some(node.feed.epoch()))
}

/// Changes of the targets that a peer lacks; `None` if it needs the complete list. A peer that
/// knows a later epoch gets no state of an earlier one.
fn changes_for(node: &Node, ask: &FollowAsk, epoch: Option<u64>) -> Option<Vec<TargetChange>> {
    match epoch.map_or(Ordering::Equal, |epoch| epoch.cmp(&node.feed.epoch())) {
        Ordering::Less => None,
        Ordering::Equal => node.feed.changes_since(ask.at),
        Ordering::Greater => Some(Vec::new()),
    }
}

/// Answer with the complete list. Many nodes that start together request it at once, so the
/// encoded form is shared for a short time.
fn snapshot_answer(node: &Node) -> Bytes {
    let now = node.now();
    let key = SnapshotKey {
        epoch: node.feed.epoch(),
        rules: node.table().rules.version,
        evacuations: node.fleet(|f| f.evacuated().revision()),
        rollouts: node.fleet(|f| f.versions().revision()),
        out_of_touch: node.feed.is_out_of_touch(),
    };
    node.feed.snapshot.get(key, now, || {
        let news = TargetNews::Whole(node.fleet(|f| f.list(now)));
        encode(&build_answer(node, news, None, SNAPSHOT_TTL))
    })
}

fn encode(answer: &FollowAnswer) -> Bytes {
    rmp_serde::to_vec(answer).expect("messages encode").into()
}

/// Builds an answer that may be sent for up to `ttl` from now, with ages increased accordingly.
fn build_answer(
    node: &Node,
    news: TargetNews,
    known_rollouts: Option<u64>,
    ttl: Duration,
) -> FollowAnswer {
    let now = node.now();
    let rules_age = node.feed.age_of(ObjectKind::Rules, now);
    let sends_lists = lists_are_of_feed_epoch(node);
    let evacuations = node.fleet(|f| {
        let evacuated = f.evacuated();
        evacuated.list().filter(|_| sends_lists && evacuated.is_current())
    });
    let rollouts = node.fleet(|f| {
        let versions = f.versions();
        let is_newer = versions.is_current() && versions.revision() > known_rollouts;
        (sends_lists && is_newer).then(|| versions.list()).flatten()
    });
    let grace =
        node.outage_grace(|d| d.until(now)).map(|until| until.since(now).saturating_sub(ttl));
    FollowAnswer {
        at: node.feed.revision().unwrap_or(0),
        age_ms: millis(node.feed.age(now).saturating_add(ttl)),
        out_of_touch: node.feed.is_out_of_touch(),
        doubt_ms: grace.map_or(0, |remaining| remaining.as_millis() as u64),
        rules: node.table().rules.version,
        rules_age_ms: millis(
            rules_age.map_or(Duration::MAX, |age| age.current.saturating_add(ttl)),
        ),
        evacuations,
        rollouts,
        news,
    }
}

fn is_up_to_date(node: &Node, ask: &FollowAsk, epoch: Option<u64>) -> bool {
    let known = node.feed.revision().unwrap_or(0);
    let is_same = knows_epoch(node, epoch);
    let has_changes = || node.feed.changes_since(ask.at).is_none_or(|c| !c.is_empty());
    let lacks_targets = !is_same || (known > ask.at && has_changes());
    let lacks_lists = lists_are_of_feed_epoch(node)
        && node.fleet(|f| {
            f.evacuated().has_changed_since(ask.evacuations.filter(|_| is_same))
                || f.versions().has_changed_since(ask.rollouts.filter(|_| is_same))
        });
    let is_behind = lacks_targets || lacks_lists;
    let is_fresh = !node.feed.is_out_of_touch() && !Feed::is_stale(node.feed.age(node.now()));
    !is_behind
        && (is_fresh || ask.patient)
        && node.table().rules.version <= ask.rules
        && !node.is_stopping()
}
