//! Open jobs and their tasks.

use crate::bookkeeping::failure_attribution::JobFailures;
use crate::protocol::job::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A set of task numbers as a bitmap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// An empty set for numbers below `size`.
    pub fn new(size: u32) -> TaskSet {
        TaskSet {
            words: vec![0; size.div_ceil(64) as usize],
            count: 0,
        }
    }
    /// Adds a number; false if it was there or is out of range.
    pub fn insert(&mut self, index: u32) -> bool {
        let Some(word) = self.words.get_mut((index / 64) as usize) else {
            return false;
        };
        let bit = 1 << (index % 64);
        if *word & bit != 0 {
            return false;
        }
        *word |= bit;
        self.count += 1;
        true
    }
    /// Whether the number is in it.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / 64) as usize)
            .is_some_and(|word| word & (1 << (index % 64)) != 0)
    }
    /// How many are in it.
    pub fn len(&self) -> u32 {
        self.count
    }
    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// An open job.
#[derive(Debug, Clone)]
pub struct Job {
    /// As submitted.
    pub spec: JobSpec,
    /// Version of its key.
    pub mod_revision: u64,
    /// When it came, on this controller's steady clock.
    pub submitted_at: f64,
    /// When it should be complete: its deadline, or its class's objective.
    pub deadline: Option<f64>,
    /// Its tasks should start within so long.
    pub start_objective_s: Option<f64>,
    /// It can wait until then, rather than stop other work.
    pub latest_unhurried_start: f64,
    /// Completed tasks, written down or about to be.
    pub completed: TaskSet,
    /// Where tasks are bound; a task may show up on several workers after failures.
    pub bound_workers: BTreeMap<u32, Vec<String>>,
    /// Workers where its tasks have completed while copies of their starts may still arrive.
    pub workers_with_start_copies: BTreeSet<String>,
    /// Tasks bound in each zone.
    pub bound_per_zone: HashMap<String, u32>,
    /// Bound tasks that are complete already.
    bound_completed: u32,
    /// Bound tasks that have been seen running.
    pub running_tasks: u32,
    /// Its ending is on the way.
    pub finishing: bool,
    /// What its failed tasks tell about it.
    pub failures: JobFailures,
    /// The latest attempt, which the tasks of a gang share.
    pub gang_attempt: Option<u64>,
    /// No starts before this time.
    pub eligible_at: f64,
    /// Since when some task has waited, for the oldest age.
    pub waiting_since: f64,
}

impl Job {
    /// A job of which nothing but its key is known.
    pub fn new(spec: JobSpec, mod_revision: u64, since: f64) -> Job {
        let tasks = spec.tasks;
        let deadline = spec.deadline_s.map(|deadline| since + deadline);
        Job {
            deadline,
            start_objective_s: None,
            latest_unhurried_start: since,
            spec,
            mod_revision,
            submitted_at: since,
            completed: TaskSet::new(tasks),
            bound_workers: BTreeMap::new(),
            workers_with_start_copies: BTreeSet::new(),
            bound_per_zone: HashMap::new(),
            bound_completed: 0,
            running_tasks: 0,
            finishing: false,
            failures: JobFailures::default(),
            gang_attempt: None,
            eligible_at: 0.0,
            waiting_since: since,
        }
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// The tasks that wait, in the order in which they are to be placed.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.spec.tasks).filter(|index| self.waits(*index))
    }

    fn waits(&self, index: u32) -> bool {
        !self.completed.contains(index) && !self.bound_workers.contains_key(&index)
    }

    /// Number of tasks that wait.
    pub fn waiting_count(&self) -> u32 {
        if self.finishing {
            return 0;
        }
        let bound = self.bound_workers.len() as u32 - self.bound_completed;
        self.spec.tasks.saturating_sub(self.completed.len() + bound)
    }

    /// Whether replicas of this job have failed since the last one that ran for a while.
    pub fn is_failing_service(&self) -> bool {
        self.is_service() && self.failures.workers().next().is_some()
    }

    /// Number of tasks that may be placed now: all that wait, but of a crash-looping job only one at a
    /// time, as a probe.
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

    /// Whether any task has been placed or completed.
    pub fn has_started(&self) -> bool {
        !self.completed.is_empty() || !self.bound_workers.is_empty()
    }

    /// Notes that a task is complete. False: it was known.
    pub fn complete(&mut self, index: u32) -> bool {
        let new = self.completed.insert(index);
        if new && self.bound_workers.contains_key(&index) {
            self.bound_completed += 1;
        }
        new
    }

    /// Notes that a task was bound to a worker in a zone.
    pub fn bind(&mut self, index: u32, worker: &str, zone: &str) {
        let workers = self.bound_workers.entry(index).or_default();
        if workers.is_empty() && self.completed.contains(index) {
            self.bound_completed += 1;
        }
        if !workers.iter().any(|name| name == worker) {
            workers.push(worker.to_owned());
            *self.bound_per_zone.entry(zone.to_owned()).or_default() += 1;
        }
    }

    /// Notes that a binding has ended.
    pub fn unbind(&mut self, index: u32, worker: &str, zone: &str, now: f64) {
        let Some(workers) = self.bound_workers.get_mut(&index) else {
            return;
        };
        let before = workers.len();
        workers.retain(|name| name != worker);
        if workers.len() < before
            && let Some(count) = self.bound_per_zone.get_mut(zone)
        {
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
    }
}

/// All open jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    jobs: BTreeMap<String, Job>,
}

impl Jobs {
    /// Adds a job unless it is known.
    pub fn insert(&mut self, job: Job) {
        self.jobs.entry(job.spec.id.clone()).or_insert(job);
    }
    /// Drops a job.
    pub fn remove(&mut self, id: &str) -> Option<Job> {
        self.jobs.remove(id)
    }
    /// A job.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }
    /// A job, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }
    /// All jobs, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }
    /// All jobs, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }
    /// How many.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
