//! Tasks bound to a worker, and their eviction.

use super::resources::Resources;

/// A task bound to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Binding {
    /// Number of the task's attempt.
    pub attempt: u64,
    /// Incarnation of the worker for which the task was bound.
    pub incarnation: u64,
    /// Resources that the task takes.
    pub request: Resources,
    /// Team whose quota the task counts against.
    pub team: String,
    /// The binding is committed to the state service.
    pub durable: bool,
    /// Bound by an earlier leader, which may or may not have sent the start.
    pub inherited: bool,
    /// The end of the binding waits to be committed.
    pub unbinding: bool,
    /// Set once the task is to leave the worker.
    pub eviction: Option<Eviction>,
    /// When the task was first observed running.
    pub running_since: Option<f64>,
}

/// A task that is to leave its worker: the binding ends once its process has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Eviction {
    /// Seconds that the task has for a checkpoint before it is stopped.
    pub grace_s: f64,
    /// Why the task must leave.
    pub reason: EvictionReason,
}

impl Eviction {
    /// The eviction of a task whose job has ended: it is stopped at once.
    pub const JOB_ENDED: Eviction = Eviction {
        grace_s: 0.0,
        reason: EvictionReason::JobEnded,
    };
}

/// Why a task is to leave its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionReason {
    /// Its job has finished or was cancelled.
    JobEnded,
    /// Its resources are needed by work of a higher priority.
    Preempted,
    /// The worker is to be released.
    Drained,
}
