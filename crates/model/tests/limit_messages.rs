//! Limit messages are encoded with field names, so builds with fewer or more fields interoperate.

use std::collections::BTreeMap;

use model::forward::{
    LimitReport, LimitUpdate, PermitAnswer, PermitRequest, TargetId, TargetLimit,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Decodes `message` after omitting the fields `without`, adding one and reordering the rest.
fn reencoded<T: Serialize + DeserializeOwned>(message: &T, without: &[&str]) -> T {
    let fields = serde_json::to_value(message).expect("messages are structs");
    let Value::Object(fields) = fields else { panic!("messages are structs") };
    let kept = fields.into_iter().filter(|(name, _)| !without.contains(&name.as_str()));
    let mut kept: BTreeMap<String, Value> = kept.collect();
    kept.insert("a_later_field".into(), Value::from(7));
    let bytes = rmp_serde::to_vec_named(&kept).expect("messages encode");
    rmp_serde::from_slice(&bytes).expect("unknown and missing fields are accepted")
}

fn report(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> LimitReport {
    LimitReport { per_s, sent_ms, received_ms }
}

#[test]
fn missing_fields_have_defaults_and_unknown_fields_are_ignored() {
    let current = report(Some(2.5), 40, 20);
    assert_eq!(reencoded(&current, &[]), current);
    assert_eq!(reencoded(&current, &["per_s", "sent_ms", "came_ms"]), report(None, 0, 0));
    let answer = PermitAnswer { granted: false, after_ms: 300, limit: current };
    assert_eq!(reencoded(&answer, &["after_ms"]), PermitAnswer { after_ms: 0, ..answer });
    let target = TargetId::new("i-1", 7);
    let request = PermitRequest {
        from: "node-a".into(),
        target: target.clone(),
        domain: "hall-a".into(),
        count: 2,
        limit: current,
        unsupported: Vec::new(),
    };
    assert_eq!(reencoded(&request, &["strangers"]), request);
    let limit = TargetLimit { target, domain: "hall-a".into(), limit: current };
    let update = LimitUpdate { limits: vec![limit], spread: true };
    assert_eq!(reencoded(&update, &["spread"]), LimitUpdate { spread: false, ..update.clone() });
    assert_eq!(reencoded(&update, &["limits"]), LimitUpdate { limits: Vec::new(), ..update });
}
