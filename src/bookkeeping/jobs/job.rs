//! An open job and its tasks.

use super::task_set::TaskSet;
use crate::bookkeeping::failure_attribution::JobFailures;
use crate::protocol::job::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A worker that a task is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundWorker {
    /// Name of the worker.
    pub name: String,
    /// A heartbeat of the worker has listed the task as running.
    pub is_running: bool,
}

/// An open job. Times are seconds of the controller's monotonic clock.
///
/// The sets and counts of completed, bound and running tasks must agree with each other; only
/// [`complete`](Job::complete), [`bind`](Job::bind), [`observe_running`](Job::observe_running) and
/// [`unbind`](Job::unbind) change them.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification, as submitted.
    pub spec: JobSpec,
    /// Mod revision of the job's key in the state service.
    pub mod_revision: u64,
    /// When the job was submitted; negative if that was before the start of the monotonic clock.
    pub submitted_at: f64,
    /// When the job should be complete, by its own deadline or else by the objective of its class. `None` if it has
    /// neither.
    pub deadline: Option<f64>,
    /// Seconds within which the job's tasks should start, by the objective of its class. `None` if there is no such
    /// objective.
    pub start_objective_s: Option<f64>,
    /// The time from which on tasks of other jobs may be preempted for this job; before, the job waits for free
    /// capacity.
    pub may_preempt_from: f64,
    /// Completed tasks, including those whose completion is not committed yet.
    completed: TaskSet,
    /// The workers to which each bound task is bound; after failures a task may be bound to several.
    bound_workers: BTreeMap<u32, Vec<BoundWorker>>,
    /// Workers on which a task of the job had completed while a duplicate of its start command could still arrive. The
    /// end of the job revokes these duplicates by raising the fences of these workers.
    pub workers_with_duplicate_starts: BTreeSet<String>,
    /// Number of bindings in each zone.
    bound_per_zone: HashMap<String, u32>,
    /// Number of bound tasks that are complete already.
    bound_completed: u32,
    /// Number of entries of `bound_workers` with `is_running` set.
    running_tasks: u32,
    /// The end of the job has been added to the write-ahead log, but is not committed yet.
    pub finishing: bool,
    /// Failures of the job's tasks.
    pub failures: JobFailures,
    /// For a gang: number of the latest attempt, which all its tasks share. `None` before the gang is first placed.
    pub gang_attempt: Option<u64>,
    /// No task is placed before this time, which is in the future only while a crash-looping job is backed off.
    pub eligible_at: f64,
    /// Since when at least one task has been waiting to be placed; has no meaning while no task is waiting.
    pub waiting_since: f64,
}

impl Job {
    /// A job without bound or completed tasks.
    pub fn new(spec: JobSpec, mod_revision: u64, submitted_at: f64) -> Job {
        let tasks = spec.tasks;
        let deadline = spec.deadline_s.map(|deadline_s| submitted_at + deadline_s);
        Job {
            deadline,
            start_objective_s: None,
            may_preempt_from: submitted_at,
            spec,
            mod_revision,
            submitted_at,
            completed: TaskSet::new(tasks),
            bound_workers: BTreeMap::new(),
            workers_with_duplicate_starts: BTreeSet::new(),
            bound_per_zone: HashMap::new(),
            bound_completed: 0,
            running_tasks: 0,
            finishing: false,
            failures: JobFailures::default(),
            gang_attempt: None,
            eligible_at: 0.0,
            waiting_since: submitted_at,
        }
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Indices of the tasks that are neither complete nor bound, in ascending order, in which they are to be placed.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.spec.tasks).filter(|index| self.is_waiting(*index))
    }

    fn is_waiting(&self, index: u32) -> bool {
        !self.completed.contains(index) && !self.bound_workers.contains_key(&index)
    }

    /// Number of tasks that are waiting to be placed; 0 while the job is finishing.
    pub fn waiting_count(&self) -> u32 {
        if self.finishing {
            return 0;
        }
        let bound = self.bound_workers.len() as u32 - self.bound_completed;
        self.spec.tasks.saturating_sub(self.completed.len() + bound)
    }

    /// Whether this is a service whose replicas have failed since the last success of one of them.
    pub fn is_failing_service(&self) -> bool {
        self.is_service() && self.failures.workers().next().is_some()
    }

    /// Number of tasks that may be placed now: all waiting tasks, unless the job is crash-looping. Of a crash-looping
    /// job, one task or the gang may be placed as a probe, but none while a probe is bound.
    pub fn startable_count(&self) -> u32 {
        let waiting = self.waiting_count();
        if !self.failures.is_crash_looping() {
            return waiting;
        }
        let probing = self.bound_workers.len() as u32 > self.bound_completed;
        match self.spec.kind {
            _ if probing => 0,
            JobKind::Gang => waiting,
            JobKind::Array | JobKind::Service => waiting.min(1),
        }
    }

    /// The completed tasks, including those whose completion is not committed yet.
    pub fn completed(&self) -> &TaskSet {
        &self.completed
    }

    /// Whether all tasks are complete.
    pub fn is_complete(&self) -> bool {
        self.completed.len() == self.spec.tasks
    }

    /// The workers to which each bound task is bound, by the index of the task.
    pub fn bound_workers(&self) -> &BTreeMap<u32, Vec<BoundWorker>> {
        &self.bound_workers
    }

    /// Number of bindings in each zone. Zones without bindings are left out.
    pub fn bound_per_zone(&self) -> &HashMap<String, u32> {
        &self.bound_per_zone
    }

    /// Number of bindings whose task has been observed running.
    pub fn running_tasks(&self) -> u32 {
        self.running_tasks
    }

    /// Records that a heartbeat of the worker lists the task as running. Does nothing if the task is not bound to the
    /// worker.
    pub fn observe_running(&mut self, index: u32, worker: &str) {
        let workers = self.bound_workers.get_mut(&index);
        let bound =
            workers.and_then(|workers| workers.iter_mut().find(|bound| bound.name == worker));
        if let Some(bound) = bound
            && !bound.is_running
        {
            bound.is_running = true;
            self.running_tasks += 1;
        }
    }

    /// Whether any task is bound or complete. False again if the only bound task is unbound without being complete.
    pub fn has_started(&self) -> bool {
        !self.completed.is_empty() || !self.bound_workers.is_empty()
    }

    /// Records that a task is complete. Returns false if the task was complete already.
    pub fn complete(&mut self, index: u32) -> bool {
        let new = self.completed.insert(index);
        if new && self.bound_workers.contains_key(&index) {
            self.bound_completed += 1;
        }
        new
    }

    /// Records that a task is bound to a worker in this zone. Does nothing if the task is bound to the worker already.
    pub fn bind(&mut self, index: u32, worker: &str, zone: &str) {
        let workers = self.bound_workers.entry(index).or_default();
        if workers.is_empty() && self.completed.contains(index) {
            self.bound_completed += 1;
        }
        if !workers.iter().any(|bound| bound.name == worker) {
            workers.push(BoundWorker {
                name: worker.to_owned(),
                is_running: false,
            });
            *self.bound_per_zone.entry(zone.to_owned()).or_default() += 1;
        }
    }

    /// Records that the binding of a task to a worker has ended. If there is no such binding, changes nothing and
    /// returns false.
    pub fn unbind(&mut self, index: u32, worker: &str, zone: &str, now: f64) -> bool {
        let Some(workers) = self.bound_workers.get_mut(&index) else {
            return false;
        };
        let Some(position) = workers.iter().position(|bound| bound.name == worker) else {
            return false;
        };
        let bound = workers.remove(position);
        if bound.is_running {
            // `observe_running` counted the task when it set `is_running`.
            self.running_tasks -= 1;
        }
        if let Some(count) = self.bound_per_zone.get_mut(zone) {
            *count -= 1;
            if *count == 0 {
                self.bound_per_zone.remove(zone);
            }
        }
        if workers.is_empty() {
            self.bound_workers.remove(&index);
            if self.completed.contains(index) {
                self.bound_completed -= 1;
            } else if self.waiting_count() == 1 {
                self.waiting_since = now;
            }
        }
        true
    }
}
