//! Reports of workers: what they tell, and the orders that answer them.

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
    /// 200 with these orders.
    Commands(CommandBatch),
    /// Nothing that renews its lease: what runs there may be cancelled.
    LeaseNotRenewed,
    /// The worker has seen a higher Epoch: 421.
    NewerLeaderExists,
}

impl Leader {
    /// Takes a report that a worker sent by itself. The answer renews its lease, if `knowledge` allows
    /// it. `is_open`: the open jobs that this node knows of besides the tables.
    pub fn on_heartbeat(
        &mut self,
        report: &WorkerHeartbeat,
        knowledge: &ViewFreshness,
        is_open: impl Fn(&str) -> bool,
        now: f64,
    ) -> HeartbeatOutcome {
        if report.token.epoch() > self.epoch {
            self.emit(LeaderEvent::HigherEpochSeen(report.token.epoch()));
            return HeartbeatOutcome::NewerLeaderExists;
        }
        let renewal = knowledge.may_renew();
        self.decisions.count(PermitKind::RenewLease, renewal);
        if let Err(reason) = renewal {
            tracing::debug!(
                host = report.worker,
                ?reason,
                lease_age_s = knowledge.lease_age_s,
                view_age_s = knowledge.view_age_s,
                "lease not renewed"
            );
            return HeartbeatOutcome::LeaseNotRenewed;
        }
        if self.recovery() {
            // Nothing can be stopped yet, however long it takes to load: workers with tasks of jobs
            // that are over don't have their leases renewed meanwhile.
            let runs_closed = report
                .tasks
                .iter()
                .filter(|step| step.state != TaskState::Exited)
                .filter_map(|step| TaskId::parse(&step.task))
                .any(|task| !is_open(&task.job));
            let known = self.buffered_heartbeats.contains_key(&report.worker);
            if runs_closed || (!known && self.buffered_heartbeats.len() >= MAX_BUFFERED_HEARTBEATS) {
                return HeartbeatOutcome::LeaseNotRenewed;
            }
            self.buffered_heartbeats.insert(report.worker.clone(), report.clone());
            return self.respond_to_heartbeat(report, Vec::new(), knowledge);
        }
        let newer = self.apply_heartbeat(report, true, now);
        self.revoke_pending_starts(&report.worker);
        let Some(host) = self.workers.get(&report.worker).filter(|_| newer) else {
            // Late: an answer renews nothing, and its task list is old.
            return self.respond_to_heartbeat(report, Vec::new(), knowledge);
        };
        let may_start = knowledge.may_start().is_ok();
        let orders = host.commands(may_start, MAX_COMMANDS);
        if may_start && orders.len() < MAX_COMMANDS {
            // The answer carries all; the next report shows what came of it.
            self.dispatch_due.remove(&report.worker);
            self.last_dispatch
                .insert(report.worker.clone(), (orders.clone(), now));
        }
        self.respond_to_heartbeat(report, orders, knowledge)
    }

    fn respond_to_heartbeat(
        &mut self,
        report: &WorkerHeartbeat,
        orders: Vec<Command>,
        knowledge: &ViewFreshness,
    ) -> HeartbeatOutcome {
        let way = DeliveryPath::HeartbeatResponse(report.sequence);
        HeartbeatOutcome::Commands(self.prepare_commands(&report.worker, orders, way, knowledge))
    }

    /// Takes a report from whatever way. False: a newer one is known.
    pub(super) fn apply_heartbeat(
        &mut self,
        report: &WorkerHeartbeat,
        by_itself: bool,
        now: f64,
    ) -> bool {
        let since = self.previous_leader_deadline;
        let known = self.workers.get(&report.worker).is_some();
        if !known && self.fleet.is_deleted(&report.worker) {
            return false;
        }
        let host = self.workers.entry(&report.worker, || {
            let mut host = Worker::new(
                &report.worker,
                &report.instance_type,
                &report.zone,
                report.spot,
                now,
            );
            host.lease_renewed_at = since;
            host
        });
        if !known {
            tracing::info!(host = report.worker, "a machine nobody expected reports");
        }
        if !host.is_newer(report) {
            // A copy, or overtaken by a direct answer. Should the worker still wait for our answer,
            // its lease counts from when it sent this, which was before the newest word we had.
            if let Some(heard) = host.last_heartbeat_at.filter(|_| by_itself) {
                host.lease_renewed_at = host.lease_renewed_at.max(heard);
            }
            return false;
        }
        if by_itself {
            host.lease_renewed_at = if host.token_acknowledged {
                now
            } else {
                host.lease_renewed_at.max(now)
            };
        }
        let ours = report.token.epoch() == self.epoch;
        let new_session = report.incarnation > host.incarnation;
        if new_session {
            if host.last_heartbeat_at.is_some() {
                // It lost a session although we answered it: perhaps our answers don't arrive.
                host.unreachable_since = Some(now);
            }
            host.pending_starts.end_session();
            host.idle_since = now;
            // Its lease runs from its beginning, of which a direct answer may be the first word.
            host.lease_renewed_at = host.lease_renewed_at.max(now);
        } else if by_itself {
            host.pending_starts.settle_responses(report.sequence);
        }
        if host.last_heartbeat_at.is_none() {
            tracing::info!(
                host = report.worker,
                flavor = report.instance_type,
                zone = report.zone,
                spot = report.spot,
                after_s = now - host.first_seen_at,
                "machine is up"
            );
            host.idle_since = now;
        }
        host.incarnation = report.incarnation;
        host.sequence = report.sequence;
        host.first_heartbeat_at.get_or_insert(now);
        host.last_heartbeat_at = Some(now);
        if ours {
            host.observe_fence(report.token.fence());
            // Only who has our Epoch shows that we are heard, too.
            self.last_heartbeat_at = Some(now);
        }
        host.endpoint.clone_from(&report.endpoint);
        host.reclaim_at = report.reclaim_in_s.map(|left| now + left);
        if ours && !host.token_acknowledged {
            // From here on nobody else's answers renew its lease, or reach it at all.
            host.token_acknowledged = true;
            host.lease_renewed_at = now;
            self.schedule_due = true;
        }
        let mut steps: BTreeMap<TaskId, Vec<TaskStatus>> = BTreeMap::new();
        for step in &report.tasks {
            if let Some(task) = TaskId::parse(&step.task) {
                steps.entry(task).or_default().push(step.clone());
            }
        }
        host.observed_tasks = steps;
        let name = report.worker.clone();
        if new_session {
            // A new session has killed and forgotten all tasks of the earlier ones.
            let tenure = report.incarnation;
            self.end_lost_bindings(&name, |binding| binding.incarnation < tenure);
            self.schedule_due = true;
        }
        self.reconcile_bindings(&name, now);
        if report.reclaim_in_s.is_some() {
            self.evict_before_reclaim(&name, now);
        }
        self.dispatch_due.insert(name);
        true
    }
}
