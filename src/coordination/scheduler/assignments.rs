//! The result of a scheduling cycle.

use crate::protocol::worker::TaskId;

/// Waiting tasks of a job for which there was no capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingDemand {
    /// Job id.
    pub job: String,
    /// Number of tasks.
    pub count: u32,
    /// Seconds for which the oldest of them has waited.
    pub oldest_wait_s: f64,
}

/// What a scheduling cycle has decided.
#[derive(Debug, Default, PartialEq)]
pub struct Assignments {
    /// Tasks to be bound, each with its worker.
    pub bindings: Vec<(TaskId, String)>,
    /// Bound tasks to be stopped for others: worker and task.
    pub preemptions: Vec<(String, TaskId)>,
    /// Tasks for which there was no capacity, by job.
    pub pending_demand: Vec<PendingDemand>,
}
