//! Requests of users that wait for the state service.

use crate::bookkeeping::records;
use crate::protocol::job::JobSpec;
use std::rc::Rc;

/// What a user wants.
#[derive(Debug, Clone)]
pub(super) enum RequestKind {
    Poll,
    Submit(Rc<JobSpec>),
    /// Submitted, but can never run: refused for this reason, unless it was accepted before.
    Unsatisfiable(&'static str),
    Cancel,
}

#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) request_id: u64,
    pub(super) id: String,
    pub(super) kind: RequestKind,
    pub(super) deadline: f64,
    /// The comparison on its way takes the job to be open.
    pub(super) checked_as_open: bool,
}

impl PendingRequest {
    /// Whether a failed comparison may be about this job.
    pub(super) fn is_affected_by(&self, failed: &[String]) -> bool {
        failed.is_empty()
            || failed.contains(&records::open_key(&self.id))
            || failed.contains(&records::finished_key(&self.id))
    }
}
