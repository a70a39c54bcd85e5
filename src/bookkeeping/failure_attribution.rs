//! Evidence from failed tasks.
//!
//! A task that fails does not tell whether its machine is faulty or its job was submitted with a
//! mistake. Other tasks do: a job that fails on several machines without any success is crash-looping, and
//! its failures say nothing about the machines; a machine on which jobs fail that succeed elsewhere is
//! faulty. Until that is known, a machine on which several jobs fail is cordoned.

use std::collections::BTreeMap;

/// Machines on which a job fails without a success in between before it is crash-looping.
const CRASH_LOOP_WORKERS: usize = 3;
/// Failures that make a machine faulty.
const QUARANTINE_FAILURES: u32 = 3;
/// Failures that a job counts for at most as long as it has succeeded nowhere: fewer than it takes,
/// so that one job alone never makes a machine suspect.
const UNPROVEN_FAILURES: u32 = 2;
/// Machines remembered for a job, and jobs remembered for a machine.
const MAX_REMEMBERED: usize = 64;
/// The longest back-off between two probes of a crash-looping job, in units of the shortest, as a power of
/// two.
const MAX_BACKOFF_POWER: u32 = 4;

/// The failures of a job's tasks since the last success of one of them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobFailures {
    /// Workers on which tasks failed, and when they first did.
    workers: BTreeMap<String, f64>,
    succeeded: bool,
    crash_looping: bool,
    failed_probes: u32,
}

impl JobFailures {
    /// Whether the job itself is thought to be at fault. Only one of its tasks at a time is then
    /// started, as a probe.
    pub fn is_crash_looping(&self) -> bool {
        self.crash_looping
    }

    /// Whether a task of the job has ever succeeded.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Whether a task of the job has failed on a worker since the last success.
    pub fn has_failed_on(&self, worker: &str) -> bool {
        self.workers.contains_key(worker)
    }

    /// Whether further tasks of the job should go to other workers than this one. After `avoid_s` the
    /// worker is tried again: there may be no other.
    pub fn avoids(&self, worker: &str, avoid_s: f64, now: f64) -> bool {
        !self.crash_looping
            && self
                .workers
                .get(worker)
                .is_some_and(|at| now - at < avoid_s)
    }

    /// The workers on which tasks failed.
    pub fn workers(&self) -> impl Iterator<Item = &str> {
        self.workers.keys().map(String::as_str)
    }

    /// Notes a failure. The job becomes suspect when it has failed on several workers, or again on one
    /// that it had avoided for `avoid_s`. Returns whether it has just become suspect.
    pub fn record_failure(&mut self, worker: &str, avoid_s: f64, now: f64) -> bool {
        let again = self
            .workers
            .get(worker)
            .is_some_and(|at| now - at >= avoid_s);
        if self.workers.len() < MAX_REMEMBERED {
            self.workers.entry(worker.to_owned()).or_insert(now);
        }
        let before = self.crash_looping;
        self.crash_looping |= again || self.workers.len() >= CRASH_LOOP_WORKERS;
        self.crash_looping && !before
    }

    /// Takes over an earlier leader's suspicion.
    pub fn inherit_crash_loop(&mut self) {
        self.crash_looping = true;
    }

    /// Notes a success: the job is trusted again.
    pub fn record_success(&mut self) {
        *self = JobFailures {
            succeeded: true,
            ..JobFailures::default()
        };
    }

    /// How long to wait before the next probe, given the shortest wait: exponential back-off.
    pub fn next_backoff_s(&mut self, shortest_s: f64) -> f64 {
        let power = self.failed_probes.min(MAX_BACKOFF_POWER);
        self.failed_probes = power + 1;
        shortest_s * f64::from(1u32 << power)
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct AttributedFailures {
    failures: u32,
    /// The job has succeeded elsewhere.
    job_works_elsewhere: bool,
}

/// The failures on a worker since the last task that completed there, by job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFailures {
    jobs: BTreeMap<String, AttributedFailures>,
}

impl WorkerFailures {
    /// Notes that a task of a job failed here. `proven`: the job has succeeded elsewhere.
    pub fn record_failure(&mut self, job: &str, proven: bool) {
        if self.jobs.len() >= MAX_REMEMBERED && !self.jobs.contains_key(job) {
            return;
        }
        let evidence = self.jobs.entry(job.to_owned()).or_default();
        evidence.failures = evidence.failures.saturating_add(1);
        evidence.job_works_elsewhere |= proven;
    }

    /// Notes that a job whose tasks failed here has succeeded elsewhere.
    pub fn attribute_to_worker(&mut self, job: &str) {
        if let Some(evidence) = self.jobs.get_mut(job) {
            evidence.job_works_elsewhere = true;
        }
    }

    /// Withdraws what a job's failures told, since the job itself is at fault, or may be.
    pub fn attribute_to_job(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Notes that a task completed here: the machine works.
    pub fn record_success(&mut self) {
        self.jobs.clear();
    }

    /// Whether the machine may be faulty: it gets no more work until it is known which of the jobs
    /// that failed here work elsewhere.
    pub fn is_cordoned(&self) -> bool {
        self.weight(UNPROVEN_FAILURES) >= QUARANTINE_FAILURES
    }

    /// Whether the machine is faulty: what failed here works elsewhere.
    pub fn is_quarantined(&self) -> bool {
        self.weight(0) >= QUARANTINE_FAILURES
    }

    /// The failures here, of each job that has succeeded nowhere at most so many.
    fn weight(&self, unproven_most: u32) -> u32 {
        let count = |evidence: &AttributedFailures| match evidence.job_works_elsewhere {
            true => evidence.failures,
            false => evidence.failures.min(unproven_most),
        };
        self.jobs.values().map(count).sum()
    }
}
