//! Commands that leave for a worker, by either path: they carry its fencing token, whose fence is raised
//! where earlier starts are to be revoked, and each is checked against the invariants.

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
    /// The fencing token for the next message to a worker.
    pub(super) fn fencing_token_for(&self, worker: &str) -> FencingToken {
        let fence = self
            .workers
            .get(worker)
            .map_or(0, |worker| worker.pending_starts.fence());
        FencingToken::new(self.epoch, fence)
    }

    /// Raises a worker's fence if starts are to be revoked. The commands of a direct call in flight would
    /// be lost by that, so only urgent revocations don't wait for its end.
    pub(super) fn revoke_pending_starts(&mut self, name: &str) {
        let in_call = self.dispatcher.is_in_flight(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(reason) = reconciliation::pending_revocation(worker) else {
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

    /// Makes the message with these commands, and records them as sent.
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
        worker.record_sent(&commands, way, freshness.view_age_s);
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

/// The incarnation that the commands of a direct call are for.
pub(super) fn target_incarnation(worker: &Worker) -> u64 {
    let bound = worker.bindings.values().map(|binding| binding.incarnation);
    worker.incarnation.max(bound.max().unwrap_or(1)).max(1)
}

/// Whether a command may be sent, checked independently of the code that decided on it.
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
            invariants::check(Invariant::NoStartOfEndedJob, open, details)
        }
        CommandKind::Clear => {
            let cause = worker
                .observed_task(&task, attempt)
                .and_then(|task_status| task_status.exit_reason);
            let harmless = cause == Some(ExitReason::Completed)
                || !worker.pending_starts.may_arrive(&task, attempt);
            invariants::check(Invariant::NoClearWhileStartMayArrive, harmless, details)
        }
        CommandKind::Stop => true,
    }
}
