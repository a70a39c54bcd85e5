//! Jobs that are opened, closed and finished, and what follows for their tasks.

use super::{Leader, RUNTIME_ESTIMATE_MARGIN};
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::Eviction;
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{JobCounts, MAX_JOB_COUNTS};
use crate::protocol::worker::TaskId;
use std::collections::BTreeSet;

impl Leader {
    /// A job was opened, as the watch or the job API shows it.
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

    /// Seconds within which jobs of a class should be finished, or their tasks started, by the
    /// tightest objective.
    fn objective(&self, kind: &str, class: &str) -> Option<f64> {
        self.settings
            .deployment
            .objectives
            .iter()
            .filter(|objective| objective.kind == kind && objective.class == class)
            .filter_map(|objective| objective.within_s)
            .min_by(f64::total_cmp)
    }

    /// A job was closed. Its tasks are evicted; their bindings last until the tasks are gone.
    pub fn on_job_closed(&mut self, id: &str) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_job_closed(id);
        }
        if let Some(job) = self.jobs.remove(id) {
            tracing::debug!(
                job = id,
                mod_revision = job.mod_revision,
                bound = job.bound_workers().len(),
                copies_on = job.workers_with_duplicate_starts.len(),
                "job ended: tasks evicted"
            );
            self.commits.remove_job(id);
            self.evict_tasks_of(&job);
            self.revoke_start_copies(&job);
        }
    }

    /// Revokes start commands of a job's completed tasks that may still arrive: no task of a job that
    /// may have been cancelled may be started, not even to exit at once.
    fn revoke_start_copies(&mut self, job: &Job) {
        for name in &job.workers_with_duplicate_starts {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.revoke_starts_of_ended_jobs = true;
                self.dispatcher.mark_due(name);
            }
        }
    }

    /// Evicts a job's bound tasks after its end.
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

    /// The open jobs were listed at a revision. The leader's own listing may be older: for a job that
    /// was closed between the two no event comes.
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

    /// Evicts all bound tasks whose job has ended.
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

    /// Queues the end of a job once all its tasks have completed.
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

    /// Display counts of the open jobs.
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
