//! Cutting the accepted items into content-addressed chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::manifest::{CHUNK_BYTES, Item, slot};
use model::{Name, hash};

/// Cuts items into slots of a few KB; `had` keeps the count while it still fits,
/// so that one change moves one chunk.
pub(super) fn cut(
    items: &BTreeMap<Name, Item>,
    had: usize,
) -> (Vec<Name>, BTreeMap<Name, Arc<str>>) {
    let bytes: usize =
        items.values().map(|i| serde_json::to_vec(i).map_or(0, |v| v.len() + 1)).sum();
    let wanted = bytes.div_ceil(CHUNK_BYTES).next_power_of_two();
    let count = if wanted > had * 2 || wanted * 8 < had || had == 0 { wanted } else { had };
    let mut chunks: Vec<Vec<&Item>> = vec![Vec::new(); count];
    for item in items.values() {
        chunks[slot(&item.key, count)].push(item);
    }
    let mut texts = BTreeMap::new();
    let slots = chunks.iter().map(|c| {
        let text = serde_json::to_string(c).expect("items have string keys");
        let hash: Name = hash::address(text.as_bytes()).into();
        texts.insert(hash.clone(), text.into());
        hash
    });
    (slots.collect(), texts)
}
