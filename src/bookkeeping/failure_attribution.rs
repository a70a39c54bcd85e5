//! Decides whether failures of tasks are attributed to the job or to the worker.
//!
//! A single failure does not show whether the worker or the job is at fault; a comparison of several does. A job that
//! fails on several workers without any success is crash-looping, and its failures don't count against the workers. A
//! worker is faulty, and is quarantined, if jobs fail on it that succeed elsewhere. Until the fault is attributed, a
//! worker on which several jobs fail is cordoned.

use std::collections::BTreeMap;

/// Number of workers on which a job must fail, without a success in between, to be crash-looping.
const CRASH_LOOP_WORKERS: usize = 3;
/// Number of counted failures at which a worker is cordoned or quarantined.
const QUARANTINE_FAILURES: u32 = 3;
/// Maximum number of failures counted for each job that has not succeeded elsewhere. Lower than
/// [`QUARANTINE_FAILURES`], so that no single job gets a worker cordoned.
const MAX_UNPROVEN_FAILURES: u32 = 2;
/// Maximum number of workers recorded per job, and of jobs recorded per worker.
const MAX_RECORDED: usize = 64;
/// Limits the back-off between two probes of a crash-looping job: the longest one is `2^MAX_BACKOFF_EXPONENT` times as
/// long as the shortest.
const MAX_BACKOFF_EXPONENT: u32 = 4;

/// The failures of a job's tasks since one of them last succeeded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobFailures {
    /// Workers on which tasks failed, with the time of the first failure.
    workers: BTreeMap<String, f64>,
    succeeded: bool,
    crash_looping: bool,
    failed_probes: u32,
}

impl JobFailures {
    /// Whether the failures are attributed to the job itself. If so, only one task or gang at a time is started, as a
    /// probe.
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

    /// Whether further tasks of the job should be placed on other workers than this one. After `avoid_s` seconds the
    /// job may use the worker again, as there may be no other.
    pub fn avoids(&self, worker: &str, avoid_s: f64, now: f64) -> bool {
        !self.crash_looping
            && self
                .workers
                .get(worker)
                .is_some_and(|at| now - at < avoid_s)
    }

    /// The workers on which tasks have failed since the last success.
    pub fn workers(&self) -> impl Iterator<Item = &str> {
        self.workers.keys().map(String::as_str)
    }

    /// Records a failure. The job becomes crash-looping once it has failed on several workers, or has failed again on
    /// one that it had avoided for `avoid_s` seconds. Returns whether this failure made it so.
    pub fn record_failure(&mut self, worker: &str, avoid_s: f64, now: f64) -> bool {
        let again = self
            .workers
            .get(worker)
            .is_some_and(|at| now - at >= avoid_s);
        if self.workers.len() < MAX_RECORDED {
            self.workers.entry(worker.to_owned()).or_insert(now);
        }
        let before = self.crash_looping;
        self.crash_looping |= again || self.workers.len() >= CRASH_LOOP_WORKERS;
        self.crash_looping && !before
    }

    /// Marks the job as crash-looping because an earlier leader had found it to be.
    pub fn mark_crash_looping(&mut self) {
        self.crash_looping = true;
    }

    /// Records a success: the job is no longer crash-looping, and its earlier failures are dropped.
    pub fn record_success(&mut self) {
        *self = JobFailures {
            succeeded: true,
            ..JobFailures::default()
        };
    }

    /// Seconds to wait before the next probe: exponential back-off that starts at `shortest_s`.
    pub fn next_backoff_s(&mut self, shortest_s: f64) -> f64 {
        let exponent = self.failed_probes.min(MAX_BACKOFF_EXPONENT);
        self.failed_probes = exponent + 1;
        shortest_s * f64::from(1u32 << exponent)
    }
}

/// The failures of one job on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct AttributedFailures {
    failures: u32,
    /// The job has succeeded elsewhere.
    job_works_elsewhere: bool,
}

/// The failures on a worker since a task last completed there, by job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFailures {
    jobs: BTreeMap<String, AttributedFailures>,
}

impl WorkerFailures {
    /// Records that a task of a job failed here.
    pub fn record_failure(&mut self, job: &str, job_works_elsewhere: bool) {
        if self.jobs.len() >= MAX_RECORDED && !self.jobs.contains_key(job) {
            return;
        }
        let job_failures = self.jobs.entry(job.to_owned()).or_default();
        job_failures.failures = job_failures.failures.saturating_add(1);
        job_failures.job_works_elsewhere |= job_works_elsewhere;
    }

    /// Attributes a job's failures to this worker, because the job has succeeded elsewhere.
    pub fn attribute_to_worker(&mut self, job: &str) {
        if let Some(job_failures) = self.jobs.get_mut(job) {
            job_failures.job_works_elsewhere = true;
        }
    }

    /// Stops counting a job's failures against this worker, because the job itself is or may be at fault.
    pub fn attribute_to_job(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Records that a task completed here: the worker is not faulty.
    pub fn record_success(&mut self) {
        self.jobs.clear();
    }

    /// Whether the worker may be faulty. It gets no more tasks until it is known which of the jobs that failed here
    /// succeed elsewhere.
    pub fn is_cordoned(&self) -> bool {
        self.count_failures(MAX_UNPROVEN_FAILURES) >= QUARANTINE_FAILURES
    }

    /// Whether the worker is faulty: the jobs that failed here have succeeded elsewhere.
    pub fn is_quarantined(&self) -> bool {
        self.count_failures(0) >= QUARANTINE_FAILURES
    }

    /// Number of failures, of which at most `max_unproven` are counted for each job that has not succeeded elsewhere.
    fn count_failures(&self, max_unproven: u32) -> u32 {
        let count = |job: &AttributedFailures| {
            if job.job_works_elsewhere {
                job.failures
            } else {
                job.failures.min(max_unproven)
            }
        };
        self.jobs.values().map(count).sum()
    }
}
