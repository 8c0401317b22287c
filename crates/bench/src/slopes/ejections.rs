//! Traffic of a target that rejects all requests, and of the messages by which nodes agree to eject
//! it, while each node sends few requests.

use std::net::SocketAddr;
use std::time::Duration;

use decide::ejection::{EjectionKeeper, KeeperAction};
use decide::fleet::{
    ColdStarts, Fleet, Observation, PickCriteria, Regions, Terms, max_probe_interval,
};
use decide::region::Map;
use decide::rng::Rng;
use model::forward::{
    EjectionAnswer, EjectionMessage, EjectionStep, Evidence, FailureReport, Target, TargetId,
};
use model::{Name, Time};
use serde::Serialize;

use super::{Figure, counted};

/// Number of failure domains.
const DOMAINS: usize = 5;
/// Targets of the service. The first rejects all requests.
const TARGETS: usize = 3;
/// Mean time between two requests of a node.
const REQUEST_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which all nodes have had a chance to see the target fail.
const DETECTION_TIME: Time = Time::from_millis(10_000);
/// Simulated time.
const END: Time = Time::from_millis(70_000);
const LATENCY: Duration = Duration::from_millis(20);

/// Nodes with their own views of the same targets, and the keeper of each failure domain.
struct SimNodes {
    fleets: Vec<Fleet>,
    keepers: Vec<EjectionKeeper>,
    rng: Rng,
    /// Requests that reached the failing target after [`DETECTION_TIME`].
    received: usize,
    /// Bytes of all messages about ejections.
    bytes: usize,
}

fn encoded_len<T: Serialize>(message: &T) -> usize {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len())
}

/// All figures of a fleet with this many nodes.
pub fn measure(nodes: usize) -> Vec<Figure> {
    let mut sim = SimNodes::new(nodes);
    sim.run();
    let seconds = END.since(DETECTION_TIME).as_secs_f64();
    let bytes = sim.bytes as f64 / nodes as f64 / END.since(Time::ZERO).as_secs_f64();
    vec![
        counted(
            "requests a second at a target that rejects all, by nodes",
            nodes,
            sim.received as f64 / seconds,
        ),
        counted("ejection bytes per node and second, by nodes", nodes, bytes),
    ]
}

fn name(node: usize) -> Name {
    format!("node-{node}").into()
}

fn failing() -> TargetId {
    "t0".into()
}

fn target(number: usize) -> Target {
    Target {
        id: format!("t{number}").as_str().into(),
        service: "plain".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "d0".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_ms: 0,
        revision: 0,
    }
}

impl SimNodes {
    fn new(nodes: usize) -> Self {
        let fleet = || {
            let mut fleet = Fleet::default();
            (0..TARGETS).for_each(|n| _ = fleet.upsert(target(n), Time::ZERO));
            fleet
        };
        SimNodes {
            fleets: (0..nodes).map(|_| fleet()).collect(),
            keepers: (0..DOMAINS).map(|_| EjectionKeeper::default()).collect(),
            rng: Rng::new(7),
            received: 0,
            bytes: 0,
        }
    }

    fn run(&mut self) {
        let nodes = self.fleets.len();
        let mut now = Time::ZERO;
        while now < END {
            now = now + self.rng.jitter(REQUEST_INTERVAL * 2 / nodes as u32);
            let node = self.rng.below(nodes);
            self.send_request(node, now);
        }
    }

    fn send_request(&mut self, node: usize, now: Time) {
        let map = Map::new("d0".into(), Regions::default());
        let criteria = PickCriteria {
            service: "plain",
            domain: "d0",
            map: &map,
            terms: Terms::ANY,
            home_region: None,
            exclude: &[],
            max_per_target: 100,
            home_weights: &[],
            cold_limit: None,
            cold_starts: ColdStarts::Avoid,
            may_repeat: true,
        };
        let fleet = &mut self.fleets[node];
        let chosen = fleet.pick_by_wait(criteria, now, &mut self.rng).expect("targets are up").id;
        fleet.record_choice(&chosen, now);
        if chosen != failing() {
            fleet.observe(&chosen, Observation::Answered(LATENCY), now);
            return;
        }
        self.received += usize::from(now >= DETECTION_TIME);
        if fleet.observe(&chosen, Observation::Rejected, now) {
            let turn = self.turn(now);
            self.fleets[node].defer_probe(&chosen, turn);
        }
        if let Some(report) = self.fleets[node].failure_report(&chosen, now) {
            self.report(node, report, now);
        }
    }

    fn turn(&mut self, now: Time) -> Time {
        now + self.rng.jitter(max_probe_interval(self.fleets.len()))
    }

    /// Sends a message and its answer `count` times.
    fn count_messages(
        &mut self,
        step: EjectionStep,
        report: &FailureReport,
        answer: EjectionAnswer,
        count: usize,
    ) {
        let failing = vec![report.clone()];
        let message = EjectionMessage { from: name(0), step, failing, recovered: Vec::new() };
        self.bytes += count * (encoded_len(&message) + encoded_len(&answer));
    }

    fn report(&mut self, node: usize, report: FailureReport, now: Time) {
        let domain = node % DOMAINS;
        let action = self.keepers[domain].report(&name(node), &report, now);
        let ejected = Vec::from_iter((action == KeeperAction::Confirm).then(failing));
        let answer = EjectionAnswer { evidence: Vec::new(), ejected };
        self.count_messages(EjectionStep::Report, &report, answer, 1);
        match action {
            KeeperAction::Query => self.query(domain, now),
            KeeperAction::Confirm => self.eject(node, &report, now),
            KeeperAction::Wait => {}
        }
    }

    fn query(&mut self, domain: usize, now: Time) {
        let report = self.keepers[domain].current(&failing(), now).expect("it was just reported");
        let since = now - Duration::from_millis(report.since_ms);
        let members: Vec<usize> = (domain..self.fleets.len()).step_by(DOMAINS).collect();
        let evidence: Vec<(Name, Evidence)> = members
            .iter()
            .map(|n| (name(*n), self.fleets[*n].evidence(&failing(), since, now)))
            .collect();
        let answer = EjectionAnswer { evidence: vec![Evidence::Unknown], ejected: Vec::new() };
        self.count_messages(EjectionStep::Query, &report, answer, members.len());
        if !self.keepers[domain].decide(&failing(), &evidence).eject {
            return;
        }
        self.count_messages(
            EjectionStep::Announce,
            &report,
            EjectionAnswer::default(),
            members.len(),
        );
        members.iter().for_each(|n| self.eject(*n, &report, now));
    }

    fn eject(&mut self, node: usize, report: &FailureReport, now: Time) {
        let turn = self.turn(now);
        let since = now - Duration::from_millis(report.since_ms);
        self.fleets[node].eject_shared(&failing(), report.kind, since, turn, now);
    }
}
