//! User requests that wait for the state service.

use super::admission::UnsatisfiableJob;
use crate::bookkeeping::records::FinishedRecord;
use crate::protocol::job::JobSpec;
use std::collections::VecDeque;
use std::rc::Rc;

/// What a user asks for.
#[derive(Debug, Clone)]
pub(super) enum RequestKind {
    Poll,
    Submit(Rc<JobSpec>),
    /// A submission of a job that can never run: refused for this reason, unless the job was accepted
    /// before.
    SubmitUnsatisfiable(UnsatisfiableJob),
    Cancel,
}

/// A user request that waits for the state service.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    /// Names the request to the event loop.
    pub(super) request_id: u64,
    /// Id of the job.
    pub(super) job: String,
    pub(super) kind: RequestKind,
    /// When the request is given up.
    pub(super) deadline: f64,
    /// Whether the revision check that is in flight compares the job as open.
    pub(super) checked_as_open: bool,
    /// The final state that the cancellation in flight writes.
    pub(super) written_state: Option<FinishedRecord>,
}

/// Removes the requests from a queue whose deadline has passed, and returns them in order.
pub(super) fn take_expired(queue: &mut VecDeque<PendingRequest>, now: f64) -> Vec<PendingRequest> {
    let expired = |pending: &PendingRequest| now >= pending.deadline;
    if !queue.iter().any(expired) {
        return Vec::new();
    }
    let (late, waiting): (Vec<_>, Vec<_>) = queue.drain(..).partition(expired);
    queue.extend(waiting);
    late
}
