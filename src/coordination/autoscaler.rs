//! How many machines a pool should have: the largest of three targets, within bounds.
//!
//! The arithmetic of "Predictive Queue Autoscaling with Little's Law"; docs/design.md says what was
//! kept and what was changed.

use crate::policy::ScalingParameters;

/// A pool's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLoad {
    /// Tasks that wait for a machine of this pool.
    pub pending: u32,
    /// For how long the oldest of them has waited.
    pub oldest_s: f64,
    /// Starts and finishes per second and machine.
    pub rate: f64,
    /// Expected arrivals of tasks per second.
    pub forecast: f64,
    /// Average time of a task on its machine.
    pub task_s: f64,
    /// Tasks that fit on a machine.
    pub per_machine: f64,
    /// Machines' worth of replicas, which run until they are cancelled: for them, what Little's law
    /// calls the number in the system is simply what is there.
    pub service_machines: f64,
    /// Machines beyond those with tasks, and those for what waits, kept for replicas to come.
    pub headroom_machines: u32,
    /// Machines with tasks.
    pub busy: u32,
    /// Machines that the requests of the waiting tasks would fill.
    pub machines_to_fill: u32,
}

/// What set the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetReason {
    /// Little's law.
    Little,
    /// The forecast.
    Trend,
    /// Machines kept for replicas to come.
    Headroom,
    /// The backlog.
    Drain,
    /// What the waiting tasks would fill.
    Fill,
    /// Machines with tasks stay.
    Busy,
    /// The least machines.
    Min,
    /// The most machines.
    Max,
}

/// A decision with all that led to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingDecision {
    /// Machines by Little's law.
    pub littles_law_target: u32,
    /// Machines by the forecast.
    pub forecast_target: u32,
    /// Machines to drain the backlog.
    pub drain_target: u32,
    /// The target.
    pub target: u32,
    /// What set it.
    pub reason: TargetReason,
}

/// Usage of the pickup target above which the drain target gets a margin.
const MARGIN_FROM: f64 = 0.8;

fn ceil(machines: f64, max: u32) -> u32 {
    if machines.is_finite() {
        (machines - 1e-9).ceil().clamp(0.0, f64::from(max)) as u32
    } else {
        max
    }
}

/// Machines by Little's law: the pending tasks over the pickup target, over the rate of a machine.
pub fn littles_law_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    if load.pending == 0 || load.rate <= 0.0 {
        return parameters.min;
    }
    ceil(
        f64::from(load.pending) / parameters.pickup_s / load.rate,
        parameters.max,
    )
}

/// Machines for the expected arrivals: their rate times the time of a task, over the tasks that a
/// machine takes, and what replicas fill.
pub fn forecast_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    let tasks = load.forecast * load.task_s;
    ceil(
        tasks / load.per_machine.max(1.0) + load.service_machines,
        parameters.max,
    )
}

/// Machines that drain the backlog before the oldest task breaches the pickup target.
pub fn drain_target(load: &PoolLoad, parameters: &ScalingParameters) -> u32 {
    if load.pending == 0 {
        return parameters.min;
    }
    let usage = load.oldest_s / parameters.pickup_s;
    if usage > 1.0 {
        return parameters.max;
    }
    if load.rate <= 0.0 {
        return parameters.min;
    }
    let left_s = (parameters.pickup_s - load.oldest_s).max(1.0);
    let margin = 1.0 + (usage - MARGIN_FROM).max(0.0) * 2.0;
    ceil(
        f64::from(load.pending) / left_s / load.rate * margin,
        parameters.max,
    )
}

/// The target of a pool: the largest of the three, with the headroom. What waits is served by the machines that are busy now plus at most those
/// that its requests would fill.
pub fn decide(load: &PoolLoad, parameters: &ScalingParameters) -> ScalingDecision {
    let littles_law_target = littles_law_target(load, parameters);
    let drain_target = drain_target(load, parameters);
    let forecast_target = forecast_target(load, parameters);
    let filled = load.busy + load.machines_to_fill;
    let (mut target, mut reason) = if drain_target > littles_law_target {
        (drain_target, TargetReason::Drain)
    } else {
        (littles_law_target, TargetReason::Little)
    };
    if target > filled {
        (target, reason) = (filled, TargetReason::Fill);
    }
    // Busy machines stay; they are no matter of targets.
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
