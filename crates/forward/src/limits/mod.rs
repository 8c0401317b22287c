//! Limits that targets name in their answers.

use decide::fleet::LimitChange;
use model::Time;
use model::forward::{NamedLimit, Target};

use crate::events::Event;
use crate::node::Node;

/// Takes what an answer says of its target's limit; the request was sent at `sent`.
pub fn hear(node: &Node, target: &Target, said: NamedLimit, sent: Time) {
    let now = node.now();
    let Some(change) = node.fleet(|f| f.limits_mut().hear(&target.id, said, sent, now)) else {
        return;
    };
    let (what, per_s) = match change {
        LimitChange::Named(per_s) => ("named", Some(per_s)),
        LimitChange::Ended => ("ended", None),
        LimitChange::Unreadable => ("unreadable", None),
    };
    Event::Limit { target: &target.id.name, service: &target.service, what, per_s }.emit();
}

/// A request, or a call, goes to a target.
pub fn count_sent(node: &Node, target: &Target) {
    if node.fleet(|f| f.limits().get(&target.id).is_some()) {
        node.metrics.sent_at_limit(&target.service);
    }
}
