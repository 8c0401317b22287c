//! Criterion benchmarks of single decisions. They are for manual runs; CI checks only the counted
//! figures, which do not depend on the machine.

use bench::slopes::pool_table;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decide::rng::Rng;
use decide::route::{PolicyKind, RouteQuery, make_policy};
use model::Time;
use model::attempt::{Attempt, Frame};

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for kind in [PolicyKind::Home, PolicyKind::SessionHashBound, PolicyKind::LeastOutstanding] {
        for n in [20, 217, 1300] {
            let table = pool_table(n);
            let mut policy = make_policy(kind, 1);
            let mut rng = Rng::new(1);
            group.bench_function(BenchmarkId::new(format!("{kind:?}"), n), |b| {
                b.iter(|| {
                    let now = Time::from_millis(5);
                    let query = RouteQuery {
                        now,
                        prefix: rng.next_u64(),
                        model: None,
                        budget: 500.0,
                        tried: &[],
                    };
                    policy.pick(&query, &table)
                });
            });
        }
    }
    group.finish();
}

fn assemble(c: &mut Criterion) {
    let attempt = Attempt { request: "r".into(), step: 0, number: 0 };
    c.bench_function("assemble 100 frames", |b| {
        b.iter(|| {
            let mut a = decide::request::Reassembler::new(attempt.clone(), 0);
            for seq in 0..100 {
                a.receive(Frame::Chunk { attempt: attempt.clone(), seq, text: "word ".into() });
            }
            a.next_seq()
        });
    });
}

criterion_group!(benches, route, assemble);
criterion_main!(benches);
