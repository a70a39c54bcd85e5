//! This controller's view of the open jobs, with the progress received from the leader.

use crate::bookkeeping::jobs::ClosedJobs;
use crate::protocol::job::{JobSpec, JobStatus, JobView};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A job that has an `open/` key in the state service.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// Mod revision of the `open/` key, which never changes while the job is open.
    pub mod_revision: u64,
    /// The job as it was accepted.
    pub spec: Rc<JobSpec>,
}

/// Progress of a job, for display only.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct JobProgress {
    pub(super) completed_tasks: u32,
    pub(super) running_tasks: u32,
}

/// Open jobs by id, learned from the watch, lookups and this controller's own writes. The view may lag behind the
/// state service, but it never reverts: records older than the known state of a job are ignored.
#[derive(Debug, Default)]
pub struct OpenJobs {
    jobs: BTreeMap<String, TrackedJob>,
    closed: ClosedJobs,
}

/// An open job and the progress last received from the leader, if any.
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

    /// Number of jobs whose progress is stored.
    pub fn jobs_with_progress(&self) -> usize {
        let tracked = self.jobs.values();
        tracked.filter(|tracked| tracked.progress.is_some()).count()
    }

    /// Ids of the jobs that were opened at or before `revision`, sorted by id. If a complete listing at that revision
    /// lacks one of them, that job has been closed.
    pub fn ids_opened_up_to(&self, revision: u64) -> impl Iterator<Item = &str> {
        self.jobs
            .iter()
            .filter(move |(_, tracked)| tracked.job.mod_revision <= revision)
            .map(|(id, _)| id.as_str())
    }

    /// Records an open job. Returns false if the record is older than the known state of the job.
    ///
    /// Records may arrive in any order. A page of a listing that began before the job was closed, or a response to a
    /// submission or lookup, may arrive after the job was closed.
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

    /// Removes a closed job and its progress. `revision` is the revision at which the job was closed, if known.
    ///
    /// Must not be called because a lookup has found no key: the lookup may have read the keys before the job was
    /// opened.
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

    /// The progress of a job last received from the leader, or zero tasks if none has been received.
    pub(super) fn progress(&self, id: &str) -> JobProgress {
        let tracked = self.jobs.get(id);
        tracked
            .and_then(|tracked| tracked.progress)
            .unwrap_or_default()
    }

    /// The view of an open job that is returned to users. A job without running tasks, or without known progress, is
    /// shown as queued.
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
