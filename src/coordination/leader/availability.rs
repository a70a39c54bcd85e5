//! Availability of workers over time: tracks since when each worker can't take tasks, ends the states that only time
//! ends, and decides for how long a worker that can't take tasks still counts as capacity of its pool. While it counts,
//! the pool waits for it; afterwards the pool requests another instance for the tasks that wait.
//!
//! What sets and ends each state is listed in docs/incidents/2026-12-04-silent-workers.md.

use super::Leader;
use super::failure_detection::BOOT_TIMEOUT_FACTOR;
use super::fleet::BOOT_OVERDUE_FACTOR;
use super::partitions::{PARTITION_LEASES, RECONNECT_HEARTBEATS};
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::workers::{UnavailableReason, Worker};

/// Time for which a drained worker stays empty before it takes tasks again, in heartbeat intervals: long enough for the
/// replicas that were on it to be bound to other workers.
const DRAINED_HEARTBEATS: f64 = 0.5;

/// Time for which an idle worker that is unavailable is expected back, in units of the worker lease, unless workers need
/// longer to find a leader.
const IDLE_ABSENCE_LEASES: f64 = 0.5;

impl Leader {
    /// Ends the states that time ends, and updates which workers are silent or don't report, and since when and why each
    /// worker can't take tasks.
    pub(super) fn update_availability(&mut self, now: f64) {
        self.end_drains(now);
        self.end_cordons(now);
        let lease_s = self.settings.deployment.workers.lease_s;
        for worker in self.workers.iter_mut() {
            let silent_since = self.leases.silent_since(worker);
            worker.is_silent = silent_since.is_some_and(|since| now - since > lease_s / 2.0);
            let not_reporting_since = self.leases.not_reporting_since(worker);
            worker.is_not_reporting =
                not_reporting_since.is_some_and(|since| now - since > lease_s);
            if worker.update_unavailability(now) {
                let reason = worker.unavailability.map(|now| now.reason);
                tracing::debug!(worker = worker.name, ?reason, "worker availability changed");
                if reason.is_none() {
                    self.scheduling.request();
                }
            }
        }
    }

    /// Lets drained workers take tasks again: those that have been empty for some time, and those that are not empty
    /// after a lease. If the replicas found no other place, they may return.
    fn end_drains(&mut self, now: f64) {
        let empty_s = DRAINED_HEARTBEATS * self.fleet.heartbeat_interval_s;
        let lease_s = self.settings.deployment.workers.lease_s;
        for worker in self.workers.iter_mut() {
            let Some(since) = worker.draining_since else {
                continue;
            };
            let is_drained = worker.bindings.is_empty() && now - worker.idle_since > empty_s;
            if is_drained || now - since > lease_s {
                tracing::info!(worker = worker.name, after_s = now - since, "drain ended");
                worker.draining_since = None;
            }
        }
    }

    /// Lets workers take tasks again that have been cordoned for long.
    fn end_cordons(&mut self, now: f64) {
        for worker in self.workers.iter_mut() {
            let since = worker.cordoned_since.unwrap_or(now);
            worker.cordoned_since = worker.failures.is_cordoned().then_some(since);
        }
        let over: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| self.is_cordon_over(worker, now))
            .map(|worker| worker.name.clone())
            .collect();
        for name in over {
            if let Some(worker) = self.workers.get_mut(&name) {
                tracing::info!(worker = name, "cordon ended");
                worker.failures.drop_unproven();
                worker.cordoned_since = None;
            }
        }
    }

    /// Whether a worker has been cordoned for the time of a lease, for which the jobs that failed there avoid it too,
    /// and for the time in which another instance boots, which shows whether these jobs succeed elsewhere.
    fn is_cordon_over(&self, worker: &Worker, now: f64) -> bool {
        let lease_s = self.settings.deployment.workers.lease_s;
        let boot_s = BOOT_OVERDUE_FACTOR * self.usual_boot_time_s(&worker.instance_type);
        worker
            .cordoned_since
            .is_some_and(|since| now - since > lease_s.max(boot_s))
    }

    /// Whether a worker counts as capacity of its pool: it can take tasks, or is expected to within a bounded time.
    pub(super) fn counts_as_capacity(&self, worker: &Worker, now: f64) -> bool {
        let Some(reason) = worker.unavailable_reason() else {
            return true;
        };
        now < self.expected_available_by(worker, reason, now)
            && invariants::check(
                Invariant::NoLastingUnavailableCapacity,
                worker.unavailable_s(now) <= self.max_unavailable_s(worker),
                format_args!("worker {}, {reason:?}", worker.name),
            )
    }

    /// Returns the time until which a worker that can't take tasks is expected to become available.
    fn expected_available_by(&self, worker: &Worker, reason: UnavailableReason, now: f64) -> f64 {
        match reason {
            // Another worker also shows whether the jobs that failed on a cordoned one succeed elsewhere.
            UnavailableReason::Terminating
            | UnavailableReason::ReclaimAnnounced
            | UnavailableReason::Cordoned => f64::NEG_INFINITY,
            UnavailableReason::NoHeartbeat => self.expected_up_by(worker),
            UnavailableReason::Silent
            | UnavailableReason::NotReporting
            | UnavailableReason::Unreachable
            | UnavailableReason::EpochNotAcknowledged
            | UnavailableReason::Draining => self.expected_back_by(worker, now),
        }
    }

    /// Returns the time by which an instance is expected to have sent a heartbeat. One that was up under an earlier
    /// leader is expected to find this one. One that the cloud lists as running is expected until its boot times out.
    fn expected_up_by(&self, worker: &Worker) -> f64 {
        let found_leader_by = self.elected_at + self.max_absence_s(worker);
        let boot_timeout_s = BOOT_TIMEOUT_FACTOR * self.usual_boot_time_s(&worker.instance_type);
        if worker.has_been_up {
            found_leader_by
        } else if worker.listed_running {
            found_leader_by.max(worker.first_seen_at + boot_timeout_s)
        } else {
            self.boot_overdue_at(worker)
        }
    }

    /// Returns the time until which a worker that was up is expected to take tasks again. By the end of its lease its
    /// tasks have ended. A worker that is kept because of a partition is expected for longer.
    fn expected_back_by(&self, worker: &Worker, now: f64) -> f64 {
        let unavailable_since = now - worker.unavailable_s(now);
        if self.is_kept_during_partition(worker, now) {
            let lease_s = self.settings.deployment.workers.lease_s;
            return unavailable_since + PARTITION_LEASES * lease_s;
        }
        let lease_end = self.leases.expires_at(worker);
        lease_end.min(unavailable_since + self.max_absence_s(worker))
    }

    /// Returns the longest time for which a worker is expected back: a lease if tasks are bound to it, else half a lease
    /// or the time that workers need to find a leader. The shorter time lets even a leader that soon resigns replace an
    /// idle worker.
    fn max_absence_s(&self, worker: &Worker) -> f64 {
        let lease_s = self.settings.deployment.workers.lease_s;
        if worker.bindings.is_empty() {
            let reconnect_s = RECONNECT_HEARTBEATS * self.fleet.heartbeat_interval_s;
            reconnect_s.max(IDLE_ABSENCE_LEASES * lease_s)
        } else {
            lease_s
        }
    }

    /// Returns the time from which an instance that is not up counts as overdue.
    pub(super) fn boot_overdue_at(&self, worker: &Worker) -> f64 {
        worker.first_seen_at + BOOT_OVERDUE_FACTOR * self.usual_boot_time_s(&worker.instance_type)
    }

    /// Whether an instance is booting, and not overdue.
    pub(super) fn is_booting(&self, worker: &Worker, now: f64) -> bool {
        worker.unavailable_reason() == Some(UnavailableReason::NoHeartbeat)
            && now <= self.boot_overdue_at(worker)
    }

    /// Returns the longest time for which any worker of this type may count as capacity while it can't take tasks.
    fn max_unavailable_s(&self, worker: &Worker) -> f64 {
        let lease_s = self.settings.deployment.workers.lease_s;
        PARTITION_LEASES * lease_s
            + BOOT_TIMEOUT_FACTOR * self.usual_boot_time_s(&worker.instance_type)
            + lease_s
    }
}
