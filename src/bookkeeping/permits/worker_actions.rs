//! Permits for actions on a worker and its tasks, based on the worker's heartbeats.

use super::denial::Denial;
use crate::bookkeeping::workers::{Binding, Worker};
use crate::protocol::worker::{ExitReason, TaskId, TaskState, TaskStatus};

/// Whether a bound task may be started on its worker. Whether this leader may start tasks at all is checked by
/// [`ViewFreshness::may_start`](super::ViewFreshness::may_start).
pub fn may_start_task(worker: &Worker, task: &TaskId, binding: &Binding) -> Result<(), Denial> {
    if worker.terminating {
        return Err(Denial::Terminating);
    }
    if !binding.durable || binding.unbinding {
        return Err(Denial::NotCommitted);
    }
    if binding.inherited {
        return Err(Denial::Inherited);
    }
    if binding.eviction.is_some() {
        return Err(Denial::Evicted);
    }
    if binding.incarnation != worker.incarnation {
        return Err(Denial::IncarnationMismatch);
    }
    if worker.observed_task(task, binding.attempt).is_some() {
        return Err(Denial::AlreadyObserved);
    }
    Ok(())
}

/// Whether a clear command may be sent for an attempt that the worker's heartbeat lists. A delayed or duplicate start
/// command that arrives after the clear command runs the attempt again. A second run does no harm if the attempt has
/// completed the task, the completion is committed, and only duplicates of answered start commands can still arrive.
pub fn may_clear(worker: &Worker, task: &TaskId, task_status: &TaskStatus) -> Result<(), Denial> {
    if task_status.state != TaskState::Exited {
        return Err(Denial::NotExited);
    }
    let bound = worker.bindings.get(task);
    if bound.is_some_and(|binding| binding.attempt == task_status.attempt) {
        return Err(Denial::NotCommitted);
    }
    let harmless = task_status.exit_reason == Some(ExitReason::Completed)
        && worker
            .pending_starts
            .has_only_answered_duplicates(task, task_status.attempt);
    if worker.pending_starts.may_arrive(task, task_status.attempt) && !harmless {
        return Err(Denial::StartMayArrive);
    }
    Ok(())
}

/// Whether the binding of a task that the worker's latest heartbeat does not list may end. The task is not running, so
/// the binding may end once no start command for it can arrive any more. A binding that this leader has made must also
/// be under eviction.
pub fn may_unbind_absent(worker: &Worker, task: &TaskId, binding: &Binding) -> Result<(), Denial> {
    if !binding.durable || binding.unbinding {
        return Err(Denial::NotCommitted);
    }
    if binding.inherited {
        // A worker that has acknowledged this leader's epoch executes no start command of an earlier leader.
        return if worker.token_acknowledged {
            Ok(())
        } else {
            Err(Denial::StartMayArrive)
        };
    }
    if binding.eviction.is_none() {
        return Err(Denial::StillWanted);
    }
    if worker.pending_starts.may_arrive(task, binding.attempt) {
        return Err(Denial::StartMayArrive);
    }
    Ok(())
}

/// Whether a request to delete the worker's instance may be sent to the cloud. The termination must be committed to the
/// state service first: the cloud may execute the request late, and a leader that is elected in the meantime must know
/// that the instance is to be deleted.
pub fn may_delete(worker: &Worker) -> Result<(), Denial> {
    if worker.termination_recorded {
        Ok(())
    } else {
        Err(Denial::NotCommitted)
    }
}
