//! Handles jobs that are opened, closed or finished, and evicts the tasks of jobs that have ended.

use super::{Leader, RUNTIME_ESTIMATE_MARGIN};
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::Eviction;
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{JobCounts, MAX_JOB_COUNTS};
use crate::protocol::worker::TaskId;
use std::collections::BTreeSet;

impl Leader {
    /// Adds a job that was opened, as shown by the watch, the job API or a record that recovery has read. Does
    /// nothing if the job is known.
    pub fn on_job_opened(&mut self, mod_revision: u64, spec: &JobSpec, now: f64, wall: f64) {
        if self.jobs.get(&spec.id).is_some() {
            return;
        }
        let submitted_at = now - (wall - spec.submitted_at).clamp(0.0, now.max(0.0) + 1e6);
        let mut job = Job::new(spec.clone(), mod_revision, submitted_at);
        if job.deadline.is_none() && !job.is_service() {
            job.deadline = self
                .objective("finished", &spec.class)
                .map(|within_s| submitted_at + within_s);
        }
        job.start_objective_s = self.objective("wait", &spec.class);
        if let (Some(deadline), None) = (job.deadline, job.start_objective_s) {
            job.may_preempt_from = deadline - RUNTIME_ESTIMATE_MARGIN * spec.expected_runtime_s;
        }
        tracing::debug!(job = spec.id, mod_revision, "job opened");
        self.jobs.insert(job);
        self.scheduling.request();
    }

    /// Returns the shortest time, in seconds, that the objectives of this kind allow jobs of this class: to finish
    /// the job (kind `finished`), or to start its tasks (kind `wait`). `None` if there is no such objective.
    fn objective(&self, kind: &str, class: &str) -> Option<f64> {
        self.settings
            .deployment
            .objectives
            .iter()
            .filter(|objective| objective.kind == kind && objective.class == class)
            .filter_map(|objective| objective.within_s)
            .min_by(f64::total_cmp)
    }

    /// Removes a job that was closed, and evicts its tasks. Each binding ends once its task has exited.
    pub fn on_job_closed(&mut self, id: &str) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_job_closed(id);
        }
        if let Some(job) = self.jobs.remove(id) {
            // `copies_on` is the number of workers at which duplicate start commands of completed tasks may still
            // arrive.
            tracing::debug!(
                job = id,
                mod_revision = job.mod_revision,
                bound = job.bound_workers().len(),
                copies_on = job.workers_with_duplicate_starts.len(),
                "job ended: tasks evicted"
            );
            self.commits.remove_job(id);
            self.evict_tasks_of(&job);
            self.revoke_duplicate_starts(&job);
        }
    }

    /// Revokes start commands that may still arrive for completed tasks of a job that has ended. The job may have
    /// been cancelled, and then no task of the job may be started again, even one that would exit at once.
    fn revoke_duplicate_starts(&mut self, job: &Job) {
        for name in &job.workers_with_duplicate_starts {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.revoke_starts_of_ended_jobs = true;
                self.dispatcher.mark_due(name);
            }
        }
    }

    /// Evicts the bound tasks of a job that has ended, and stops counting its failures against workers.
    pub(super) fn evict_tasks_of(&mut self, job: &Job) {
        for (index, workers) in job.bound_workers() {
            let task = TaskId {
                job: job.spec.id.clone(),
                index: *index,
            };
            for bound in workers {
                let worker = self.workers.get_mut(&bound.name);
                if let Some(binding) = worker.and_then(|worker| worker.bindings.get_mut(&task)) {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                    self.dispatcher.mark_due(&bound.name);
                }
            }
        }
        self.withdraw_failures(job);
        self.scheduling.request();
    }

    /// Handles as closed the jobs that are missing from a listing of the open jobs at this revision and were opened
    /// at that revision or before. The records that the leader has read may be older than the listing; for a job that
    /// was closed after its record was read and before the listing, the watch delivers no event.
    pub fn on_open_jobs_listed(&mut self, revision: u64, listed: BTreeSet<String>) {
        let closed: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.mod_revision <= revision && !listed.contains(&job.spec.id))
            .map(|job| job.spec.id.clone())
            .collect();
        for id in closed {
            self.on_job_closed(&id);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.on_open_jobs_listed(revision, listed);
        }
    }

    /// Evicts all bound tasks whose job is not open.
    pub(super) fn evict_orphans(&mut self) {
        for worker in self.workers.iter_mut() {
            for (task, binding) in &mut worker.bindings {
                let has_ended = self.jobs.get(&task.job).is_none();
                if has_ended && binding.eviction != Some(Eviction::JOB_ENDED) {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                    self.dispatcher.mark_due(&worker.name);
                }
            }
        }
        self.scheduling.request();
    }

    /// Queues the end of a job if all its tasks have completed.
    pub(super) fn finish_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.finishing
            && !job.is_service()
            && job.is_complete()
        {
            job.finishing = true;
            self.commits
                .push(LogEntry::FinishJob { job: id.to_owned() });
        }
    }

    /// Returns the numbers of completed and running tasks for at most [`MAX_JOB_COUNTS`] open jobs, for display.
    pub fn job_counts(&self) -> Vec<JobCounts> {
        self.jobs
            .iter()
            .take(MAX_JOB_COUNTS)
            .map(|job| JobCounts {
                job: job.spec.id.clone(),
                done: job.completed().len(),
                running: job.running_tasks(),
            })
            .collect()
    }
}
