//! Whether a target ended, by what discovery says and by a new connection.

use decide::fleet::Presence::{Gone, Here, Leaving, StartedAgain};
use decide::quarantine::Contact::{Refused, Silent, Taken};
use decide::quarantine::{Verdict, judge};

#[test]
fn a_broken_connection_alone_is_no_end() {
    let cases = [
        (Here, Taken, Verdict::Open),
        (Here, Silent, Verdict::Open),
        (Gone, Silent, Verdict::Open),
        (Here, Refused, Verdict::Ended("refused")),
        (Gone, Refused, Verdict::Ended("refused")),
        (Gone, Taken, Verdict::Ended("replaced")),
        (StartedAgain, Taken, Verdict::Ended("started_again")),
        (StartedAgain, Silent, Verdict::Ended("started_again")),
        (Leaving, Taken, Verdict::Planned),
        (Leaving, Refused, Verdict::Planned),
    ];
    for (presence, contact, verdict) in cases {
        assert_eq!(judge(presence, contact), verdict, "{presence:?} {contact:?}");
    }
}
