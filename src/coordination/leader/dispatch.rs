//! Direct calls: requests of the leader to a worker, as opposed to its responses to the worker's heartbeats. They
//! carry commands that cannot wait for the worker's next heartbeat, and probe workers whose heartbeat is late.

use super::fencing::target_incarnation;
use super::heartbeats::{HeartbeatPath, MAX_COMMANDS};
use super::{Leader, LeaderEvent};
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::reconciliation;
use crate::bookkeeping::workers::{CallOutcome, DeliveryPath, Worker};
use crate::coordination::effects::{Effects, WorkerRequestContext};
use crate::protocol::worker::{Command, CommandKind, WorkerRequest, WorkerResponse};
use std::collections::{BTreeSet, HashMap};

/// Time without a heartbeat after which a worker is called directly, in heartbeat intervals. The time between two
/// heartbeats is up to a quarter longer than the interval.
const PROBE_AFTER_HEARTBEATS: f64 = 1.3;

/// The limit on all direct calls in flight, divided by this, is the limit on calls to workers whose response is
/// uncertain.
const UNCERTAIN_CALLS_DIVISOR: usize = 2;

/// A direct call that is to be made to a worker, with the commands for it.
struct WorkerCall {
    worker: String,
    commands: Vec<Command>,
    /// Start commands that may still arrive must be revoked at once. The call raises the worker's fence for that, and
    /// is made even if the same commands were just sent.
    is_urgent: bool,
    response: ResponseExpectation,
}

/// Whether a worker is expected to respond to a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseExpectation {
    /// Its heartbeat is not late, it does not count as unreachable, and it knows this leader's epoch.
    Expected,
    /// Its heartbeat is late, it counts as unreachable, or it does not know this leader's epoch yet.
    Uncertain,
}

/// The commands that were last sent to a worker, in a direct call or in a response to a heartbeat.
#[derive(Debug)]
struct LastDispatch {
    commands: Vec<Command>,
    /// Monotonic time, in seconds.
    sent_at: f64,
}

/// Keeps track of which workers may need a direct call, which calls are in flight, and what was last sent to
/// each worker. The number of calls in flight is limited. Calls whose response is uncertain have a lower limit,
/// so that a partitioned zone does not hold up commands to the other zones.
#[derive(Debug)]
pub(super) struct CommandDispatcher {
    max_in_flight: usize,
    due: BTreeSet<String>,
    in_flight: HashMap<String, ResponseExpectation>,
    last_dispatches: HashMap<String, LastDispatch>,
}

impl CommandDispatcher {
    /// Creates a dispatcher with at most `max_in_flight` direct calls at a time.
    pub(super) fn new(max_in_flight: usize) -> CommandDispatcher {
        CommandDispatcher {
            max_in_flight,
            due: BTreeSet::new(),
            in_flight: HashMap::new(),
            last_dispatches: HashMap::new(),
        }
    }

    /// Marks a worker to be checked at the next poll for whether it needs a direct call.
    pub(super) fn mark_due(&mut self, worker: &str) {
        if !self.due.contains(worker) {
            self.due.insert(worker.to_owned());
        }
    }

    /// Whether a direct call to the worker is in flight.
    pub(super) fn is_in_flight(&self, worker: &str) -> bool {
        self.in_flight.contains_key(worker)
    }

    /// Records that these commands were sent to the worker, which is no longer due then.
    pub(super) fn record_sent(&mut self, worker: &str, commands: &[Command], now: f64) {
        self.due.remove(worker);
        let dispatch = LastDispatch {
            commands: commands.to_vec(),
            sent_at: now,
        };
        self.last_dispatches.insert(worker.to_owned(), dispatch);
    }

    /// Removes the state of a worker. A call in flight to the worker counts against the limit until the call ends.
    pub(super) fn remove_worker(&mut self, worker: &str) {
        self.due.remove(worker);
        self.last_dispatches.remove(worker);
    }

    /// Returns the workers that are due and have no call in flight, in the order of their names.
    fn due_workers(&self) -> Vec<String> {
        self.due
            .iter()
            .filter(|worker| !self.is_in_flight(worker))
            .cloned()
            .collect()
    }

    fn clear_due(&mut self, worker: &str) {
        self.due.remove(worker);
    }

    fn record_call_started(&mut self, worker: &str, response: ResponseExpectation) {
        self.in_flight.insert(worker.to_owned(), response);
    }

    /// Records that a direct call to the worker has ended, with or without a response. The worker is due again,
    /// since the outcome may have changed what it needs.
    fn record_call_finished(&mut self, worker: &str) {
        self.in_flight.remove(worker);
        self.mark_due(worker);
    }

    /// Allows the next call to the worker at once, even if it carries the same commands as the last.
    fn forget_last_dispatch(&mut self, worker: &str) {
        self.last_dispatches.remove(worker);
    }

    /// Returns when commands were last sent to the worker; negative infinity if never.
    fn last_sent_at(&self, worker: &str) -> f64 {
        self.last_dispatches
            .get(worker)
            .map_or(f64::NEG_INFINITY, |dispatch| dispatch.sent_at)
    }

    /// Whether the same commands were last sent to the worker less than `within_s` seconds ago.
    fn was_just_sent(&self, worker: &str, commands: &[Command], within_s: f64, now: f64) -> bool {
        self.last_dispatches
            .get(worker)
            .is_some_and(|last| last.commands == commands && now - last.sent_at < within_s)
    }

    /// Whether the limit allows one more call to a worker that is expected to respond.
    fn has_capacity(&self) -> bool {
        self.in_flight.len() < self.max_in_flight
    }

    /// Returns how many more calls the limit allows to workers whose response is uncertain.
    fn uncertain_capacity(&self) -> usize {
        let uncertain = self
            .in_flight
            .values()
            .filter(|response| **response == ResponseExpectation::Uncertain)
            .count();
        (self.max_in_flight / UNCERTAIN_CALLS_DIVISOR).saturating_sub(uncertain)
    }
}

impl Leader {
    /// Makes the direct calls that workers need, as far as the dispatcher has capacity. A call carries commands,
    /// raises the worker's fence to revoke starts, probes a worker whose heartbeat is late, or announces this
    /// leader's epoch to a worker that does not know the epoch.
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
            // The same commands are not sent again before the worker could have responded to the previous message.
            let just_sent =
                self.dispatcher
                    .was_just_sent(&call.worker, &call.commands, repeat_after_s, now);
            if !call.is_urgent && just_sent {
                continue;
            }
            match call.response {
                ResponseExpectation::Uncertain => uncertain.push(call),
                ResponseExpectation::Expected if self.dispatcher.has_capacity() => {
                    self.dispatch(call, freshness, effects, now);
                }
                ResponseExpectation::Expected => {}
            }
        }
        // The workers that were sent commands the longest ago go first.
        uncertain.sort_by(|a, b| {
            let last_sent_at = |call: &WorkerCall| self.dispatcher.last_sent_at(&call.worker);
            last_sent_at(a).total_cmp(&last_sent_at(b))
        });
        let capacity = self.dispatcher.uncertain_capacity();
        for call in uncertain.into_iter().take(capacity) {
            self.dispatch(call, freshness, effects, now);
        }
    }

    /// Whether a worker's heartbeat is late, or the worker counts as unreachable.
    fn is_late_or_unreachable(&self, worker: &Worker, now: f64) -> bool {
        let heartbeat_interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        let late = |at| now - at > PROBE_AFTER_HEARTBEATS * heartbeat_interval_s;
        worker.unreachable_since.is_some() || worker.last_heartbeat_at.is_some_and(late)
    }

    /// Marks as due for a direct call the workers whose heartbeat is late or that count as unreachable.
    fn probe_late_workers(&mut self, now: f64) {
        let late: Vec<&Worker> = self
            .workers
            .iter()
            .filter(|worker| self.is_late_or_unreachable(worker, now))
            .collect();
        for worker in late {
            self.dispatcher.mark_due(&worker.name);
        }
    }

    /// Returns the direct call that a worker needs; `None` if the worker needs none, or its endpoint is not known.
    fn next_call(&self, name: &str, freshness: &ViewFreshness, now: f64) -> Option<WorkerCall> {
        let worker = self.workers.get(name)?;
        let late_or_unreachable = self.is_late_or_unreachable(worker, now);
        let may_start = freshness.may_start().is_ok();
        let commands = if worker.token_acknowledged {
            reconciliation::commands(worker, may_start, MAX_COMMANDS)
        } else {
            Vec::new()
        };
        let revocation =
            reconciliation::pending_revocation(worker).filter(|_| worker.token_acknowledged);
        let revokes_urgently = revocation.is_some_and(|reason| reason.is_urgent());
        let awaits_fence = worker.token_acknowledged && worker.awaits_fence_ack();
        // A late worker is probed before it counts as unresponsive: it may be sending its heartbeats to a
        // controller that does not respond to them.
        let needs_probe =
            worker.token_acknowledged && !worker.termination_recorded && late_or_unreachable;
        let may_be_up = worker.last_heartbeat_at.is_some()
            || worker.listed_running
            || !worker.bindings.is_empty();
        let announces_epoch =
            !worker.token_acknowledged && !worker.termination_recorded && may_be_up;
        // `Clear` commands can wait for the worker's next heartbeat.
        let has_urgent = commands
            .iter()
            .any(|command| command.kind != CommandKind::Clear);
        let is_needed =
            has_urgent || revokes_urgently || awaits_fence || needs_probe || announces_epoch;
        if !is_needed || worker.endpoint.is_empty() {
            return None;
        }
        let response = if !worker.token_acknowledged || late_or_unreachable {
            ResponseExpectation::Uncertain
        } else {
            ResponseExpectation::Expected
        };
        Some(WorkerCall {
            worker: name.to_owned(),
            commands,
            is_urgent: revokes_urgently,
            response,
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
        self.dispatcher.record_call_started(&name, call.response);
        self.dispatcher.record_sent(&name, &commands.commands, now);
        let context = WorkerRequestContext {
            epoch: self.epoch,
            worker: name,
            commands: commands.commands.clone(),
        };
        let within_s = self.settings.deployment.workers.heartbeat_interval_s / 2.0;
        effects.call_worker(
            context,
            endpoint,
            WorkerRequest::Commands(commands),
            within_s,
        );
    }

    /// Handles the outcome of a direct call: a response, no response, or a call that was not sent.
    pub fn on_worker_response(
        &mut self,
        context: &WorkerRequestContext,
        response: WorkerResponse,
        now: f64,
    ) {
        self.dispatcher.record_call_finished(&context.worker);
        if let Some(worker) = self.workers.get_mut(&context.worker) {
            worker.record_call_outcome(&context.commands, call_outcome(&response));
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
                let target = self.workers.get(&context.worker).map(target_incarnation);
                if target.is_some_and(|incarnation| heartbeat.incarnation >= incarnation) {
                    // The worker has now shown an incarnation that it accepts calls for, so the next call can follow
                    // at once. If it shows an earlier incarnation than the leader's calls are for, the instance has
                    // lost its stored incarnation, and would reject the next call too.
                    self.dispatcher.forget_last_dispatch(&context.worker);
                }
                heartbeat
            }
            WorkerResponse::NotSent
            | WorkerResponse::Unreachable
            | WorkerResponse::OutcomeUnknown => return,
        };
        if heartbeat.worker != context.worker {
            tracing::warn!(worker = context.worker, "unexpected worker at endpoint");
            return;
        }
        if let Err(error) = heartbeat.token.validate() {
            tracing::error!(worker = context.worker, %error, "worker response rejected");
            return;
        }
        if heartbeat.token.epoch() > self.epoch {
            self.emit(LeaderEvent::HigherEpochSeen(heartbeat.token.epoch()));
            return;
        }
        self.apply_heartbeat(&heartbeat, HeartbeatPath::DirectResponse, now);
    }
}

/// Returns what the response to a direct call shows about whether its commands were executed.
fn call_outcome(response: &WorkerResponse) -> CallOutcome {
    match response {
        WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => CallOutcome::Answered,
        WorkerResponse::OutcomeUnknown => CallOutcome::Unanswered,
        WorkerResponse::NotSent | WorkerResponse::Unreachable => CallOutcome::NotSent,
    }
}
