//! Partitions: finds zones that are partitioned from this controller, and whether this controller is isolated from its
//! workers. Workers that a partition explains the silence of are kept for some time, since they come back with it.

use super::Leader;
use super::failure_detection::MISSED_HEARTBEATS;
use crate::bookkeeping::workers::Worker;
use std::collections::{BTreeMap, BTreeSet};

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
    pub(super) fn is_isolated(&self, now: f64) -> bool {
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
            && were_up.all(|worker| {
                worker.is_silent || worker.is_not_reporting || worker.unreachable_since.is_some()
            })
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
}
