//! Memory of closed jobs: what is older than the end of a job opens it no more.
//!
//! The id of a job is used once, so a record of an open job whose id is known to be closed is always older than the
//! end of the job, however late it arrives: in a page of a listing that began before, in a lookup's response, or in the
//! response to a submission.

use std::collections::{HashMap, VecDeque};

/// Closed jobs that are remembered; the ones learnt first are forgotten. Should a record still arrive that is older
/// than so many ends, the job counts as open until its first transaction fails.
const MAX_CLOSED_JOBS: usize = 20_000;

/// The jobs that were learnt last to be closed.
#[derive(Debug, Default)]
pub struct ClosedJobs {
    /// For each job the revision of the deletion of its `open/` key, if that was told.
    revisions: HashMap<String, Option<u64>>,
    /// Ids of the jobs, the one learnt first in front.
    order: VecDeque<String>,
}

impl ClosedJobs {
    /// Records that a job is closed, at a revision if that is known.
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

    /// Whether a record of an open job is news. One of a closed job is not: it is older than the job's end, or
    /// was written by something that reuses ids.
    pub fn accepts_open_record(&self, id: &str, mod_revision: u64) -> bool {
        let Some(closed_at) = self.revisions.get(id) else {
            return true;
        };
        if closed_at.is_some_and(|closed_at| mod_revision > closed_at) {
            tracing::error!(
                job = id,
                mod_revision,
                closed_at,
                "open job ignored: put after the end of a job with its id"
            );
        } else {
            tracing::debug!(
                job = id,
                mod_revision,
                closed_at,
                "older record of a closed job ignored"
            );
        }
        false
    }
}
