//! Actions that need a permit, and the reasons of denials.

/// The action that a permit is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GuardedAction {
    /// Sending commands that start tasks.
    StartTasks,
    /// Renewing a worker's lease.
    RenewLease,
}

/// Why an action is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// This controller does not lead.
    NotLeader,
    /// The leader's lease in the state service may have expired.
    LeaseNotHeld,
    /// The state service has refused a request, or left one unanswered, since the view of the open jobs was
    /// last confirmed.
    StateServiceUncertain,
    /// The view of the open jobs is too old.
    ViewStale,
    /// The binding, its end, or the worker's termination is not committed yet.
    NotCommitted,
    /// An earlier leader bound the task, which may or may not have sent its start.
    Inherited,
    /// The task is to leave the worker, or its job has ended.
    Evicted,
    /// The task is bound to the worker and is to stay there.
    StillWanted,
    /// The task was bound for another incarnation of the worker.
    IncarnationMismatch,
    /// The worker shows the attempt already.
    AlreadyObserved,
    /// The task has not exited.
    NotExited,
    /// The worker is being released.
    Terminating,
    /// A start of the attempt may still arrive at the worker.
    StartMayArrive,
    /// The lease grace period has expired: jobs may have been cancelled so long ago that their tasks must have
    /// stopped by the end of the present leases.
    LeaseGraceExpired,
}
