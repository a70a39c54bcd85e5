//! Commands that leave for a worker, by whatever way: starts that went out before are revoked with them where
//! that is due, and what must hold is checked.

use super::Leader;
use super::fleet::ScaleInReason;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::jobs::Jobs;
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::protocol::token::FencingToken;
use crate::protocol::worker::{Command, CommandBatch, CommandKind, ExitReason, TaskId};

impl Leader {
    /// The token that a worker is given now.
    pub(super) fn fencing_token_for(&self, worker: &str) -> FencingToken {
        let fence = self
            .workers
            .get(worker)
            .map_or(0, |worker| worker.pending_starts.fence());
        FencingToken::new(self.epoch, fence)
    }

    /// Raises a worker's fence if starts are to be revoked. What is on its way to it in a direct call would
    /// be lost; only urgent revocations don't wait for that.
    pub(super) fn revoke_pending_starts(&mut self, name: &str) {
        let in_call = self.calls_in_flight.contains_key(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(reason) = worker.pending_revocation() else {
            return;
        };
        if in_call && !reason.is_urgent() {
            return;
        }
        self.decisions.count_revocation(reason);
        if !worker.revoke_starts(reason) {
            self.scale_in(name, ScaleInReason::FenceExhausted);
        }
    }

    /// Makes the message with these commands, and notes that they go out.
    pub(super) fn prepare_commands(
        &mut self,
        name: &str,
        mut commands: Vec<Command>,
        way: DeliveryPath,
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
        worker.record_sent(&commands, way, freshness);
        let incarnation = match way {
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

/// The incarnation that direct commands are for.
fn target_incarnation(worker: &Worker) -> u64 {
    let bound = worker.bindings.values().map(|binding| binding.incarnation);
    worker.incarnation.max(bound.max().unwrap_or(1)).max(1)
}

/// Whether an order may go out, by other means than those that made it.
fn upholds_invariants(command: &Command, worker: &Worker, jobs: &Jobs) -> bool {
    let Ok(task) = TaskId::parse(&command.task) else {
        // Workers may show what is no task of ours; it is stopped and cleared.
        return command.kind != CommandKind::Start;
    };
    let attempt = command.attempt;
    let details = format_args!("worker {}, task {task}, attempt {attempt}", worker.name);
    match command.kind {
        CommandKind::Start => {
            let open = jobs.get(&task.job).is_some();
            invariants::uphold(Invariant::NoStartOfEndedJob, open, details)
        }
        CommandKind::Clear => {
            let cause = worker
                .observed_task(&task, attempt)
                .and_then(|task_status| task_status.exit_reason);
            let harmless = cause == Some(ExitReason::Completed)
                || !worker.pending_starts.may_arrive(&task, attempt);
            invariants::uphold(Invariant::NoClearWhileStartMayArrive, harmless, details)
        }
        CommandKind::Stop => true,
    }
}
