//! Failure attribution: records failures and successes of tasks, from which it follows whether a failure is the fault
//! of the worker or of the job. A job that fails on several workers without a success is crash-looping: only one of
//! its tasks at a time is then started, as a probe.

use super::{AVOID_LEASES, Leader};
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::workers::Workers;
use crate::protocol::peer::MAX_CRASH_LOOPING_JOBS;
use crate::protocol::worker::{ExitReason, TaskId};
use rand::Rng;
use std::collections::BTreeSet;

/// The shortest back-off between two probes of a crash-looping job, in heartbeat intervals.
const PROBE_HEARTBEATS: f64 = 1.0;
/// Share by which the back-off is shortened or lengthened at random, so that jobs that began to crash-loop at the
/// same time are not probed at the same time.
const BACKOFF_JITTER: f64 = 0.25;
/// Time for which a replica must run to count as a success of its job, in heartbeat intervals.
const STEADY_HEARTBEATS: f64 = 2.0;

impl Leader {
    /// Records the run time of a task that has completed, for its pool's averages.
    pub(super) fn record_runtime(&mut self, worker: &str, task: &TaskId, now: f64) {
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        let running = worker
            .bindings
            .get(task)
            .and_then(|binding| binding.running_since);
        if let Some(since) = running {
            let job = self.jobs.get(&task.job);
            let expected_runtime_s = job.map_or(0.0, |job| job.spec.expected_runtime_s);
            self.fleet
                .record_finish(worker, now - since, expected_runtime_s, now);
        }
    }

    /// Records that a task of a job has completed on a worker, or that a replica has run there for long enough, so
    /// neither the worker nor the job is faulty. The job's earlier failures are attributed to the workers on which
    /// they happened, unless the job is crash-looping.
    pub(super) fn record_success(&mut self, worker: &str, job: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.failures.record_success();
        }
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if job.failures.is_crash_looping() {
            tracing::info!(job = job.spec.id, "job no longer crash-looping");
            job.eligible_at = 0.0;
            self.scheduling.request();
        } else {
            for name in job.failures.workers() {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.failures.attribute_to_worker(&job.spec.id);
                }
            }
        }
        job.failures.record_success();
    }

    /// Records a success once a replica of a failing service has run for some time. Replicas never complete, so
    /// this takes the place of a completed task.
    pub(super) fn record_steady_replica(&mut self, worker: &str, job: &str, running_s: f64) {
        let steady_s = STEADY_HEARTBEATS * self.settings.deployment.workers.heartbeat_interval_s;
        if running_s >= steady_s {
            self.record_success(worker, job);
        }
    }

    /// Records that a task has failed: its worker may be faulty, or its job was submitted with a mistake.
    pub(super) fn record_failure(
        &mut self,
        worker: &str,
        task: &TaskId,
        cause: ExitReason,
        now: f64,
    ) {
        let worker_settings = &self.settings.deployment.workers;
        let avoid_s = AVOID_LEASES * worker_settings.lease_s;
        let shortest_s = PROBE_HEARTBEATS * worker_settings.heartbeat_interval_s;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        tracing::info!(worker, %task, ?cause, "task failed");
        let is_probe = job.failures.is_crash_looping() && now >= job.eligible_at;
        let newly_crash_looping = job.failures.record_failure(worker, avoid_s, now);
        if is_probe || newly_crash_looping {
            let jitter = self
                .rng
                .random_range(1.0 - BACKOFF_JITTER..1.0 + BACKOFF_JITTER);
            let wait_s = job.failures.next_backoff_s(shortest_s) * jitter;
            job.eligible_at = now + wait_s;
            tracing::info!(
                job = job.spec.id,
                wait_s,
                "job crash-looping: next attempt backed off"
            );
        }
        if newly_crash_looping {
            withdraw_failures(job, &mut self.workers);
        } else if cause == ExitReason::Failed
            && !job.failures.is_crash_looping()
            && let Some(worker) = self.workers.get_mut(worker)
        {
            let job_works_elsewhere = job.failures.has_succeeded();
            worker
                .failures
                .record_failure(&task.job, job_works_elsewhere);
        }
    }

    /// Returns the jobs that are crash-looping, at most [`MAX_CRASH_LOOPING_JOBS`]. The peers are told, since one of
    /// them may be the next leader.
    pub fn crash_looping_jobs(&self) -> Vec<String> {
        let crash_looping = self
            .jobs
            .iter()
            .filter(|job| job.failures.is_crash_looping());
        let ids = crash_looping.map(|job| job.spec.id.clone());
        ids.take(MAX_CRASH_LOOPING_JOBS).collect()
    }

    /// Takes over the jobs that an earlier leader reported as crash-looping; they are started again with a probe. Of
    /// a crash-looping job that is not among them, all tasks may be started and fail once more before it is detected
    /// again.
    pub fn inherit_crash_looping(&mut self, crash_looping_jobs: BTreeSet<String>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.inherit_crash_looping(crash_looping_jobs);
        }
    }

    /// Marks the jobs that were crash-looping under an earlier leader, once the open jobs are known.
    pub(super) fn mark_crash_looping(&mut self, jobs: &BTreeSet<String>) {
        for id in jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.failures.mark_crash_looping();
            }
        }
    }

    /// Stops counting the failures of a job that has ended against workers, since the job itself may have been at
    /// fault. If any of its tasks has succeeded, the failures continue to count.
    pub(super) fn withdraw_failures(&mut self, job: &Job) {
        if !job.failures.has_succeeded() {
            withdraw_failures(job, &mut self.workers);
        }
    }
}

/// Attributes a job's failures to the job instead of the workers on which its tasks failed.
fn withdraw_failures(job: &Job, workers: &mut Workers) {
    for name in job.failures.workers() {
        if let Some(worker) = workers.get_mut(name) {
            worker.failures.attribute_to_job(&job.spec.id);
        }
    }
}
