//! The Object API's rules in memory: the core of the stand-in, and of tests.

use std::collections::BTreeMap;

use model::Name;
use model::store::{Listing, Stored};
use serde_json::Value;

/// Largest value, bytes; the platform's bound.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a write was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutError {
    /// The version is this one.
    VersionMismatch(u64),
    /// The value has this many bytes.
    TooLarge(usize),
}

#[derive(Debug, Clone)]
struct Entry {
    stored: Stored,
    revision: u64,
}

/// All objects.
#[derive(Debug, Clone, Default)]
pub struct Objects {
    kinds: BTreeMap<Name, BTreeMap<Name, Entry>>,
    revision: u64,
}

impl Objects {
    /// Reads one object.
    pub fn get(&self, kind: &str, name: &str) -> Stored {
        let found = self.kinds.get(kind).and_then(|k| k.get(name));
        found.map_or_else(
            || Stored { name: name.into(), version: 0, value: None },
            |e| e.stored.clone(),
        )
    }

    /// Writes or deletes if the version is `expect`.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expect: u64,
        value: Option<Value>,
    ) -> Result<u64, PutError> {
        let size = value.as_ref().map_or(0, |v| v.to_string().len());
        if size > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge(size));
        }
        let version = self.get(kind, name).version;
        if version != expect {
            return Err(PutError::VersionMismatch(version));
        }
        self.revision += 1;
        let stored = Stored { name: name.into(), version: version + 1, value };
        let entry = Entry { stored, revision: self.revision };
        self.kinds.entry(kind.into()).or_default().insert(name.into(), entry);
        Ok(version + 1)
    }

    /// Every object of a kind that is not deleted.
    pub fn list(&self, kind: &str) -> Listing {
        let all = self.kinds.get(kind).into_iter().flat_map(|k| k.values());
        let live = all.filter(|e| e.stored.value.is_some()).map(|e| e.stored.clone());
        Listing { revision: self.revision, objects: live.collect() }
    }

    /// Objects of a kind changed after `revision`, deletions included.
    pub fn since(&self, kind: &str, revision: u64) -> Listing {
        let all = self.kinds.get(kind).into_iter().flat_map(|k| k.values());
        let new = all.filter(|e| e.revision > revision).map(|e| e.stored.clone());
        Listing { revision: self.revision, objects: new.collect() }
    }
}
