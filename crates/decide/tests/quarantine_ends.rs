//! Whether a target crashed, by its presence in discovery and a new connection.

use decide::fleet::Presence::{Draining, Present, Removed, Restarted};
use decide::quarantine::ConnectOutcome::{Accepted, NoResponse, Refused};
use decide::quarantine::{Verdict, judge};

#[test]
fn a_broken_connection_alone_is_no_crash() {
    let cases = [
        (Present, Accepted, Verdict::Undecided),
        (Present, NoResponse, Verdict::Undecided),
        (Removed, NoResponse, Verdict::Undecided),
        (Present, Refused, Verdict::Crashed("refused")),
        (Removed, Refused, Verdict::Crashed("refused")),
        (Removed, Accepted, Verdict::Crashed("replaced")),
        (Restarted, Accepted, Verdict::Crashed("started_again")),
        (Restarted, NoResponse, Verdict::Crashed("started_again")),
        (Draining, Accepted, Verdict::Planned),
        (Draining, Refused, Verdict::Planned),
    ];
    for (presence, contact, verdict) in cases {
        assert_eq!(judge(presence, contact), verdict, "{presence:?} {contact:?}");
    }
}
