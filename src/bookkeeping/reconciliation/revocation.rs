//! Decides when the start commands that were sent to a worker must be revoked, by raising the worker's fence: a counter
//! in the token of each message. A worker executes no command whose token is lower than the highest token that the
//! worker has seen.

use crate::bookkeeping::permits::{self, Denial};
use crate::bookkeeping::workers::{EvictionReason, RevocationReason, Worker};

/// Why the start commands that may still arrive at a worker must be revoked; `None` if they need not be. A start
/// command that was sent with a lower fence than the worker's current one is revoked already.
pub fn pending_revocation(worker: &Worker) -> Option<RevocationReason> {
    let evicted = evicted_start(worker);
    if evicted == Some(RevocationReason::JobEnded) || worker.revoke_starts_of_ended_jobs {
        return Some(RevocationReason::JobEnded);
    }
    if evicted.is_some() {
        return evicted;
    }
    if has_uncleared_exit(worker) {
        return Some(RevocationReason::Clear);
    }
    let starts = &worker.pending_starts;
    let too_many = starts.exceeds_max_pending() && !starts.awaits_fence_ack();
    too_many.then_some(RevocationReason::TooManyPending)
}

/// Why a start command for a task that is being evicted must be revoked; `None` if there is no such command. The end of
/// a job takes precedence. Evictions for other reasons need a revocation only while the worker's latest heartbeat does
/// not list the task.
fn evicted_start(worker: &Worker) -> Option<RevocationReason> {
    let mut reason = None;
    for (task, binding) in &worker.bindings {
        let Some(eviction) = binding.eviction else {
            continue;
        };
        if binding.unbinding
            || !worker
                .pending_starts
                .needs_fence_raise(task, binding.attempt)
        {
            continue;
        }
        if eviction.reason == EvictionReason::JobEnded {
            return Some(RevocationReason::JobEnded);
        }
        if worker.observed_task(task, binding.attempt).is_none() {
            reason = Some(RevocationReason::Evicted);
        }
    }
    reason
}

/// Whether the worker has an exited attempt that can't be cleared, that is, removed from the worker's list of tasks,
/// before the fence is raised.
fn has_uncleared_exit(worker: &Worker) -> bool {
    worker.observed_tasks.iter().any(|(task, statuses)| {
        statuses.iter().any(|status| {
            permits::may_clear(worker, task, status) == Err(Denial::StartMayArrive)
                && worker
                    .pending_starts
                    .needs_fence_raise(task, status.attempt)
        })
    })
}
