//! Occurrence counts by key.

use std::collections::BTreeMap;

/// Number of occurrences of each key. A key is removed when its count reaches 0.
#[derive(Debug, Clone)]
pub(crate) struct Tally<K>(BTreeMap<K, usize>);

impl<K> Default for Tally<K> {
    fn default() -> Self {
        Tally(BTreeMap::new())
    }
}

impl<K: Ord + Clone> Tally<K> {
    pub(crate) fn add(&mut self, key: &K) {
        *self.0.entry(key.clone()).or_default() += 1;
    }

    /// Decrements the count of a key; no effect if the key is absent.
    pub(crate) fn remove(&mut self, key: &K) {
        let Some(count) = self.0.get_mut(key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(key);
        }
    }

    /// Count of a key, 0 if absent.
    pub(crate) fn count(&self, key: &K) -> usize {
        self.0.get(key).copied().unwrap_or(0)
    }

    /// Keys with a count above 0, in order.
    pub(crate) fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.0.keys()
    }
}
