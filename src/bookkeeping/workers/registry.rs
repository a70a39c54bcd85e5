//! The registry of all known workers.

use super::worker::Worker;
use std::collections::BTreeMap;

/// All known workers, in the order of their names.
#[derive(Debug, Default)]
pub struct Workers {
    workers: BTreeMap<String, Worker>,
}

impl Workers {
    /// The worker with this name.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// The worker with this name, mutably.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// The worker with this name; if there is none, inserts the one that `make` returns.
    pub fn get_or_insert_with(&mut self, name: &str, make: impl FnOnce() -> Worker) -> &mut Worker {
        self.workers.entry(name.to_owned()).or_insert_with(make)
    }

    /// Removes the worker with this name, and returns it if there was one.
    pub fn remove(&mut self, name: &str) -> Option<Worker> {
        self.workers.remove(name)
    }

    /// All workers, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// All workers, mutably, in the order of their names.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.values_mut()
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}
