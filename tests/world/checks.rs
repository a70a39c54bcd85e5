//! What tests ask of the world.

use super::*;

/// What the controllers have asked of others.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls to the state service, in each second.
    pub requests: BTreeMap<u64, u32>,
    /// Puts and deletes, in each second.
    pub changes: BTreeMap<u64, u32>,
    /// Direct calls to workers.
    pub worker_calls: u32,
    /// The most direct calls of a node that waited for their answers at a time.
    pub most_calls: usize,
    /// Reports of workers.
    pub reports: u32,
}

impl World {
    pub(super) fn count(&mut self, call: &StoreCall) {
        let second = self.now as u64;
        *self.counts.requests.entry(second).or_default() += 1;
        if let StoreCall::Txn(txn) = call {
            *self.counts.changes.entry(second).or_default() += txn.writes.len() as u32;
        }
    }

    /// The node that leads, confirmed or held over.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Controller>| n.as_ref().is_some_and(Controller::leads);
        self.nodes.iter().position(leads)
    }

    /// Number of controllers.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Users of accepted jobs who have had no answer for so long.
    pub fn unanswered(&self, for_s: f64) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| u.accepted && self.now - u.answered > for_s)
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Users whose job has not come to its end.
    pub fn unfinished(&self) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| {
                let over = u.told_done || u.told_cancelled.is_some();
                let serves = u.standing && u.cancel_at.is_none() && {
                    let on = self
                        .workers
                        .values()
                        .flat_map(|w| w.running())
                        .filter(|(s, _)| s.split('/').next() == Some(u.id.as_str()));
                    on.count() as u32 == u.tasks
                };
                !over && !serves
            })
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Workers of a zone that have lost a session to their lease.
    pub fn lost_sessions_in(&self, zone: &str) -> usize {
        let there = self.workers.values().filter(|w| w.zone == zone);
        there.filter(|w| w.tenure > 1).count()
    }

    /// Workers that have lost a session to their lease.
    pub fn lost_sessions(&self) -> usize {
        self.workers.values().filter(|w| w.tenure > 1).count()
    }

    /// Replicas that run on no machine that can be reached.
    pub fn standing_without_task(&self) -> usize {
        let wanted: u32 = self
            .users
            .iter()
            .filter(|u| u.standing && u.accepted && u.told_cancelled.is_none())
            .map(|u| u.tasks)
            .sum();
        let standing = |step: &str| {
            let job = step.split('/').next();
            self.users
                .iter()
                .any(|u| u.standing && job == Some(u.id.as_str()))
        };
        let there = self
            .workers
            .values()
            .filter(|w| self.now >= w.deaf_until)
            .flat_map(Worker::running)
            .filter(|(step, _)| standing(step))
            .count();
        (wanted as usize).saturating_sub(there)
    }
}
