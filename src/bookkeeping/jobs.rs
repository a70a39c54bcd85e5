//! Open jobs and their tasks.

use crate::bookkeeping::failures::JobFailures;
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
    pub stamp: u64,
    /// When it came, on this node's steady clock.
    pub since: f64,
    /// When it should be complete: its deadline, or its class's objective.
    pub due: Option<f64>,
    /// Its tasks should start within so long.
    pub prompt_s: Option<f64>,
    /// It can wait until then, rather than stop other work.
    pub patient_until: f64,
    /// Completed tasks, written down or about to be.
    pub done: TaskSet,
    /// Where tasks are bound; a task may show up on several hosts after failures.
    pub bound: BTreeMap<u32, Vec<String>>,
    /// Hosts where its tasks have completed while copies of their starts may still arrive.
    pub copies_on: BTreeSet<String>,
    /// Tasks bound in each zone.
    pub zones: HashMap<String, u32>,
    /// Bound tasks that are complete already.
    bound_done: u32,
    /// Bound tasks that have been seen running.
    pub running: u32,
    /// Its ending is on the way.
    pub ending: bool,
    /// What its failed tasks tell about it.
    pub failures: JobFailures,
    /// The latest attempt, which the tasks of a group share.
    pub group_attempt: Option<u64>,
    /// No starts before this time.
    pub not_before: f64,
    /// Since when some task has waited, for the oldest age.
    pub waiting_since: f64,
}

impl Job {
    /// A job of which nothing but its key is known.
    pub fn new(spec: JobSpec, stamp: u64, since: f64) -> Job {
        let tasks = spec.tasks;
        let due = spec.deadline_s.map(|due| since + due);
        Job {
            due,
            prompt_s: None,
            patient_until: since,
            spec,
            stamp,
            since,
            done: TaskSet::new(tasks),
            bound: BTreeMap::new(),
            copies_on: BTreeSet::new(),
            zones: HashMap::new(),
            bound_done: 0,
            running: 0,
            ending: false,
            failures: JobFailures::default(),
            group_attempt: None,
            not_before: 0.0,
            waiting_since: since,
        }
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn standing(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// The tasks that wait, in the order in which they are to be placed.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.spec.tasks).filter(|index| self.waits(*index))
    }

    fn waits(&self, index: u32) -> bool {
        !self.done.contains(index) && !self.bound.contains_key(&index)
    }

    /// Number of tasks that wait.
    pub fn waiting(&self) -> u32 {
        if self.ending {
            return 0;
        }
        let bound = self.bound.len() as u32 - self.bound_done;
        self.spec.tasks.saturating_sub(self.done.len() + bound)
    }

    /// Whether replicas of this job have failed since the last one that ran for a while.
    pub fn is_failing_service(&self) -> bool {
        self.standing() && self.failures.hosts().next().is_some()
    }

    /// Number of tasks that may be placed now: all that wait, but of a suspect job only one at a
    /// time, as a probe.
    pub fn startable(&self) -> u32 {
        let waiting = self.waiting();
        if !self.failures.is_suspect() {
            return waiting;
        }
        let probing = self.bound.len() as u32 > self.bound_done;
        match self.spec.kind {
            _ if probing => 0,
            JobKind::Gang => waiting,
            JobKind::Array | JobKind::Service => waiting.min(1),
        }
    }

    /// Whether any task has been placed or completed.
    pub fn begun(&self) -> bool {
        !self.done.is_empty() || !self.bound.is_empty()
    }

    /// Notes that a task is complete. False: it was known.
    pub fn complete(&mut self, index: u32) -> bool {
        let new = self.done.insert(index);
        if new && self.bound.contains_key(&index) {
            self.bound_done += 1;
        }
        new
    }

    /// Notes that a task was bound to a host in a zone.
    pub fn bind(&mut self, index: u32, host: &str, zone: &str) {
        let hosts = self.bound.entry(index).or_default();
        if hosts.is_empty() && self.done.contains(index) {
            self.bound_done += 1;
        }
        if !hosts.iter().any(|name| name == host) {
            hosts.push(host.to_owned());
            *self.zones.entry(zone.to_owned()).or_default() += 1;
        }
    }

    /// Notes that a binding has ended.
    pub fn unbind(&mut self, index: u32, host: &str, zone: &str, now: f64) {
        let Some(hosts) = self.bound.get_mut(&index) else {
            return;
        };
        let before = hosts.len();
        hosts.retain(|name| name != host);
        if hosts.len() < before
            && let Some(count) = self.zones.get_mut(zone)
        {
            *count -= 1;
            if *count == 0 {
                self.zones.remove(zone);
            }
        }
        if hosts.is_empty() {
            self.bound.remove(&index);
            if self.done.contains(index) {
                self.bound_done -= 1;
            } else if self.waiting() == 1 {
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
