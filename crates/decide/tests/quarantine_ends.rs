//! Whether a target crashed, by its presence in discovery and a new connection.

use decide::fleet::Presence::{Gone, Here, Leaving, StartedAgain};
use decide::quarantine::ConnectOutcome::{Accepted, NoResponse, Refused};
use decide::quarantine::{Verdict, judge};

#[test]
fn a_broken_connection_alone_is_no_crash() {
    let cases = [
        (Here, Accepted, Verdict::Undecided),
        (Here, NoResponse, Verdict::Undecided),
        (Gone, NoResponse, Verdict::Undecided),
        (Here, Refused, Verdict::Crashed("refused")),
        (Gone, Refused, Verdict::Crashed("refused")),
        (Gone, Accepted, Verdict::Crashed("replaced")),
        (StartedAgain, Accepted, Verdict::Crashed("started_again")),
        (StartedAgain, NoResponse, Verdict::Crashed("started_again")),
        (Leaving, Accepted, Verdict::Planned),
        (Leaving, Refused, Verdict::Planned),
    ];
    for (presence, contact, verdict) in cases {
        assert_eq!(judge(presence, contact), verdict, "{presence:?} {contact:?}");
    }
}
