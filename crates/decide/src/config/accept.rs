//! Selection of the newer declarations that are valid together.

use std::collections::BTreeMap;

use model::Name;
use model::manifest::Item;
use model::object::{self, ObjectSet};

use super::publisher::Declared;

/// Accepts every newer object with which the whole set stays valid; returns the resulting items and
/// the refusal reason of each refused object.
///
/// Invalid objects are refused and the rest is checked again. An object that is invalid only
/// because another one was refused is refused in the next iteration.
pub(super) fn accept(
    base: &BTreeMap<Name, Item>,
    newer: &[&Declared],
) -> (BTreeMap<Name, Item>, BTreeMap<Name, String>) {
    let mut refused: BTreeMap<Name, String> = BTreeMap::new();
    for d in newer {
        if let Some(Err(why)) = &d.spec {
            refused.insert(d.key.clone(), why.clone());
        }
    }
    loop {
        let mut items = base.clone();
        for d in newer.iter().filter(|d| !refused.contains_key(&d.key)) {
            let spec = d.spec.clone().and_then(Result::ok);
            items.insert(d.key.clone(), Item { key: d.key.clone(), version: d.version, spec });
        }
        let faults = object::check(&to_set(&items));
        if faults.is_empty() {
            return (items, refused);
        }
        let before = refused.len();
        let changed = |k: &Name| newer.iter().any(|d| d.key == *k);
        for f in faults.iter().filter(|f| changed(&f.object)) {
            let why = format!("{}: {}", f.field, f.reason);
            refused.entry(f.object.clone()).or_insert(why);
        }
        if refused.len() > before {
            continue;
        }
        // An unchanged object is invalid, so an object that it references has changed. Deletions
        // are refused first, and all remaining changes if there is no deletion.
        let why = format!("would break {}", faults[0]);
        let remaining = newer.iter().filter(|d| !refused.contains_key(&d.key));
        let blamed: Vec<Name> = match remaining.clone().find(|d| d.spec.is_none()) {
            Some(_) => remaining.filter(|d| d.spec.is_none()).map(|d| d.key.clone()).collect(),
            None => remaining.map(|d| d.key.clone()).collect(),
        };
        refused.extend(blamed.into_iter().map(|k| (k, why.clone())));
        if refused.len() == before {
            // The published set itself is invalid; keep it unchanged.
            return (base.clone(), refused);
        }
    }
}

fn to_set(items: &BTreeMap<Name, Item>) -> ObjectSet {
    let mut set = ObjectSet::default();
    for item in items.values() {
        if let Some(spec) = &item.spec {
            set.insert_key(&item.key, spec.clone());
        }
    }
    set
}
