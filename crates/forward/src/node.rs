//! State shared by the tasks of a node.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use decide::delay::LocalDelay;
use decide::fleet::{ColdLimit, Fleet, Observation, Regions};
use decide::forecast::Forecast;
use decide::relay::{self, OutageGrace};
use decide::resend::RepeatBudget;
use decide::rng::Rng;
use model::forward::{QueueId, ReportedLoad, Rollout, Rules, Target, TargetId, Waits};
use model::{Name, Time};
use tokio::sync::watch;
use util::clock::Clock;
use util::http::Client;

use crate::border::{Dialect, ObjectKind};
use crate::capacity::CallerCapacity;
use crate::ejections::LocalEjections;
use crate::events::Event;
use crate::ingress::{LocalIntake, OpenSockets};
use crate::limits::LocalLimits;
use crate::links::LocalLinks;
use crate::memory::AnswerMemory;
use crate::metrics::{Gauges, Metrics};
use crate::peers::{self, Peers};
use crate::phase::LifePhase;
use crate::prefill::Schedulers;
use crate::quarantine::LocalQuarantine;
use crate::rollout::{self, LocalRollouts};
use crate::rules::RuleTable;
use crate::settings::Settings;
use crate::slots::LocalSlots;
use crate::stages::LocalCoordinators;
use crate::streams::LocalStreams;
use crate::watch::Feed;
use crate::work::WorkCounts;

/// Maximum number of route, workspace or region names in one log line.
const MAX_LOGGED_NAMES: usize = 16;
/// Time after which a node that has found no peer assumes that it is the only one.
const PEER_WAIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which waiting requests check whether the initial state is known.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which tasks check whether the store answers again.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the tasks of a node.
pub struct Node {
    /// Translator of the platform's messages.
    pub dialect: Box<dyn Dialect>,
    /// Monotonic clock that also counts suspension.
    pub clock: Clock,
    /// HTTP client for peers and the store.
    pub client: Client,
    /// Metrics that this node reports.
    pub metrics: Metrics,
    /// Known peers, and the batch coordinators among them.
    pub peers: Peers,
    /// Batch coordinators that run on this node.
    pub pools: LocalCoordinators,
    /// Prompt schedulers that run on this node.
    pub schedulers: Schedulers,
    /// Requests under which targets crashed.
    pub quarantine: LocalQuarantine,
    /// Limits that targets name.
    pub limits: LocalLimits,
    /// Slots of brittle targets.
    pub slots: LocalSlots,
    /// Links to the targets.
    pub links: LocalLinks,
    /// Delay that this node adds to its own connections.
    pub(crate) delay: RefCell<LocalDelay>,
    /// Requests that this node takes on.
    pub intake: LocalIntake,
    /// Sockets of callers and of peers that call this node.
    pub sockets: OpenSockets,
    /// Memory and connections for callers.
    pub capacity: CallerCapacity,
    /// Memory for answers.
    pub answer_memory: AnswerMemory,
    /// Origins of resumable streams.
    pub streams: LocalStreams,
    /// Ejections that nodes share.
    pub ejections: LocalEjections,
    /// Observations and judgements of trial versions.
    pub rollouts: LocalRollouts,
    /// Target state, relayed to peers that follow this node.
    pub feed: Feed,
    settings: RefCell<Rc<Settings>>,
    table: RefCell<Rc<RuleTable>>,
    fleet: RefCell<Fleet>,
    budgets: RefCell<HashMap<Name, RepeatBudget>>,
    forecast: RefCell<Forecast>,
    rng: RefCell<Rng>,
    outage_grace: RefCell<OutageGrace>,
    targets_known: Cell<bool>,
    /// Latest known epoch of the store.
    epoch: Cell<Option<u64>>,
    version: watch::Sender<u64>,
    phase: watch::Sender<LifePhase>,
    work: Cell<WorkCounts>,
}

impl Node {
    /// A node without rules, targets or peers.
    pub fn new(settings: Settings, dialect: Box<dyn Dialect>) -> Self {
        let regions = Regions::new(settings.regions.clone());
        let mut fleet = Fleet::default();
        fleet.set_regions(regions.clone());
        let (clock, metrics) = (Clock::default(), Metrics::default());
        let capacity = CallerCapacity::new(&settings, clock, &metrics);
        Node {
            dialect,
            clock,
            client: Client::new(peers::CONNECT_TIMEOUT),
            metrics,
            capacity,
            peers: Peers::new(
                settings.name.clone(),
                settings.domain.clone(),
                settings.host.capacity(),
                regions,
            ),
            pools: LocalCoordinators::default(),
            schedulers: Schedulers::default(),
            quarantine: LocalQuarantine::default(),
            limits: LocalLimits::default(),
            slots: LocalSlots::default(),
            links: LocalLinks::default(),
            delay: RefCell::default(),
            intake: LocalIntake::default(),
            sockets: OpenSockets::default(),
            answer_memory: AnswerMemory::default(),
            streams: LocalStreams::default(),
            ejections: LocalEjections::default(),
            rollouts: LocalRollouts::default(),
            feed: Feed::default(),
            settings: RefCell::new(Rc::new(settings)),
            table: RefCell::default(),
            fleet: RefCell::new(fleet),
            budgets: RefCell::default(),
            forecast: RefCell::default(),
            rng: RefCell::new(Rng::new(rand::random())),
            outage_grace: RefCell::default(),
            targets_known: Cell::new(false),
            epoch: Cell::new(None),
            version: watch::Sender::new(0),
            phase: watch::Sender::new(LifePhase::Serving),
            work: Cell::default(),
        }
    }

    /// Time since the start of the node.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Current settings; a reload replaces them.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Applies reloaded settings.
    pub fn set_settings(&self, settings: Settings) {
        let tuning = settings.repeats.tuning();
        self.budgets.borrow_mut().values_mut().for_each(|b| b.set_tuning(tuning));
        self.peers.set_seeds(settings.seed_addresses());
        self.capacity.set_limits(&settings);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The rules in force.
    pub fn table(&self) -> Rc<RuleTable> {
        self.table.borrow().clone()
    }

    /// Puts rules in force if they are newer than the current ones; returns whether they are.
    pub fn adopt_rules(&self, rules: Rules, from: &str) -> bool {
        if rules.version <= self.table.borrow().rules.version {
            return false;
        }
        let (version, routes) = (rules.version, rules.routes.len());
        *self.table.borrow_mut() = Rc::new(RuleTable::new(rules));
        Event::Rules { version, from, routes }.emit();
        self.log_unserved();
        self.version.send_replace(version);
        self.feed.notify();
        true
    }

    /// Routes and workspaces that cannot be served: no failure domain is in a region that they
    /// allow.
    fn unserved_names(&self) -> Vec<Name> {
        let fleet = self.fleet.borrow();
        let table = self.table.borrow();
        let unserved =
            table.region_restricted().filter(|(_, allowed)| !fleet.regions().any_allowed(allowed));
        unserved.map(|(name, _)| name.clone()).collect()
    }

    /// Logs, once per set of rules, routes and workspaces that cannot be served, and regions that
    /// the rules name but no failure domain is in.
    fn log_unserved(&self) {
        let names = self.unserved_names();
        let unknown: BTreeSet<Name> = {
            let (fleet, table) = (self.fleet.borrow(), self.table.borrow());
            let named =
                table.region_restricted().flat_map(|(_, allowed)| fleet.regions().unknown(allowed));
            named.cloned().collect()
        };
        if names.is_empty() && unknown.is_empty() {
            return;
        }
        let version = self.table.borrow().rules.version;
        let unknown: Vec<Name> = unknown.into_iter().take(MAX_LOGGED_NAMES).collect();
        let first = &names[..names.len().min(MAX_LOGGED_NAMES)];
        Event::Unserved { version, count: names.len(), names: first, unknown: &unknown }.emit();
    }

    /// Receives the version of the rules whenever new ones come into force.
    pub fn subscribe_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Limit on requests to cold targets of a service; `None` if they are treated like others.
    pub fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        let cold = self.table.borrow().service(service)?.cold?;
        ColdLimit::for_service(&cold, self.settings.borrow().cold.bounds())
    }

    /// Calls `f` with the fleet, which stays borrowed until it returns.
    pub fn fleet<T>(&self, f: impl FnOnce(&mut Fleet) -> T) -> T {
        f(&mut self.fleet.borrow_mut())
    }

    /// Records the waits that a batch coordinator announced for the next orders in a queue.
    pub fn record_waits(&self, queue: QueueId, waits: Waits) {
        let now = self.now();
        self.forecast.borrow_mut().record(queue, waits, now);
    }

    /// Records that a target of a service was added or its entry changed.
    pub fn worker_added(&self, service: &Name) {
        self.forecast.borrow_mut().worker_added(service);
    }

    /// Calls `f` with the queueing forecast, which stays borrowed until it returns.
    pub fn forecast<T>(&self, f: impl FnOnce(&Forecast) -> T) -> T {
        f(&self.forecast.borrow())
    }

    /// Calls `f` with the random generator, which stays borrowed until it returns.
    pub fn rng<T>(&self, f: impl FnOnce(&mut Rng) -> T) -> T {
        f(&mut self.rng.borrow_mut())
    }

    /// Records the outcome of a send; failures only if ejection is enabled. Returns whether the
    /// target is ejected now.
    pub fn observe(&self, target: &TargetId, observation: Observation, why: &str) -> bool {
        let now = self.now();
        if matches!(observation, Observation::Unreachable | Observation::Interrupted) {
            self.links.record_failure(&target.name, now);
        }
        let answered = matches!(observation, Observation::Answered(_));
        if observation == Observation::Unreachable && self.is_late() {
            return false;
        }
        if !answered && !self.settings().policy.ejection {
            return false;
        }
        let is_ejected = self.fleet(|f| f.observe(target, observation, now));
        if is_ejected {
            Event::Ejected { target: &target.name, why }.emit();
        }
        is_ejected
    }

    /// Records the load that a target reported in an answer.
    pub fn record_load(&self, target: &Target, load: ReportedLoad) {
        self.metrics.count_load(load);
        let now = self.now();
        if self.fleet(|f| f.record_load(&target.id, load, now)) {
            Event::BadLoad { target: &target.id.name, service: &target.service }.emit();
        }
    }

    /// Counts the first send of a request to a service, which the repeat budget is based on.
    pub fn count_request(&self, service: &Name) {
        let now = self.now();
        self.budget(service, |b| b.record_request(now));
    }

    /// Whether the repeat budget of a service currently permits a repeat.
    pub fn permits_repeat(&self, service: &Name) -> bool {
        let (now, nodes) = (self.now(), self.peers.roster(|r| r.max_seen()));
        self.budget(service, |b| b.permits(now, nodes))
    }

    /// Takes one repeat from this node's share of the service's repeat budget, if permitted.
    pub fn take_repeat(&self, service: &Name) -> bool {
        let (now, nodes) = (self.now(), self.peers.roster(|r| r.max_seen()));
        let granted = self.budget(service, |b| b.withdraw(now, nodes));
        if !granted {
            Event::NoRepeat { service, nodes }.emit();
        }
        granted
    }

    /// Returns a repeat that was taken and not sent.
    pub fn return_repeat(&self, service: &Name) {
        self.budget(service, RepeatBudget::give_back);
    }

    /// Records a sign of life of a target: the head of an answer, or an event of a stream.
    pub fn record_sign(&self, target: &TargetId) {
        let now = self.now();
        self.fleet(|f| f.record_sign(target, now));
    }

    fn budget<T>(&self, service: &Name, f: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let new_budget = || {
            let settings = self.settings();
            RepeatBudget::new(settings.repeats.tuning(), settings.first_start, self.peers.id.start)
        };
        f(budgets.entry(service.clone()).or_insert_with(new_budget))
    }

    /// Records an epoch of the store, received from the store or a peer. An epoch later than the
    /// known one means that the store was restored from an older copy in the meantime.
    pub fn observe_epoch(&self, epoch: u64, from: &str) {
        let before = self.epoch.get();
        if before.is_some_and(|before| epoch <= before) {
            return;
        }
        self.epoch.set(Some(epoch));
        Event::Epoch { epoch, before, from, at: self.feed.revision().unwrap_or(0) }.emit();
        if before.is_some() {
            let now = self.now();
            self.outage_grace(|d| d.store_restored(now));
            self.fleet(|f| f.begin_epoch(now));
            self.quarantine.store_restored();
            self.rollouts.store_restored();
        }
    }

    /// Whether data is of the latest known epoch; data that names no epoch counts as such.
    pub fn is_current_epoch(&self, epoch: Option<u64>) -> bool {
        epoch.is_none() || epoch >= self.epoch.get()
    }

    /// Records that the store answered a call.
    pub fn store_answered(&self) {
        let now = self.now();
        self.outage_grace(|d| d.store_answered(now));
    }

    /// Waits until the store answers this node, judged by the last call of any kind.
    pub async fn wait_for_store(&self) {
        while self.outage_grace(|d| d.is_store_down()) {
            tokio::time::sleep(STORE_POLL_INTERVAL).await;
        }
    }

    /// Records that a call to the store got no answer.
    pub fn store_failed(&self) {
        self.outage_grace(OutageGrace::store_failed);
    }

    /// Calls `f` with the record of store outages, which stays borrowed until it returns.
    pub fn outage_grace<T>(&self, f: impl FnOnce(&mut OutageGrace) -> T) -> T {
        f(&mut self.outage_grace.borrow_mut())
    }

    /// Milliseconds since the store last confirmed the targets, or else since the node started.
    pub fn targets_age_ms(&self) -> u64 {
        let now = self.now();
        let age = self.feed.age_of(ObjectKind::Targets, now).map(|age| age.current);
        age.unwrap_or(now.since(Time::ZERO)).as_millis() as u64
    }

    /// Current metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.render(Gauges {
            work: self.work(),
            orders: self.pools.open_orders(),
            rules: self.table.borrow().rules.version,
            unserved: self.unserved_names().len(),
            peers: self.peers.roster(|r| r.count()),
            targets: self.fleet.borrow().len(),
            targets_unreadable: self.fleet.borrow().count_unreadable(),
            evacuated: self.fleet.borrow().evacuated().domains().count(),
            cold: self.fleet.borrow().count_cold(self.now()),
            quarantined: self.quarantine.count_held(self),
            links_lost: self.links.is_lost(),
            delay: self.local_delay(),
            intake_limit: self.intake.limit(),
            connections: self.capacity.connections(),
            held: self.capacity.held(),
            limited: self.fleet.borrow().limits().limited().count(),
            rollouts: &self.running_rollouts(),
            ages: ObjectKind::AGE_TRACKED.map(|kind| (kind, self.feed.age_of(kind, self.now()))),
        })
    }

    /// Running rollouts: service, trial version and its share of the requests.
    fn running_rollouts(&self) -> Vec<(Name, Name, f64)> {
        let fleet = self.fleet.borrow();
        let versions = fleet.versions();
        let share_of =
            |service: &Name| versions.phase(service).map_or(0.0, |p| rollout::name_and_share(p).1);
        let line = |o: &Rollout| (o.service.clone(), o.version.clone(), share_of(&o.service));
        versions.running().map(line).collect()
    }

    /// Whether the rules may be stale: the store has not confirmed them for longer than `within`.
    pub fn rules_may_be_stale(&self, within: Duration) -> bool {
        self.feed.age_of(ObjectKind::Rules, self.now()).is_none_or(|age| age.current > within)
    }

    /// Records that the list of targets has been received at least once.
    pub fn mark_targets_known(&self) {
        self.targets_known.set(true);
    }

    /// Whether rules, targets, evacuations and rollouts are known.
    fn knows_state(&self) -> bool {
        let fleet = self.fleet.borrow();
        let knows_lists = fleet.evacuated().is_known() && fleet.versions().is_known();
        self.table.borrow().is_known() && self.targets_known.get() && knows_lists
    }

    /// Waits until the initial state is known, but no longer than a starting node may.
    pub async fn wait_for_state(&self) {
        let limit = self.now() + relay::startup_wait(self.now().since(Time::ZERO));
        while !self.knows_state() && self.now() < limit {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    /// Whether this node is ready for callers.
    pub fn is_ready(&self) -> bool {
        let knows_peers = self.peers.roster(|r| r.count()) > 1
            || self.now().since(Time::ZERO) >= PEER_WAIT_TIMEOUT;
        self.knows_state() && knows_peers && !self.is_stopping() && !self.intake.is_yielding()
    }

    /// Whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= LifePhase::Stopping
    }

    /// Waits until the node is in this phase or a later one.
    pub async fn wait_for_phase(&self, phase: LifePhase) {
        let mut phases = self.phase.subscribe();
        let _ = phases.wait_for(|p| *p >= phase).await;
    }

    /// Advances to a phase; has no effect if the node is in it or in a later one.
    pub fn enter_phase(&self, phase: LifePhase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            *p = phase.max(*p);
            later
        });
    }

    /// Number of requests whose answers have not left.
    pub fn open_requests(&self) -> usize {
        self.work().requests()
    }

    /// Open requests and messages by stage.
    pub fn work(&self) -> WorkCounts {
        self.work.get()
    }

    /// Changes the count of open requests and messages.
    pub fn count_work(&self, change: impl FnOnce(&mut WorkCounts)) {
        let mut counts = self.work.get();
        change(&mut counts);
        self.work.set(counts);
    }
}
