//! Notices that targets of a service are brittle, while all nodes have answers of them.

use std::time::Duration;

use decide::slots::BrittleTargets;
use model::forward::BrittleNotice;
use model::{Name, Time};

use super::{Figure, HEAD_BYTES, counted};

/// Interval between two answers at one node.
const ANSWERS: Duration = Duration::from_millis(100);
/// Answers at one node.
const ROUNDS: u32 = 600;

/// All figures of a fleet with this many nodes, the first of which is the announcer.
pub fn measure(nodes: usize) -> Vec<Figure> {
    let service: Name = "s".into();
    let mut brittle: Vec<BrittleTargets> = (0..nodes).map(|_| BrittleTargets::default()).collect();
    let (mut reports, mut notices) = (0, 0);
    for round in 0..ROUNDS {
        let now = Time::ZERO + ANSWERS * round;
        // All nodes read their answers before a notice of this round arrives.
        let mut is_due = false;
        for node in &mut brittle {
            node.record_service(&service, 5, now);
            let begins = node.begin_announcement(&service, now);
            reports += usize::from(begins);
            is_due |= begins;
        }
        if is_due {
            notices += nodes - 1;
            for node in &mut brittle {
                node.begin_announcement(&service, now);
            }
        }
    }
    let seconds = ANSWERS.as_secs_f64() * f64::from(ROUNDS);
    vec![
        counted(
            "notices of brittle targets per node and second, by nodes",
            nodes,
            (reports + notices) as f64 / nodes as f64 / seconds,
        ),
        counted(
            "bytes of notices of brittle targets at the announcer per second, by nodes",
            nodes,
            ((reports + notices) * notice_bytes()) as f64 / seconds,
        ),
    ]
}

fn notice_bytes() -> usize {
    let notice = BrittleNotice { service: "order-confirm".into(), max_rejected: 5, spread: true };
    HEAD_BYTES + rmp_serde::to_vec_named(&notice).map_or(0, |bytes| bytes.len())
}
