//! Failure detection: finds workers to be released because they are unresponsive, faulty, reclaimed or never
//! came up. The silence of workers that a partition explains is no reason (see `partitions`).

use super::Leader;
use super::fleet::{PoolKey, ScaleInReason};
use super::partitions::PARTITION_LEASES;
use crate::bookkeeping::workers::Worker;

/// Time after which an instance that is not up is released, in units of its usual boot time.
pub(super) const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Time after which an instance that the cloud no longer lists counts as lost, in units of the list lag (the time by
/// which the cloud's list may be out of date). The usual boot time is added to it for an instance that never came up.
const LIST_LAGS_UNTIL_LOST: f64 = 4.0;
/// Time without a heartbeat after which a worker counts as having missed one, in heartbeat intervals. The usual
/// variation of the intervals does not explain so long a gap.
pub(super) const MISSED_HEARTBEATS: f64 = 1.5;
impl Leader {
    /// Releases the workers that have failed or were reclaimed.
    pub(super) fn remove_failed_workers(&mut self, now: f64) {
        let is_isolated = self.is_isolated(now);
        let failed: Vec<(String, ScaleInReason)> = self
            .workers
            .iter()
            .filter(|worker| !worker.terminating)
            .filter_map(|worker| {
                let reason = self.removal_reason(worker, is_isolated, now)?;
                Some((worker.name.clone(), reason))
            })
            .collect();
        for (name, reason) in failed {
            self.scale_in(&name, reason);
        }
        self.exchange_lost_worker(now);
    }

    /// Releases one of the workers that are kept although all workers have been out of contact for long, if tasks wait
    /// and the cloud has no capacity for another instance in the worker's pool. The instance that takes its place shows
    /// whether there is a partition. One worker at a time is released, so that a partition doesn't cost the fleet.
    fn exchange_lost_worker(&mut self, now: f64) {
        if now < self.fleet.next_exchange_at
            || self.scheduling.pending_demand.is_empty()
            || !self.has_lost_all_workers()
        {
            return;
        }
        let longest_lost = self
            .workers
            .iter()
            .filter(|worker| worker.has_been_up && !worker.terminating)
            .filter(|worker| self.is_long_lost(worker, now))
            .filter(|worker| self.fleet.is_blocked(&PoolKey::of(worker), now))
            .max_by(|a, b| a.unavailable_s(now).total_cmp(&b.unavailable_s(now)))
            .map(|worker| worker.name.clone());
        if let Some(name) = longest_lost {
            self.fleet.next_exchange_at = now + self.settings.deployment.workers.lease_s;
            self.scale_in(&name, ScaleInReason::Unresponsive);
        }
    }

    /// Returns the reason to release a worker; `None` if there is none. While this controller `is_isolated`, or while
    /// a worker is kept because of a partition, the worker's silence is no reason, unless the worker need not be kept
    /// any longer.
    fn removal_reason(
        &self,
        worker: &Worker,
        is_isolated: bool,
        now: f64,
    ) -> Option<ScaleInReason> {
        let boot_time_s = self.usual_boot_time_s(&worker.instance_type);
        let is_held = is_isolated && !self.is_hold_over(worker, now);
        let silence_counts = !is_held && !self.is_kept_during_partition(worker, now);
        if self.is_reclaimed(worker, now) {
            Some(ScaleInReason::Reclaimed)
        } else if self.has_boot_timed_out(worker, boot_time_s, now) {
            Some(ScaleInReason::BootTimedOut)
        } else if silence_counts && self.is_unresponsive(worker, now) {
            Some(ScaleInReason::Unresponsive)
        } else if silence_counts && self.is_unreachable(worker, now) {
            Some(ScaleInReason::Unreachable)
        } else if worker.is_not_reporting && self.is_hold_over(worker, now) {
            Some(ScaleInReason::Unresponsive)
        } else if worker.failures.is_quarantined() {
            Some(ScaleInReason::FailsTasks)
        } else if self.is_no_longer_listed(worker, boot_time_s) {
            Some(ScaleInReason::NotListed)
        } else {
            None
        }
    }

    /// Whether the time has passed at which the cloud announced to reclaim the instance, with a margin of one
    /// heartbeat interval. An instance without bound tasks counts as reclaimed from the announcement on.
    fn is_reclaimed(&self, worker: &Worker, now: f64) -> bool {
        worker.reclaim_at.is_some_and(|at| {
            now > at + self.fleet.heartbeat_interval_s || worker.bindings.is_empty()
        })
    }

    /// Whether an instance is still not up long after the usual boot time. An instance that the cloud lists as
    /// running may have booted under an earlier leader, and gets the time of a worker lease from this leader's
    /// election to send it a heartbeat.
    fn has_boot_timed_out(&self, worker: &Worker, boot_time_s: f64, now: f64) -> bool {
        !worker.has_been_up
            && now - worker.first_seen_at > BOOT_TIMEOUT_FACTOR * boot_time_s
            && (!worker.listed_running
                || now - self.elected_at > self.settings.deployment.workers.lease_s)
    }

    /// Whether a worker is unresponsive. It is in either of two cases: its heartbeat is late, and a direct call made
    /// after the last heartbeat has failed; or it has been silent for so long that it counts as unresponsive even
    /// without a failed call.
    fn is_unresponsive(&self, worker: &Worker, now: f64) -> bool {
        let worker_settings = &self.settings.deployment.workers;
        self.leases.silent_since(worker).is_some_and(|since| {
            let silent_s = now - since;
            let call_failed = worker.unreachable_since.is_some_and(|at| at >= since);
            let max_silence_s = match worker.last_heartbeat_at {
                Some(_) => worker_settings.lease_s / 2.0,
                None => worker_settings.lease_s,
            };
            silent_s > max_silence_s
                || (call_failed
                    && silent_s > MISSED_HEARTBEATS * worker_settings.heartbeat_interval_s)
        })
    }

    /// Whether, as far as this leader knows, neither responses nor commands have reached a worker for the time of its
    /// lease.
    fn is_unreachable(&self, worker: &Worker, now: f64) -> bool {
        worker
            .unreachable_since
            .is_some_and(|at| now - at > self.settings.deployment.workers.lease_s)
    }

    /// Whether an instance has disappeared from the cloud's list: a list that was read long after the last sign of the
    /// instance lacks it. Only for workers that are silent, and for instances that never came up. The list shows that
    /// the instance is gone even if this controller is isolated from its workers.
    fn is_no_longer_listed(&self, worker: &Worker, boot_time_s: f64) -> bool {
        let list_lost_s = LIST_LAGS_UNTIL_LOST * self.fleet.list_lag_s;
        let Some(listed_as_of) = self.fleet.listed_as_of() else {
            return false;
        };
        let last_listed_at = worker.last_listed_at.unwrap_or(worker.first_seen_at);
        match worker.last_heartbeat_at {
            Some(at) => worker.is_silent && listed_as_of - at.max(last_listed_at) > list_lost_s,
            None => {
                worker.last_listed_at.is_some()
                    && listed_as_of - last_listed_at > list_lost_s + boot_time_s
                    && worker.bindings.is_empty()
            }
        }
    }

    /// Whether a worker that is kept because this controller may be isolated need not be kept any longer: it is long
    /// lost, and other workers are in contact or no task waits for capacity. Otherwise it is kept, since a partition that
    /// ends would bring it back.
    fn is_hold_over(&self, worker: &Worker, now: f64) -> bool {
        self.is_long_lost(worker, now)
            && (!self.has_lost_all_workers() || self.scheduling.pending_demand.is_empty())
    }

    /// Whether a worker has no tasks and has been unavailable for longer than workers are kept because of a partition.
    /// The tasks of a worker that can't be called, but whose lease is renewed, go on.
    fn is_long_lost(&self, worker: &Worker, now: f64) -> bool {
        let max_s = PARTITION_LEASES * self.settings.deployment.workers.lease_s;
        worker.bindings.is_empty() && worker.unavailable_s(now) > max_s
    }
}
