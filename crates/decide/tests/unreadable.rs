//! Log lines about entries that cannot be parsed.

use decide::relay::{EntryKey, UnreadableEntries};
use model::{Name, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn named(name: &str) -> EntryKey {
    EntryKey::Name(name.into())
}

fn reason(text: &str) -> Name {
    text.into()
}

#[test]
fn each_change_of_an_entry_is_logged_once() {
    let mut bad = UnreadableEntries::default();
    assert_eq!(bad.record(named("t1"), &reason("no zone"), at(0)), Some(0));
    assert_eq!(bad.record(named("t1"), &reason("no zone"), at(1)), None, "unchanged reason");
    assert_eq!(bad.record(named("t1"), &reason("no state"), at(2)), Some(0));
    assert_eq!(bad.record(EntryKey::ListIndex("items[3]".into()), &reason("null"), at(3)), Some(0));
    assert_eq!(
        bad.record(EntryKey::ChangeIndex("events[3]".into()), &reason("null"), at(3)),
        Some(0)
    );
    assert_eq!(bad.record(EntryKey::ChangeIndex("events[3]".into()), &reason("null"), at(4)), None);
    assert_eq!(bad.count(), 2, "an entry in a change may be in the list too");
    bad.clear(&"t1".into());
    assert_eq!(bad.count(), 1);
    assert_eq!(bad.record(named("t1"), &reason("no state"), at(4)), Some(0), "unreadable again");
    bad.clear_named();
    assert_eq!(bad.count(), 1, "unnamed entries are kept until the next list");
}

#[test]
fn complete_list_logs_nothing_twice_and_drops_missing_entries() {
    let mut bad = UnreadableEntries::default();
    for name in ["t1", "t2"] {
        bad.record(named(name), &reason("no zone"), at(0));
    }
    bad.restart();
    assert_eq!(bad.record(named("t1"), &reason("no zone"), at(9)), None);
    assert_eq!(bad.count(), 1);
    bad.restart();
    assert_eq!(
        bad.record(named("t2"), &reason("no zone"), at(9)),
        Some(0),
        "it was missing in between"
    );
}

#[test]
fn frequent_changes_of_a_bad_entry_do_not_flood_the_log() {
    let mut bad = UnreadableEntries::default();
    let (mut lines, mut suppressed) = (0, 0);
    for n in 0..6_000_u64 {
        let logged = bad.record(named("t1"), &reason(&format!("reason {n}")), at(n * 10));
        lines += u64::from(logged.is_some());
        suppressed += logged.unwrap_or(0);
    }
    assert!((60..=100).contains(&lines), "{lines} lines in a minute of 100 changes a second");
    assert!(lines + suppressed > 5_800, "suppressed lines are counted: {suppressed}");
}
