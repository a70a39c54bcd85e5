//! The figures that operators may set: what the autoscaler works with.

use crate::settings::Settings;

/// Figures for one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Time within which a waiting task should be picked up.
    pub pickup_s: f64,
    /// Least machines.
    pub min: u32,
    /// Most machines.
    pub max: u32,
    /// How long a machine stays idle before it may be given back.
    pub cooldown_s: f64,
    /// Window over which rates are counted.
    pub window_s: f64,
    /// Machines kept beyond what the load asks for, as a share of the busy ones.
    pub headroom: f64,
}

/// Where figures come from.
#[derive(Debug, Clone)]
pub struct Policy {
    report_s: f64,
}

/// What a pool's figures may depend on.
#[derive(Debug, Clone, Copy)]
pub struct PoolView {
    /// Spot machines.
    pub spot: bool,
    /// Usual boot time.
    pub ready_s: f64,
    /// Machines with tasks.
    pub busy: u32,
}

impl Policy {
    /// The built-in figures.
    pub fn built_in(settings: &Settings) -> Policy {
        Policy {
            report_s: settings.deployment.workers.report_s,
        }
    }

    /// The figures of a pool.
    pub fn figures(&self, pool: &PoolView) -> Figures {
        Figures {
            pickup_s: self.report_s,
            min: 0,
            max: 1000,
            cooldown_s: pool.ready_s * if pool.spot { 1.5 } else { 0.4 },
            window_s: 30.0,
            headroom: 0.0,
        }
    }
}
