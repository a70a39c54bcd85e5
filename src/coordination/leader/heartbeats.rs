//! Heartbeats of workers: updates the table of workers from them, and responds with commands. A heartbeat lists the
//! tasks on the worker and the highest fencing token that the worker has received.

use super::{Leader, LeaderEvent};
use crate::bookkeeping::permits::{GuardedAction, ViewFreshness};
use crate::bookkeeping::reconciliation;
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::protocol::worker::{
    Command, CommandBatch, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
};
use std::collections::BTreeMap;

/// Maximum number of commands in one message; keeps a message well below the size limit of messages.
pub(super) const MAX_COMMANDS: usize = 300;

/// How a heartbeat reached the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatPath {
    /// The worker sent it as a request; a response with status 200 renews the worker's lease.
    Request,
    /// The worker sent it in its response to a direct call; direct calls renew no lease.
    DirectResponse,
}

/// How the controller responds to a worker's heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Status 200 with these commands; renews the worker's lease.
    Commands(CommandBatch),
    /// A response that does not renew the worker's lease, because this controller does not lead or may not know of
    /// all cancelled jobs. During recovery, also because the worker runs a task of a job that has ended, or because
    /// too many heartbeats are buffered.
    LeaseNotRenewed,
    /// Status 421: the worker has seen a higher epoch than this leader's.
    NewerLeaderExists,
}

impl Leader {
    /// Handles a heartbeat that a worker sent as a request. The response renews the worker's lease if `freshness`
    /// allows it. `is_open` returns whether the controller's view shows a job as open; it is used only during
    /// recovery, while the leader's table of jobs is not complete.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        freshness: &ViewFreshness,
        is_open: impl Fn(&str) -> bool,
        now: f64,
    ) -> HeartbeatOutcome {
        if heartbeat.token.epoch() > self.epoch {
            self.emit(LeaderEvent::HigherEpochSeen(heartbeat.token.epoch()));
            return HeartbeatOutcome::NewerLeaderExists;
        }
        let renewal = freshness.may_renew();
        self.decisions.count(GuardedAction::RenewLease, renewal);
        if let Err(reason) = renewal {
            tracing::debug!(
                worker = heartbeat.worker,
                ?reason,
                lease_age_s = freshness.lease_age_s,
                view_age_s = freshness.view_age_s,
                "worker lease not renewed"
            );
            return HeartbeatOutcome::LeaseNotRenewed;
        }
        if let Some(recovery) = &mut self.recovery {
            // The leader can't send stop commands before recovery completes, however long that takes.
            // Until then, it does not renew the leases of workers that run tasks of jobs that have
            // ended, so that these tasks stop when the lease expires.
            let runs_ended_job = heartbeat
                .tasks
                .iter()
                .filter(|task_status| task_status.state != TaskState::Exited)
                .filter_map(|task_status| TaskId::parse(&task_status.task).ok())
                .any(|task| !is_open(&task.job));
            if runs_ended_job || !recovery.buffer_heartbeat(heartbeat) {
                return HeartbeatOutcome::LeaseNotRenewed;
            }
            return self.respond_to_heartbeat(heartbeat, Vec::new(), freshness);
        }
        let is_newest = self.apply_heartbeat(heartbeat, HeartbeatPath::Request, now);
        self.revoke_pending_starts(&heartbeat.worker);
        let Some(worker) = self.workers.get(&heartbeat.worker).filter(|_| is_newest) else {
            // The heartbeat was ignored, for example because a newer one is known. Its list of tasks may be out of
            // date, so no commands are derived from it.
            return self.respond_to_heartbeat(heartbeat, Vec::new(), freshness);
        };
        let may_start = freshness.may_start().is_ok();
        let commands = reconciliation::commands(worker, may_start, MAX_COMMANDS);
        if may_start && commands.len() < MAX_COMMANDS {
            // The response carries all commands that the worker needs. The next heartbeat shows their
            // effect, so no direct call is needed before that.
            self.dispatcher
                .record_sent(&heartbeat.worker, &commands, now);
        }
        self.respond_to_heartbeat(heartbeat, commands, freshness)
    }

    fn respond_to_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        commands: Vec<Command>,
        freshness: &ViewFreshness,
    ) -> HeartbeatOutcome {
        let path = DeliveryPath::HeartbeatResponse(heartbeat.sequence);
        let batch = self.prepare_commands(&heartbeat.worker, commands, path, freshness);
        HeartbeatOutcome::Commands(batch)
    }

    /// Updates the worker from a heartbeat that arrived by either path. Returns false if the heartbeat was ignored:
    /// it is not newer than the newest one known, it shows a lower token than before, or its worker was removed after
    /// the instance had been deleted.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        path: HeartbeatPath,
        now: f64,
    ) -> bool {
        let name = &heartbeat.worker;
        let is_known = self.workers.get(name).is_some();
        if !is_known && self.fleet.is_deleted(name) {
            return false;
        }
        if !is_known {
            tracing::info!(worker = name, "unknown worker registered");
        }
        let previous_leader_deadline = self.leases.previous_leader_deadline();
        let worker = self.workers.get_or_insert_with(name, || {
            registered_worker(heartbeat, previous_leader_deadline, now)
        });
        if !worker.is_newer(heartbeat) {
            renew_by_late_heartbeat(worker, path);
            return false;
        }
        if worker.shows_lower_token(heartbeat) {
            ignore_lower_token(worker, heartbeat, now);
            return false;
        }
        renew_lease(worker, path, now);
        let is_new_incarnation = heartbeat.incarnation > worker.incarnation;
        if is_new_incarnation {
            begin_incarnation(worker, now);
        } else if path == HeartbeatPath::Request {
            worker
                .pending_starts
                .drop_responses_before(heartbeat.sequence);
        }
        let tasks = observed_tasks(heartbeat);
        if !is_new_incarnation && worker.has_lost_bound_task(&tasks) {
            restart_lease(worker, now);
        }
        record_heartbeat(worker, heartbeat, tasks, now);
        self.acknowledge_token(heartbeat, now);
        if is_new_incarnation {
            // When a worker begins a new incarnation, it kills and forgets all tasks of the earlier ones.
            self.end_lost_bindings(name, |binding| binding.incarnation < heartbeat.incarnation);
            self.scheduling.request();
        }
        self.reconcile_bindings(name, now);
        if heartbeat.reclaim_in_s.is_some() {
            self.evict_before_reclaim(name, now);
        }
        self.dispatcher.mark_due(name);
        true
    }

    /// Marks the worker as knowing this epoch if its heartbeat shows the epoch. Such a worker receives this leader's
    /// messages, and accepts no lease renewal or command from an earlier leader any more, so its lease counts as
    /// renewed now and not at a later time.
    fn acknowledge_token(&mut self, heartbeat: &WorkerHeartbeat, now: f64) {
        if heartbeat.token.epoch() != self.epoch {
            return;
        }
        self.leases.on_heartbeat(now);
        let Some(worker) = self.workers.get_mut(&heartbeat.worker) else {
            return;
        };
        worker.observe_fence(heartbeat.token.fence());
        if !worker.token_acknowledged {
            worker.token_acknowledged = true;
            worker.lease_renewed_at = now;
            self.scheduling.request();
        }
    }
}

/// Creates the entry of a worker that was not known before this heartbeat. An earlier leader may renew the worker's
/// lease until `previous_leader_deadline`.
fn registered_worker(
    heartbeat: &WorkerHeartbeat,
    previous_leader_deadline: f64,
    now: f64,
) -> Worker {
    let mut worker = Worker::new(
        &heartbeat.worker,
        &heartbeat.instance_type,
        &heartbeat.zone,
        heartbeat.spot,
        now,
    );
    worker.lease_renewed_at = previous_leader_deadline;
    worker
}

/// Handles a heartbeat that is not newer than the newest one known: a duplicate, or a request that was overtaken by a
/// heartbeat in the response to a direct call. If it is a request and the worker still waits for the response, the
/// response renews the worker's lease from the time at which the worker sent the request. That time is before the
/// newest heartbeat arrived, so the lease counts as renewed at the time of that arrival.
fn renew_by_late_heartbeat(worker: &mut Worker, path: HeartbeatPath) {
    if let (HeartbeatPath::Request, Some(last)) = (path, worker.last_heartbeat_at) {
        worker.lease_renewed_at = worker.lease_renewed_at.max(last);
    }
}

/// Handles a heartbeat with a lower token than the worker showed before. The instance has restarted and lost its
/// stored incarnation and token. The heartbeat was sent before or after that restart; its sequence number and
/// incarnation don't tell which. The list of tasks in it therefore can't be compared with the present bindings, and
/// is ignored. If the heartbeat was sent after the restart, the response gives the worker the present token and
/// renews its lease, counted from a time that is not later than now; the worker's next heartbeat is then processed as
/// usual.
fn ignore_lower_token(worker: &mut Worker, heartbeat: &WorkerHeartbeat, now: f64) {
    tracing::warn!(
        worker = worker.name,
        incarnation = heartbeat.incarnation,
        sequence = heartbeat.sequence,
        token = %heartbeat.token,
        known_incarnation = worker.incarnation,
        known_sequence = worker.sequence,
        known_token = %worker.token,
        "worker heartbeat ignored: lower token than before"
    );
    worker.lease_renewed_at = worker.lease_renewed_at.max(now);
}

/// Records that the response to a worker's heartbeat renews the worker's lease. A heartbeat that came in the response
/// to a direct call gets no response and renews no lease.
fn renew_lease(worker: &mut Worker, path: HeartbeatPath, now: f64) {
    if path == HeartbeatPath::DirectResponse {
        return;
    }
    worker.last_reported_at = Some(now);
    worker.is_not_reporting = false;
    worker.lease_renewed_at = if worker.token_acknowledged {
        now
    } else {
        // The worker may still accept renewals by an earlier leader. `lease_renewed_at` lies in the future as long as
        // that leader may renew leases: it is then the time until which it may.
        worker.lease_renewed_at.max(now)
    };
}

/// Resets what depends on the worker's incarnation, after a heartbeat of a new one.
fn begin_incarnation(worker: &mut Worker, now: f64) {
    if worker.last_heartbeat_at.is_some() {
        // The worker's previous incarnation ended although the leader responded to its heartbeats: the responses may
        // not reach the worker.
        worker.unreachable_since = Some(now);
    }
    worker.pending_starts.clear_for_new_incarnation();
    worker.idle_since = now;
    // The lease runs from the beginning of the incarnation, which is not later than now. This is also needed if the
    // first heartbeat of the incarnation came in the response to a direct call, which does not renew the lease.
    worker.lease_renewed_at = worker.lease_renewed_at.max(now);
}

/// Counts the lease from now, after a heartbeat has shown that the instance has restarted, lost its stored
/// incarnation, and begun the same incarnation again. The lease runs from that second beginning, which is not later
/// than now, but later than the heartbeats that this leader has responded to.
fn restart_lease(worker: &mut Worker, now: f64) {
    tracing::warn!(
        worker = worker.name,
        incarnation = worker.incarnation,
        "bound tasks missing from a later heartbeat of the same incarnation: lease counted from now"
    );
    worker.lease_renewed_at = worker.lease_renewed_at.max(now);
}

/// Updates a worker from its newest heartbeat; `tasks` are the statuses in that heartbeat, by task.
fn record_heartbeat(
    worker: &mut Worker,
    heartbeat: &WorkerHeartbeat,
    tasks: BTreeMap<TaskId, Vec<TaskStatus>>,
    now: f64,
) {
    if worker.last_heartbeat_at.is_none() {
        tracing::info!(
            worker = heartbeat.worker,
            instance_type = heartbeat.instance_type,
            zone = heartbeat.zone,
            spot = heartbeat.spot,
            after_s = now - worker.first_seen_at,
            "worker registered"
        );
        worker.idle_since = now;
        worker.unavailability = None;
    }
    worker.incarnation = heartbeat.incarnation;
    worker.sequence = heartbeat.sequence;
    worker.token = heartbeat.token;
    worker.first_heartbeat_at.get_or_insert(now);
    worker.last_heartbeat_at = Some(now);
    worker.has_been_up = true;
    worker.is_silent = false;
    worker.endpoint.clone_from(&heartbeat.endpoint);
    worker.reclaim_at = heartbeat.reclaim_in_s.map(|left_s| now + left_s);
    worker.observed_tasks = tasks;
}

/// Groups the statuses in a heartbeat by task. Statuses whose task id can't be parsed are left out.
fn observed_tasks(heartbeat: &WorkerHeartbeat) -> BTreeMap<TaskId, Vec<TaskStatus>> {
    let mut statuses: BTreeMap<TaskId, Vec<TaskStatus>> = BTreeMap::new();
    for status in &heartbeat.tasks {
        if let Ok(task) = TaskId::parse(&status.task) {
            statuses.entry(task).or_default().push(status.clone());
        }
    }
    statuses
}
