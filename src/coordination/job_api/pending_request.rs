//! User requests that wait for the state service, and the queue that holds them.

use super::admission::UnsatisfiableJob;
use crate::bookkeeping::records::FinishedRecord;
use crate::protocol::job::JobSpec;
use std::collections::VecDeque;
use std::rc::Rc;

/// The operation that a user requests.
#[derive(Debug, Clone)]
pub(super) enum RequestKind {
    Poll,
    Submit(Rc<JobSpec>),
    /// The submission of a job that can never run. It is rejected for this reason unless the job has been accepted
    /// earlier.
    SubmitUnsatisfiable(UnsatisfiableJob),
    Cancel,
}

/// A user request that waits for the state service.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    /// Id that the event loop has assigned to the request.
    pub(super) request_id: u64,
    /// Id of the job.
    pub(super) job: String,
    pub(super) kind: RequestKind,
    /// When the request times out.
    pub(super) deadline: f64,
    /// For a poll: whether the latest revision check that contains it compares the job as open.
    pub(super) checked_as_open: bool,
    /// For a cancellation whose transaction has been sent: the terminal state that the transaction writes.
    pub(super) written_state: Option<FinishedRecord>,
}

/// Requests that wait to be sent to the state service, oldest first.
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

    /// Adds a request at the end of the queue.
    pub(super) fn enqueue(&mut self, pending: PendingRequest) {
        self.requests.push_back(pending);
    }

    /// Removes and returns the first request.
    pub(super) fn pop(&mut self) -> Option<PendingRequest> {
        self.requests.pop_front()
    }

    /// Removes and returns up to `max` requests from the front of the queue.
    pub(super) fn take_first(&mut self, max: usize) -> Vec<PendingRequest> {
        let count = self.requests.len().min(max);
        self.requests.drain(..count).collect()
    }

    /// Puts requests back at the front of the queue, keeping their order.
    pub(super) fn put_back(&mut self, requests: Vec<PendingRequest>) {
        for pending in requests.into_iter().rev() {
            self.requests.push_front(pending);
        }
    }

    /// Removes and returns the requests whose deadline has passed, in the order of the queue.
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
