//! The fleet: lists, provisions and deletes instances through the cloud's API.

mod inventory;
mod pool;
mod provisioning;
mod scale_in;

use super::Leader;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::coordination::effects::Effects;
use crate::settings::Settings;
use inventory::Inventory;
use pool::Pool;
use provisioning::Provisioning;
use scale_in::Deletions;
use std::collections::BTreeMap;

pub use pool::PoolKey;
pub(super) use scale_in::ScaleInReason;

/// Share of the cloud's rate limit that the leader uses; the rest is left to the requests for the instance
/// catalog and to a leader that has just been deposed and may still send requests.
const CLOUD_SHARE: f64 = 0.8;
/// Number of requests to the cloud that the leader may send at once, as the seconds in which its share of the rate
/// limit allows that many.
const CLOUD_BURST_S: f64 = 1.5;
/// Timeout of calls to the cloud, in heartbeat intervals.
const CALL_TIMEOUT_HEARTBEATS: f64 = 2.0;
/// Time after which an instance that is not up is overdue and no longer counts as future capacity, in units of its
/// usual boot time. Most instances are up by then.
pub(super) const BOOT_OVERDUE_FACTOR: f64 = 1.5;
/// Number of checks for failed workers in a heartbeat interval.
const CHECKS_PER_HEARTBEAT: f64 = 8.0;
/// Number of rounds of the autoscaler in the boot time of the instance type that boots fastest.
const ROUNDS_PER_BOOT: f64 = 5.0;
/// Upper bound on the boot time that determines the interval between rounds of the autoscaler.
const MAX_BOOT_TIME_S: f64 = 60.0;
/// Time after which a new leader has received a heartbeat of every worker that is up, in heartbeat intervals.
const FIRST_HEARTBEATS: f64 = 1.5;

/// When calls of one kind may be made to the cloud: one at a time, and none before `not_before`.
#[derive(Debug, Default)]
struct CallSchedule {
    in_flight: bool,
    not_before: f64,
}

impl CallSchedule {
    fn is_due(&self, now: f64) -> bool {
        !self.in_flight && now >= self.not_before
    }
}

/// State of the fleet for one epoch.
#[derive(Debug)]
pub struct Fleet {
    epoch: u64,
    started_at: f64,
    rate_limiter: TokenBucket,
    inventory: Inventory,
    provisioning: Provisioning,
    deletions: Deletions,
    next_scaling_at: f64,
    next_failure_check_at: f64,
    /// No worker that is kept although all are out of contact is released before this time.
    pub(super) next_exchange_at: f64,
    pub(super) pools: BTreeMap<PoolKey, Pool>,
    /// Running average of tasks' run times divided by their owners' estimates. It corrects for estimates that
    /// are mostly too high or mostly too low, as they are on some days.
    pub(super) runtime_bias: f64,
    /// Zones that are or were recently partitioned, with the time at which the partition was last detected.
    pub(super) partitioned_zones: BTreeMap<String, f64>,
    /// Since when all zones with enough workers to tell have been partitioned at once; `None` while one is not.
    pub(super) all_partitioned_since: Option<f64>,
    /// Seconds by which the cloud's list of instances may be out of date.
    pub(super) list_lag_s: f64,
    pub(super) heartbeat_interval_s: f64,
}

impl Fleet {
    pub(super) fn new(settings: &Settings, epoch: u64, now: f64) -> Fleet {
        let cloud = &settings.deployment.cloud;
        Fleet {
            epoch,
            started_at: now,
            rate_limiter: TokenBucket::new(
                cloud.rps * CLOUD_SHARE,
                (cloud.rps * CLOUD_SHARE * CLOUD_BURST_S).max(1.0),
            ),
            inventory: Inventory::default(),
            provisioning: Provisioning::default(),
            deletions: Deletions::default(),
            next_scaling_at: 0.0,
            next_failure_check_at: 0.0,
            next_exchange_at: 0.0,
            pools: BTreeMap::new(),
            runtime_bias: 1.0,
            partitioned_zones: BTreeMap::new(),
            all_partitioned_since: None,
            list_lag_s: cloud.list_lag_s,
            heartbeat_interval_s: settings.deployment.workers.heartbeat_interval_s,
        }
    }

    fn call_timeout_s(&self) -> f64 {
        CALL_TIMEOUT_HEARTBEATS * self.heartbeat_interval_s
    }

    /// Returns when the latest complete reading of the cloud's list was begun; `None` before the first.
    pub(super) fn listed_as_of(&self) -> Option<f64> {
        self.inventory.listed_as_of
    }

    /// Whether a zone is partitioned, or was so recently that its workers may not have reconnected.
    pub(super) fn was_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains_key(zone)
    }

    /// Whether a zone was partitioned at the last check or the one before.
    pub(super) fn is_partitioned(&self, zone: &str, now: f64) -> bool {
        let last_seen = self.partitioned_zones.get(zone);
        last_seen
            .is_some_and(|at| now - at < self.heartbeat_interval_s / CHECKS_PER_HEARTBEAT * 2.0)
    }

    /// Whether the leader knows enough to decide on instances: it has read the cloud's list, and the workers have
    /// had time to send heartbeats. The first leader of all need not wait for heartbeats, as no instance exists
    /// yet.
    fn is_informed(&self, is_first_leader: bool, now: f64) -> bool {
        self.inventory.listed_as_of.is_some()
            && (is_first_leader
                || now - self.started_at > FIRST_HEARTBEATS * self.heartbeat_interval_s)
    }
}

impl Leader {
    /// Does the fleet's work that is due: lists, deletes and provisions instances, checks for failed workers,
    /// and runs the autoscaler. Does nothing unless the leader's lease is certainly held.
    pub(super) fn poll_fleet(&mut self, lease_held: bool, effects: &mut Effects, now: f64) {
        if !lease_held {
            return;
        }
        self.list_instances(effects, now);
        self.delete_instances(effects, now);
        if self.fleet.is_informed(self.is_first_leader, now) {
            self.poll_failure_check(now);
            self.poll_autoscaler(now);
        }
        self.send_provisioning_request(effects, now);
    }

    fn poll_failure_check(&mut self, now: f64) {
        if now >= self.fleet.next_failure_check_at {
            self.fleet.next_failure_check_at =
                now + self.fleet.heartbeat_interval_s / CHECKS_PER_HEARTBEAT;
            self.update_partitioned_zones(now);
            self.update_availability(now);
            self.remove_failed_workers(now);
        }
    }

    fn poll_autoscaler(&mut self, now: f64) {
        if now >= self.fleet.next_scaling_at {
            let quickest_boot_s = self
                .instance_types
                .iter()
                .map(|instance_type| instance_type.boot_time_s)
                .fold(f64::INFINITY, f64::min)
                .min(MAX_BOOT_TIME_S);
            self.fleet.next_scaling_at = now + quickest_boot_s / ROUNDS_PER_BOOT;
            self.run_autoscaler(now);
        }
    }
}
