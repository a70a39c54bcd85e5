//! Tasks bound to a worker, and their eviction.

use super::resources::Resources;

/// A task bound to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Binding {
    /// Number of the task's attempt.
    pub attempt: u64,
    /// Incarnation of the worker to which the task was bound.
    pub incarnation: u64,
    /// Resources that the task requests.
    pub request: Resources,
    /// Team whose quota the task counts against.
    pub team: String,
    /// The binding is committed to the state service.
    pub durable: bool,
    /// An earlier leader bound the task, and it is unknown whether that leader sent the start command.
    pub inherited: bool,
    /// The end of the binding has been added to the write-ahead log, but is not committed yet.
    pub unbinding: bool,
    /// Set while the task is being evicted from the worker; `None` if the task is to stay there.
    pub eviction: Option<Eviction>,
    /// When a heartbeat first listed the task as running; `None` before.
    pub running_since: Option<f64>,
}

/// The eviction of a task from its worker. The binding ends once the task has exited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Eviction {
    /// Seconds that the task is given to save a checkpoint before it is stopped.
    pub grace_s: f64,
    /// Why the task is evicted.
    pub reason: EvictionReason,
}

impl Eviction {
    /// The eviction of a task whose job has ended: it is stopped at once, without a checkpoint.
    pub const JOB_ENDED: Eviction = Eviction {
        grace_s: 0.0,
        reason: EvictionReason::JobEnded,
    };
}

/// Why a task is evicted from its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionReason {
    /// Its job has finished or was cancelled.
    JobEnded,
    /// Its resources are needed for a job of higher priority, or for a job whose team is entitled to them by its quota.
    Preempted,
    /// The worker is being drained, or the cloud will reclaim its instance.
    Drained,
}
