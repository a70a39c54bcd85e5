//! Responses to user requests.

use super::admission::UnsatisfiableJob;
use super::pending_request::RequestKind;
use super::terminal_states::TerminalStateCache;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::records::{FinishedRecord, JobOutcome};
use crate::coordination::effects::Effects;
use crate::protocol::job::{JobStatus, JobView};

/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("too much at once")]
    TooManyWaiting,
    #[error("the state service is out")]
    StateServiceUnavailable,
    #[error("no decision in time")]
    TimedOut,
    #[error("no such job")]
    NoSuchJob,
    #[error(transparent)]
    Unsatisfiable(#[from] UnsatisfiableJob),
}

impl RequestError {
    /// HTTP status.
    fn status(self) -> u16 {
        match self {
            RequestError::TooManyWaiting => 429,
            RequestError::StateServiceUnavailable | RequestError::TimedOut => 503,
            RequestError::NoSuchJob => 404,
            RequestError::Unsatisfiable(_) => 422,
        }
    }

    /// Seconds after which the user should retry, or `None` if a retry is not expected to succeed.
    fn retry_after_s(self) -> Option<u32> {
        match self {
            RequestError::TooManyWaiting
            | RequestError::StateServiceUnavailable
            | RequestError::TimedOut => Some(RETRY_AFTER_S),
            RequestError::NoSuchJob | RequestError::Unsatisfiable(_) => None,
        }
    }
}

/// Responds with an error.
pub(super) fn respond_error(request_id: u64, error: RequestError, effects: &mut Effects) {
    let status = error.status();
    effects.respond_error(
        request_id,
        status,
        &error.to_string(),
        error.retry_after_s(),
    );
}

/// Responds with the terminal state of a job. Users must not see an outcome before the state service has recorded it,
/// so an outcome that differs from the cached terminal state, or is not cached, is not returned: the response is then
/// an error.
pub(super) fn respond_finished(
    request_id: u64,
    job: &str,
    kind: &RequestKind,
    record: FinishedRecord,
    terminal_states: &TerminalStateCache,
    effects: &mut Effects,
) {
    let is_recorded = terminal_states.get(job).map(|known| known.outcome) == Some(record.outcome);
    let details = format_args!(
        "job {job}: outcome {:?} is not in the cache of terminal states",
        record.outcome
    );
    if !invariants::check(Invariant::NoAbortedWithoutCommit, is_recorded, details) {
        respond_error(request_id, RequestError::TimedOut, effects);
        return;
    }
    match kind {
        RequestKind::Poll => effects.respond(request_id, 200, &finished_view(job, &record)),
        _ => effects.respond_job_status(request_id, 200, job, finished_status(&record)),
    }
}

fn finished_status(record: &FinishedRecord) -> JobStatus {
    match record.outcome {
        JobOutcome::Done => JobStatus::Done,
        JobOutcome::Aborted => JobStatus::Aborted,
    }
}

fn finished_view(job: &str, record: &FinishedRecord) -> JobView {
    JobView {
        id: job.to_owned(),
        status: finished_status(record),
        done: record.completed_tasks,
        running: 0,
    }
}
