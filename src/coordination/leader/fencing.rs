//! Orders that leave for a worker, by whatever way: starts that went out before are revoked with them where
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
    pub(super) fn fencing_token_for(&self, host: &str) -> FencingToken {
        let fence = self
            .workers
            .get(host)
            .map_or(0, |host| host.pending_starts.fence());
        FencingToken::new(self.epoch, fence)
    }

    /// Raises a worker's fence if starts are to be revoked. What is on its way to it in a direct call would
    /// be lost; only urgent revocations don't wait for that.
    pub(super) fn revoke_pending_starts(&mut self, name: &str) {
        let in_call = self.calls_in_flight.contains_key(name);
        let Some(host) = self.workers.get_mut(name) else {
            return;
        };
        let Some(reason) = host.pending_revocation() else {
            return;
        };
        if in_call && !reason.is_urgent() {
            return;
        }
        self.decisions.count_revocation(reason);
        if !host.revoke_starts(reason) {
            self.scale_in(name, ScaleInReason::FenceExhausted);
        }
    }

    /// Makes the message with these orders, and notes that they go out.
    pub(super) fn prepare_commands(
        &mut self,
        name: &str,
        mut orders: Vec<Command>,
        way: DeliveryPath,
        knowledge: &ViewFreshness,
    ) -> CommandBatch {
        let token = self.fencing_token_for(name);
        let jobs = &self.jobs;
        let Some(host) = self.workers.get_mut(name) else {
            return CommandBatch {
                token,
                incarnation: None,
                commands: Vec::new(),
            };
        };
        orders.retain(|order| upholds_invariants(order, host, jobs));
        host.record_sent(&orders, way, knowledge);
        let tenure = match way {
            DeliveryPath::DirectCall => Some(target_incarnation(host)),
            DeliveryPath::HeartbeatResponse(_) => None,
        };
        CommandBatch {
            token,
            incarnation: tenure,
            commands: orders,
        }
    }
}

/// The session that direct commands are for.
fn target_incarnation(host: &Worker) -> u64 {
    let bound = host.bindings.values().map(|binding| binding.incarnation);
    host.incarnation.max(bound.max().unwrap_or(1)).max(1)
}

/// Whether an order may go out, by other means than those that made it.
fn upholds_invariants(order: &Command, host: &Worker, jobs: &Jobs) -> bool {
    let Some(task) = TaskId::parse(&order.task) else {
        // Workers may show what is no task of ours; it is stopped and cleared.
        return order.kind != CommandKind::Start;
    };
    let attempt = order.attempt;
    let details = format_args!("host {}, task {task}, attempt {attempt}", host.name);
    match order.kind {
        CommandKind::Start => {
            let open = jobs.get(&task.job).is_some();
            invariants::uphold(Invariant::NoStartOfEndedJob, open, details)
        }
        CommandKind::Clear => {
            let cause = host
                .observed_task(&task, attempt)
                .and_then(|step| step.exit_reason);
            let harmless = cause == Some(ExitReason::Completed)
                || !host.pending_starts.may_arrive(&task, attempt);
            invariants::uphold(Invariant::NoClearWhileStartMayArrive, harmless, details)
        }
        CommandKind::Stop => true,
    }
}
