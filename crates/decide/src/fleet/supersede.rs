//! News of targets as they come from the store or a peer.

use std::collections::HashMap;

use model::Name;
use model::forward::TargetChange;

/// Changes without ends that a later one in the same news takes back: a source tells of changes
/// that are known too, and an end that was known would cost what is believed of the target.
///
/// An entry before an end stays: it may say that the target was draining.
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
