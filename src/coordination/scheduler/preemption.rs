//! Room for work that can't wait: what is about to be given up, and whose tasks must stop.

use super::{
    JobPlacement, MAX_PREEMPTIONS, PreemptionCandidate, PreemptionScope, SAMPLE_SIZE,
    SchedulingCycle,
};
use crate::bookkeeping::workers::Resources;
use rand::Rng;
use rand::seq::index::sample;

impl<'a> SchedulingCycle<'a> {
    /// Finds room that is about to be given up, or stops tasks of lower standing for it, if the job
    /// can't wait any longer.
    pub(super) fn make_room(
        &mut self,
        placing: &JobPlacement,
        stops: PreemptionScope,
        rng: &mut impl Rng,
    ) -> bool {
        let at_image = stops == PreemptionScope::WorkersWithImage;
        let usable: Vec<usize> = (0..self.capacities.len())
            .filter(|i| {
                let slot = &self.capacities[*i];
                (!at_image || slot.worker.cached_images.contains(&placing.spec.image))
                    && self.filter_worker(placing, slot)
            })
            .collect();
        let need = &placing.request;
        for i in &usable {
            let slot = &mut self.capacities[*i];
            if slot.releasing != Resources::default() && slot.free.plus(&slot.releasing).fits(need) {
                slot.releasing = slot.releasing.minus(need);
                return true;
            }
        }
        let spec = placing.spec;
        let within = self.jobs_within_quota.contains(&spec.id);
        if stops == PreemptionScope::Nowhere || (spec.priority >= self.lowest_bound_priority && !within) {
            return false;
        }
        let count = usable.len().min(SAMPLE_SIZE);
        let sampled: Vec<usize> = sample(rng, usable.len(), count)
            .iter()
            .map(|i| usable[i])
            .collect();
        let mut best: Option<(bool, f64, usize, usize)> = None;
        for i in sampled {
            self.list_preemptible(i);
            let Some((count, lost)) = self.preemption_cost(i, placing, within) else {
                continue;
            };
            let fetch = !self.capacities[i].worker.cached_images.contains(&spec.image);
            let better = best.is_none_or(|(f, l, ..)| (fetch, lost) < (f, l));
            if better {
                best = Some((fetch, lost, i, count));
            }
        }
        let Some((_, _, i, count)) = best else {
            return false;
        };
        if self.assignments.preemptions.len() + count > MAX_PREEMPTIONS {
            return false;
        }
        self.preempt(i, placing, within, count);
        true
    }

    fn list_preemptible(&mut self, i: usize) {
        if self.capacities[i].preemptible.is_some() {
            return;
        }
        let host = self.capacities[i].worker;
        let mut movable: Vec<PreemptionCandidate> = host
            .bindings
            .iter()
            .filter(|(_, b)| b.eviction.is_none() && !b.unbinding)
            .filter_map(|(task, b)| {
                let job = self.jobs.get(&task.job)?;
                let ran_s = b.running_since.map_or(0.0, |since| self.now - since);
                Some(PreemptionCandidate {
                    task,
                    priority: job.spec.priority,
                    is_service: job.is_service(),
                    team: &b.team,
                    request: b.request,
                    work_lost: ran_s * b.request.cpus.max(0.1),
                    preempted: false,
                })
            })
            .collect();
        movable.sort_by(|a, b| a.work_lost.total_cmp(&b.work_lost));
        self.capacities[i].preemptible = Some(movable);
    }

    /// Whether a task may be stopped for this job: it ranks lower, or its team has borrowed what
    /// this job's team is guaranteed.
    fn may_preempt(
        &self,
        victim: &PreemptionCandidate,
        placing: &JobPlacement,
        within: bool,
    ) -> bool {
        let need = &victim.request;
        let borrowed = || {
            within
                && !victim.is_service
                && victim.team != placing.spec.team
                && self
                    .quotas
                    .exceeds_quota_without(victim.team, need.cpus, need.gpus)
        };
        !victim.preempted && (victim.priority > placing.spec.priority || borrowed())
    }

    /// How many of a host's tasks would have to stop, the least work lost first, and the work lost.
    fn preemption_cost(
        &self,
        i: usize,
        placing: &JobPlacement,
        within: bool,
    ) -> Option<(usize, f64)> {
        let slot = &self.capacities[i];
        let mut room = slot.free.plus(&slot.releasing);
        let mut lost = 0.0;
        let mut count = 0;
        for victim in slot.preemptible.iter().flatten() {
            if room.fits(&placing.request) {
                break;
            }
            if self.may_preempt(victim, placing, within) {
                room = room.plus(&victim.request);
                lost += victim.work_lost;
                count += 1;
            }
        }
        (count > 0 && room.fits(&placing.request)).then_some((count, lost))
    }

    fn preempt(&mut self, i: usize, placing: &JobPlacement, within: bool, count: usize) {
        let mut movable = self.capacities[i].preemptible.take().unwrap_or_default();
        let mut left = count;
        for victim in &mut movable {
            if left > 0 && self.may_preempt(victim, placing, within) {
                left -= 1;
                victim.preempted = true;
                let slot = &mut self.capacities[i];
                slot.releasing = slot.releasing.plus(&victim.request);
                let halt = (slot.worker.name.clone(), victim.task.clone());
                self.assignments.preemptions.push(halt);
            }
        }
        let slot = &mut self.capacities[i];
        slot.releasing = slot.releasing.minus(&placing.request);
        slot.preemptible = Some(movable);
    }
}
