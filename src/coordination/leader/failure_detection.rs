//! Machines that are of no use: silent, faulty, taken, or never up; and zones that are partitioned.

use super::Leader;
use super::fleet::ScaleInReason;
use crate::bookkeeping::workers::Worker;
use std::collections::{BTreeMap, BTreeSet};

/// Usual boot times after which a machine that is not up is released.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Heartbeat intervals without a heartbeat that are more than chance.
const MISSED_HEARTBEATS: f64 = 1.5;
/// Heartbeat intervals without any heartbeat, from whatever worker, that are more than chance.
const QUIET_HEARTBEATS: f64 = 1.25;
/// Machines that may fall silent together by chance.
const MIN_ZONE_WORKERS: usize = 6;
/// Heartbeat intervals after which a heartbeat is late. They come with a quarter more at most, so that
/// even if all machines report at the same moment three in ten are late at most.
const LATE_HEARTBEATS: f64 = 1.1;
/// Share of a zone's machines that are late, from which the zone is taken to be partitioned.
const LATE_SHARE: f64 = 0.35;
/// Worker leases for which the machines of a zone that is partitioned are kept.
const PARTITION_LEASES: f64 = 3.0;
/// Heartbeat intervals that workers take to come again: a heartbeat without answer, and another controller.
const RECONNECT_HEARTBEATS: f64 = 2.5;

impl Leader {
    /// Whether a machine has missed its latest reports and leaves direct calls unanswered, or has
    /// been quiet for so long that this is not needed.
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

    /// Zones of which so many machines are late with their reports at once that they are partitioned, not
    /// so many dead machines. What runs there may go on, and comes back with the zone; a deletion
    /// would only add a boot. This shows before the first of them counts as silent.
    ///
    /// The second value tells whether this is so for all zones that have more than a few machines.
    fn partitioned_zones(&self, now: f64) -> (BTreeSet<String>, bool) {
        let late_s = LATE_HEARTBEATS * self.settings.deployment.workers.heartbeat_interval_s;
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| !worker.terminating) {
            if let Some(since) = self.leases.last_contact(worker) {
                let (there, late) = zones.entry(&worker.zone).or_default();
                *there += 1;
                *late += usize::from(now - since > late_s);
            }
        }
        zones.retain(|_, (there, _)| *there >= MIN_ZONE_WORKERS);
        let known = zones.len();
        let cut: BTreeSet<String> = zones
            .into_iter()
            .filter(|(_, (there, late))| *late as f64 >= LATE_SHARE * *there as f64)
            .map(|(zone, _)| zone.to_owned())
            .collect();
        let all = known > 0 && cut.len() == known;
        (cut, all)
    }

    fn update_partitioned_zones(&mut self, now: f64) {
        let (cut, all) = self.partitioned_zones(now);
        self.fleet.all_partitioned_since =
            all.then(|| self.fleet.all_partitioned_since.unwrap_or(now));
        for zone in cut {
            if self
                .fleet
                .partitioned_zones
                .insert(zone.clone(), now)
                .is_none()
            {
                tracing::info!(zone, "zone partitioned");
            }
        }
        let over_s = RECONNECT_HEARTBEATS * self.fleet.heartbeat_interval_s;
        self.fleet.partitioned_zones.retain(|zone, at| {
            let cut = now - *at < over_s;
            if !cut {
                tracing::info!(zone, "zone reconnected");
            }
            cut
        });
    }

    /// Releases machines that are of no use: silent, faulty, taken, or never up.
    pub(super) fn remove_failed_workers(&mut self, now: f64) {
        let lease_s = self.settings.deployment.workers.lease_s;
        let up = self
            .workers
            .iter()
            .filter(|h| h.last_heartbeat_at.is_some())
            .count();
        // When most have missed their latest reports it is this controller that is partitioned. Counting only
        // those past the longer limit would release the first few that pass it.
        let missed_s = MISSED_HEARTBEATS * self.fleet.heartbeat_interval_s;
        let unheard = self
            .workers
            .iter()
            .filter(|worker| {
                worker
                    .last_heartbeat_at
                    .is_some_and(|at| now - at > missed_s)
            })
            .count();
        // So it may be when nobody at all is heard; should this last, leadership is given up.
        let quiet_s = self.leases.silence_s(now);
        let nobody =
            quiet_s > QUIET_HEARTBEATS * self.fleet.heartbeat_interval_s && quiet_s < lease_s;
        let unreached = self
            .workers
            .iter()
            .filter(|h| h.unreachable_since.is_some())
            .count();
        self.update_partitioned_zones(now);
        // Zones that fall silent together are no failure of each: this shows before most machines have
        // missed enough. Should it last, and this controller still lead, the machines are dead.
        let all_cut = self
            .fleet
            .all_partitioned_since
            .is_some_and(|since| now - since < lease_s);
        let cut_off = 2 * unheard > up || 2 * unreached > up || nobody || all_cut;
        // A zone that stays away for long is given up: its machines cost more by then than their boots.
        // Once it is back, all its workers get the time to come again.
        let waits = |worker: &Worker| {
            !worker.spot
                && self.fleet.was_partitioned(&worker.zone)
                && self
                    .leases
                    .last_contact(worker)
                    .is_some_and(|since| now - since < PARTITION_LEASES * lease_s)
        };
        let mut back = Vec::new();
        for worker in self.workers.iter().filter(|worker| !worker.terminating) {
            let boot_time_s = self
                .instance_types
                .iter()
                .find(|f| f.name == worker.instance_type)
                .map_or(self.fleet.heartbeat_interval_s, |f| f.boot_time_s);
            let lost_s = 4.0 * self.fleet.list_lag_s + boot_time_s;
            let taken = worker.reclaim_at.is_some_and(|at| {
                now > at + self.fleet.heartbeat_interval_s || worker.bindings.is_empty()
            });
            let never_up = worker.last_heartbeat_at.is_none()
                && worker.bindings.is_empty()
                && now - worker.first_seen_at > BOOT_TIMEOUT_FACTOR * boot_time_s
                && (!worker.listed_running || now - self.elected_at > lease_s);
            let reason = if taken {
                ScaleInReason::Reclaimed
            } else if never_up {
                ScaleInReason::BootTimedOut
            } else if self.is_unresponsive(worker, now) && !cut_off && !waits(worker) {
                ScaleInReason::Unresponsive
            } else if worker
                .unreachable_since
                .is_some_and(|at| now - at > lease_s)
                && !cut_off
                && !waits(worker)
            {
                ScaleInReason::Unreachable
            } else if worker.failures.is_quarantined() {
                ScaleInReason::FailsTasks
            } else if worker.last_heartbeat_at.is_none()
                && worker.last_listed_at.is_some_and(|at| now - at > lost_s)
                && worker.bindings.is_empty()
            {
                ScaleInReason::NotListed
            } else {
                continue;
            };
            back.push((worker.name.clone(), reason));
        }
        for (name, reason) in back {
            self.scale_in(&name, reason);
        }
    }
}
