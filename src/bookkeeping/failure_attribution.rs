//! Decides whether failures of tasks are attributed to the job or to the worker.
//!
//! A single failure does not show whether the worker or the job is at fault; a comparison of several does. A job that
//! fails on several workers without any success is crash-looping, and its failures don't count against the workers. A
//! worker is faulty, and is quarantined, if jobs fail on it that succeed elsewhere. A worker on which several jobs fail
//! is cordoned, which means that it gets no more tasks, until it is known whether these jobs succeed elsewhere. If that
//! does not become known, the leader ends the cordon after some time.

use std::collections::BTreeMap;

/// Number of workers on which a job must fail, without a success in between, to be crash-looping. A job that fails
/// again on a worker that it had avoided is crash-looping with fewer.
const CRASH_LOOP_WORKERS: usize = 3;
/// Number of failures on a worker at which it is cordoned or quarantined; see `count_failures` for those that count.
const QUARANTINE_FAILURES: u32 = 3;
/// Maximum number of failures on a worker that are counted for each job that has not succeeded on other workers. Lower
/// than [`QUARANTINE_FAILURES`], so that no single job gets a worker cordoned.
const MAX_UNPROVEN_FAILURES: u32 = 2;
/// Maximum number of workers recorded per job, and of jobs recorded per worker.
const MAX_RECORDED: usize = 64;
/// Limits the back-off between two probes of a crash-looping job: the longest one is `2^MAX_BACKOFF_EXPONENT` times as
/// long as the shortest.
const MAX_BACKOFF_EXPONENT: u32 = 4;

/// The failures of a job's tasks since one of them last succeeded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobFailures {
    /// Workers on which tasks failed, with the time of the first failure in seconds.
    workers: BTreeMap<String, f64>,
    /// A task of the job has ever succeeded.
    succeeded: bool,
    crash_looping: bool,
    /// Number of failed probes since the job became crash-looping, counted up to `MAX_BACKOFF_EXPONENT + 1`.
    failed_probes: u32,
}

impl JobFailures {
    /// Whether the failures are attributed to the job itself. If so, only one task or gang of the job is started at a
    /// time, as a probe.
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

    /// Whether the job should avoid this worker, because its first failure there since the last success was less than
    /// `avoid_s` seconds ago. Later the job may use the worker again, as there may be no other. A crash-looping job
    /// avoids no worker.
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

    /// Records a failure. The job becomes crash-looping once it has failed on `CRASH_LOOP_WORKERS` workers, or fails
    /// on a worker `avoid_s` seconds or more after its first failure there. Returns true if this failure made the job
    /// crash-looping.
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

    /// Marks the job as crash-looping because an earlier leader has reported so.
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

    /// Seconds to wait before the next probe: exponential back-off that starts at `shortest_s`. Each call counts one
    /// failed probe.
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
    /// The job has succeeded on another worker.
    job_works_elsewhere: bool,
}

/// The failures on a worker since a task last completed there, by the id of the job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFailures {
    jobs: BTreeMap<String, AttributedFailures>,
}

impl WorkerFailures {
    /// Records that a task of a job failed on this worker. `job_works_elsewhere` says whether the job has succeeded on
    /// another worker.
    pub fn record_failure(&mut self, job: &str, job_works_elsewhere: bool) {
        if self.jobs.len() >= MAX_RECORDED && !self.jobs.contains_key(job) {
            return;
        }
        let job_failures = self.jobs.entry(job.to_owned()).or_default();
        job_failures.failures = job_failures.failures.saturating_add(1);
        job_failures.job_works_elsewhere |= job_works_elsewhere;
    }

    /// Attributes a job's failures to this worker, because the job has succeeded on another worker.
    pub fn attribute_to_worker(&mut self, job: &str) {
        if let Some(job_failures) = self.jobs.get_mut(job) {
            job_failures.job_works_elsewhere = true;
        }
    }

    /// Removes a job's failures from those of this worker, because the job itself is or may be at fault.
    pub fn attribute_to_job(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Drops the failures of jobs that have not succeeded on another worker: what they show of this worker is still not
    /// known after a long time.
    pub fn drop_unproven(&mut self) {
        self.jobs
            .retain(|_, job_failures| job_failures.job_works_elsewhere);
    }

    /// Records that a task completed on this worker, which is therefore not faulty.
    pub fn record_success(&mut self) {
        self.jobs.clear();
    }

    /// Whether the worker may be faulty. A cordoned worker gets no more tasks until it is known which of the jobs that
    /// failed on it succeed elsewhere.
    pub fn is_cordoned(&self) -> bool {
        self.count_failures(MAX_UNPROVEN_FAILURES) >= QUARANTINE_FAILURES
    }

    /// Whether the worker is faulty: jobs that have succeeded elsewhere have failed on it `QUARANTINE_FAILURES` times
    /// in total.
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
