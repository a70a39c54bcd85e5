//! Scale-in: marks workers as terminating, and deletes their instances.

use super::{CallSchedule, Fleet};
use crate::bookkeeping::permits;
use crate::bookkeeping::wal::LogEntry;
use crate::coordination::effects::{CloudRequestContext, Effects};
use crate::coordination::leader::Leader;
use crate::protocol::cloud::{CloudRequest, CloudResponse, MAX_INSTANCES_PER_DELETE};
use std::collections::HashMap;

/// Time for which confirmed deletions are remembered, in units of the list lag (the time by which the cloud's list
/// may be out of date) or the heartbeat interval, whichever is longer. Before that, a late list or heartbeat may
/// still show the deleted instance.
const DELETION_RETENTION_FACTOR: f64 = 60.0;

/// Why an instance is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination::leader) enum ScaleInReason {
    /// The cloud reclaims it.
    Reclaimed,
    /// It was still not up long after the usual boot time of its instance type.
    BootTimedOut,
    /// It has sent no heartbeat for too long, or has missed one and not responded to a direct call.
    Unresponsive,
    /// Its heartbeats arrive, but neither responses nor commands reach it.
    Unreachable,
    /// Tasks of jobs that succeed on other workers fail on it.
    FailsTasks,
    /// It never sent a heartbeat to this leader, and the cloud no longer lists it.
    NotListed,
    /// The cloud lists it as failed.
    Failed,
    /// No task is bound to it, and its pool has more instances than its target.
    Idle,
    /// Its fence can't be raised any further.
    FenceExhausted,
}

/// Delete requests, and the instances whose deletion was confirmed.
#[derive(Debug, Default)]
pub(super) struct Deletions {
    call: CallSchedule,
    /// Instances whose deletion was confirmed recently, with the time of the confirmation.
    deleted_at: HashMap<String, f64>,
}

impl Fleet {
    /// Whether an instance's deletion was confirmed recently.
    pub(in crate::coordination::leader) fn is_deleted(&self, name: &str) -> bool {
        self.deletions.deleted_at.contains_key(name)
    }

    /// Forgets deletions that are so old that no late list or heartbeat can still show the instance.
    pub(super) fn forget_old_deletions(&mut self, now: f64) {
        let retention_s =
            DELETION_RETENTION_FACTOR * self.list_lag_s.max(self.heartbeat_interval_s);
        let deleted_at = &mut self.deletions.deleted_at;
        deleted_at.retain(|_, at| now - *at < retention_s);
    }
}

impl Leader {
    /// Marks a worker as terminating; its instance may be deleted once that is committed.
    pub(in crate::coordination::leader) fn scale_in(&mut self, name: &str, reason: ScaleInReason) {
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.terminating
        {
            tracing::info!(worker = name, ?reason, "scale-in");
            worker.terminating = true;
            self.commits.push(LogEntry::RecordTermination {
                worker: name.to_owned(),
            });
        }
    }

    /// Requests the deletion of the instances that may be deleted, in one call.
    pub(super) fn delete_instances(&mut self, effects: &mut Effects, now: f64) {
        if !self.fleet.deletions.call.is_due(now) {
            return;
        }
        let names: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| {
                permits::may_delete(worker).is_ok() && !self.fleet.is_deleted(&worker.name)
            })
            .map(|worker| worker.name.clone())
            .take(MAX_INSTANCES_PER_DELETE)
            .collect();
        if names.is_empty() || !self.fleet.rate_limiter.take(1.0, now) {
            return;
        }
        self.fleet.deletions.call.in_flight = true;
        tracing::debug!(workers = ?names, "delete request sent");
        effects.call_cloud(
            CloudRequestContext::DeleteInstances(self.epoch, names.clone()),
            CloudRequest::DeleteInstances(names),
            self.fleet.call_timeout_s(),
        );
    }

    /// Handles the response to a delete request. Confirmed deletions remove the workers and their bindings.
    pub fn on_instances_deleted(&mut self, names: &[String], response: &CloudResponse, now: f64) {
        let retry_at = now + self.fleet.heartbeat_interval_s;
        let call = &mut self.fleet.deletions.call;
        call.in_flight = false;
        if !matches!(response, CloudResponse::Deleted) {
            call.not_before = retry_at;
            return;
        }
        for name in names {
            let deleted_at = &mut self.fleet.deletions.deleted_at;
            deleted_at.insert(name.clone(), now);
            if self.workers.get(name).is_none() {
                continue;
            }
            self.drop_all_bindings(name, now);
            tracing::info!(worker = name, "instance deleted");
            self.commits.push(LogEntry::RemoveWorker {
                worker: name.clone(),
            });
        }
    }
}
