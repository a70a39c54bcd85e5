//! Remembers closed jobs, which are those whose `open/` key was deleted, so that outdated records don't reopen them.
//!
//! Each job id is used for one job only. So a record of an open job that arrives when the job is known to be closed
//! dates from before the job's end. Such a record may come in a page of a listing that began earlier, in the response
//! to a lookup, or in the response to a submission.

use std::collections::{HashMap, VecDeque};

/// Maximum number of closed jobs that are remembered; when there are more, the one that was added first is dropped. If
/// an outdated record of a dropped job arrives, this controller takes the job as open until the leader's first
/// transaction for the job fails.
const MAX_CLOSED_JOBS: usize = 20_000;

/// The closed jobs that this controller has most recently learned of.
#[derive(Debug, Default)]
pub struct ClosedJobs {
    /// For each job id the revision at which the `open/` key was deleted; `None` if the revision is unknown.
    revisions: HashMap<String, Option<u64>>,
    /// Ids of the jobs, in the order in which they were added.
    order: VecDeque<String>,
}

impl ClosedJobs {
    /// Records that a job is closed, with the revision at which its `open/` key was deleted; `None` if the revision is
    /// unknown.
    pub fn insert(&mut self, id: &str, revision: Option<u64>) {
        if let Some(known) = self.revisions.get_mut(id) {
            *known = known.or(revision);
            return;
        }
        self.revisions.insert(id.to_owned(), revision);
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_CLOSED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.revisions.remove(&oldest);
        }
    }

    /// Whether a job is known to be closed.
    pub fn contains(&self, id: &str) -> bool {
        self.revisions.contains_key(id)
    }

    /// Whether to accept a record of an open job with this mod revision. If the job is known to be closed, the record
    /// is rejected, with a log line: either the record is older than the job's end, or some program has used the id
    /// for a second job.
    pub fn accepts_open_record(&self, id: &str, mod_revision: u64) -> bool {
        let Some(closed_at) = self.revisions.get(id) else {
            return true;
        };
        if closed_at.is_some_and(|closed_at| mod_revision > closed_at) {
            tracing::error!(
                job = id,
                mod_revision,
                closed_at,
                "open job ignored: its id was already used by a job that has ended"
            );
        } else {
            tracing::debug!(
                job = id,
                mod_revision,
                closed_at,
                "record of an open job ignored: the job is known to have ended"
            );
        }
        false
    }
}
