//! Pools of instances: their keys, the measurements of their use, and the back-off after failed requests.

use super::Fleet;
use crate::bookkeeping::workers::Worker;
use crate::coordination::autoscaler::ScalingDecision;
use crate::coordination::rate_meter::RateMeter;
use crate::protocol::cloud::MAX_INSTANCES_PER_CREATE;

/// Weight of the latest value in a running average.
const SMOOTHING: f64 = 0.1;
/// [`SMOOTHING`] divided by this is the weight of the latest value in the average of the runtime bias. The weight is
/// lower there since the average is taken over the tasks of all jobs.
const BIAS_DAMPING: f64 = 10.0;
/// Lower and upper bound on the ratio of a single task's run time to its estimate.
const RUNTIME_BIAS_RANGE: (f64, f64) = (0.2, 5.0);
/// Lower bound on the share of an instance with which a task counts in the average of its pool; the average is used
/// as a divisor.
const MIN_INSTANCE_SHARE: f64 = 1e-3;
/// Shortest time for which a pool is blocked after the cloud could not create all requested instances, in units of
/// the usual boot time of its instance type.
const MIN_BLOCK_BOOTS: f64 = 0.5;
/// Longest time for which a pool is blocked, in units of the usual boot time of its instance type.
const MAX_BLOCK_BOOTS: f64 = 4.0;

/// Identifies a pool: all instances of one type in one zone, either spot or on-demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// Instance type.
    pub instance_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the pool has spot instances; otherwise it has on-demand instances.
    pub spot: bool,
}

impl PoolKey {
    /// Returns the key of the pool that a worker belongs to.
    pub(in crate::coordination::leader) fn of(worker: &Worker) -> PoolKey {
        PoolKey {
            instance_type: worker.instance_type.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
        }
    }

    /// Whether a worker belongs to the pool.
    pub(in crate::coordination::leader) fn contains(&self, worker: &Worker) -> bool {
        worker.spot == self.spot
            && worker.zone == self.zone
            && worker.instance_type == self.instance_type
    }
}

impl std::fmt::Display for PoolKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        // The log's word for on-demand instances is "ordinary".
        let purchase = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{}/{}/{purchase}", self.instance_type, self.zone)
    }
}

/// Measurements of a pool's use, and its back-off.
#[derive(Debug, Default)]
pub(in crate::coordination::leader) struct Pool {
    /// No instance is requested before this time.
    blocked_until: f64,
    /// Duration of the last block in seconds; 0 once the cloud has created all instances of a request.
    block_s: f64,
    /// Bindings of tasks that count in the forecast. These are all tasks but replicas, tasks that spilled over from
    /// spot to on-demand instances, probes of crash-looping jobs, and tasks on instances of an unknown type.
    pub(in crate::coordination::leader) starts: RateMeter,
    /// Completions of tasks.
    pub(in crate::coordination::leader) finishes: RateMeter,
    /// Average run time of a task in seconds; `None` before the first task has completed.
    pub(in crate::coordination::leader) task_s: Option<f64>,
    /// Average share of an instance that a task requests; `None` before the first task that counts in the forecast
    /// was bound.
    pub(in crate::coordination::leader) machine_share: Option<f64>,
    /// The decision that was last logged.
    pub(in crate::coordination::leader) last_decision: Option<ScalingDecision>,
}

impl Pool {
    pub(super) fn is_blocked(&self, now: f64) -> bool {
        now < self.blocked_until
    }

    /// Resets the back-off, after all instances of a request were created: the next block is again a short one. A block
    /// that has not ended yet still lasts until `blocked_until`.
    pub(super) fn unblock(&mut self) {
        self.block_s = 0.0;
    }

    /// Blocks the pool for twice as long as the last time, but for at least [`MIN_BLOCK_BOOTS`] and at most
    /// [`MAX_BLOCK_BOOTS`] boot times.
    fn block(&mut self, boot_time_s: f64, now: f64) {
        self.block_s = (self.block_s * 2.0)
            .clamp(boot_time_s * MIN_BLOCK_BOOTS, boot_time_s * MAX_BLOCK_BOOTS);
        self.blocked_until = now + self.block_s;
    }
}

fn running_average(known: Option<f64>, value: f64) -> Option<f64> {
    Some(known.map_or(value, |known| known + (value - known) * SMOOTHING))
}

impl Fleet {
    /// Whether a pool is blocked, because the cloud recently could not create all instances that were requested from
    /// it.
    pub(in crate::coordination::leader) fn is_blocked(&self, key: &PoolKey, now: f64) -> bool {
        self.pools.get(key).is_some_and(|pool| pool.is_blocked(now))
    }

    /// Returns how many instances of a pool may be requested in one round. After the cloud could not create all
    /// requested instances, until it has created all instances of a later request, the number is what a single call
    /// may request.
    pub(in crate::coordination::leader) fn request_limit(&self, key: &PoolKey) -> u32 {
        match self.pools.get(key) {
            Some(pool) if pool.block_s > 0.0 => MAX_INSTANCES_PER_CREATE,
            _ => u32::MAX,
        }
    }

    /// Blocks a pool for which the cloud could not create all requested instances.
    pub(super) fn block(&mut self, key: &PoolKey, boot_time_s: f64, now: f64) {
        let pool = self.pools.entry(key.clone()).or_default();
        pool.block(boot_time_s, now);
        // The next round of the autoscaler comes soon, to request the missing instances from other pools.
        self.next_scaling_at = self
            .next_scaling_at
            .min(now + self.heartbeat_interval_s / 5.0);
    }

    /// Records that a task was bound to a worker. `share` is the share of the instance that the task requests; `None`
    /// if the task does not count in the forecast (see [`Pool::starts`]).
    pub(in crate::coordination::leader) fn record_start(
        &mut self,
        worker: &Worker,
        share: Option<f64>,
        now: f64,
    ) {
        let pool = self.pools.entry(PoolKey::of(worker)).or_default();
        if let Some(share) = share {
            pool.starts.add(1.0, now);
            pool.machine_share = running_average(pool.machine_share, share.max(MIN_INSTANCE_SHARE));
        }
    }

    /// Records that a task has completed after `ran_s` seconds. `expected_runtime_s` is the estimate of the task's
    /// owner; 0 if there is none.
    pub(in crate::coordination::leader) fn record_finish(
        &mut self,
        worker: &Worker,
        ran_s: f64,
        expected_runtime_s: f64,
        now: f64,
    ) {
        if expected_runtime_s > 0.0 {
            let (least, most) = RUNTIME_BIAS_RANGE;
            let bias = (ran_s / expected_runtime_s).clamp(least, most);
            self.runtime_bias += (bias - self.runtime_bias) * SMOOTHING / BIAS_DAMPING;
        }
        let pool = self.pools.entry(PoolKey::of(worker)).or_default();
        pool.finishes.add(1.0, now);
        pool.task_s = running_average(pool.task_s, ran_s);
    }
}
