//! Computes how many instances a pool should have, from three targets and within the pool's bounds.
//! Names of fields and policy variables call instances machines.
//!
//! The *pickup target*, a setting of the policy, is the time within which a waiting task should start.
//!
//! The formulas are those of "Predictive Queue Autoscaling with Little's Law"; docs/design.md lists
//! the differences.

use crate::policy::ScalingParameters;

/// The measured load of a pool, from which its target is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLoad {
    /// Number of tasks that wait for an instance of this pool.
    pub pending: u32,
    /// Seconds for which the oldest waiting task has waited.
    pub oldest_s: f64,
    /// Task starts and finishes per second on each busy instance, or an estimate as long as none were measured.
    pub rate: f64,
    /// Forecast of task starts per second on the whole pool.
    pub forecast: f64,
    /// Average run time of a task, in seconds.
    pub task_s: f64,
    /// Number of tasks that fit on an instance.
    pub per_machine: f64,
    /// Number of instances that the running replicas of services fill. Replicas run until their job is
    /// cancelled and so have no run time to multiply by a rate; the forecast target adds this number instead.
    pub service_machines: f64,
    /// Number of instances to keep free for replicas of future services (the headroom), in addition to the busy
    /// instances and those that the waiting tasks need.
    pub headroom_machines: u32,
    /// Number of instances with tasks.
    pub busy: u32,
    /// Number of instances that the waiting tasks would fill.
    pub machines_to_fill: u32,
}

/// The rule that determined the target of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetReason {
    /// Little's law applied to the waiting tasks.
    Little,
    /// The forecast of task starts together with the running replicas.
    Trend,
    /// The headroom was added: instances kept free for replicas of future services.
    Headroom,
    /// The drain target: enough instances to start all waiting tasks before the oldest one misses the pickup target.
    Drain,
    /// The target was limited to the busy instances plus those that the waiting tasks would fill.
    Fill,
    /// The target was raised to the number of instances with tasks.
    Busy,
    /// The target was raised to the minimum of the pool.
    Min,
    /// The target was lowered to the maximum of the pool.
    Max,
}

/// The target of a pool, and the three targets that it was computed from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingDecision {
    /// Number of instances needed to start the waiting tasks, according to Little's law.
    pub littles_law_target: u32,
    /// Number of instances needed for the forecast of task starts and for the running replicas.
    pub forecast_target: u32,
    /// Number of instances needed to start all waiting tasks before the oldest one misses the pickup target.
    pub drain_target: u32,
    /// The number of instances that the pool should have.
    pub target: u32,
    /// The rule that determined `target`.
    pub reason: TargetReason,
}

/// Share of the pickup target. Once the oldest task has waited for longer than this share, a safety margin is added to
/// the drain target.
const DRAIN_MARGIN_THRESHOLD: f64 = 0.8;

/// Rounds a number of instances up, to at most `max`. Returns `max` if the number is not finite. The tolerance of 1e-9
/// absorbs rounding errors of the computation.
fn machine_count(machines: f64, max: u32) -> u32 {
    if machines.is_finite() {
        (machines - 1e-9).ceil().clamp(0.0, f64::from(max)) as u32
    } else {
        max
    }
}

/// Returns the number of instances needed according to Little's law: the number of pending tasks, divided by the
/// pickup target and by the rate of an instance. Without pending tasks, or if the rate is not positive, returns the
/// pool's minimum.
pub fn littles_law_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    if load.pending == 0 || load.rate <= 0.0 {
        return parameters.min;
    }
    machine_count(
        f64::from(load.pending) / parameters.pickup_s / load.rate,
        parameters.max,
    )
}

/// Returns the number of instances needed for the forecast: the forecast rate times the run time of a task, divided by
/// the number of tasks that fit on an instance, plus the instances that running replicas fill.
pub fn forecast_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    let tasks = load.forecast * load.task_s;
    machine_count(
        tasks / load.per_machine.max(1.0) + load.service_machines,
        parameters.max,
    )
}

/// Returns the number of instances needed to start all pending tasks before the oldest one misses the pickup target.
/// Returns the pool's maximum if the oldest task has missed the pickup target already, and the pool's minimum if there
/// are no pending tasks or the rate is not positive. Once the oldest task has waited for longer than
/// `DRAIN_MARGIN_THRESHOLD` of the pickup target, a margin is added that grows with its waiting time.
pub fn drain_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    if load.pending == 0 {
        return parameters.min;
    }
    let waited_share = load.oldest_s / parameters.pickup_s;
    if waited_share > 1.0 {
        return parameters.max;
    }
    if load.rate <= 0.0 {
        return parameters.min;
    }
    let remaining_s = (parameters.pickup_s - load.oldest_s).max(1.0);
    let margin = 1.0 + (waited_share - DRAIN_MARGIN_THRESHOLD).max(0.0) * 2.0;
    machine_count(
        f64::from(load.pending) / remaining_s / load.rate * margin,
        parameters.max,
    )
}

/// Decides on the target of a pool. The larger of the two targets for the waiting tasks (Little's law and drain) is
/// limited to the busy instances plus those that the waiting tasks would fill, raised to the number of busy instances,
/// and increased by the headroom. The forecast target is used instead if it is larger. The result is kept within the
/// pool's bounds.
pub fn decide(load: &PoolLoad, parameters: &ScalingParameters) -> ScalingDecision {
    let littles_law_target = littles_law_target(load, parameters);
    let drain_target = drain_target(load, parameters);
    let forecast_target = forecast_target(load, parameters);
    let fill_limit = load.busy + load.machines_to_fill;
    let (mut target, mut reason) = if drain_target > littles_law_target {
        (drain_target, TargetReason::Drain)
    } else {
        (littles_law_target, TargetReason::Little)
    };
    if target > fill_limit {
        (target, reason) = (fill_limit, TargetReason::Fill);
    }
    // Instances with tasks are not released to meet a target.
    if load.busy > target {
        (target, reason) = (load.busy, TargetReason::Busy);
    }
    if load.headroom_machines > 0 {
        (target, reason) = (
            target.saturating_add(load.headroom_machines),
            TargetReason::Headroom,
        );
    }
    if forecast_target > target {
        (target, reason) = (forecast_target, TargetReason::Trend);
    }
    if target < parameters.min {
        (target, reason) = (parameters.min, TargetReason::Min);
    }
    if target > parameters.max {
        (target, reason) = (parameters.max, TargetReason::Max);
    }
    ScalingDecision {
        littles_law_target,
        forecast_target,
        drain_target,
        target,
        reason,
    }
}
