//! Equality and text form of request fingerprints.

use model::forward::Fingerprint;

#[test]
fn fingerprints_distinguish_parts_and_their_boundaries() {
    let of = |parts: &[&str]| {
        let parts: Vec<&[u8]> = parts.iter().map(|p| p.as_bytes()).collect();
        Fingerprint::of(&parts)
    };
    let same = of(&["POST", "/a", "ward", "body"]);
    assert_eq!(same, of(&["POST", "/a", "ward", "body"]));
    let others = [
        of(&["POST", "/a", "ward", ""]),
        of(&["POST", "/a", "ward", "bodY"]),
        of(&["POST", "/a", "other", "body"]),
        of(&["POST", "/aw", "ard", "body"]),
        of(&["POST", "/b", "ward", "body"]),
    ];
    for other in others {
        assert_ne!(same, other);
    }
}

#[test]
fn pieces_of_a_part_count_as_one() {
    let pieces: [&[&[u8]]; 2] = [&[b"POST"], &[b"bo", b"", b"dy"]];
    assert_eq!(Fingerprint::of_pieces(pieces), Fingerprint::of(&[b"POST", b"body"]));
}

#[test]
fn text_form_round_trips() {
    let fingerprint = Fingerprint::of(&[b"x"]);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for invalid in ["", "zz", "+1234567890123456789012345678901", "é", &"0".repeat(33)] {
        assert!(invalid.parse::<Fingerprint>().is_err(), "{invalid}");
    }
}
