//! Heartbeats of workers: what the leader learns from them, and the commands that answer them.

use super::{Leader, LeaderEvent};
use crate::bookkeeping::permits::{GuardedAction, ViewFreshness};
use crate::bookkeeping::reconciliation;
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::protocol::worker::{
    Command, CommandBatch, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
};
use std::collections::BTreeMap;

/// Commands in one message, well below the size limit of messages.
pub(super) const MAX_COMMANDS: usize = 300;

/// By which path a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatPath {
    /// A request of the worker; the answer renews its lease.
    Request,
    /// The answer to a direct call.
    DirectAnswer,
}

/// What to answer a worker.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with these commands.
    Commands(CommandBatch),
    /// An answer that does not renew its lease: what runs there may have been cancelled.
    LeaseNotRenewed,
    /// The worker has seen a higher epoch: 421.
    NewerLeaderExists,
}

impl Leader {
    /// Takes a heartbeat that a worker sent as a request. The answer renews its lease if `freshness`
    /// allows it. `is_open` tells the open jobs that this controller knows besides the tables.
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
            // Nothing can be stopped yet, however long recovery takes: workers with tasks of jobs
            // that have ended don't have their leases renewed meanwhile.
            let runs_closed = heartbeat
                .tasks
                .iter()
                .filter(|task_status| task_status.state != TaskState::Exited)
                .filter_map(|task_status| TaskId::parse(&task_status.task).ok())
                .any(|task| !is_open(&task.job));
            if runs_closed || !recovery.buffer_heartbeat(heartbeat) {
                return HeartbeatOutcome::LeaseNotRenewed;
            }
            return self.respond_to_heartbeat(heartbeat, Vec::new(), freshness);
        }
        let is_newest = self.apply_heartbeat(heartbeat, HeartbeatPath::Request, now);
        self.revoke_pending_starts(&heartbeat.worker);
        let Some(worker) = self.workers.get(&heartbeat.worker).filter(|_| is_newest) else {
            // Late: its answer renews nothing, and its task list is old.
            return self.respond_to_heartbeat(heartbeat, Vec::new(), freshness);
        };
        let may_start = freshness.may_start().is_ok();
        let commands = reconciliation::commands(worker, may_start, MAX_COMMANDS);
        if may_start && commands.len() < MAX_COMMANDS {
            // The answer carries all commands; the next heartbeat shows what became of them.
            self.dispatcher.sent(&heartbeat.worker, &commands, now);
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

    /// Takes a heartbeat that came by either path. Returns false if a newer one is known.
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
        let lease_from = self.leases.previous_leader_deadline();
        let worker = self
            .workers
            .get_or_insert_with(name, || registered_worker(heartbeat, lease_from, now));
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
            // A new incarnation has killed and forgotten all tasks of the earlier ones.
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

    /// Takes note of a worker that knows this epoch: it receives this leader's answers, and from its
    /// first such heartbeat on no other leader renews its lease or reaches it at all.
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

/// A worker that was not known before its heartbeat. An earlier leader may have renewed its lease
/// until `lease_from`.
fn registered_worker(heartbeat: &WorkerHeartbeat, lease_from: f64, now: f64) -> Worker {
    let mut worker = Worker::new(
        &heartbeat.worker,
        &heartbeat.instance_type,
        &heartbeat.zone,
        heartbeat.spot,
        now,
    );
    worker.lease_renewed_at = lease_from;
    worker
}

/// A copy, or a heartbeat that a direct answer has overtaken. Should the worker still wait for our
/// answer, its lease counts from when it sent this, which was before its newest heartbeat.
fn renew_by_late_heartbeat(worker: &mut Worker, path: HeartbeatPath) {
    if let (HeartbeatPath::Request, Some(last)) = (path, worker.last_heartbeat_at) {
        worker.lease_renewed_at = worker.lease_renewed_at.max(last);
    }
}

/// A machine that has restarted and forgotten its incarnations sent this, after the restart or before it: the
/// numbers don't tell which. Its tasks are not those that are bound there now, or were not yet. Sent after it,
/// the answer tells the worker the token, renews its lease from now at the latest, and the next heartbeat counts.
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

/// The answer to a worker's request renews its lease.
fn renew_lease(worker: &mut Worker, path: HeartbeatPath, now: f64) {
    if path == HeartbeatPath::DirectAnswer {
        return;
    }
    worker.lease_renewed_at = if worker.token_acknowledged {
        now
    } else {
        // An earlier leader may have renewed it for longer.
        worker.lease_renewed_at.max(now)
    };
}

/// The worker has begun a new incarnation.
fn begin_incarnation(worker: &mut Worker, now: f64) {
    if worker.last_heartbeat_at.is_some() {
        // It lost an incarnation although we answered it: perhaps our answers don't arrive.
        worker.unreachable_since = Some(now);
    }
    worker.pending_starts.clear_for_new_incarnation();
    worker.idle_since = now;
    // Its lease runs from its beginning, which a direct answer may be the first to show.
    worker.lease_renewed_at = worker.lease_renewed_at.max(now);
}

/// The machine has restarted, and its incarnation has begun once more: the lease runs from that beginning, which
/// lies after the heartbeats that were answered before.
fn restart_lease(worker: &mut Worker, now: f64) {
    tracing::warn!(
        worker = worker.name,
        incarnation = worker.incarnation,
        "worker has lost tasks within its incarnation: lease counted from now"
    );
    worker.lease_renewed_at = worker.lease_renewed_at.max(now);
}

/// Takes over what a worker's newest heartbeat says, with its `tasks`.
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
    }
    worker.incarnation = heartbeat.incarnation;
    worker.sequence = heartbeat.sequence;
    worker.token = heartbeat.token;
    worker.first_heartbeat_at.get_or_insert(now);
    worker.last_heartbeat_at = Some(now);
    worker.endpoint.clone_from(&heartbeat.endpoint);
    worker.reclaim_at = heartbeat.reclaim_in_s.map(|left_s| now + left_s);
    worker.observed_tasks = tasks;
}

/// The statuses of a heartbeat by task; what is no task of ours is left out.
fn observed_tasks(heartbeat: &WorkerHeartbeat) -> BTreeMap<TaskId, Vec<TaskStatus>> {
    let mut statuses: BTreeMap<TaskId, Vec<TaskStatus>> = BTreeMap::new();
    for status in &heartbeat.tasks {
        if let Ok(task) = TaskId::parse(&status.task) {
            statuses.entry(task).or_default().push(status.clone());
        }
    }
    statuses
}
