//! Messages between nodes as an earlier build writes them, byte for byte. Hosts are upgraded one
//! after the other: each build reads what the one before writes, and writes what that reads.
//!
//! A file holds one message in hexadecimal digits. `golden/87866ba` was written by that build, with
//! this file laid into its tree:
//!
//!     PUMICEVALE_GOLDEN_WRITE=DIR cargo test -p pumicevale-model --test golden
//!
//! A message that changes its shape gets a folder of its own beside these, which stay: what cannot
//! be read by the build in service is a message of another name.

use std::fmt::Debug;
use std::path::{Path, PathBuf};

use model::forward::{
    Allowed, Answers, BatchAnswer, BatchOrder, Evacuations, FollowAnswer, FollowAsk, Handle, Phase,
    PieceResult, PoolId, PrefillAnswer, PrefillAsk, PrefillEnd, Rank, Repeat, Rollout,
    RolloutAnswer, RolloutId, RolloutReport, RolloutState, Rollouts, Route, RouteEvidence, Rules,
    Service, Share, Side, Stage, StageInput, StagePool, Target, TargetChange, TargetId, TargetList,
    TargetNews, Waits, Withdrawn, Workspace,
};
use model::member::{Health, LoadRumor, Node, NodeId, Packet, Purpose, Rumor};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Names the folder to write to, in place of comparing.
const WRITE: &str = "PUMICEVALE_GOLDEN_WRITE";

fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, message: &T) {
    let bytes = rmp_serde::to_vec(message).expect("messages encode");
    let text: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    if let Ok(folder) = std::env::var(WRITE) {
        std::fs::write(PathBuf::from(folder).join(name), text + "\n").expect("a folder");
        return;
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/87866ba").join(name);
    let golden = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path:?}: {e}"));
    assert_eq!(text, golden.trim(), "{name}: the build in service reads other bytes");
    let pairs = golden.trim().as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(digits, 16).expect("hexadecimal digits")
    };
    let bytes: Vec<u8> = pairs.map(byte).collect();
    let read: T = rmp_serde::from_slice(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(read, *message, "{name}");
}

fn node() -> Node {
    Node {
        id: NodeId { name: "node-a".into(), start: 0x1234_5678_9abc_def0 },
        address: "10.1.0.41:7740".parse().expect("an address"),
        entry: "10.1.0.41:7741".parse().expect("an address"),
        domain: "hall-a".into(),
        capacity: 3,
    }
}

fn target() -> Target {
    Target {
        id: TargetId::new("i-1", 1_700_000_000_123),
        service: "pool".into(),
        address: "10.1.64.7:8020".parse().expect("an address"),
        domain: "hall-a".into(),
        version: "v1".into(),
        slots: 64,
        draining: true,
        cold_ms: 1500,
        revision: 77,
    }
}

fn allowed() -> Allowed {
    Allowed::only(["north".into(), "south".into()])
}

fn order_id() -> RolloutId {
    RolloutId { service: "pool".into(), version: "v2".into(), made: 9, since: 70, at: 77 }
}

fn rollout(state: RolloutState) -> Rollout {
    let (service, version) = ("pool".into(), "v2".into());
    Rollout { service, version, lasts_ms: 20_000, state, revision: 77, made: 9 }
}

#[test]
fn datagrams_of_the_membership() {
    let rumor = |health| Rumor { node: node(), health, incarnation: 2, number: 40, up_ms: 1234 };
    let purposes = [
        ("ping", Purpose::Ping { start: 7 }),
        ("ack", Purpose::Ack),
        ("ask", Purpose::Ask(node())),
        ("answered", Purpose::Answered(node().id)),
        ("news", Purpose::News),
    ];
    for (name, purpose) in purposes {
        let healths = [Health::Alive, Health::Suspect, Health::Dead, Health::Left];
        let packet = Packet {
            from: node().id,
            seq: 9,
            purpose,
            number: 41,
            digest: 0xdead_beef,
            rumors: healths.map(rumor).to_vec(),
            loads: vec![LoadRumor { target: 5, wait: 30, seq: 2, flags: 3 }],
        };
        check(&format!("packet-{name}"), &packet);
    }
}

#[test]
fn questions_and_answers_of_those_that_follow() {
    let ask = FollowAsk {
        at: 70,
        rules: 41,
        evacuations: Some(60),
        rollouts: None,
        wait_ms: 700,
        patient: true,
    };
    check("follow-ask", &ask);
    let withdrawn =
        Withdrawn { service: "pool".into(), version: "v0".into(), was_bad: true, at: 66 };
    let rollouts = Rollouts {
        at: 77,
        orders: vec![rollout(RolloutState::Ordered), rollout(RolloutState::RolledBack)],
        unreadable: vec!["other".into()],
        withdrawn: vec![withdrawn],
    };
    let list = TargetList { targets: vec![target()], unreadable: vec!["i-9".into()] };
    let changes = vec![
        TargetChange::Now(target()),
        TargetChange::Unreadable("i-9".into()),
        TargetChange::Gone("i-2".into()),
    ];
    let news = [
        ("unknown", TargetNews::Unknown),
        ("whole", TargetNews::Whole(list)),
        ("changes", TargetNews::Changes(changes)),
    ];
    for (name, news) in news {
        let answer = FollowAnswer {
            at: 77,
            age_ms: 101,
            out_of_touch: false,
            doubt_ms: 1900,
            rules: 41,
            rules_age_ms: 900,
            evacuations: Some(Evacuations { at: 60, domains: vec!["hall-b".into()] }),
            rollouts: Some(rollouts.clone()),
            news,
        };
        check(&format!("follow-answer-{name}"), &answer);
    }
}

#[test]
fn orders_of_pieces_and_their_answers() {
    let keyed = BatchOrder {
        service: "encode".into(),
        attempt: "9c41d07be2a35f68".into(),
        stage: 1,
        pieces: 3,
        input: StageInput::Key("7c1e".into()),
        slack_ms: 900,
        left_ms: 5000,
        rank: Rank { workspace: 1, route: 2 },
        allowed: allowed(),
        region: Some("north".into()),
        spilled: false,
        near: Some("hall-a".into()),
        moved_bytes: 39_000_000,
        spread_bytes: 10,
        result_bytes: 13_000_000,
        skipped: vec![node().id],
        passed_on: true,
    };
    check("batch-order-key", &keyed);
    let handles = vec!["10.1.64.9:8080/5c".to_string()].into();
    let input = StageInput::Handles(handles);
    let plain = BatchOrder { input, allowed: Allowed::ANY, region: None, near: None, ..keyed };
    check("batch-order-handles", &plain);
    let handle = Handle { maker: target().id, text: "10.1.64.7:8080/91".into() };
    let answer = BatchAnswer {
        results: vec![
            PieceResult::Made(handle),
            PieceResult::InputGone,
            PieceResult::NoRoom,
            PieceResult::Late,
            PieceResult::Failed,
        ],
        waits: Waits(vec![(Rank::default(), 30), (Rank { workspace: 1, route: 0 }, Waits::NOBODY)]),
        coordinator: Some(node().entry),
        region: Some("north".into()),
    };
    check("batch-answer", &answer);
    check("pool", &PoolId { service: "encode".into(), region: None });
}

#[test]
fn prompts_and_their_schedulers() {
    let ask = PrefillAsk {
        service: "pool".into(),
        domain: "hall-a".into(),
        attempt: "9c41".into(),
        allowed: allowed(),
        side: Side::Trial,
        home: 0xfeed_f00d,
        shared: 800,
        tokens: 1460,
        slack_ms: 700,
        but: vec![target().id],
    };
    check("prefill-ask", &ask);
    check("prefill-answer", &PrefillAnswer { engine: Some(target().id), ahead: 99 });
    let end = PrefillEnd {
        service: "pool".into(),
        domain: "hall-a".into(),
        attempt: "9c41".into(),
        engine: target().id,
        was_read: true,
    };
    check("prefill-end", &end);
}

#[test]
fn reports_on_a_version_and_their_answers() {
    for (name, phase) in [("share", Phase::Share(0.1)), ("all", Phase::All), ("back", Phase::Back)]
    {
        let serving = Answers { sent: 9, bad: 1, times: vec![0, 3, 5] };
        let evidence =
            RouteEvidence { route: "r-1".into(), serving: serving.clone(), trial: serving };
        let report = RolloutReport {
            node: node().id,
            order: order_id(),
            age_ms: 4000,
            phase,
            open: 2,
            evidence: vec![evidence],
        };
        check(&format!("rollout-report-{name}"), &report);
        check(
            &format!("rollout-answer-{name}"),
            &RolloutAnswer { order: order_id(), phase, age_ms: 4100 },
        );
    }
}

#[test]
fn rules() {
    let route = Route {
        name: "r-1".into(),
        host: "a.example".into(),
        path_prefix: "/x/".into(),
        repeat: Repeat::StreamResumable,
        pause_ms: Some(200),
        timeout_ms: 8000,
        objective_ms: 1000,
        max_attempts: 2,
        rank: 1,
        open: false,
        split: vec![Share { service: "pool".into(), weight: 3 }],
        stages: vec![Stage { service: "encode".into(), after: vec![0], bytes: 1000 }],
        allowed: allowed(),
    };
    let pool = StagePool {
        slots: 1,
        batch: 8,
        call_ms: 150.0,
        item_ms: 16.5,
        room_mb: 39.0,
        keep_ms: 4000,
    };
    let encode = Service {
        name: "encode".into(),
        connections: 370,
        engine: None,
        pool: Some(pool),
        cold: None,
    };
    let ward = Workspace {
        name: "ward".into(),
        keys: vec!["key-1".into()],
        rank: Some(1),
        allowed: Allowed::ANY,
    };
    let rules = Rules {
        version: 41,
        routes: vec![route],
        services: vec![encode],
        workspaces: vec![ward],
        ..Rules::default()
    };
    check("rules", &rules);
}
