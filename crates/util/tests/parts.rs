//! Memory of bodies that are collected as they arrive.

use proptest::prelude::*;
use util::http::BodyParts;

/// A body of this announced size, of which pieces of these sizes have arrived.
fn collect(size: Option<usize>, pieces: &[usize]) -> BodyParts {
    let mut body = BodyParts::new(size);
    pieces.iter().for_each(|bytes| body.push(&vec![b'b'; *bytes]));
    body
}

#[test]
fn small_body_of_known_size_is_one_part_of_that_size() {
    let body = collect(Some(3_000), &[1_000, 2_000]);
    assert_eq!((body.held(), body.into_parts().len()), (3_000, 1));
}

#[test]
fn announced_size_that_does_not_come_is_not_held() {
    assert!(collect(Some(4 << 20), &[1]).held() <= 8 << 10);
}

proptest! {
    #[test]
    fn holds_what_arrives_and_little_more(
        pieces in prop::collection::vec(1..40_000_usize, 0..60),
        is_announced: bool,
    ) {
        let len = pieces.iter().sum::<usize>();
        let mut body = BodyParts::new(is_announced.then_some(len));
        for bytes in pieces {
            let promised = body.held_with(bytes);
            body.push(&vec![b'b'; bytes]);
            prop_assert!(body.held() <= promised.max(body.held_with(0)));
            prop_assert!(body.held() >= body.len());
            prop_assert!(body.held() <= body.len() + body.len().clamp(8 << 10, 64 << 10));
        }
        prop_assert_eq!(body.into_bytes().len(), len);
    }
}
