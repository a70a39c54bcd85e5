//! Direct commands to workers: probes of late workers, and commands that cannot wait for a heartbeat.

use super::heartbeats::MAX_COMMANDS;
use super::{Leader, LeaderEvent};
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::reconciliation;
use crate::bookkeeping::workers::{CallOutcome, DeliveryPath, Worker};
use crate::coordination::effects::{Effects, WorkerRequestContext};
use crate::protocol::worker::{Command, CommandKind, WorkerRequest, WorkerResponse};

/// Heartbeat intervals without a heartbeat after which a worker is asked directly. They come with a
/// quarter more at most.
const PROBE_AFTER_HEARTBEATS: f64 = 1.3;

/// A direct call that a worker needs.
struct WorkerCall {
    worker: String,
    commands: Vec<Command>,
    /// Starts that may still arrive are to be revoked, which can't wait.
    is_urgent: bool,
    /// The worker may well not answer.
    may_not_answer: bool,
    /// When it was last called.
    last_called_at: f64,
}

impl Leader {
    /// Sends direct commands where the workers don't yet do what is wanted, and this leader's epoch
    /// where it is not known yet. Calls at a time are bounded, and workers that may not answer get a
    /// part of them only: a zone that is partitioned must not keep commands from the others.
    pub(super) fn dispatch_commands(
        &mut self,
        freshness: &ViewFreshness,
        effects: &mut Effects,
        now: f64,
    ) {
        let limit = self.settings.deployment.quota.direct_sockets();
        self.probe_late_workers(now);
        let due: Vec<String> = self.dispatch_due.iter().cloned().collect();
        let mut doubtful: Vec<WorkerCall> = Vec::new();
        for name in due {
            if self.calls_in_flight.contains_key(&name) {
                continue;
            }
            let Some(call) = self.next_command(&name, freshness, now) else {
                self.dispatch_due.remove(&name);
                continue;
            };
            // What has just been sent is not repeated before its answer could show.
            if !call.is_urgent && self.was_just_dispatched(&call, now) {
                continue;
            }
            if call.may_not_answer {
                doubtful.push(call);
            } else if self.calls_in_flight.len() < limit {
                self.dispatch(call, freshness, effects, now);
            }
        }
        let probing = self
            .calls_in_flight
            .values()
            .filter(|doubtful| **doubtful)
            .count();
        let free = (limit / 2).saturating_sub(probing);
        // Those not asked for longest go first.
        doubtful.sort_by(|a, b| a.last_called_at.total_cmp(&b.last_called_at));
        for call in doubtful.into_iter().take(free) {
            self.dispatch(call, freshness, effects, now);
        }
    }

    /// Whether a worker has missed its latest heartbeat, or could not be reached.
    fn has_missed_heartbeat(&self, worker: &Worker, now: f64) -> bool {
        let heartbeat_interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        let late = |at| now - at > PROBE_AFTER_HEARTBEATS * heartbeat_interval_s;
        worker.unreachable_since.is_some() || worker.last_heartbeat_at.is_some_and(late)
    }

    /// Workers that have missed their latest heartbeat are asked directly.
    fn probe_late_workers(&mut self, now: f64) {
        let missed = self
            .workers
            .iter()
            .filter(|worker| self.has_missed_heartbeat(worker, now));
        let names: Vec<String> = missed.map(|worker| worker.name.clone()).collect();
        self.dispatch_due.extend(names);
    }

    /// What a worker is to be called for, if it is.
    fn next_command(&self, name: &str, freshness: &ViewFreshness, now: f64) -> Option<WorkerCall> {
        let worker = self.workers.get(name)?;
        let missed = self.has_missed_heartbeat(worker, now);
        let may_start = freshness.may_start().is_ok();
        let commands = match worker.token_acknowledged {
            true => reconciliation::commands(worker, may_start, MAX_COMMANDS),
            false => Vec::new(),
        };
        let revocation =
            reconciliation::pending_revocation(worker).filter(|_| worker.token_acknowledged);
        let revokes = revocation.is_some_and(|reason| reason.is_urgent());
        let waits = worker.token_acknowledged && worker.awaits_fence();
        // It is asked before it is thought silent: a heartbeat may only be on its way from a controller that does
        // not answer it.
        let probe = worker.token_acknowledged && !worker.termination_recorded && missed;
        let up = worker.last_heartbeat_at.is_some()
            || worker.listed_running
            || !worker.bindings.is_empty();
        let greet = !worker.token_acknowledged && !worker.termination_recorded && up;
        // Clears can wait for the next heartbeat.
        let pressing = commands
            .iter()
            .any(|command| command.kind != CommandKind::Clear);
        let wanted = pressing || revokes || waits || probe || greet;
        if !wanted || worker.endpoint.is_empty() {
            return None;
        }
        let last = self.last_dispatch.get(name);
        Some(WorkerCall {
            worker: name.to_owned(),
            commands,
            is_urgent: revokes,
            may_not_answer: !worker.token_acknowledged || missed,
            last_called_at: last.map_or(f64::NEG_INFINITY, |(_, at)| *at),
        })
    }

    fn was_just_dispatched(&self, call: &WorkerCall, now: f64) -> bool {
        let half_s = self.settings.deployment.workers.heartbeat_interval_s / 2.0;
        let last = self.last_dispatch.get(&call.worker);
        last.is_some_and(|(sent, at)| *sent == call.commands && now - at < half_s)
    }

    fn dispatch(
        &mut self,
        call: WorkerCall,
        freshness: &ViewFreshness,
        effects: &mut Effects,
        now: f64,
    ) {
        let name = call.worker;
        let Some(worker) = self.workers.get(&name) else {
            return;
        };
        let endpoint = worker.endpoint.clone();
        if worker.token_acknowledged {
            self.revoke_pending_starts(&name);
        }
        let commands =
            self.prepare_commands(&name, call.commands, DeliveryPath::DirectCall, freshness);
        self.dispatch_due.remove(&name);
        self.calls_in_flight
            .insert(name.clone(), call.may_not_answer);
        self.last_dispatch
            .insert(name.clone(), (commands.commands.clone(), now));
        let kind = WorkerRequestContext {
            epoch: self.epoch,
            worker: name,
            commands: commands.commands.clone(),
        };
        let within_s = self.settings.deployment.workers.heartbeat_interval_s / 2.0;
        effects.call_worker(kind, endpoint, WorkerRequest::Commands(commands), within_s);
    }

    /// Takes what came of a direct call.
    pub fn on_worker_response(
        &mut self,
        kind: &WorkerRequestContext,
        response: WorkerResponse,
        now: f64,
    ) {
        self.calls_in_flight.remove(&kind.worker);
        self.dispatch_due.insert(kind.worker.clone());
        if let Some(worker) = self.workers.get_mut(&kind.worker) {
            worker.record_call_outcome(&kind.commands, call_outcome(&response));
            match response {
                WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => {
                    worker.unreachable_since = None
                }
                WorkerResponse::OutcomeUnknown | WorkerResponse::Unreachable => {
                    worker.unreachable_since.get_or_insert(now);
                }
                WorkerResponse::NotSent => {}
            }
            self.schedule_due = true;
        }
        let heartbeat = match response {
            WorkerResponse::Executed(heartbeat) => heartbeat,
            WorkerResponse::Rejected(heartbeat) => {
                // Its incarnation is known now: the next call can follow at once.
                self.last_dispatch.remove(&kind.worker);
                heartbeat
            }
            WorkerResponse::NotSent
            | WorkerResponse::Unreachable
            | WorkerResponse::OutcomeUnknown => return,
        };
        if heartbeat.worker != kind.worker {
            tracing::warn!(worker = kind.worker, "unexpected worker at endpoint");
            return;
        }
        if let Err(error) = heartbeat.token.check() {
            tracing::error!(worker = kind.worker, %error, "worker response rejected");
            return;
        }
        if heartbeat.token.epoch() > self.epoch {
            self.emit(LeaderEvent::HigherEpochSeen(heartbeat.token.epoch()));
            return;
        }
        self.apply_heartbeat(&heartbeat, false, now);
    }
}

/// What became of a direct call, as its outcome tells.
fn call_outcome(response: &WorkerResponse) -> CallOutcome {
    match response {
        WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => CallOutcome::Answered,
        WorkerResponse::OutcomeUnknown => CallOutcome::Unanswered,
        WorkerResponse::NotSent | WorkerResponse::Unreachable => CallOutcome::NotSent,
    }
}
