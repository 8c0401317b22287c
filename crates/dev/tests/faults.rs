//! The whole request path in one process on loopback, under faults of targets, store and nodes.
//! The auditor checks the records of all requests.

mod common;

use std::time::Duration;

use audit::CallRecord;
use common::{TestRequest, client, declarations, new_key, record, stack, stack_with, wait_until};
use dev::Stack;
use model::outcome::Outcome;
use standin::faults::{ApiFaults, TargetFaults};

fn outcome(seen: &CallRecord) -> Option<Outcome> {
    seen.outcomes.first().copied()
}

async fn send_many(stack: &Stack, requests: Vec<TestRequest>) -> Vec<CallRecord> {
    let callers = stack.callers();
    let client = client();
    let tasks: Vec<_> = requests
        .into_iter()
        .enumerate()
        .map(|(i, request)| {
            let (to, client) = (callers[i % callers.len()], client.clone());
            tokio::spawn(async move { request.send(&client, to).await })
        })
        .collect();
    let mut seen = Vec::new();
    for t in tasks {
        seen.push(t.await.expect("sent"));
    }
    seen
}

fn minutes(n: u64) -> Vec<TestRequest> {
    (0..n).map(|i| TestRequest::minutes(i, i % 2 == 0)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_complete_under_any_fault_of_one_target() {
    let f = TargetFaults::default;
    let cases = [
        ("none", f()),
        ("slow", TargetFaults { slow: 5.0, ..f() }),
        ("fail", TargetFaults { fail: true, ..f() }),
        ("drop", TargetFaults { drop: true, ..f() }),
        ("cut at once", TargetFaults { cut: Some(0), ..f() }),
        ("cut", TargetFaults { cut: Some(2), ..f() }),
        ("reorder", TargetFaults { reorder: true, ..f() }),
        ("double", TargetFaults { double: true, ..f() }),
        ("stray", TargetFaults { stray: true, ..f() }),
        ("all of order", TargetFaults { reorder: true, double: true, stray: true, ..f() }),
    ];
    for (name, faults) in cases {
        // A new stack per fault, since all faults would share one retry budget.
        let stack = stack().await;
        let mut call = 0;
        for target in ["enc-1", "ret-1", "eng-1"] {
            stack.targets[target].set_faults(faults.clone());
            let requests: Vec<TestRequest> =
                (0..6).map(|i| TestRequest::minutes(call + i, i % 2 == 0)).collect();
            call += 6;
            let seen = send_many(&stack, requests).await;
            for s in &seen {
                assert_eq!(outcome(s), Some(Outcome::Complete), "{name} at {target}: {s:?}");
            }
            assert_eq!(record(&stack, "minutes", seen).audit(), vec![], "{name} at {target}");
            stack.targets[target].set_faults(f());
        }
        stack.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_with_a_wrong_end_frame_is_never_complete() {
    let stack = stack().await;
    for faults in [
        TargetFaults { short: true, ..TargetFaults::default() },
        TargetFaults { digest: true, ..TargetFaults::default() },
    ] {
        for t in ["eng-1", "eng-2"] {
            stack.targets[t].set_faults(faults.clone());
        }
        let seen = send_many(&stack, minutes(6)).await;
        for s in &seen {
            assert_eq!(outcome(s), Some(Outcome::Failed), "{s:?}");
        }
        assert_eq!(record(&stack, "minutes", seen).audit(), vec![]);
    }
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_continued_on_another_target_follows_the_delivered_text() {
    let stack = stack().await;
    for t in ["eng-1", "eng-2"] {
        // Each engine tags its words; eng-1 also cuts every stream after five frames.
        let cut = (t == "eng-1").then_some(5);
        stack.targets[t].set_faults(TargetFaults { tag: true, cut, ..TargetFaults::default() });
    }
    let seen = send_many(&stack, minutes(8)).await;
    for s in seen {
        assert_eq!(outcome(&s), Some(Outcome::Complete), "{s:?}");
        let tags: Vec<&str> = s.text.split('~').skip(1).map(|w| &w[..5]).collect();
        let mut runs = tags.clone();
        runs.dedup();
        assert!(runs.len() <= 2, "spliced from more than two runs: {}", s.text);
        let plain: String = s.text.replace("~eng-1", "").replace("~eng-2", "");
        assert_eq!(plain, s.expected_text);
    }
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn payment_with_a_lost_answer_is_unknown_and_never_repeated() {
    let stack = stack().await;
    for t in ["pay-1", "pay-2"] {
        stack.targets[t].set_faults(TargetFaults { drop: true, ..TargetFaults::default() });
    }
    let keys: Vec<_> = (0..4).map(|_| new_key()).collect();
    let request = |(i, k): (usize, &model::key::Key)| TestRequest::order(i as u64, *k);
    let mut seen = send_many(&stack, keys.iter().enumerate().map(request).collect()).await;
    // The caller retries with the same key, also on the other node.
    for round in 1..4 {
        let rotated: Vec<TestRequest> = keys
            .iter()
            .enumerate()
            .map(|(i, k)| TestRequest::order((round * 10 + i) as u64, *k))
            .collect();
        let mut rotated = rotated;
        rotated.rotate_left(round % 2);
        seen.extend(send_many(&stack, rotated).await);
    }
    for s in &seen {
        assert_eq!(outcome(s), Some(Outcome::Unknown), "{s:?}");
    }
    let paid = stack.targets["pay-1"].runs().len() + stack.targets["pay-2"].runs().len();
    assert_eq!(paid, 4);
    assert_eq!(record(&stack, "order", seen).audit(), vec![]);
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_with_one_key_on_two_nodes_pay_at_most_once() {
    let stack = stack().await;
    let keys: Vec<_> = (0..20).map(|_| new_key()).collect();
    let requests: Vec<TestRequest> =
        (0..40).map(|i| TestRequest::order(i as u64, keys[i / 2])).collect();
    let seen = send_many(&stack, requests).await;
    let complete = seen.iter().filter(|s| outcome(s) == Some(Outcome::Complete)).count();
    assert_eq!(complete, 20, "{seen:?}");
    assert_eq!(record(&stack, "order", seen).audit(), vec![]);
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_faults_cause_no_second_run_and_no_false_not_run() {
    let stack = stack().await;
    let f = ApiFaults::default;
    let cases = [
        ("lost answers", ApiFaults { lose: 3, ..f() }),
        ("slow", ApiFaults { slow: 200, ..f() }),
        ("stale", ApiFaults { stale: true, ..f() }),
        ("down", ApiFaults { down: true, ..f() }),
        ("back", f()),
    ];
    let mut seen = Vec::new();
    let mut call = 0;
    for (name, faults) in cases {
        stack.api.set_faults(faults);
        let keys: Vec<_> = (0..4).map(|_| new_key()).collect();
        let requests: Vec<TestRequest> =
            (0..8).map(|i| TestRequest::order(call + i, keys[i as usize / 2])).collect();
        call += 8;
        let part = send_many(&stack, requests).await;
        if name == "down" {
            assert!(part.iter().all(|s| outcome(s) == Some(Outcome::NotRun)), "{part:?}");
        }
        if name == "back" {
            let complete = part.iter().filter(|s| outcome(s) == Some(Outcome::Complete));
            assert_eq!(complete.count(), 4, "{part:?}");
        }
        seen.extend(part);
        // Repeatable work continues under any store fault.
        let patient = send_many(&stack, vec![TestRequest::minutes(call + 100, false)]).await;
        assert_eq!(outcome(&patient[0]), Some(Outcome::Complete), "{name}");
    }
    stack.api.set_faults(f());
    assert_eq!(record(&stack, "order", seen).audit(), vec![]);
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_stop_under_load_completes_every_request() {
    let mut stack = stack_with(20.0).await;
    let callers = stack.callers();
    let tasks: Vec<_> = (0..12)
        .map(|i| {
            let request = TestRequest { words: 40, ..TestRequest::minutes(i, true) };
            let (to, client) = (callers[0], client());
            tokio::spawn(async move { request.send(&client, to).await })
        })
        .collect();
    wait_until("the streams start", || {
        stack.targets.values().map(|t| t.runs().len()).sum::<usize>() >= 30
    })
    .await;
    stack.stop_entry().await;
    let mut seen = Vec::new();
    for t in tasks {
        let s = t.await.expect("sent");
        assert_eq!(outcome(&s), Some(Outcome::Complete), "{s:?}");
        seen.push(s);
    }
    assert_eq!(record(&stack, "minutes", seen).audit(), vec![]);
    let after_stop = TestRequest::minutes(99, false).send(&client(), callers[0]).await;
    assert!(after_stop.disconnected, "the stopped node accepts no request");
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_host_permanently_stops_receiving_work() {
    // The tests of the state machines prove the bound in steps; this one only checks that new work
    // stops eventually and stays stopped.
    const QUIET: usize = 3;
    let stack = stack().await;
    let runs = || stack.targets["eng-1"].runs().len();
    send_many(&stack, minutes(10)).await;
    assert!(runs() > 0);
    stack.api.set_host("h3", true);
    let mut quiet = 0;
    for round in 1..200 {
        let before = runs();
        let requests = (0..10).map(|i| TestRequest::minutes(round * 10 + i, false)).collect();
        let seen = send_many(&stack, requests).await;
        assert!(seen.iter().all(|s| outcome(s) == Some(Outcome::Complete)));
        assert!(quiet == 0 || runs() == before, "new work after it had stopped");
        quiet += usize::from(runs() == before);
        if quiet > QUIET {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(quiet > QUIET, "the host still receives work");
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_that_reports_leaving_gets_no_call() {
    let stack = stack().await;
    stack.targets["enc-1"].set_leaving();
    let seen = send_many(&stack, minutes(10)).await;
    assert!(seen.iter().all(|s| outcome(s) == Some(Outcome::Complete)), "{seen:?}");
    assert_eq!(stack.targets["enc-1"].runs().len(), 0);
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_not_run_while_every_target_refuses() {
    let stack = stack().await;
    for t in ["enc-1", "enc-2"] {
        stack.targets[t].set_faults(TargetFaults { refuse: true, ..TargetFaults::default() });
    }
    let seen = send_many(&stack, minutes(4)).await;
    assert!(seen.iter().all(|s| outcome(s) == Some(Outcome::NotRun)), "{seen:?}");
    assert_eq!(record(&stack, "minutes", seen).audit(), vec![]);
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_disconnect_cancels_its_work() {
    let stack = stack_with(20.0).await;
    let to = stack.callers()[0];
    let task = tokio::spawn(async move {
        TestRequest { words: 5000, ..TestRequest::minutes(1, true) }.send(&client(), to).await
    });
    let engines = ["eng-1", "eng-2"];
    wait_until("the stream starts", || {
        engines.iter().any(|e| !stack.targets[*e].runs().is_empty())
    })
    .await;
    task.abort();
    for _ in 0..400 {
        let mut running = 0;
        for e in engines {
            running += stack.targets[e].open_calls().await;
        }
        if running == 0 {
            stack.stop().await;
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("the engine still runs the call of a disconnected caller");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workspace_over_its_rate_limit_is_not_run() {
    let stack = stack().await;
    let requests = (0..6)
        .map(|i| TestRequest { workspace: "limited", ..TestRequest::minutes(i, false) })
        .collect();
    let seen = send_many(&stack, requests).await;
    let refused = seen.iter().filter(|s| outcome(s) == Some(Outcome::NotRun)).count();
    assert!(refused >= 4, "at most one token per node: {seen:?}");
    assert_eq!(record(&stack, "minutes", seen).audit(), vec![]);
    stack.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_stays_in_force_while_the_store_is_down() {
    let stack = stack().await;
    stack.api.set_faults(ApiFaults { down: true, ..ApiFaults::default() });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let seen = send_many(&stack, minutes(4)).await;
    assert!(seen.iter().all(|s| outcome(s) == Some(Outcome::Complete)));
    stack.api.set_faults(ApiFaults::default());
    let mut changed = declarations();
    changed.retain(|d| d.spec.kind() == "Workspace");
    let remote = cli::Remote::new(&stack.store.to_string()).expect("an address");
    for d in &mut changed {
        if let model::object::Spec::Workspace(w) = &mut d.spec {
            w.deadline += 1;
        }
    }
    let written = cli::cmd::write_all(&remote, changed).await.expect("written");
    cli::cmd::wait_in_force(&remote, &written, Duration::from_secs(60)).await.expect("in force");
    stack.stop().await;
}
