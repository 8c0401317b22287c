//! What makes two requests the same.

use model::forward::Fingerprint;

#[test]
fn parts_are_told_apart_and_their_limits_too() {
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
fn it_reads_what_it_writes() {
    let one = Fingerprint::of(&[b"x"]);
    assert_eq!(one.to_string().parse(), Ok(one));
    for wrong in ["", "zz", "+1234567890123456789012345678901", "é", &"0".repeat(33)] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}
