//! Counts of things by what they have in common.

use std::collections::BTreeMap;

/// How many there are of each key; keys of which there are none are not kept.
#[derive(Debug, Clone)]
pub(crate) struct Tally<K>(BTreeMap<K, usize>);

impl<K> Default for Tally<K> {
    fn default() -> Self {
        Tally(BTreeMap::new())
    }
}

impl<K: Ord + Clone> Tally<K> {
    /// Counts one more.
    pub(crate) fn add(&mut self, key: &K) {
        *self.0.entry(key.clone()).or_default() += 1;
    }

    /// Counts one less.
    pub(crate) fn remove(&mut self, key: &K) {
        let Some(count) = self.0.get_mut(key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(key);
        }
    }

    /// How many there are of a key.
    pub(crate) fn count(&self, key: &K) -> usize {
        self.0.get(key).copied().unwrap_or(0)
    }

    /// Keys of which there are any.
    pub(crate) fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.0.keys()
    }
}
