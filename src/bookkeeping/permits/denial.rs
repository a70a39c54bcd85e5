//! Actions that need a permit, and the reasons for denying one.

/// An action whose permit decisions are counted for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GuardedAction {
    /// Send commands that start tasks.
    StartTasks,
    /// Renew a worker's lease.
    RenewLease,
}

/// Why an action is not permitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// This controller is not the leader.
    NotLeader,
    /// This controller's leader lease in the state service may have expired.
    LeaseNotHeld,
    /// Since the view of the open jobs was last confirmed, the state service has rejected a request or left one
    /// unanswered.
    StateServiceUncertain,
    /// The view of the open jobs is older than the limit for the action.
    ViewStale,
    /// The transaction that creates or ends the binding, or that records the worker's termination, is not committed
    /// yet.
    NotCommitted,
    /// An earlier leader bound the task, and it is unknown whether that leader sent the start command.
    Inherited,
    /// The task is being evicted from the worker, for example because its job has ended.
    Evicted,
    /// The binding can't end: it is to stay, since the task is not being evicted.
    StillWanted,
    /// The task was bound to another incarnation of the worker than the current one.
    IncarnationMismatch,
    /// The worker's latest heartbeat lists the attempt already.
    AlreadyObserved,
    /// The attempt can't be cleared, since it has not exited.
    NotExited,
    /// The worker's instance is to be deleted.
    Terminating,
    /// A start command for the attempt may still arrive at the worker.
    StartMayArrive,
    /// The leader's lease or its view of the open jobs was last confirmed longer ago than the lease grace period. A job
    /// may have been cancelled meanwhile without this controller's knowledge, so long ago that its tasks must stop by
    /// the end of the workers' current leases.
    LeaseGraceExpired,
}
