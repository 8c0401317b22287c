//! Records what the head of an answer says about its target: limit, brittleness, load, notices and
//! acceptance. Every path that reads the head of a target's answer calls this module.

use std::rc::Rc;

use decide::fleet::NoticeChange;
use model::Time;
use model::forward::{Notice, Target};

use crate::border::AnswerHead;
use crate::events::Event;
use crate::limits;
use crate::links;
use crate::node::Node;
use crate::slots;

/// Records the head of a target's answer to a request sent at `sent`.
pub fn record_answer(node: &Rc<Node>, target: &Target, head: &AnswerHead, sent: Time) {
    links::record_answer(node, sent);
    node.record_sign(&target.id);
    limits::observe_limit(node, target, head.limit, sent);
    slots::observe_brittle(node, target, head.max_rejected, sent);
    node.record_load(target, head.load);
    record_notice(node, target, head.notice);
    if !head.not_run {
        node.fleet(|f| f.record_accepted(&target.id, sent));
    }
}

/// Records whether, and when, a target accepts further requests.
pub fn record_notice(node: &Node, target: &Target, notice: Notice) {
    let now = node.now();
    for change in node.fleet(|f| f.record_notice(&target.id, notice, now)) {
        log_notice(target, change);
    }
}

fn log_notice(target: &Target, change: NoticeChange) {
    let (what, for_ms) = match change {
        NoticeChange::Draining => ("leaving", None),
        NoticeChange::BackedOff(time) => ("retry_after", Some(time.as_millis() as u64)),
        NoticeChange::Unreadable => ("unreadable", None),
    };
    Event::Notice { target: &target.id.name, service: &target.service, what, for_ms }.emit();
}

/// Records that a request or a call is sent to a target, and counts it if the target had named a
/// limit, is draining or has asked for backoff.
pub fn record_send(node: &Node, target: &Target) {
    let (now, id) = (node.now(), &target.id);
    let (is_limited, is_draining, is_backing_off) = node.fleet(|f| {
        let notices = f.notices();
        let is_backing_off = notices.backoff_until(id, now).is_some();
        let state = (f.limits().get(id).is_some(), notices.is_draining(id), is_backing_off);
        f.record_attempt(id, now);
        state
    });
    if is_limited {
        node.metrics.count_sent_at_limit(&target.service);
    }
    if is_draining {
        node.metrics.count_sent_against_notice(&target.service, "leaving");
    }
    if is_backing_off {
        node.metrics.count_sent_against_notice(&target.service, "retry_after");
    }
}
