//! Follows the targets: the relay of each failure domain in the store, the others through
//! it. News of newer rules comes the same way, and they are fetched from there.

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
use super::store::{Reader, Step};
use super::{evacuations, millis, relays, rollouts};
use crate::border::{Change, ObjectKind};
use crate::events::Event;
use crate::node::Node;
use crate::peers::{self, Followed};

/// Time after which a list that could not be read to its end is asked for again. Each change
/// of what it did not bring is heard of meanwhile, and a try costs a call for each page.
const LIST_AGAIN: Duration = Duration::from_secs(5);

/// Follows until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut follower = Follower::new(node);
    loop {
        follower.step().await;
    }
}

struct Follower {
    node: Rc<Node>,
    reader: Reader,
    /// For relays only, so that it can be replaced once a connection has fallen silent.
    client: Client,
    sources: Sources,
    /// The store's history does not reach back to this node's revision.
    history_gone: bool,
    /// When a list was read that had no end.
    cut: Option<Time>,
    /// Its end was read at a revision that followers have too: at a later one they get it all.
    owes: bool,
    source: Option<Source>,
    /// The peer that was told to be behind.
    behind: Option<NodeId>,
}

impl Follower {
    fn new(node: Rc<Node>) -> Self {
        let reader = Reader::new(node.clone(), ObjectKind::Targets);
        let sources = Sources::default();
        let client = Client::new(peers::CONNECT);
        Follower {
            node,
            reader,
            client,
            sources,
            history_gone: false,
            cut: None,
            owes: false,
            source: None,
            behind: None,
        }
    }

    async fn step(&mut self) {
        let relays = relays(&self.node);
        let now = self.node.now();
        let jitter = |most| self.node.rng(|r| r.jitter(most));
        let chosen = self.sources.choose(&relays, now, jitter);
        let reads_store = relays.role == Role::Relay || chosen.source == Source::Store;
        self.node.feed.set_reads_store(reads_store);
        if self.source.as_ref() != Some(&chosen.source) {
            self.tell(&chosen.source);
            self.source = Some(chosen.source.clone());
        }
        tokio::time::sleep(chosen.pause).await;
        match chosen.source {
            Source::Store => self.ask_store(&relays).await,
            Source::Peer { node, await_fresh: patient } => {
                self.ask_peer(&node, patient, relays.role).await
            }
            Source::Unavailable => return,
        }
        tokio::time::sleep(waits::COALESCE_TIME).await;
    }

    fn tell(&self, source: &Source) {
        let from = match source {
            Source::Store => "store",
            Source::Peer { node, .. } => &node.id.name,
            Source::Unavailable => "nobody",
        };
        let age_ms = millis(self.node.feed.age(self.node.now()));
        Event::Source { from, age_ms }.emit();
    }

    async fn ask_store(&mut self, relays: &Relays) {
        let node = self.node.clone();
        let is_due = self.cut.is_some_and(|at| node.now().since(at) >= LIST_AGAIN);
        let known = node.feed.at().filter(|_| !self.history_gone);
        let at = known.filter(|_| !is_due);
        self.reader.go_on_from(node.feed.epoch());
        match self.reader.read(at, waits::TARGETS_WATCH_WAIT).await {
            Ok(mut step) => {
                self.history_gone = false;
                node.feed.set_out_of_touch(false);
                self.sources.store_answered();
                if at.is_none() {
                    self.owes = self.cut.is_some() && step.whole;
                    self.cut = step.cut.then(|| node.now());
                }
                // What a list does not bring may have changed since: watches go on from there.
                let is_of_known = step.epoch.is_none_or(|epoch| epoch == node.feed.epoch());
                step.at = known.filter(|_| step.cut && is_of_known).unwrap_or(step.at);
                take_step(&node, step);
                if self.owes && node.feed.at() > known {
                    node.feed.restart(node.feed.epoch(), node.feed.at().unwrap_or(0));
                    self.owes = false;
                }
            }
            Err(e) if e.is_history_gone() => self.history_gone = true,
            Err(_) => {
                let now = node.now();
                let jitter = |most| node.rng(|r| r.jitter(most));
                self.sources.store_failed(relays.role, now, jitter);
                // Whoever follows this node is better off elsewhere.
                node.feed.set_out_of_touch(true);
            }
        }
    }

    async fn ask_peer(&mut self, peer: &PeerNode, patient: bool, role: Role) {
        let node = self.node.clone();
        let is_unsettled = node.fleet(|f| f.versions().unsettled().is_some());
        let wait = match role {
            // The peer, which reads the orders, soon knows them up to the newest version.
            _ if is_unsettled => waits::COALESCE_TIME,
            Role::Standby => waits::STANDBY_WAIT,
            _ => waits::PEER_WAIT,
        };
        let ask = FollowAsk {
            at: node.feed.at().unwrap_or(0),
            rules: node.table().rules.version,
            evacuations: node.fleet(|f| f.evacuated().at().filter(|_| f.evacuated().is_current())),
            rollouts: node.fleet(|f| f.versions().revision().filter(|_| f.versions().is_current())),
            wait_ms: wait.as_millis() as u64,
            patient,
        };
        let answer = self.follow(peer, ask, wait).await;
        let now = node.now();
        let Some(Followed { answer, epoch }) = answer else {
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
        self.note_behind(peer, answer.at);
        let (rules, confirmed) = (answer.rules, now - age);
        if is_current {
            take_answer(&node, &peer.id.name, answer, epoch, confirmed);
        }
        // A relay asks peers only while the store fails it. Its standby is to go on in its
        // place: if it followed the relay again, each would follow the other.
        node.feed.set_out_of_touch(is_stale || role == Role::Relay);
        if rules > node.table().rules.version {
            peers::take_rules(&node, &self.client, peer.entry).await;
        }
        if rules <= node.table().rules.version {
            node.feed.confirm(ObjectKind::Rules, now - rules_age, now);
        }
    }

    /// Tells, once for a peer, that it is behind this node.
    fn note_behind(&mut self, peer: &PeerNode, at: u64) {
        let known_at = self.node.feed.at().unwrap_or(0);
        if at >= known_at {
            self.behind = None;
        } else if self.behind.as_ref() != Some(&peer.id) {
            self.behind = Some(peer.id.clone());
            Event::Behind { peer: &peer.id.name, at, known_at }.emit();
        }
    }

    /// Asks a peer, and where no answer comes in time once more over a new connection: the old
    /// one may have fallen silent, and whoever takes the peer for lost leaves it for seconds.
    async fn follow(
        &mut self,
        peer: &PeerNode,
        ask: FollowAsk,
        wait: Duration,
    ) -> Option<Followed> {
        let (node, entry) = (&self.node, peer.entry);
        let epoch = Some(node.feed.epoch());
        let patience = wait + waits::PEER_SLACK;
        match peers::follow(node, &self.client, entry, &ask, epoch, patience).await {
            Err(e) if e.kind == CallKind::Timeout => {
                self.client = Client::new(peers::CONNECT);
                let ask = FollowAsk { wait_ms: 0, patient: false, ..ask };
                let again =
                    peers::follow(node, &self.client, entry, &ask, epoch, waits::RETRY_TIMEOUT);
                again.await.ok()
            }
            answer => answer.ok(),
        }
    }
}

/// Takes what the store told.
fn take_step(node: &Node, step: Step) {
    let now = node.now();
    let Step { at, epoch, whole, cut, changes, .. } = step;
    let epoch = epoch.unwrap_or(node.feed.epoch());
    let changes: Vec<TargetChange> = changes.into_iter().filter_map(target_change).collect();
    let doubt = node.outage_grace(|d| d.read_from_store(now));
    let begins = cut && (node.feed.at() != Some(at) || node.feed.epoch() != epoch);
    if whole {
        take_whole(node, epoch, at, list_of(changes), doubt);
    } else {
        take_changes(node, at, changes, doubt);
    }
    if begins {
        // More may be there, but what is known can be used, and is all that followers can have.
        node.feed.restart(epoch, at);
        node.mark_targets_known();
    }
    // For a cut list too: what it brought is as the store has it, and followers that took this
    // node for stale would find no other that knows more.
    node.feed.confirm(ObjectKind::Targets, now, now);
}

/// Takes what a peer told.
fn take_answer(node: &Node, from: &str, answer: FollowAnswer, epoch: Option<u64>, confirmed: Time) {
    let FollowAnswer { at, doubt_ms, news, evacuations, rollouts, .. } = answer;
    let epoch = epoch.unwrap_or(node.feed.epoch());
    // Before the targets, so that no new one is used that is to get nothing.
    if let Some(list) = evacuations {
        evacuations::take(node, list, from);
    }
    if let Some(list) = rollouts {
        rollouts::take(node, list, from);
    }
    let now = node.now();
    let heard = || node.outage_grace(|d| d.read_from_peer(Duration::from_millis(doubt_ms), now));
    match news {
        TargetNews::Unknown => return,
        TargetNews::Whole(list) => take_whole(node, epoch, at, list, heard()),
        // Changes of another history than the one that this node is at.
        TargetNews::Changes(_) if epoch != node.feed.epoch() => return,
        TargetNews::Changes(changes) => take_changes(node, at, changes, heard()),
    }
    node.feed.confirm_all(confirmed, node.now());
}

fn take_whole(node: &Node, epoch: u64, at: u64, list: TargetList, doubt: Option<Time>) {
    let now = node.now();
    let services: BTreeSet<Name> = list.targets.iter().map(|t| t.service.clone()).collect();
    node.fleet(|f| f.replace(list, doubt, now));
    services.iter().for_each(|service| node.worker_added(service));
    node.feed.restart(epoch, at);
    node.mark_targets_known();
}

fn take_changes(node: &Node, at: u64, changes: Vec<TargetChange>, doubt: Option<Time>) {
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
                node.fleet(|f| f.remove(name, doubt, now));
                Event::Target { target: name, service: "", state: "gone" }.emit();
            }
        }
    }
    node.feed.append(at, changes);
}

fn target_change(change: Change) -> Option<TargetChange> {
    match change {
        Change::Target(target) => Some(TargetChange::Now(target)),
        Change::Removed(id) => Some(TargetChange::Gone(id)),
        Change::Unreadable(name) => Some(TargetChange::Unreadable(name)),
        Change::Rules(_) | Change::Evacuated(_) | Change::Rollout(_) | Change::Held(_) => None,
    }
}

fn list_of(changes: Vec<TargetChange>) -> TargetList {
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

/// Answers a peer that follows this node, and tells an epoch of the store or does not, as soon as
/// there is news: with the epoch of this node and an encoded [`FollowAnswer`]; `None` if this node
/// stops.
pub async fn answer(node: &Node, ask: FollowAsk, epoch: Option<u64>) -> Option<(u64, Bytes)> {
    let limit = node.now() + Duration::from_millis(ask.wait_ms);
    let mut news = node.feed.news();
    while has_no_news(node, &ask, epoch) {
        let heard = node.clock.until(limit, news.changed()).await;
        if heard.is_none() {
            break;
        }
    }
    if node.is_stopping() {
        return None;
    }
    let news = match changes_for(node, &ask, epoch) {
        _ if node.feed.at().is_none() => TargetNews::Unknown,
        Some(changes) => TargetNews::Changes(changes),
        None => return Some((node.feed.epoch(), snapshot_answer(node))),
    };
    let known_rollouts = ask.rollouts.filter(|_| knows_epoch(node, epoch));
    Some((node.feed.epoch(), encoded(&answer_of(node, news, known_rollouts, Duration::ZERO))))
}

/// Whether a peer's state is of the epoch of this node's; builds that tell none are taken to be.
fn knows_epoch(node: &Node, epoch: Option<u64>) -> bool {
    epoch.is_none_or(|epoch| epoch == node.feed.epoch())
}

/// What a peer lacks of the targets; `None` if it needs them all. One that knows a later epoch
/// gets nothing of an earlier one.
fn changes_for(node: &Node, ask: &FollowAsk, epoch: Option<u64>) -> Option<Vec<TargetChange>> {
    match epoch.map_or(Ordering::Equal, |epoch| epoch.cmp(&node.feed.epoch())) {
        Ordering::Less => None,
        Ordering::Equal => node.feed.since(ask.at),
        Ordering::Greater => Some(Vec::new()),
    }
}

/// The answer with the whole list. Many that have just started ask for it together, so that it
/// is encoded once for all of a moment.
fn snapshot_answer(node: &Node) -> Bytes {
    let now = node.now();
    let key = SnapshotKey {
        epoch: node.feed.epoch(),
        rules: node.table().rules.version,
        evacuations: node.fleet(|f| f.evacuated().at()),
        rollouts: node.fleet(|f| f.versions().revision()),
        out_of_touch: node.feed.is_out_of_touch(),
    };
    node.feed.snapshot.get(key, now, || {
        let news = TargetNews::Whole(node.fleet(|f| f.list(now)));
        encoded(&answer_of(node, news, None, SNAPSHOT_TTL))
    })
}

fn encoded(answer: &FollowAnswer) -> Bytes {
    rmp_serde::to_vec(answer).expect("messages encode").into()
}

/// An answer that may be given for some time after now.
fn answer_of(
    node: &Node,
    news: TargetNews,
    known_rollouts: Option<u64>,
    kept: Duration,
) -> FollowAnswer {
    let now = node.now();
    let rules_age = node.feed.age_of(ObjectKind::Rules, now);
    let rollouts = node.fleet(|f| {
        let versions = f.versions();
        let is_newer = versions.is_current() && versions.revision() > known_rollouts;
        is_newer.then(|| versions.list()).flatten()
    });
    let doubt =
        node.outage_grace(|d| d.until(now)).map(|until| until.since(now).saturating_sub(kept));
    FollowAnswer {
        at: node.feed.at().unwrap_or(0),
        age_ms: millis(node.feed.age(now).saturating_add(kept)),
        out_of_touch: node.feed.is_out_of_touch(),
        doubt_ms: doubt.map_or(0, |left| left.as_millis() as u64),
        rules: node.table().rules.version,
        rules_age_ms: millis(rules_age.map_or(Duration::MAX, |age| age.now.saturating_add(kept))),
        evacuations: node.fleet(|f| f.evacuated().list().filter(|_| f.evacuated().is_current())),
        rollouts,
        news,
    }
}

fn has_no_news(node: &Node, ask: &FollowAsk, epoch: Option<u64>) -> bool {
    let known = node.feed.at().unwrap_or(0);
    let is_same = knows_epoch(node, epoch);
    let lacks = || node.feed.since(ask.at).is_none_or(|c| !c.is_empty());
    let lacks_targets = !is_same || (known > ask.at && lacks());
    let lacks_lists = node.fleet(|f| {
        f.evacuated().changed_since(ask.evacuations.filter(|_| is_same))
            || f.versions().has_changed_since(ask.rollouts.filter(|_| is_same))
    });
    let lacks = lacks_targets || lacks_lists;
    let is_fresh = !node.feed.is_out_of_touch() && !Feed::is_stale(node.feed.age(node.now()));
    !lacks
        && (is_fresh || ask.patient)
        && node.table().rules.version <= ask.rules
        && !node.is_stopping()
}
