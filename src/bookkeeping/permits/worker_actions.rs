//! Actions on a worker and its tasks, judged by what the worker's heartbeats have shown.

use super::denial::Denial;
use crate::bookkeeping::workers::{Binding, Worker};
use crate::protocol::worker::{ExitReason, TaskId, TaskState, TaskStatus};

/// Whether a bound task may be started on its worker, by a leader that may start tasks at all.
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

/// Whether an attempt that a worker shows may be cleared. A start that arrives after that, late or as a copy,
/// runs the attempt again; for a completed task, whose result is committed, copies of answered starts do no
/// harm.
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

/// Whether a binding may end whose task the worker does not show: the task is not running and can't start.
pub fn may_unbind_absent(worker: &Worker, task: &TaskId, binding: &Binding) -> Result<(), Denial> {
    if !binding.durable || binding.unbinding {
        return Err(Denial::NotCommitted);
    }
    if binding.inherited {
        // Once the worker has this leader's epoch, no start of an earlier one can reach it any more.
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

/// Whether the cloud may be asked to delete an instance: its termination is committed, so that every later
/// leader deletes it too, however late the request is carried out.
pub fn may_delete(worker: &Worker) -> Result<(), Denial> {
    if worker.termination_recorded {
        Ok(())
    } else {
        Err(Denial::NotCommitted)
    }
}
