//! Changes that the leader appends to the log.

use crate::protocol::kv::WriteOp;
use crate::protocol::worker::TaskId;

/// One change that is to be committed to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEntry {
    /// A task is bound to a worker.
    Bind {
        /// Name of the worker.
        worker: String,
        /// The task.
        task: TaskId,
        /// Number of the task's attempt.
        attempt: u64,
    },
    /// A binding ends. If its task has become complete, the same transaction records the completion.
    Unbind {
        /// Name of the worker.
        worker: String,
        /// The task.
        task: TaskId,
        /// Number of the task's attempt.
        attempt: u64,
        /// Whether to record the task as complete.
        completed: bool,
    },
    /// All tasks of a job are complete.
    FinishJob {
        /// Id of the job.
        job: String,
    },
    /// A worker's instance is to be deleted.
    RecordTermination {
        /// Name of the worker.
        worker: String,
    },
    /// A worker no longer exists; all its bindings end.
    RemoveWorker {
        /// Name of the worker that no longer exists.
        worker: String,
    },
    /// A key outside of the log is written or deleted.
    WriteKey {
        /// The put or delete operation.
        write: WriteOp,
    },
}

/// A binding that became invalid before it was sent to the state service: it was not written, and no start command
/// was sent for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedBinding {
    /// Name of the worker.
    pub worker: String,
    /// The task.
    pub task: TaskId,
    /// Number of the task's attempt.
    pub attempt: u64,
}
