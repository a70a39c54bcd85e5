//! The fleet: instances that are listed, provisioned and deleted at the cloud.

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

/// Share of the cloud's rate limit that the leader uses; the rest is for the instance catalog and for
/// a leader that has just been deposed.
const CLOUD_SHARE: f64 = 0.8;
/// Seconds' worth of the leader's share that may be used at once.
const CLOUD_BURST_S: f64 = 1.5;
/// Timeout of calls to the cloud, in heartbeat intervals.
const CALL_TIMEOUT_HEARTBEATS: f64 = 2.0;
/// Usual boot times within which most instances are up. Those that are not are no longer counted on.
pub(super) const BOOT_USUAL: f64 = 1.5;
/// Checks for failed workers in a heartbeat interval.
const CHECKS_PER_HEARTBEAT: f64 = 8.0;
/// Rounds of the autoscaler in the time of the quickest boot.
const ROUNDS_PER_BOOT: f64 = 5.0;
/// Boots that take longer don't slow the rounds down.
const MAX_BOOT_TIME_S: f64 = 60.0;
/// Heartbeat intervals after which a new leader has heard from the workers that there are.
const FIRST_HEARTBEATS: f64 = 1.5;

/// When calls of one kind may be made to the cloud: one at a time, and none before some time.
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
    pub(super) pools: BTreeMap<PoolKey, Pool>,
    /// Run times of tasks over their owners' estimates, on average; on some days estimates are mostly
    /// too high or too low.
    pub(super) runtime_bias: f64,
    /// Zones that are taken to be partitioned, and when that was last so.
    pub(super) partitioned_zones: BTreeMap<String, f64>,
    /// Since when all zones have been silent at once.
    pub(super) all_partitioned_since: Option<f64>,
    /// Seconds by which the cloud's list may lag behind.
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

    /// Whether a zone is partitioned, or was until recently.
    pub(super) fn was_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains_key(zone)
    }

    /// Whether a zone was partitioned at the last check.
    pub(super) fn is_partitioned(&self, zone: &str, now: f64) -> bool {
        let last_seen = self.partitioned_zones.get(zone);
        last_seen
            .is_some_and(|at| now - at < self.heartbeat_interval_s / CHECKS_PER_HEARTBEAT * 2.0)
    }

    /// Whether enough is known to decide on instances: the cloud's list, and a round of heartbeats
    /// unless no instance was ever requested.
    fn is_informed(&self, is_first_leader: bool, now: f64) -> bool {
        self.inventory.listed_at.is_some()
            && (is_first_leader
                || now - self.started_at > FIRST_HEARTBEATS * self.heartbeat_interval_s)
    }
}

impl Leader {
    /// Lists, deletes, scales and provisions instances, as is due.
    pub(super) fn poll_fleet(&mut self, confirmed: bool, effects: &mut Effects, now: f64) {
        if !confirmed {
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
