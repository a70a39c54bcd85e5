//! The result of a scheduling cycle.

use crate::protocol::worker::TaskId;

/// The waiting tasks of a job that a scheduling cycle found no capacity for.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingDemand {
    /// Job id.
    pub job: String,
    /// Number of tasks without capacity.
    pub count: u32,
    /// Seconds for which the job has had waiting tasks.
    pub oldest_wait_s: f64,
}

/// The decisions of a scheduling cycle.
#[derive(Debug, Default, PartialEq)]
pub struct Assignments {
    /// Tasks to bind, each with the worker to bind it to.
    pub bindings: Vec<(TaskId, String)>,
    /// Bound tasks to stop so that others can run in their place, each with its worker.
    pub preemptions: Vec<(String, TaskId)>,
    /// Tasks for which there was no capacity, one entry per job.
    pub pending_demand: Vec<PendingDemand>,
}
