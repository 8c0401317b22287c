//! Splitting of accepted items into content-addressed chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::manifest::{CHUNK_BYTES, Item, slot};
use model::{Name, hash};

/// Splits items into slots of a few KB and returns the chunk address of each slot and the text of
/// each chunk. Keeps `old_count` slots unless the ideal count is above twice or below an eighth of
/// it, so that a change of one item replaces one chunk.
pub(super) fn split_chunks(
    items: &BTreeMap<Name, Item>,
    old_count: usize,
) -> (Vec<Name>, BTreeMap<Name, Arc<str>>) {
    let bytes: usize =
        items.values().map(|i| serde_json::to_vec(i).map_or(0, |v| v.len() + 1)).sum();
    let wanted_count = bytes.div_ceil(CHUNK_BYTES).next_power_of_two();
    let count = if wanted_count > old_count * 2 || wanted_count * 8 < old_count || old_count == 0 {
        wanted_count
    } else {
        old_count
    };
    let mut chunks: Vec<Vec<&Item>> = vec![Vec::new(); count];
    for item in items.values() {
        chunks[slot(&item.key, count)].push(item);
    }
    let mut texts = BTreeMap::new();
    let slots = chunks.iter().map(|c| {
        let text = serde_json::to_string(c).expect("items have string keys");
        let hash: Name = hash::content_address(text.as_bytes()).into();
        texts.insert(hash.clone(), text.into());
        hash
    });
    (slots.collect(), texts)
}
