//! Failure detection: workers that are of no use (unresponsive, faulty, reclaimed, or never up), and
//! zones that are partitioned from this controller.

use super::Leader;
use super::fleet::ScaleInReason;
use crate::bookkeeping::workers::Worker;
use std::collections::{BTreeMap, BTreeSet};

/// Usual boot times after which a machine that is not up is released.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Delays of the cloud's listing after which a machine that it no longer shows is gone.
const LIST_LAGS_UNTIL_LOST: f64 = 4.0;
/// Heartbeat intervals without a heartbeat that are more than chance.
const MISSED_HEARTBEATS: f64 = 1.5;
/// Heartbeat intervals without any heartbeat, from whatever worker, that are more than chance.
const QUIET_HEARTBEATS: f64 = 1.25;
/// A smaller zone's workers may fall silent together by chance.
const MIN_ZONE_WORKERS: usize = 6;
/// Heartbeat intervals after which a heartbeat is late. They come with a quarter more at most, so that
/// even if all workers send theirs at the same moment three in ten are late at most.
const LATE_HEARTBEATS: f64 = 1.1;
/// Share of a zone's workers that are late, from which the zone is taken to be partitioned.
const LATE_SHARE: f64 = 0.35;
/// Worker leases for which the workers of a partitioned zone are kept.
const PARTITION_LEASES: f64 = 3.0;
/// Heartbeat intervals that workers take to come again: a heartbeat without answer, and another controller.
const RECONNECT_HEARTBEATS: f64 = 2.5;

/// How many of a zone's workers should send heartbeats, and how many of them are late.
#[derive(Debug, Default)]
struct ZoneContact {
    workers: usize,
    late: usize,
}

impl ZoneContact {
    fn is_partitioned(&self) -> bool {
        self.late as f64 >= LATE_SHARE * self.workers as f64
    }
}

/// Which zones are partitioned from this controller.
#[derive(Debug)]
struct PartitionSurvey {
    partitioned: BTreeSet<String>,
    /// All zones are that have more than a few workers.
    is_everywhere: bool,
}

impl Leader {
    /// Releases workers that are of no use.
    pub(super) fn remove_failed_workers(&mut self, now: f64) {
        self.update_partitioned_zones(now);
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
    }

    /// Why a worker is to be released, if it is. While this controller `is_isolated`, silence is no
    /// reason.
    fn removal_reason(
        &self,
        worker: &Worker,
        is_isolated: bool,
        now: f64,
    ) -> Option<ScaleInReason> {
        let boot_time_s = self.usual_boot_time_s(worker);
        let silence_counts = !is_isolated && !self.awaits_zone(worker, now);
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
        } else if self.is_no_longer_listed(worker, boot_time_s, now) {
            Some(ScaleInReason::NotListed)
        } else {
            None
        }
    }

    /// Whether the cloud has taken the machine, or may at once since nothing is bound to it.
    fn is_reclaimed(&self, worker: &Worker, now: f64) -> bool {
        worker.reclaim_at.is_some_and(|at| {
            now > at + self.fleet.heartbeat_interval_s || worker.bindings.is_empty()
        })
    }

    /// Whether a machine is not up long after the usual boot time. One that was listed as running may
    /// have booted under an earlier leader and needs time to find this one.
    fn has_boot_timed_out(&self, worker: &Worker, boot_time_s: f64, now: f64) -> bool {
        worker.last_heartbeat_at.is_none()
            && worker.bindings.is_empty()
            && now - worker.first_seen_at > BOOT_TIMEOUT_FACTOR * boot_time_s
            && (!worker.listed_running
                || now - self.elected_at > self.settings.deployment.workers.lease_s)
    }

    /// Whether a worker has missed its latest heartbeats and leaves direct calls unanswered, or has
    /// been silent for so long that calls don't matter.
    fn is_unresponsive(&self, worker: &Worker, now: f64) -> bool {
        let worker_settings = &self.settings.deployment.workers;
        self.leases.last_contact(worker).is_some_and(|since| {
            let quiet_s = now - since;
            let asked = worker.unreachable_since.is_some_and(|at| at >= since);
            let long_s = match worker.last_heartbeat_at {
                Some(_) => worker_settings.lease_s / 2.0,
                None => worker_settings.lease_s,
            };
            quiet_s > long_s
                || (asked && quiet_s > MISSED_HEARTBEATS * worker_settings.heartbeat_interval_s)
        })
    }

    /// Whether no answer or command has reached a worker for the time of its lease.
    fn is_unreachable(&self, worker: &Worker, now: f64) -> bool {
        worker
            .unreachable_since
            .is_some_and(|at| now - at > self.settings.deployment.workers.lease_s)
    }

    /// Whether a machine that never came up was listed once and is no longer.
    fn is_no_longer_listed(&self, worker: &Worker, boot_time_s: f64, now: f64) -> bool {
        let lost_s = LIST_LAGS_UNTIL_LOST * self.fleet.list_lag_s + boot_time_s;
        worker.last_heartbeat_at.is_none()
            && worker.last_listed_at.is_some_and(|at| now - at > lost_s)
            && worker.bindings.is_empty()
    }

    /// The usual boot time of a worker's instance type, in seconds.
    fn usual_boot_time_s(&self, worker: &Worker) -> f64 {
        self.instance_types
            .iter()
            .find(|instance_type| instance_type.name == worker.instance_type)
            .map_or(self.fleet.heartbeat_interval_s, |instance_type| {
                instance_type.boot_time_s
            })
    }

    /// Whether a silent worker is kept since its zone is partitioned. A zone that stays away for long
    /// is given up: its machines cost more by then than their boots. Once it is back, all its workers
    /// get the time to come again.
    fn awaits_zone(&self, worker: &Worker, now: f64) -> bool {
        let longest_s = PARTITION_LEASES * self.settings.deployment.workers.lease_s;
        !worker.spot
            && self.fleet.was_partitioned(&worker.zone)
            && self
                .leases
                .last_contact(worker)
                .is_some_and(|since| now - since < longest_s)
    }

    /// Whether it is this controller that is partitioned, not its workers that have failed. Should
    /// this last and this controller still lead, the workers are dead.
    fn is_isolated(&self, now: f64) -> bool {
        let lease_s = self.settings.deployment.workers.lease_s;
        // Zones that fall silent together show before most workers have missed enough heartbeats.
        let all_partitioned = self
            .fleet
            .all_partitioned_since
            .is_some_and(|since| now - since < lease_s);
        // Should nobody at all be heard for longer, leadership is given up.
        let silence_s = self.leases.silence_s(now);
        let none_heard =
            silence_s > QUIET_HEARTBEATS * self.fleet.heartbeat_interval_s && silence_s < lease_s;
        self.most_are_silent(now) || all_partitioned || none_heard
    }

    /// Whether most workers have missed their latest heartbeat, or can't be reached. Counting only
    /// those past the limit for a release would release the first few that pass it.
    fn most_are_silent(&self, now: f64) -> bool {
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

    /// Finds zones of which so many workers are late at once that they are partitioned, not so many
    /// dead machines. What runs there may go on, and comes back with the zone; a deletion would only
    /// add a boot. This shows before the first of them counts as unresponsive.
    fn survey_zones(&self, now: f64) -> PartitionSurvey {
        let late_s = LATE_HEARTBEATS * self.settings.deployment.workers.heartbeat_interval_s;
        let mut zones: BTreeMap<&str, ZoneContact> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| !worker.terminating) {
            if let Some(since) = self.leases.last_contact(worker) {
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
        let is_everywhere = !zones.is_empty() && partitioned.len() == zones.len();
        PartitionSurvey {
            partitioned,
            is_everywhere,
        }
    }

    /// Updates which zones are partitioned, and which have come back for long enough.
    fn update_partitioned_zones(&mut self, now: f64) {
        let survey = self.survey_zones(now);
        let fleet = &mut self.fleet;
        let all_since = fleet.all_partitioned_since.unwrap_or(now);
        fleet.all_partitioned_since = survey.is_everywhere.then_some(all_since);
        for zone in survey.partitioned {
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
