//! Reports of workers: what they tell, and the orders that answer them.

use super::{Leader, MAX_EARLY, Notice};
use crate::bookkeeping::permits::{PermitKind, ViewFreshness};
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::protocol::worker::{
    Command, CommandBatch, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
};
use std::collections::BTreeMap;

/// Orders in one message, well below the size limit of messages.
pub(super) const MAX_ORDERS: usize = 300;

/// What to answer a worker.
#[derive(Debug, PartialEq)]
pub enum ReportAnswer {
    /// 200 with these orders.
    Orders(CommandBatch),
    /// Nothing that renews its lease: what runs there may be cancelled.
    NotNow,
    /// The worker has seen a higher Epoch: 421.
    Superseded,
}

impl Leader {
    /// Takes a report that a worker sent by itself. The answer renews its lease, if `knowledge` allows
    /// it. `is_open`: the open jobs that this node knows of besides the tables.
    pub fn report(
        &mut self,
        report: &WorkerHeartbeat,
        knowledge: &ViewFreshness,
        is_open: impl Fn(&str) -> bool,
        now: f64,
    ) -> ReportAnswer {
        if report.token.epoch() > self.epoch {
            self.note(Notice::Epoch(report.token.epoch()));
            return ReportAnswer::Superseded;
        }
        let renewal = knowledge.may_renew();
        self.tally.count(PermitKind::RenewLease, renewal);
        if let Err(reason) = renewal {
            tracing::debug!(
                host = report.worker,
                ?reason,
                lease_age_s = knowledge.lease_age_s,
                view_age_s = knowledge.view_age_s,
                "lease not renewed"
            );
            return ReportAnswer::NotNow;
        }
        if self.loading() {
            // Nothing can be stopped yet, however long it takes to load: workers with tasks of jobs
            // that are over don't have their leases renewed meanwhile.
            let runs_closed = report
                .tasks
                .iter()
                .filter(|step| step.state != TaskState::Exited)
                .filter_map(|step| TaskId::parse(&step.task))
                .any(|task| !is_open(&task.job));
            let known = self.early.contains_key(&report.worker);
            if runs_closed || (!known && self.early.len() >= MAX_EARLY) {
                return ReportAnswer::NotNow;
            }
            self.early.insert(report.worker.clone(), report.clone());
            return self.answer(report, Vec::new(), knowledge);
        }
        let newer = self.take_report(report, true, now);
        self.revoke_where_due(&report.worker);
        let Some(host) = self.hosts.get(&report.worker).filter(|_| newer) else {
            // Late: an answer renews nothing, and its task list is old.
            return self.answer(report, Vec::new(), knowledge);
        };
        let may_start = knowledge.may_start().is_ok();
        let orders = host.commands(may_start, MAX_ORDERS);
        if may_start && orders.len() < MAX_ORDERS {
            // The answer carries all; the next report shows what came of it.
            self.push_due.remove(&report.worker);
            self.pushed_at
                .insert(report.worker.clone(), (orders.clone(), now));
        }
        self.answer(report, orders, knowledge)
    }

    fn answer(
        &mut self,
        report: &WorkerHeartbeat,
        orders: Vec<Command>,
        knowledge: &ViewFreshness,
    ) -> ReportAnswer {
        let way = DeliveryPath::HeartbeatResponse(report.sequence);
        ReportAnswer::Orders(self.send_off(&report.worker, orders, way, knowledge))
    }

    /// Takes a report from whatever way. False: a newer one is known.
    pub(super) fn take_report(
        &mut self,
        report: &WorkerHeartbeat,
        by_itself: bool,
        now: f64,
    ) -> bool {
        let since = self.others_until;
        let known = self.hosts.get(&report.worker).is_some();
        if !known && self.fleet.is_gone(&report.worker) {
            return false;
        }
        let host = self.hosts.entry(&report.worker, || {
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
            self.last_report = Some(now);
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
            self.lose_bindings(&name, |binding| binding.incarnation < tenure);
            self.schedule_due = true;
        }
        self.settle_bindings(&name, now);
        if report.reclaim_in_s.is_some() {
            self.drain(&name, now);
        }
        self.push_due.insert(name);
        true
    }
}
