//! Fencing of messages to workers, in direct calls and in responses to heartbeats. Each message carries a fencing
//! token, which consists of the leader's epoch and the worker's fence. A worker executes no command with a token
//! below the highest it has seen, so raising the worker's fence revokes start commands that were sent to it before.
//! Each command is also checked against [`invariants`] before it is sent.

use super::Leader;
use super::fleet::ScaleInReason;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::jobs::Jobs;
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::reconciliation;
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::protocol::token::FencingToken;
use crate::protocol::worker::{Command, CommandBatch, CommandKind, ExitReason, TaskId};

impl Leader {
    /// Returns the fencing token for the next message to a worker; the fence in it is 0 if the worker is not known.
    pub(super) fn fencing_token_for(&self, worker: &str) -> FencingToken {
        let fence = self
            .workers
            .get(worker)
            .map_or(0, |worker| worker.pending_starts.fence());
        FencingToken::new(self.epoch, fence)
    }

    /// Raises a worker's fence if start commands that were sent to the worker must be revoked. A raised fence also
    /// invalidates the commands of a direct call in flight, so a revocation that is not urgent waits until that call
    /// has ended. If the fence can't be raised any further, the worker is released.
    pub(super) fn revoke_pending_starts(&mut self, name: &str) {
        let call_in_flight = self.dispatcher.is_in_flight(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(reason) = reconciliation::pending_revocation(worker) else {
            return;
        };
        if call_in_flight && !reason.is_urgent() {
            return;
        }
        self.decisions.count_revocation(reason);
        if !worker.revoke_starts(reason) {
            self.scale_in(name, ScaleInReason::FenceExhausted);
        }
    }

    /// Builds the message that carries these commands, and records the commands as sent. Commands that violate an
    /// invariant are left out, and so are all commands to a worker that is not known.
    pub(super) fn prepare_commands(
        &mut self,
        name: &str,
        mut commands: Vec<Command>,
        path: DeliveryPath,
        freshness: &ViewFreshness,
    ) -> CommandBatch {
        let token = self.fencing_token_for(name);
        let jobs = &self.jobs;
        let Some(worker) = self.workers.get_mut(name) else {
            return CommandBatch {
                token,
                incarnation: None,
                commands: Vec::new(),
            };
        };
        commands.retain(|command| upholds_invariants(command, worker, jobs));
        worker.record_sent(&commands, path, freshness.view_age_s);
        let incarnation = match path {
            DeliveryPath::DirectCall => Some(target_incarnation(worker)),
            DeliveryPath::HeartbeatResponse(_) => None,
        };
        CommandBatch {
            token,
            incarnation,
            commands,
        }
    }
}

/// Returns the incarnation that the commands of a direct call to the worker are for: the latest one that the worker
/// has shown or a task is bound for, and at least 1.
pub(super) fn target_incarnation(worker: &Worker) -> u64 {
    let bound = worker.bindings.values().map(|binding| binding.incarnation);
    worker.incarnation.max(bound.max().unwrap_or(1)).max(1)
}

/// Checks that a command upholds the invariants, independently of the code that decided to send the command.
fn upholds_invariants(command: &Command, worker: &Worker, jobs: &Jobs) -> bool {
    let Ok(task) = TaskId::parse(&command.task) else {
        // A worker may list a task whose id can't be parsed. Such a task can be stopped and cleared, but not started.
        return command.kind != CommandKind::Start;
    };
    let attempt = command.attempt;
    let details = format_args!("worker {}, task {task}, attempt {attempt}", worker.name);
    match command.kind {
        CommandKind::Start => {
            let open = jobs.get(&task.job).is_some();
            invariants::check(Invariant::NoStartOfEndedJob, open, details)
        }
        CommandKind::Clear => {
            let cause = worker
                .observed_task(&task, attempt)
                .and_then(|task_status| task_status.exit_reason);
            let may_clear = cause == Some(ExitReason::Completed)
                || !worker.pending_starts.may_arrive(&task, attempt);
            invariants::check(Invariant::NoClearWhileStartMayArrive, may_clear, details)
        }
        CommandKind::Stop => true,
    }
}
