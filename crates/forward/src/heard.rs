//! What answers tell of their targets, besides what they answer: every path that reads the head of
//! a target's own answer brings it here.

use std::rc::Rc;

use decide::fleet::NoticeChange;
use model::Time;
use model::forward::{Notice, Target};

use crate::border::AnswerHead;
use crate::events::Event;
use crate::limits;
use crate::node::Node;

/// Takes what the head of a target's answer says, whose request was sent at `sent`.
pub fn record_answer(node: &Rc<Node>, target: &Target, said: &AnswerHead, sent: Time) {
    limits::observe_limit(node, target, said.limit, sent);
    node.record_load(target, said.load);
    record_notice(node, target, said.notice);
    if !said.not_run {
        node.fleet(|f| f.note_accepted(&target.id, sent));
    }
}

/// Takes what a target's answer says of further requests.
pub fn record_notice(node: &Node, target: &Target, said: Notice) {
    let now = node.now();
    for change in node.fleet(|f| f.record_notice(&target.id, said, now)) {
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

/// A request, or a call, goes to a target.
pub fn record_send(node: &Node, target: &Target) {
    let (now, id) = (node.now(), &target.id);
    let (limited, leaves, rests) = node.fleet(|f| {
        let notices = f.notices();
        let rests = notices.backoff_until(id, now).is_some();
        let told = (f.limits().get(id).is_some(), notices.is_draining(id), rests);
        f.note_attempt(id, now);
        told
    });
    if limited {
        node.metrics.sent_at_limit(&target.service);
    }
    if leaves {
        node.metrics.sent_against_notice(&target.service, "leaving");
    }
    if rests {
        node.metrics.sent_against_notice(&target.service, "retry_after");
    }
}
