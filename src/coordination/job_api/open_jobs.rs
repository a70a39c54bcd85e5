//! The open jobs as this controller knows them, with the progress that the leader reports of them.

use crate::bookkeeping::jobs::ClosedJobs;
use crate::protocol::job::{JobSpec, JobStatus, JobView};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A job whose `open/` key is in the state service.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// Mod revision of the `open/` key, which never changes while the job is open.
    pub mod_revision: u64,
    /// The accepted job.
    pub spec: Rc<JobSpec>,
}

/// Progress of a job, for display only.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct JobProgress {
    /// Completed tasks.
    pub(super) completed_tasks: u32,
    /// Running tasks.
    pub(super) running_tasks: u32,
}

/// Open jobs by id, as the watch, lookups and this controller's own writes have shown them. The view
/// may be late, but it never goes back: what is older than what is known of a job changes nothing.
#[derive(Debug, Default)]
pub struct OpenJobs {
    jobs: BTreeMap<String, TrackedJob>,
    closed: ClosedJobs,
}

/// An open job with the progress last reported of it.
#[derive(Debug)]
struct TrackedJob {
    job: OpenJob,
    progress: Option<JobProgress>,
}

impl OpenJobs {
    /// Whether the job is known to be open.
    pub fn contains(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// The job, if it is known to be open.
    pub fn get(&self, id: &str) -> Option<&OpenJob> {
        self.jobs.get(id).map(|tracked| &tracked.job)
    }

    /// Number of jobs of which progress is kept.
    pub fn jobs_with_progress(&self) -> usize {
        let tracked = self.jobs.values();
        tracked.filter(|tracked| tracked.progress.is_some()).count()
    }

    /// Ids of the jobs that were written at `revision` or before, in the order of the ids. A listing of
    /// that revision has all of them that are still open.
    pub fn ids_up_to(&self, revision: u64) -> impl Iterator<Item = &str> {
        self.jobs
            .iter()
            .filter(move |(_, tracked)| tracked.job.mod_revision <= revision)
            .map(|(id, _)| id.as_str())
    }

    /// Takes the record of an open job. Returns false if it is older than what is known of the job.
    ///
    /// Records come in any order: pages of a listing that began before a job's end, and responses to
    /// submissions and lookups, may arrive after it.
    pub(super) fn insert(&mut self, id: &str, job: OpenJob) -> bool {
        if !self.closed.accepts_open_record(id, job.mod_revision) {
            return false;
        }
        let known = self.jobs.get(id);
        if known.is_some_and(|known| known.job.mod_revision > job.mod_revision) {
            return false;
        }
        let progress = known.and_then(|known| known.progress);
        self.jobs
            .insert(id.to_owned(), TrackedJob { job, progress });
        true
    }

    /// Removes a job that is closed, at a revision if that is known, with its progress. Nothing else
    /// removes one: a lookup that finds no key has read it before the job was opened.
    pub(super) fn close(&mut self, id: &str, revision: Option<u64>) {
        self.closed.insert(id, revision);
        self.jobs.remove(id);
    }

    /// Records the progress of a job, if it is open.
    pub(super) fn set_progress(&mut self, id: &str, progress: JobProgress) {
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.progress = Some(progress);
        }
    }

    /// The progress last reported of a job; none reported counts as zero.
    pub(super) fn progress(&self, id: &str) -> JobProgress {
        let tracked = self.jobs.get(id);
        tracked
            .and_then(|tracked| tracked.progress)
            .unwrap_or_default()
    }

    /// What a user is shown of an open job.
    pub(super) fn view(&self, id: &str) -> JobView {
        let progress = self.progress(id);
        let status = if progress.running_tasks > 0 {
            JobStatus::Running
        } else {
            JobStatus::Queued
        };
        JobView {
            id: id.to_owned(),
            status,
            done: progress.completed_tasks,
            running: progress.running_tasks,
        }
    }
}
