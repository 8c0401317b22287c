//! Timestamps, text form and claim objects of idempotency keys.

use model::key::{BUCKET_MS, Key};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    #[test]
    fn key_determines_its_time_and_claim_object(ms in 0u64..(1 << 48), random in any::<u128>()) {
        let key = Key::new(ms, random);
        prop_assert_eq!(key.unix_ms(), ms);
        let parsed: Key = key.to_string().parse().expect("a formatted key");
        prop_assert_eq!(parsed, key);
        prop_assert_eq!(parsed.claim_object(), key.claim_object());
        let bucket = format!("{}-", ms / BUCKET_MS);
        prop_assert!(key.claim_object().starts_with(&bucket));
    }
}

#[test]
fn other_formats_are_rejected() {
    for invalid in ["", "x", "f47ac10b-58cc-4372-a567-0e02b2c3d479", "0192f0c1-2b3d-7abc-8def"] {
        assert!(invalid.parse::<Key>().is_err(), "{invalid:?}");
    }
}
