//! Messages of limits are written with the names of fields: builds that know fewer or more of them
//! understand each other.

use std::collections::BTreeMap;

use model::forward::{
    LimitReport, LimitUpdate, PermitAnswer, PermitRequest, TargetId, TargetLimit,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Reads a message with some fields left out and one added, in another order.
fn changed<T: Serialize + DeserializeOwned>(message: &T, without: &[&str]) -> T {
    let fields = serde_json::to_value(message).expect("a message of fields");
    let Value::Object(fields) = fields else { panic!("a message of fields") };
    let kept = fields.into_iter().filter(|(name, _)| !without.contains(&name.as_str()));
    let mut kept: BTreeMap<String, Value> = kept.collect();
    kept.insert("a_later_field".into(), Value::from(7));
    let bytes = rmp_serde::to_vec_named(&kept).expect("messages encode");
    rmp_serde::from_slice(&bytes).expect("it is read all the same")
}

fn word(per_s: Option<f64>, sent_ms: u64, came_ms: u64) -> LimitReport {
    LimitReport { per_s, sent_ms, came_ms }
}

#[test]
fn fields_that_are_missing_have_defaults_and_others_are_passed_over() {
    let word_now = word(Some(2.5), 40, 20);
    assert_eq!(changed(&word_now, &[]), word_now);
    assert_eq!(changed(&word_now, &["per_s", "sent_ms", "came_ms"]), word(None, 0, 0));
    let answer = PermitAnswer { granted: false, after_ms: 300, limit: word_now };
    assert_eq!(changed(&answer, &["after_ms"]), PermitAnswer { after_ms: 0, ..answer });
    let target = TargetId::new("i-1", 7);
    let ask = PermitRequest {
        from: "node-a".into(),
        target: target.clone(),
        domain: "hall-a".into(),
        count: 2,
        limit: word_now,
        strangers: Vec::new(),
    };
    assert_eq!(changed(&ask, &["strangers"]), ask);
    let limit = TargetLimit { target, domain: "hall-a".into(), limit: word_now };
    let news = LimitUpdate { limits: vec![limit], spread: true };
    assert_eq!(changed(&news, &["spread"]), LimitUpdate { spread: false, ..news.clone() });
    assert_eq!(changed(&news, &["limits"]), LimitUpdate { limits: Vec::new(), ..news });
}
