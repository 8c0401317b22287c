//! Filter for batches of target changes from the store or a peer.

use std::collections::HashMap;

use model::Name;
use model::forward::TargetChange;

/// Drops removals that a later entry in the same batch supersedes: a source may repeat changes that
/// are already known, and applying a removal again would discard the state of the target.
///
/// An entry before a removal is kept, because it may say that the target was draining.
pub fn drop_superseded(changes: Vec<TargetChange>) -> Vec<TargetChange> {
    let mut last_entry: HashMap<Name, usize> = HashMap::new();
    for (i, change) in changes.iter().enumerate() {
        if let TargetChange::Now(target) = change {
            last_entry.insert(target.id.name.clone(), i);
        }
    }
    let is_superseded = |i: usize, change: &TargetChange| {
        let is_end = !matches!(change, TargetChange::Now(_));
        is_end && last_entry.get(change.name()).is_some_and(|entry| *entry > i)
    };
    let numbered = changes.into_iter().enumerate();
    numbered.filter(|(i, change)| !is_superseded(*i, change)).map(|(_, change)| change).collect()
}
