//! Complete set of declared objects.

use std::collections::BTreeMap;

use super::{Drain, Model, Pipeline, Pool, Spec, Workspace};
use crate::Name;

/// Declared objects by kind and name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObjectSet {
    /// Pipelines.
    pub pipelines: BTreeMap<Name, Pipeline>,
    /// Workspaces.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Pools.
    pub pools: BTreeMap<Name, Pool>,
    /// Models.
    pub models: BTreeMap<Name, Model>,
    /// Drains.
    pub drains: BTreeMap<Name, Drain>,
}

impl ObjectSet {
    /// Inserts or replaces an object.
    pub fn insert(&mut self, name: Name, spec: Spec) {
        match spec {
            Spec::Pipeline(s) => drop(self.pipelines.insert(name, s)),
            Spec::Workspace(s) => drop(self.workspaces.insert(name, s)),
            Spec::Pool(s) => drop(self.pools.insert(name, s)),
            Spec::Model(s) => drop(self.models.insert(name, s)),
            Spec::Drain(s) => drop(self.drains.insert(name, s)),
        }
    }

    /// Removes an object; unknown kinds are ignored.
    fn remove(&mut self, kind: &str, name: &str) {
        match kind {
            "Pipeline" => drop(self.pipelines.remove(name)),
            "Workspace" => drop(self.workspaces.remove(name)),
            "Pool" => drop(self.pools.remove(name)),
            "Model" => drop(self.models.remove(name)),
            "Drain" => drop(self.drains.remove(name)),
            _ => {}
        }
    }

    /// Inserts or replaces the object of a key such as `Pool/engines`.
    pub fn insert_key(&mut self, key: &str, spec: Spec) {
        if let Some((_, name)) = key.split_once('/') {
            self.insert(name.into(), spec);
        }
    }

    /// Removes the object of a key.
    pub fn remove_key(&mut self, key: &str) {
        if let Some((kind, name)) = key.split_once('/') {
            self.remove(kind, name);
        }
    }

    /// Desired version of a model, as `model@version`.
    pub fn wanted_version(&self, model: &str) -> Option<Name> {
        let m = self.models.get(model)?;
        Some(format!("{model}@{}", m.version).into())
    }
}
