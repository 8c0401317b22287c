//! Lists of objects as followed by a reader of the store.

use decide::relay::{Entry, List};
use model::Name;

fn entries<const N: usize>(named: [(&str, Entry<u32>); N]) -> Vec<(Name, Entry<u32>)> {
    named.into_iter().map(|(name, entry)| (name.into(), entry)).collect()
}

fn known(list: &List<u32>) -> Option<(u64, Vec<(&str, u32)>)> {
    let (at, objects) = list.snapshot()?;
    Some((at, objects.iter().map(|(name, object)| (&**name, *object)).collect()))
}

#[test]
fn reader_applies_changes_and_rereads_after_a_history_gap() {
    let mut list = List::default();
    assert_eq!((list.at(), known(&list)), (None, None));
    list.replace(5, entries([("a", Entry::Present(1))]));
    let changes = [("b", Entry::Present(2)), ("a", Entry::Removed), ("c", Entry::Present(3))];
    list.apply(8, entries(changes));
    assert_eq!(known(&list), Some((8, vec![("b", 2), ("c", 3)])));
    list.restart();
    assert_eq!((list.at(), known(&list)), (None, None));
    list.replace(12, entries([("c", Entry::Present(4))]));
    assert_eq!(known(&list), Some((12, vec![("c", 4)])));
}

#[test]
fn unreadable_object_is_reported_until_fixed_or_deleted() {
    let named =
        |list: &List<u32>| list.unreadable().map(|name| name.to_string()).collect::<Vec<_>>();
    let mut list = List::default();
    list.replace(5, entries([("a", Entry::Present(1)), ("b", Entry::Unreadable)]));
    assert_eq!(named(&list), ["b"]);
    list.apply(6, entries([("a", Entry::Unreadable), ("b", Entry::Present(2))]));
    assert_eq!(named(&list), ["a"]);
    list.apply(7, entries([("b", Entry::Unreadable), ("a", Entry::Removed)]));
    assert_eq!(named(&list), ["b"]);
    list.restart();
    list.replace(9, entries([("c", Entry::Unreadable)]));
    assert_eq!((named(&list), known(&list)), (vec!["c".into()], Some((9, vec![]))));
}

#[test]
fn last_known_value_holds_while_unreadable() {
    let mut list = List::default();
    list.replace(5, entries([("a", Entry::Present(1)), ("b", Entry::Unreadable)]));
    assert_eq!(known(&list), Some((5, vec![("a", 1)])));
    list.apply(6, entries([("a", Entry::Unreadable)]));
    assert_eq!(known(&list), Some((6, vec![("a", 1)])));
    list.restart();
    list.replace(9, entries([("a", Entry::Unreadable)]));
    assert_eq!(known(&list), Some((9, vec![("a", 1)])));
    list.apply(10, entries([("a", Entry::Removed), ("a", Entry::Unreadable)]));
    assert_eq!(known(&list), Some((10, vec![])));
}
