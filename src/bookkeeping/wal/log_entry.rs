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
    /// A binding ends; the job's completed tasks are recorded in the same transaction.
    Unbind {
        /// Name of the worker.
        worker: String,
        /// The task.
        task: TaskId,
        /// Number of the task's attempt.
        attempt: u64,
        /// Whether the task is complete.
        completed: bool,
    },
    /// All tasks of a job are complete.
    FinishJob {
        /// Id of the job.
        job: String,
    },
    /// A worker is to be released.
    RecordTermination {
        /// Name of the worker.
        worker: String,
    },
    /// A worker is gone, with all its bindings.
    RemoveWorker {
        /// Name of the worker.
        worker: String,
    },
    /// A key outside of the log is put or deleted.
    WriteKey {
        /// The write.
        write: WriteOp,
    },
}

/// A binding that had become void before it was sent: nothing was written, and no start was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedBinding {
    /// Name of the worker.
    pub worker: String,
    /// The task.
    pub task: TaskId,
    /// Number of the task's attempt.
    pub attempt: u64,
}
