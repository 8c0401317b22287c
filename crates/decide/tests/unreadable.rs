//! Lines about entries that cannot be read.

use decide::relay::{EntryKey, UnreadableEntries};
use model::{Name, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn named(name: &str) -> EntryKey {
    EntryKey::Name(name.into())
}

fn why(text: &str) -> Name {
    text.into()
}

#[test]
fn each_change_of_an_entry_is_told_once() {
    let mut bad = UnreadableEntries::default();
    assert_eq!(bad.record(named("t1"), &why("no zone"), at(0)), Some(0));
    assert_eq!(
        bad.record(named("t1"), &why("no zone"), at(1)),
        None,
        "it is written anew as it was"
    );
    assert_eq!(bad.record(named("t1"), &why("no state"), at(2)), Some(0));
    assert_eq!(bad.record(EntryKey::ListIndex("items[3]".into()), &why("null"), at(3)), Some(0));
    assert_eq!(bad.record(EntryKey::ChangeIndex("events[3]".into()), &why("null"), at(3)), Some(0));
    assert_eq!(bad.record(EntryKey::ChangeIndex("events[3]".into()), &why("null"), at(4)), None);
    assert_eq!(bad.count(), 2, "what a change tells of may be in the list too");
    bad.clear(&"t1".into());
    assert_eq!(bad.count(), 1);
    assert_eq!(bad.record(named("t1"), &why("no state"), at(4)), Some(0), "bad again");
    bad.clear_named();
    assert_eq!(bad.count(), 1, "one without a name is held until the next list");
}

#[test]
fn a_whole_list_tells_nothing_again_and_forgets_what_it_lacks() {
    let mut bad = UnreadableEntries::default();
    for name in ["t1", "t2"] {
        bad.record(named(name), &why("no zone"), at(0));
    }
    bad.restart();
    assert_eq!(bad.record(named("t1"), &why("no zone"), at(9)), None);
    assert_eq!(bad.count(), 1);
    bad.restart();
    assert_eq!(bad.record(named("t2"), &why("no zone"), at(9)), Some(0), "it was gone between");
}

#[test]
fn a_writer_that_changes_a_bad_entry_all_the_time_fills_no_log() {
    let mut bad = UnreadableEntries::default();
    let (mut lines, mut untold) = (0, 0);
    for n in 0..6_000_u64 {
        let told = bad.record(named("t1"), &why(&format!("reason {n}")), at(n * 10));
        lines += u64::from(told.is_some());
        untold += told.unwrap_or(0);
    }
    assert!((60..=100).contains(&lines), "{lines} lines in a minute of 100 changes a second");
    assert!(lines + untold > 5_800, "the others are counted: {untold}");
}
