//! Whether a target ended, by what discovery says and by a new connection.

use decide::fleet::Presence::{Draining, Present, Removed, Restarted};
use decide::quarantine::Contact::{Refused, Silent, Taken};
use decide::quarantine::{Verdict, judge};

#[test]
fn a_broken_connection_alone_is_no_end() {
    let cases = [
        (Present, Taken, Verdict::Open),
        (Present, Silent, Verdict::Open),
        (Removed, Silent, Verdict::Open),
        (Present, Refused, Verdict::Ended("refused")),
        (Removed, Refused, Verdict::Ended("refused")),
        (Removed, Taken, Verdict::Ended("replaced")),
        (Restarted, Taken, Verdict::Ended("started_again")),
        (Restarted, Silent, Verdict::Ended("started_again")),
        (Draining, Taken, Verdict::Planned),
        (Draining, Refused, Verdict::Planned),
    ];
    for (presence, contact, verdict) in cases {
        assert_eq!(judge(presence, contact), verdict, "{presence:?} {contact:?}");
    }
}
