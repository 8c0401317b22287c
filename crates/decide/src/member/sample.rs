//! A set that supports random sampling without a pass over all members.

use std::collections::BTreeMap;

use crate::rng::Rng;

/// A set whose members are indexed by consecutive numbers.
#[derive(Debug, Clone)]
pub(super) struct SampleSet<T> {
    members: Vec<T>,
    numbers: BTreeMap<T, usize>,
}

impl<T> Default for SampleSet<T> {
    fn default() -> Self {
        SampleSet { members: Vec::new(), numbers: BTreeMap::new() }
    }
}

impl<T: Ord + Clone> SampleSet<T> {
    pub(super) fn insert(&mut self, member: T) {
        if !self.numbers.contains_key(&member) {
            self.numbers.insert(member.clone(), self.members.len());
            self.members.push(member);
        }
    }

    pub(super) fn remove(&mut self, member: &T) {
        let Some(number) = self.numbers.remove(member) else {
            return;
        };
        self.members.swap_remove(number);
        if let Some(moved) = self.members.get(number) {
            self.numbers.insert(moved.clone(), number);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Up to `n` distinct members in random order, excluding `except`.
    pub(super) fn sample(&self, n: usize, except: Option<&T>, rng: &mut Rng) -> Vec<&T> {
        let except = except.and_then(|member| self.numbers.get(member).copied());
        let count = n.min(self.len() - usize::from(except.is_some()));
        // Robert Floyd's algorithm needs one draw per sampled member.
        let mut numbers: Vec<usize> = Vec::with_capacity(count);
        let others = self.len() - usize::from(except.is_some());
        for last in others - count..others {
            let drawn = rng.below(last + 1);
            numbers.push(if numbers.contains(&drawn) { last } else { drawn });
        }
        rng.shuffle(&mut numbers);
        // The last member takes the number of the excluded one.
        let number = |n: usize| if Some(n) == except { others } else { n };
        numbers.into_iter().map(|n| &self.members[number(n)]).collect()
    }
}
