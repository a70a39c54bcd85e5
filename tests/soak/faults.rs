//! The active faults, and the controller or the machines that each fault affects.

use super::plan::{Fault, PlannedFault};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};

/// An active fault.
#[derive(Debug, Clone)]
struct Active {
    planned: PlannedFault,
    /// When the fault ends, in seconds of the run.
    until: f64,
    /// The controller that the fault affects; ignored for kinds of faults that affect no controller.
    node: usize,
    /// The machines that the fault affects; empty for kinds of faults that affect no machines.
    machines: BTreeSet<String>,
}

/// All active faults.
#[derive(Debug, Default)]
pub struct Faults {
    active: Vec<Active>,
    /// How often each fault was applied, for example to delay a message, to reject a request or to stop a process. A
    /// fault that was drawn for a message counts even if another fault lost that message.
    pub fault_counts: BTreeMap<Fault, u64>,
}

impl Faults {
    /// Begins a fault that affects the given controller or machines, depending on its kind.
    pub fn begin(
        &mut self,
        planned: PlannedFault,
        node: usize,
        machines: BTreeSet<String>,
        now: f64,
    ) {
        self.active.push(Active {
            planned,
            until: now + planned.duration_s,
            node,
            machines,
        });
    }

    /// Removes the faults that have ended.
    pub fn expire(&mut self, now: f64) {
        self.active.retain(|active| now < active.until);
    }

    /// Ends all faults.
    pub fn end_all(&mut self) {
        self.active.clear();
    }

    /// Whether a fault of this kind is active for any controller, machine or message.
    pub fn is_active(&self, fault: Fault) -> bool {
        self.active.iter().any(|a| a.planned.fault == fault)
    }

    /// Whether a fault of this kind is active that affects a controller.
    pub fn affects_node(&self, fault: Fault, node: usize) -> bool {
        let concerns = |a: &Active| a.planned.fault == fault && a.node == node;
        self.active.iter().any(concerns)
    }

    /// Whether a fault of this kind is active that affects a machine.
    pub fn affects_machine(&self, fault: Fault, machine: &str) -> bool {
        self.machine_affected_until(fault, machine).is_some()
    }

    /// The time at which the last active fault of this kind that affects a machine ends; `None` if there is none.
    pub fn machine_affected_until(&self, fault: Fault, machine: &str) -> Option<f64> {
        let concerns = |a: &&Active| a.planned.fault == fault && a.machines.contains(machine);
        let ends = self.active.iter().filter(concerns).map(|a| a.until);
        ends.max_by(f64::total_cmp)
    }

    /// Draws whether an active fault of this kind affects a message; the probability is the share of the fault. Returns
    /// the delay of the message if it is affected.
    pub fn draw_delay(&mut self, fault: Fault, rng: &mut SmallRng) -> Option<f64> {
        let active = self.active.iter().find(|a| a.planned.fault == fault)?;
        let planned = active.planned;
        if rng.random::<f64>() >= planned.share {
            return None;
        }
        self.count(fault);
        Some(planned.delay_s * rng.random_range(0.5..1.0))
    }

    /// Counts that a fault was applied.
    pub fn count(&mut self, fault: Fault) {
        *self.fault_counts.entry(fault).or_default() += 1;
    }
}
