//! Direct commands to workers: probes of late workers, and commands that cannot wait for a heartbeat.

use super::fencing::target_incarnation;
use super::heartbeats::{HeartbeatPath, MAX_COMMANDS};
use super::{Leader, LeaderEvent};
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::reconciliation;
use crate::bookkeeping::workers::{CallOutcome, DeliveryPath, Worker};
use crate::coordination::effects::{Effects, WorkerRequestContext};
use crate::protocol::worker::{Command, CommandKind, WorkerRequest, WorkerResponse};
use std::collections::{BTreeSet, HashMap};

/// Heartbeat intervals without a heartbeat after which a worker is asked directly. They come with a
/// quarter more at most.
const PROBE_AFTER_HEARTBEATS: f64 = 1.3;

/// Share of the direct calls that may be in flight to workers that may not answer, as a divisor.
const UNCERTAIN_CALLS_DIVISOR: usize = 2;

/// A direct call that a worker needs.
struct WorkerCall {
    worker: String,
    commands: Vec<Command>,
    /// Starts that may still arrive are to be revoked, which can't wait.
    is_urgent: bool,
    answer: AnswerExpectation,
}

/// Whether a worker is expected to answer a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerExpectation {
    /// It has sent its latest heartbeat and can be reached.
    Expected,
    /// It has missed a heartbeat, or does not know this leader's epoch yet.
    Uncertain,
}

/// The commands that were last sent to a worker, by whatever path.
#[derive(Debug)]
struct LastDispatch {
    commands: Vec<Command>,
    /// Monotonic time, in seconds.
    sent_at: f64,
}

/// Keeps which workers may need a direct call, which calls are in flight, and what was sent last.
/// The number of calls in flight is bounded, and calls that may not be answered take only a part of
/// them: a partitioned zone must not keep commands from the others.
#[derive(Debug)]
pub(super) struct CommandDispatcher {
    max_in_flight: usize,
    due: BTreeSet<String>,
    in_flight: HashMap<String, AnswerExpectation>,
    last_dispatches: HashMap<String, LastDispatch>,
}

impl CommandDispatcher {
    /// A dispatcher with at most `max_in_flight` direct calls at a time.
    pub(super) fn new(max_in_flight: usize) -> CommandDispatcher {
        CommandDispatcher {
            max_in_flight,
            due: BTreeSet::new(),
            in_flight: HashMap::new(),
            last_dispatches: HashMap::new(),
        }
    }

    /// Has the worker checked for commands that it needs at the next poll.
    pub(super) fn mark_due(&mut self, worker: &str) {
        if !self.due.contains(worker) {
            self.due.insert(worker.to_owned());
        }
    }

    /// Whether a direct call to the worker is in flight.
    pub(super) fn is_in_flight(&self, worker: &str) -> bool {
        self.in_flight.contains_key(worker)
    }

    /// All commands that the worker needs have been sent to it.
    pub(super) fn sent(&mut self, worker: &str, commands: &[Command], now: f64) {
        self.due.remove(worker);
        let dispatch = LastDispatch {
            commands: commands.to_vec(),
            sent_at: now,
        };
        self.last_dispatches.insert(worker.to_owned(), dispatch);
    }

    /// Forgets a worker that has been removed. A call in flight to it stays counted until it ends.
    pub(super) fn remove_worker(&mut self, worker: &str) {
        self.due.remove(worker);
        self.last_dispatches.remove(worker);
    }

    /// Workers that are due and have no call in flight, by name.
    fn due_workers(&self) -> Vec<String> {
        self.due
            .iter()
            .filter(|worker| !self.is_in_flight(worker))
            .cloned()
            .collect()
    }

    /// The worker needs no call.
    fn clear_due(&mut self, worker: &str) {
        self.due.remove(worker);
    }

    /// A direct call has left for the worker.
    fn call_started(&mut self, worker: &str, answer: AnswerExpectation) {
        self.in_flight.insert(worker.to_owned(), answer);
    }

    /// A direct call to the worker has ended, in whatever way; what it needs now is checked anew.
    fn call_finished(&mut self, worker: &str) {
        self.in_flight.remove(worker);
        self.mark_due(worker);
    }

    /// Allows the next call to the worker at once, even with the same commands.
    fn forget_last_dispatch(&mut self, worker: &str) {
        self.last_dispatches.remove(worker);
    }

    /// When commands were last sent to the worker; negative infinity if never.
    fn last_sent_at(&self, worker: &str) -> f64 {
        self.last_dispatches
            .get(worker)
            .map_or(f64::NEG_INFINITY, |dispatch| dispatch.sent_at)
    }

    /// Whether the same commands were sent to the worker less than `within_s` ago.
    fn was_just_sent(&self, worker: &str, commands: &[Command], within_s: f64, now: f64) -> bool {
        self.last_dispatches
            .get(worker)
            .is_some_and(|last| last.commands == commands && now - last.sent_at < within_s)
    }

    /// Whether one more call may be made to a worker that is expected to answer.
    fn has_capacity(&self) -> bool {
        self.in_flight.len() < self.max_in_flight
    }

    /// How many more calls may be made to workers that may not answer.
    fn uncertain_capacity(&self) -> usize {
        let uncertain = self
            .in_flight
            .values()
            .filter(|answer| **answer == AnswerExpectation::Uncertain)
            .count();
        (self.max_in_flight / UNCERTAIN_CALLS_DIVISOR).saturating_sub(uncertain)
    }
}

impl Leader {
    /// Sends direct commands where the workers don't yet do what is wanted, and this leader's epoch
    /// where it is not known yet, as far as the dispatcher has capacity.
    pub(super) fn dispatch_commands(
        &mut self,
        freshness: &ViewFreshness,
        effects: &mut Effects,
        now: f64,
    ) {
        self.probe_late_workers(now);
        let repeat_after_s = self.settings.deployment.workers.heartbeat_interval_s / 2.0;
        let mut uncertain: Vec<WorkerCall> = Vec::new();
        for name in self.dispatcher.due_workers() {
            let Some(call) = self.next_call(&name, freshness, now) else {
                self.dispatcher.clear_due(&name);
                continue;
            };
            // What has just been sent is not repeated before its answer could show.
            let just_sent =
                self.dispatcher
                    .was_just_sent(&call.worker, &call.commands, repeat_after_s, now);
            if !call.is_urgent && just_sent {
                continue;
            }
            match call.answer {
                AnswerExpectation::Uncertain => uncertain.push(call),
                AnswerExpectation::Expected if self.dispatcher.has_capacity() => {
                    self.dispatch(call, freshness, effects, now);
                }
                AnswerExpectation::Expected => {}
            }
        }
        // Those called the longest ago go first.
        uncertain.sort_by(|a, b| {
            let last_sent_at = |call: &WorkerCall| self.dispatcher.last_sent_at(&call.worker);
            last_sent_at(a).total_cmp(&last_sent_at(b))
        });
        let capacity = self.dispatcher.uncertain_capacity();
        for call in uncertain.into_iter().take(capacity) {
            self.dispatch(call, freshness, effects, now);
        }
    }

    /// Whether a worker has missed its latest heartbeat, or could not be reached.
    fn has_missed_heartbeat(&self, worker: &Worker, now: f64) -> bool {
        let heartbeat_interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        let late = |at| now - at > PROBE_AFTER_HEARTBEATS * heartbeat_interval_s;
        worker.unreachable_since.is_some() || worker.last_heartbeat_at.is_some_and(late)
    }

    /// Marks workers due that have missed their latest heartbeat.
    fn probe_late_workers(&mut self, now: f64) {
        let late: Vec<&Worker> = self
            .workers
            .iter()
            .filter(|worker| self.has_missed_heartbeat(worker, now))
            .collect();
        for worker in late {
            self.dispatcher.mark_due(&worker.name);
        }
    }

    /// The direct call that a worker needs, if it needs one.
    fn next_call(&self, name: &str, freshness: &ViewFreshness, now: f64) -> Option<WorkerCall> {
        let worker = self.workers.get(name)?;
        let missed = self.has_missed_heartbeat(worker, now);
        let may_start = freshness.may_start().is_ok();
        let commands = if worker.token_acknowledged {
            reconciliation::commands(worker, may_start, MAX_COMMANDS)
        } else {
            Vec::new()
        };
        let revocation =
            reconciliation::pending_revocation(worker).filter(|_| worker.token_acknowledged);
        let revokes = revocation.is_some_and(|reason| reason.is_urgent());
        let waits = worker.token_acknowledged && worker.awaits_fence_ack();
        // It is probed before it counts as unresponsive: its heartbeats may have gone to a controller that
        // does not answer them.
        let probe = worker.token_acknowledged && !worker.termination_recorded && missed;
        let may_be_up = worker.last_heartbeat_at.is_some()
            || worker.listed_running
            || !worker.bindings.is_empty();
        let announce = !worker.token_acknowledged && !worker.termination_recorded && may_be_up;
        // Clears can wait for the next heartbeat.
        let has_urgent = commands
            .iter()
            .any(|command| command.kind != CommandKind::Clear);
        let wanted = has_urgent || revokes || waits || probe || announce;
        if !wanted || worker.endpoint.is_empty() {
            return None;
        }
        let answer = if !worker.token_acknowledged || missed {
            AnswerExpectation::Uncertain
        } else {
            AnswerExpectation::Expected
        };
        Some(WorkerCall {
            worker: name.to_owned(),
            commands,
            is_urgent: revokes,
            answer,
        })
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
        self.dispatcher.call_started(&name, call.answer);
        self.dispatcher.sent(&name, &commands.commands, now);
        let kind = WorkerRequestContext {
            epoch: self.epoch,
            worker: name,
            commands: commands.commands.clone(),
        };
        let within_s = self.settings.deployment.workers.heartbeat_interval_s / 2.0;
        effects.call_worker(kind, endpoint, WorkerRequest::Commands(commands), within_s);
    }

    /// Takes the response to a direct call.
    pub fn on_worker_response(
        &mut self,
        kind: &WorkerRequestContext,
        response: WorkerResponse,
        now: f64,
    ) {
        self.dispatcher.call_finished(&kind.worker);
        if let Some(worker) = self.workers.get_mut(&kind.worker) {
            worker.record_call_outcome(&kind.commands, call_outcome(&response));
            match response {
                WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => {
                    worker.unreachable_since = None;
                }
                WorkerResponse::OutcomeUnknown | WorkerResponse::Unreachable => {
                    worker.unreachable_since.get_or_insert(now);
                }
                WorkerResponse::NotSent => {}
            }
            self.scheduling.request();
        }
        let heartbeat = match response {
            WorkerResponse::Executed(heartbeat) => heartbeat,
            WorkerResponse::Rejected(heartbeat) => {
                let called = self.workers.get(&kind.worker).map(target_incarnation);
                if called.is_some_and(|incarnation| heartbeat.incarnation >= incarnation) {
                    // Its incarnation is known now: the next call can follow at once. A machine that shows
                    // an earlier one has forgotten it, and would reject the next call too.
                    self.dispatcher.forget_last_dispatch(&kind.worker);
                }
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
        if let Err(error) = heartbeat.token.validate() {
            tracing::error!(worker = kind.worker, %error, "worker response rejected");
            return;
        }
        if heartbeat.token.epoch() > self.epoch {
            self.emit(LeaderEvent::HigherEpochSeen(heartbeat.token.epoch()));
            return;
        }
        self.apply_heartbeat(&heartbeat, HeartbeatPath::DirectResponse, now);
    }
}

/// What the response to a direct call says about its commands.
fn call_outcome(response: &WorkerResponse) -> CallOutcome {
    match response {
        WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => CallOutcome::Answered,
        WorkerResponse::OutcomeUnknown => CallOutcome::Unanswered,
        WorkerResponse::NotSent | WorkerResponse::Unreachable => CallOutcome::NotSent,
    }
}
