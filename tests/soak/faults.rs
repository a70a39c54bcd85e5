//! The troubles that are under way, and whom they concern.

use super::plan::{Planned, Trouble};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};

/// A trouble that is under way.
#[derive(Debug, Clone)]
struct Active {
    planned: Planned,
    until: f64,
    node: usize,
    machines: BTreeSet<String>,
}

/// All troubles that are under way.
#[derive(Debug, Default)]
pub struct Faults {
    active: Vec<Active>,
    /// How often each trouble did something: a message held, a request refused, a process stopped.
    pub took_place: BTreeMap<Trouble, u64>,
}

impl Faults {
    /// Begins a trouble for a controller and for these machines.
    pub fn begin(&mut self, planned: Planned, node: usize, machines: BTreeSet<String>, now: f64) {
        self.active.push(Active {
            planned,
            until: now + planned.for_s,
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

    /// Whether a trouble is under way, for whomever.
    pub fn any(&self, trouble: Trouble) -> bool {
        self.active.iter().any(|a| a.planned.trouble == trouble)
    }

    /// Whether a trouble is under way for a controller.
    pub fn at_node(&self, trouble: Trouble, node: usize) -> bool {
        let concerns = |a: &Active| a.planned.trouble == trouble && a.node == node;
        self.active.iter().any(concerns)
    }

    /// Whether a trouble is under way for a machine.
    pub fn at_machine(&self, trouble: Trouble, machine: &str) -> bool {
        self.until_at_machine(trouble, machine).is_some()
    }

    /// Until when a trouble is under way for a machine.
    pub fn until_at_machine(&self, trouble: Trouble, machine: &str) -> Option<f64> {
        let concerns = |a: &&Active| a.planned.trouble == trouble && a.machines.contains(machine);
        let ends = self.active.iter().filter(concerns).map(|a| a.until);
        ends.max_by(f64::total_cmp)
    }

    /// By how long a message is late, if it is one of those that a trouble concerns.
    pub fn lateness(&mut self, trouble: Trouble, chance: &mut SmallRng) -> Option<f64> {
        let active = self.active.iter().find(|a| a.planned.trouble == trouble)?;
        let planned = active.planned;
        if chance.random::<f64>() >= planned.share {
            return None;
        }
        self.note(trouble);
        Some(planned.late_s * chance.random_range(0.5..1.0))
    }

    /// Counts that a trouble did something.
    pub fn note(&mut self, trouble: Trouble) {
        *self.took_place.entry(trouble).or_default() += 1;
    }
}
