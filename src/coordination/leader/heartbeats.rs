//! Heartbeats of workers: what they tell, and the commands that answer them.

use super::{Leader, LeaderEvent, MAX_BUFFERED_HEARTBEATS};
use crate::bookkeeping::permits::{PermitKind, ViewFreshness};
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::protocol::worker::{
    Command, CommandBatch, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
};
use std::collections::BTreeMap;

/// Orders in one message, well below the size limit of messages.
pub(super) const MAX_COMMANDS: usize = 300;

/// What to answer a worker.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with these commands.
    Commands(CommandBatch),
    /// Nothing that renews its lease: what runs there may be cancelled.
    LeaseNotRenewed,
    /// The worker has seen a higher epoch: 421.
    NewerLeaderExists,
}

impl Leader {
    /// Takes a heartbeat that a worker sent by itself. The answer renews its lease, if `knowledge` allows
    /// it. `is_open`: the open jobs that this controller knows of besides the tables.
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
        self.decisions.count(PermitKind::RenewLease, renewal);
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
        if self.recovery() {
            // Nothing can be stopped yet, however long it takes to load: workers with tasks of jobs
            // that are over don't have their leases renewed meanwhile.
            let runs_closed = heartbeat
                .tasks
                .iter()
                .filter(|task_status| task_status.state != TaskState::Exited)
                .filter_map(|task_status| TaskId::parse(&task_status.task).ok())
                .any(|task| !is_open(&task.job));
            let known = self.buffered_heartbeats.contains_key(&heartbeat.worker);
            if runs_closed || (!known && self.buffered_heartbeats.len() >= MAX_BUFFERED_HEARTBEATS)
            {
                return HeartbeatOutcome::LeaseNotRenewed;
            }
            self.buffered_heartbeats
                .insert(heartbeat.worker.clone(), heartbeat.clone());
            return self.respond_to_heartbeat(heartbeat, Vec::new(), freshness);
        }
        let newer = self.apply_heartbeat(heartbeat, true, now);
        self.revoke_pending_starts(&heartbeat.worker);
        let Some(worker) = self.workers.get(&heartbeat.worker).filter(|_| newer) else {
            // Late: an answer renews nothing, and its task list is old.
            return self.respond_to_heartbeat(heartbeat, Vec::new(), freshness);
        };
        let may_start = freshness.may_start().is_ok();
        let commands = worker.commands(may_start, MAX_COMMANDS);
        if may_start && commands.len() < MAX_COMMANDS {
            // The answer carries all; the next heartbeat shows what came of it.
            self.dispatch_due.remove(&heartbeat.worker);
            self.last_dispatch
                .insert(heartbeat.worker.clone(), (commands.clone(), now));
        }
        self.respond_to_heartbeat(heartbeat, commands, freshness)
    }

    fn respond_to_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        commands: Vec<Command>,
        freshness: &ViewFreshness,
    ) -> HeartbeatOutcome {
        let way = DeliveryPath::HeartbeatResponse(heartbeat.sequence);
        HeartbeatOutcome::Commands(self.prepare_commands(
            &heartbeat.worker,
            commands,
            way,
            freshness,
        ))
    }

    /// Takes a heartbeat from whatever way. False: a newer one is known.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        by_itself: bool,
        now: f64,
    ) -> bool {
        let since = self.previous_leader_deadline;
        let known = self.workers.get(&heartbeat.worker).is_some();
        if !known && self.fleet.is_deleted(&heartbeat.worker) {
            return false;
        }
        let worker = self.workers.entry(&heartbeat.worker, || {
            let mut worker = Worker::new(
                &heartbeat.worker,
                &heartbeat.instance_type,
                &heartbeat.zone,
                heartbeat.spot,
                now,
            );
            worker.lease_renewed_at = since;
            worker
        });
        if !known {
            tracing::info!(worker = heartbeat.worker, "unknown worker registered");
        }
        if !worker.is_newer(heartbeat) {
            // A copy, or overtaken by a direct answer. Should the worker still wait for our answer,
            // its lease counts from when it sent this, which was before the newest word we had.
            if let Some(heard) = worker.last_heartbeat_at.filter(|_| by_itself) {
                worker.lease_renewed_at = worker.lease_renewed_at.max(heard);
            }
            return false;
        }
        if by_itself {
            worker.lease_renewed_at = if worker.token_acknowledged {
                now
            } else {
                worker.lease_renewed_at.max(now)
            };
        }
        let ours = heartbeat.token.epoch() == self.epoch;
        let new_session = heartbeat.incarnation > worker.incarnation;
        if new_session {
            if worker.last_heartbeat_at.is_some() {
                // It lost an incarnation although we answered it: perhaps our answers don't arrive.
                worker.unreachable_since = Some(now);
            }
            worker.pending_starts.end_session();
            worker.idle_since = now;
            // Its lease runs from its beginning, of which a direct answer may be the first word.
            worker.lease_renewed_at = worker.lease_renewed_at.max(now);
        } else if by_itself {
            worker.pending_starts.settle_responses(heartbeat.sequence);
        }
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
        worker.first_heartbeat_at.get_or_insert(now);
        worker.last_heartbeat_at = Some(now);
        if ours {
            worker.observe_fence(heartbeat.token.fence());
            // Only who has our epoch shows that we are heard, too.
            self.last_heartbeat_at = Some(now);
        }
        worker.endpoint.clone_from(&heartbeat.endpoint);
        worker.reclaim_at = heartbeat.reclaim_in_s.map(|left| now + left);
        if ours && !worker.token_acknowledged {
            // From here on nobody else's answers renew its lease, or reach it at all.
            worker.token_acknowledged = true;
            worker.lease_renewed_at = now;
            self.schedule_due = true;
        }
        let mut statuses: BTreeMap<TaskId, Vec<TaskStatus>> = BTreeMap::new();
        for task_status in &heartbeat.tasks {
            if let Ok(task) = TaskId::parse(&task_status.task) {
                statuses.entry(task).or_default().push(task_status.clone());
            }
        }
        worker.observed_tasks = statuses;
        let name = heartbeat.worker.clone();
        if new_session {
            // A new incarnation has killed and forgotten all tasks of the earlier ones.
            let incarnation = heartbeat.incarnation;
            self.end_lost_bindings(&name, |binding| binding.incarnation < incarnation);
            self.schedule_due = true;
        }
        self.reconcile_bindings(&name, now);
        if heartbeat.reclaim_in_s.is_some() {
            self.evict_before_reclaim(&name, now);
        }
        self.dispatch_due.insert(name);
        true
    }
}
