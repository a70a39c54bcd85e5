//! Permits: whether an action may be taken on what this controller knows now, and if not, why.
//!
//! An action on knowledge that has become old is what breaks the rules of the protocol, so the age of what a
//! decision rests on is part of it, and the reason for each denial is a type. The module knows no clocks:
//! ages are worked out by who asks.

use super::workers::{Binding, RevocationReason, Worker};
use crate::protocol::worker::{ExitReason, TaskId, TaskState, TaskStatus};
use std::collections::BTreeMap;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PermitKind {
    /// Orders to start tasks go out.
    StartTasks,
    /// A worker's lease is renewed.
    RenewLease,
}

/// Why something may not be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// This controller does not lead.
    NotLeader,
    /// The leader's lease in the state service may have run out.
    LeaseNotHeld,
    /// The state service has refused a call, or left one unanswered, since the open jobs were last seen.
    StateServiceUncertain,
    /// The view of the open jobs is too old.
    ViewStale,
    /// The binding, or its end, is not written yet.
    NotCommitted,
    /// An earlier leader bound the task, which may or may not have sent its start.
    Inherited,
    /// The task is to leave the machine, or its job is over.
    Evicted,
    /// The task is bound to the machine and wanted there.
    StillWanted,
    /// The task was bound for another incarnation of the worker.
    IncarnationMismatch,
    /// The worker shows the attempt already.
    AlreadyObserved,
    /// The task has not exited.
    NotExited,
    /// The machine is being released.
    Terminating,
    /// A start of the attempt may still arrive at the worker.
    StartMayArrive,
    /// Jobs may have been cancelled long enough ago that their tasks must be gone by the end of a lease.
    LeaseGraceExpired,
}

/// How old a controller's knowledge may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreshnessLimits {
    /// For how long leases are renewed after the lease and the view were last confirmed.
    pub lease_grace_s: f64,
    /// The oldest view of the open jobs that allows starts.
    pub max_start_view_age_s: f64,
}

/// What a controller knows, and how old that is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ViewFreshness {
    /// This controller leads, as far as it knows.
    pub is_leader: bool,
    /// It certainly holds the leader's lease.
    pub lease_held: bool,
    /// Seconds since that lease was last renewed.
    pub lease_age_s: f64,
    /// Seconds since the view of the open jobs was certainly current.
    pub view_age_s: f64,
    /// Seconds since the state service last refused a call or left one unanswered.
    pub state_failure_age_s: f64,
    /// How old these may be.
    pub limits: FreshnessLimits,
}

impl ViewFreshness {
    /// Whether commands to start tasks may go out. After an outage a lease has its full time again, while
    /// jobs may have been cancelled before of which this controller hasn't heard yet.
    pub fn may_start(&self) -> Result<(), Denial> {
        if !self.is_leader {
            return Err(Denial::NotLeader);
        }
        if !self.lease_held {
            return Err(Denial::LeaseNotHeld);
        }
        if self.state_failure_age_s <= self.view_age_s {
            return Err(Denial::StateServiceUncertain);
        }
        if self.view_age_s >= self.limits.max_start_view_age_s {
            return Err(Denial::ViewStale);
        }
        Ok(())
    }

    /// Whether workers' leases may be renewed: only by who knows of every cancellation that could be due.
    pub fn may_renew(&self) -> Result<(), Denial> {
        if !self.is_leader {
            return Err(Denial::NotLeader);
        }
        if self.lease_age_s.max(self.view_age_s) > self.limits.lease_grace_s {
            return Err(Denial::LeaseGraceExpired);
        }
        Ok(())
    }
}

/// Whether a bound task may be started on its machine, by a leader that may start tasks at all.
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

/// Whether an attempt that a worker shows may be cleared. After that a start that arrives late, or once
/// more, would run it again; copies do no harm to a task that is done, whose result is kept.
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
            .only_answered_copies(task, task_status.attempt);
    if worker.pending_starts.may_arrive(task, task_status.attempt) && !harmless {
        return Err(Denial::StartMayArrive);
    }
    Ok(())
}

/// Whether a binding may end whose task the worker does not show: it is not there and won't be.
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

/// Whether the cloud may be asked to delete a machine: its mark is written, so every later leader deletes it
/// too, however late the request is carried out.
pub fn may_delete(worker: &Worker) -> Result<(), Denial> {
    if worker.termination_recorded {
        Ok(())
    } else {
        Err(Denial::NotCommitted)
    }
}

/// How often actions were allowed and denied, and why.
#[derive(Debug, Default)]
pub struct DecisionCounters {
    counts: BTreeMap<(PermitKind, Option<Denial>), u64>,
    revocations: BTreeMap<RevocationReason, u64>,
}

impl DecisionCounters {
    /// Counts a decision.
    pub fn count(&mut self, action: PermitKind, decision: Result<(), Denial>) {
        *self.counts.entry((action, decision.err())).or_default() += 1;
    }

    /// Counts a revocation of a worker's starts.
    pub fn count_revocation(&mut self, reason: RevocationReason) {
        *self.revocations.entry(reason).or_default() += 1;
    }

    /// Logs the totals since the last time.
    pub fn log(&mut self) {
        for ((action, denial), count) in std::mem::take(&mut self.counts) {
            match denial {
                None => tracing::info!(?action, count, "permits granted"),
                Some(reason) => tracing::info!(?action, ?reason, count, "permits denied"),
            }
        }
        for (reason, count) in std::mem::take(&mut self.revocations) {
            tracing::info!(?reason, count, "start revocations");
        }
    }
}
