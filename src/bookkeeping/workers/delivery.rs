//! Records the commands that are sent to a worker, and the outcomes of the direct calls that carry them.

use super::pending_starts::CallOutcome;
use super::worker::Worker;
use crate::protocol::worker::{Command, CommandKind, TaskId};

/// How commands are delivered to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryPath {
    /// In a direct call, a request from the controller to the worker.
    DirectCall,
    /// In the response to the heartbeat with this sequence number.
    HeartbeatResponse(u64),
}

impl Worker {
    /// Logs commands that are sent, and records the start commands among them as pending. `view_age_s`, which is only
    /// logged, is the age of the view of the open jobs on which the commands are based.
    pub fn record_sent(&mut self, commands: &[Command], path: DeliveryPath, view_age_s: f64) {
        for command in commands {
            tracing::debug!(
                worker = self.name,
                task = command.task,
                attempt = command.attempt,
                verb = ?command.kind,
                way = ?path,
                incarnation = self.incarnation,
                fence = self.pending_starts.fence(),
                view_age_s,
                "command sent"
            );
            if command.kind != CommandKind::Start {
                continue;
            }
            let Ok(task) = TaskId::parse(&command.task) else {
                continue;
            };
            match path {
                DeliveryPath::DirectCall => self
                    .pending_starts
                    .record_direct_call(task, command.attempt),
                DeliveryPath::HeartbeatResponse(sequence) => self
                    .pending_starts
                    .record_heartbeat_response(task, command.attempt, sequence),
            }
        }
    }

    /// Records the outcome of the direct call that carried these commands; it matters for start commands only.
    pub fn record_call_outcome(&mut self, commands: &[Command], outcome: CallOutcome) {
        for command in commands
            .iter()
            .filter(|command| command.kind == CommandKind::Start)
        {
            if outcome == CallOutcome::Unanswered {
                tracing::debug!(
                    worker = self.name,
                    task = command.task,
                    attempt = command.attempt,
                    fence = self.pending_starts.fence(),
                    "start outcome unknown"
                );
            }
            if let Ok(task) = TaskId::parse(&command.task) {
                self.pending_starts
                    .record_call_outcome(&task, command.attempt, outcome);
            }
        }
    }
}
