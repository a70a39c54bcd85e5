//! The result of a scheduling cycle.

use crate::protocol::worker::TaskId;

/// The waiting tasks of a job for which a scheduling cycle found no worker. The autoscaler provisions instances for
/// them.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingDemand {
    /// Id of the job.
    pub job: String,
    /// Number of tasks for which no worker was found, without those that the team's limit does not allow.
    pub count: u32,
    /// Seconds since the job last began to have waiting tasks.
    pub oldest_wait_s: f64,
}

/// The decisions of a scheduling cycle. The cycle itself carries none of them out.
#[derive(Debug, Default, PartialEq)]
pub struct Assignments {
    /// Tasks to bind, each with the name of the worker to bind it to.
    pub bindings: Vec<(TaskId, String)>,
    /// Bound tasks to stop so that other tasks can run in their place, each with the name of the worker that it is
    /// bound to.
    pub preemptions: Vec<(String, TaskId)>,
    /// Tasks for which no worker was found, one entry per job.
    pub pending_demand: Vec<PendingDemand>,
}
