//! Failure detection: finds workers to be released because they are unresponsive, faulty, reclaimed or never
//! came up, and zones that are partitioned from this controller.

use super::Leader;
use super::fleet::{PoolKey, ScaleInReason};
use crate::bookkeeping::workers::Worker;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an instance that is not up is released, in units of its usual boot time.
pub(super) const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Time after which an instance that the cloud no longer lists counts as lost, in units of the list lag (the time by
/// which the cloud's list may be out of date). The usual boot time is added to it for an instance that never came up.
const LIST_LAGS_UNTIL_LOST: f64 = 4.0;
/// Time without a heartbeat after which a worker counts as having missed one, in heartbeat intervals. The usual
/// variation of the intervals does not explain so long a gap.
pub(super) const MISSED_HEARTBEATS: f64 = 1.5;
/// Time without a heartbeat from any worker after which this controller counts as isolated, in heartbeat intervals.
/// The usual variation of the intervals does not explain so long a gap.
const SILENCE_HEARTBEATS: f64 = 1.25;
/// Least number of workers in a zone for detecting a partition; the workers of a smaller zone may fall silent at
/// the same time by chance.
const MIN_ZONE_WORKERS: usize = 6;
/// Time without a heartbeat after which a worker is late, in heartbeat intervals. The time between two heartbeats is
/// up to a quarter longer than the interval, so at most three in ten workers are late without a fault, even if all
/// send their heartbeats at the same moment.
const LATE_HEARTBEATS: f64 = 1.1;
/// A zone counts as partitioned while at least this share of its workers is late.
const MIN_LATE_SHARE: f64 = 0.35;
/// Time for which workers are kept because a partition may explain their silence, in units of the worker lease.
pub(super) const PARTITION_LEASES: f64 = 3.0;
/// Time that workers need to reconnect, in heartbeat intervals: one heartbeat gets no response, and the next goes to
/// another controller.
pub(super) const RECONNECT_HEARTBEATS: f64 = 2.5;

/// Number of a zone's workers that should send heartbeats, and how many of them are late.
#[derive(Debug, Default)]
struct ZoneContact {
    workers: usize,
    late: usize,
}

impl ZoneContact {
    fn is_partitioned(&self) -> bool {
        self.late as f64 >= MIN_LATE_SHARE * self.workers as f64
    }
}

/// The zones that are partitioned from this controller.
#[derive(Debug)]
struct ZonePartitions {
    partitioned: BTreeSet<String>,
    /// There are zones with at least [`MIN_ZONE_WORKERS`] workers, and all of these zones are partitioned.
    all_partitioned: bool,
}

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
        let boot_time_s = self.usual_boot_time_s(worker);
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

    /// Returns the usual boot time of a worker's instance type, in seconds; the heartbeat interval if the type is not
    /// known.
    pub(super) fn usual_boot_time_s(&self, worker: &Worker) -> f64 {
        self.instance_types
            .iter()
            .find(|instance_type| instance_type.name == worker.instance_type)
            .map_or(self.fleet.heartbeat_interval_s, |instance_type| {
                instance_type.boot_time_s
            })
    }

    /// Whether a silent on-demand worker is kept because its zone is partitioned, or was until recently. Spot workers
    /// are not kept. Workers of a zone that stays partitioned for long are released, since by then waiting costs more
    /// than booting new instances. After the partition has ended, the on-demand workers of the zone are kept until
    /// they have had the time to reconnect.
    pub(super) fn is_kept_during_partition(&self, worker: &Worker, now: f64) -> bool {
        let max_silence_s = PARTITION_LEASES * self.settings.deployment.workers.lease_s;
        !worker.spot
            && self.fleet.was_partitioned(&worker.zone)
            && self
                .leases
                .silent_since(worker)
                .is_some_and(|since| now - since < max_silence_s)
    }

    /// Whether the silence of workers is explained by a partition of this controller rather than by failed workers.
    /// It is while most workers are silent or unreachable (see [`Leader::is_hold_over`] for how long they are kept),
    /// and for up to one worker lease while all zones are partitioned or no worker sends heartbeats.
    fn is_isolated(&self, now: f64) -> bool {
        let lease_s = self.settings.deployment.workers.lease_s;
        // A partition of all zones is detected before most workers have missed a heartbeat.
        let all_partitioned = self
            .fleet
            .all_partitioned_since
            .is_some_and(|since| now - since < lease_s);
        // If no worker sends heartbeats for longer, this controller resigns its leadership.
        let silence_s = self.leases.silence_s(now);
        let no_heartbeats =
            silence_s > SILENCE_HEARTBEATS * self.fleet.heartbeat_interval_s && silence_s < lease_s;
        self.are_most_workers_silent(now) || all_partitioned || no_heartbeats
    }

    /// Whether there are workers that were up, and none of them is in contact with this leader.
    pub(super) fn has_lost_all_workers(&self) -> bool {
        let mut were_up = self
            .workers
            .iter()
            .filter(|worker| worker.has_been_up && !worker.terminating)
            .peekable();
        were_up.peek().is_some()
            && were_up.all(|worker| worker.is_silent || worker.unreachable_since.is_some())
    }

    /// Whether most workers have missed their latest heartbeat, or can't be reached. A worker counts as silent before
    /// it has been silent for long enough to be released; otherwise the first few would be released before most of
    /// them count.
    fn are_most_workers_silent(&self, now: f64) -> bool {
        let missed_s = MISSED_HEARTBEATS * self.fleet.heartbeat_interval_s;
        let (mut up, mut silent, mut unreachable) = (0, 0, 0);
        for worker in self.workers.iter() {
            up += usize::from(worker.last_heartbeat_at.is_some());
            silent += usize::from(
                worker
                    .last_heartbeat_at
                    .is_some_and(|at| now - at > missed_s),
            );
            unreachable += usize::from(worker.unreachable_since.is_some());
        }
        2 * silent > up || 2 * unreachable > up
    }

    /// Finds the zones in which so many workers are late at once that a partition is a more likely cause than failed
    /// instances. Tasks in a partitioned zone may continue to run, and their workers reconnect when the partition
    /// ends; deleting the instances would only add the time to boot new ones. A partition is detected before the
    /// first worker of the zone counts as unresponsive. Workers that have been silent for longer than a partitioned
    /// zone's workers are kept don't count: instances may then be requested in their zone again.
    fn detect_partitions(&self, now: f64) -> ZonePartitions {
        let late_s = LATE_HEARTBEATS * self.settings.deployment.workers.heartbeat_interval_s;
        let mut zones: BTreeMap<&str, ZoneContact> = BTreeMap::new();
        let max_silence_s = PARTITION_LEASES * self.settings.deployment.workers.lease_s;
        for worker in self.workers.iter().filter(|worker| !worker.terminating) {
            if let Some(since) = self.leases.silent_since(worker)
                && now - since < max_silence_s
            {
                let zone = zones.entry(&worker.zone).or_default();
                zone.workers += 1;
                zone.late += usize::from(now - since > late_s);
            }
        }
        zones.retain(|_, contact| contact.workers >= MIN_ZONE_WORKERS);
        let partitioned: BTreeSet<String> = zones
            .iter()
            .filter(|(_, contact)| contact.is_partitioned())
            .map(|(zone, _)| (*zone).to_owned())
            .collect();
        let all_partitioned = !zones.is_empty() && partitioned.len() == zones.len();
        ZonePartitions {
            partitioned,
            all_partitioned,
        }
    }

    /// Records the zones that are partitioned now, and removes those that have been reachable for long enough for
    /// their workers to reconnect.
    pub(super) fn update_partitioned_zones(&mut self, now: f64) {
        let partitions = self.detect_partitions(now);
        let fleet = &mut self.fleet;
        let all_since = fleet.all_partitioned_since.unwrap_or(now);
        fleet.all_partitioned_since = partitions.all_partitioned.then_some(all_since);
        for zone in partitions.partitioned {
            if fleet.partitioned_zones.insert(zone.clone(), now).is_none() {
                tracing::info!(zone, "zone partitioned");
            }
        }
        let reconnect_s = RECONNECT_HEARTBEATS * fleet.heartbeat_interval_s;
        fleet.partitioned_zones.retain(|zone, last_at| {
            let is_kept = now - *last_at < reconnect_s;
            if !is_kept {
                tracing::info!(zone, "zone reconnected");
            }
            is_kept
        });
    }
}
