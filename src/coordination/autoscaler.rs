//! Computes how many machines a pool should have: the largest of three targets, within the pool's
//! bounds.
//!
//! The formulas are those of "Predictive Queue Autoscaling with Little's Law"; docs/design.md lists
//! what was changed.

use crate::policy::ScalingParameters;

/// The measured load of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLoad {
    /// Number of tasks that wait for a machine of this pool.
    pub pending: u32,
    /// Seconds for which the oldest waiting task has waited.
    pub oldest_s: f64,
    /// Task starts and finishes per second on each busy machine.
    pub rate: f64,
    /// Forecast of task starts per second.
    pub forecast: f64,
    /// Average run time of a task, in seconds.
    pub task_s: f64,
    /// Number of tasks that fit on a machine.
    pub per_machine: f64,
    /// Number of machines that the running replicas of services fill. Replicas run until they are
    /// cancelled, so the forecast counts them as they are instead of applying Little's law.
    pub service_machines: f64,
    /// Machines kept free for replicas of future services, in addition to the busy machines and those
    /// that the waiting tasks need.
    pub headroom_machines: u32,
    /// Number of machines with tasks.
    pub busy: u32,
    /// Number of machines that the waiting tasks would fill.
    pub machines_to_fill: u32,
}

/// Which rule determined the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetReason {
    /// Little's law applied to the waiting tasks.
    Little,
    /// The forecast of task starts, and the running replicas.
    Trend,
    /// Machines kept free for future replicas were added.
    Headroom,
    /// All waiting tasks must start before the oldest one misses the pickup target.
    Drain,
    /// The target was limited to the busy machines and those that the waiting tasks would fill.
    Fill,
    /// Machines with tasks are kept.
    Busy,
    /// The minimum of the pool.
    Min,
    /// The maximum of the pool.
    Max,
}

/// The target of a pool, and the three targets that it was chosen from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingDecision {
    /// Machines needed to start the waiting tasks, according to Little's law.
    pub littles_law_target: u32,
    /// Machines needed for the forecast of task starts and for the running replicas.
    pub forecast_target: u32,
    /// Machines needed to start all waiting tasks before the oldest one misses the pickup target.
    pub drain_target: u32,
    /// The number of machines that the pool should have.
    pub target: u32,
    /// Which rule determined `target`.
    pub reason: TargetReason,
}

/// Share of the pickup target that the oldest task must have waited for the drain target to get a safety margin.
const DRAIN_MARGIN_THRESHOLD: f64 = 0.8;

/// Rounds a number of machines up, to at most `max`. The tolerance absorbs rounding errors of the computation.
fn machine_count(machines: f64, max: u32) -> u32 {
    if machines.is_finite() {
        (machines - 1e-9).ceil().clamp(0.0, f64::from(max)) as u32
    } else {
        max
    }
}

/// Returns the machines needed according to Little's law: the number of pending tasks, divided by the pickup
/// target and by the rate of a machine.
pub fn littles_law_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    if load.pending == 0 || load.rate <= 0.0 {
        return parameters.min;
    }
    machine_count(
        f64::from(load.pending) / parameters.pickup_s / load.rate,
        parameters.max,
    )
}

/// Returns the machines needed for the forecast: the forecast rate times the run time of a task, divided by
/// the tasks that fit on a machine, plus the machines that replicas fill.
pub fn forecast_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    let tasks = load.forecast * load.task_s;
    machine_count(
        tasks / load.per_machine.max(1.0) + load.service_machines,
        parameters.max,
    )
}

/// Returns the machines needed to start all pending tasks before the oldest one misses the pickup target; if it
/// has missed the target already, the maximum.
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

/// Decides on the target of a pool: the largest of the three targets, plus the headroom. The two targets for the
/// waiting tasks are limited to the busy machines and those that the waiting tasks would fill.
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
    // Machines with tasks are never released to meet a target.
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
