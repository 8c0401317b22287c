//! In-memory implementation of the Object API's semantics, for the stand-in and for tests.

use std::collections::BTreeMap;

use model::Name;
use model::store::{Listing, Stored};
use serde_json::Value;

/// Largest value in bytes, as limited by the platform.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a write was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutError {
    /// The expected version is not the current one, which is given.
    VersionMismatch(u64),
    /// The value is over the limit with this number of bytes.
    TooLarge(usize),
}

#[derive(Debug, Clone)]
struct Entry {
    stored: Stored,
    revision: u64,
}

/// All objects, with one revision counter for all kinds.
#[derive(Debug, Clone, Default)]
pub struct Objects {
    kinds: BTreeMap<Name, BTreeMap<Name, Entry>>,
    revision: u64,
}

impl Objects {
    /// Reads one object; version 0 and no value if it was never written.
    pub fn get(&self, kind: &str, name: &str) -> Stored {
        let found = self.kinds.get(kind).and_then(|k| k.get(name));
        found.map_or_else(
            || Stored { name: name.into(), version: 0, value: None },
            |e| e.stored.clone(),
        )
    }

    /// Writes the object, or deletes it with `None`, if its version is `expect`; returns the new
    /// version.
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

    /// Lists the objects of a kind that are not deleted.
    pub fn list(&self, kind: &str) -> Listing {
        let all = self.kinds.get(kind).into_iter().flat_map(|k| k.values());
        let live = all.filter(|e| e.stored.value.is_some()).map(|e| e.stored.clone());
        Listing { revision: self.revision, objects: live.collect() }
    }

    /// Objects of a kind that changed after `revision`, deletions included.
    pub fn since(&self, kind: &str, revision: u64) -> Listing {
        let all = self.kinds.get(kind).into_iter().flat_map(|k| k.values());
        let new = all.filter(|e| e.revision > revision).map(|e| e.stored.clone());
        Listing { revision: self.revision, objects: new.collect() }
    }
}
