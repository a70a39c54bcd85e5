//! The registry of all open jobs.

use super::job::Job;
use std::collections::BTreeMap;

/// All open jobs, in the order of their ids.
#[derive(Debug, Default)]
pub struct Jobs {
    jobs: BTreeMap<String, Job>,
}

impl Jobs {
    /// Inserts a job, unless there already is one with its id.
    pub fn insert(&mut self, job: Job) {
        self.jobs.entry(job.spec.id.clone()).or_insert(job);
    }

    /// Removes the job with this id, and returns it if there was one.
    pub fn remove(&mut self, id: &str) -> Option<Job> {
        self.jobs.remove(id)
    }

    /// The job with this id.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The job with this id, mutably.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// All jobs, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// All jobs, mutably, in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
