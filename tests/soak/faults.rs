//! The faults that are under way, and whom they concern.

use super::plan::{Fault, PlannedFault};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};

/// A fault that is under way.
#[derive(Debug, Clone)]
struct Active {
    planned: PlannedFault,
    until: f64,
    node: usize,
    machines: BTreeSet<String>,
}

/// All faults that are under way.
#[derive(Debug, Default)]
pub struct Faults {
    active: Vec<Active>,
    /// How often each fault did something: a message held, a request refused, a process stopped.
    pub fault_counts: BTreeMap<Fault, u64>,
}

impl Faults {
    /// Begins a fault for a controller and for these machines.
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

    /// Forgets what is over.
    pub fn expire(&mut self, now: f64) {
        self.active.retain(|active| now < active.until);
    }

    /// Ends everything.
    pub fn end_all(&mut self) {
        self.active.clear();
    }

    /// Whether a fault is under way, for whomever.
    pub fn is_active(&self, fault: Fault) -> bool {
        self.active.iter().any(|a| a.planned.fault == fault)
    }

    /// Whether a fault is under way for a controller.
    pub fn affects_node(&self, fault: Fault, node: usize) -> bool {
        let concerns = |a: &Active| a.planned.fault == fault && a.node == node;
        self.active.iter().any(concerns)
    }

    /// Whether a fault is under way for a machine.
    pub fn affects_machine(&self, fault: Fault, machine: &str) -> bool {
        self.machine_affected_until(fault, machine).is_some()
    }

    /// Until when a fault is under way for a machine.
    pub fn machine_affected_until(&self, fault: Fault, machine: &str) -> Option<f64> {
        let concerns = |a: &&Active| a.planned.fault == fault && a.machines.contains(machine);
        let ends = self.active.iter().filter(concerns).map(|a| a.until);
        ends.max_by(f64::total_cmp)
    }

    /// By how long a message is late, if it is one of those that a fault concerns.
    pub fn draw_delay(&mut self, fault: Fault, rng: &mut SmallRng) -> Option<f64> {
        let active = self.active.iter().find(|a| a.planned.fault == fault)?;
        let planned = active.planned;
        if rng.random::<f64>() >= planned.share {
            return None;
        }
        self.count(fault);
        Some(planned.delay_s * rng.random_range(0.5..1.0))
    }

    /// Counts that a fault did something.
    pub fn count(&mut self, fault: Fault) {
        *self.fault_counts.entry(fault).or_default() += 1;
    }
}
