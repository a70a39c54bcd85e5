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

/// Requests that wait to be sent to the state service, in order.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    requests: VecDeque<PendingRequest>,
}

impl RequestQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request behind all others.
    pub(super) fn enqueue(&mut self, pending: PendingRequest) {
        self.requests.push_back(pending);
    }

    /// Removes the first request.
    pub(super) fn pop(&mut self) -> Option<PendingRequest> {
        self.requests.pop_front()
    }

    /// Removes the first requests, as many as there are up to a number.
    pub(super) fn take_first(&mut self, max: usize) -> Vec<PendingRequest> {
        let count = self.requests.len().min(max);
        self.requests.drain(..count).collect()
    }

    /// Puts requests back before all others, in their order.
    pub(super) fn put_back(&mut self, requests: Vec<PendingRequest>) {
        for pending in requests.into_iter().rev() {
            self.requests.push_front(pending);
        }
    }

    /// Removes the requests whose deadline has passed, and returns them in order.
    pub(super) fn take_expired(&mut self, now: f64) -> Vec<PendingRequest> {
        let expired = |pending: &PendingRequest| now >= pending.deadline;
        if !self.requests.iter().any(expired) {
            return Vec::new();
        }
        let (late, waiting): (Vec<_>, Vec<_>) = self.requests.drain(..).partition(expired);
        self.requests.extend(waiting);
        late
    }
}
