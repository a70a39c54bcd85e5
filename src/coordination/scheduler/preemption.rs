//! Room for work that can't wait: what is about to be given up, and whose tasks must stop.

use super::{MAX_HALTS, Movable, Pass, Placing, SAMPLE, Stops};
use crate::bookkeeping::workers::Resources;
use rand::Rng;
use rand::seq::index::sample;

impl<'a> Pass<'a> {
    /// Finds room that is about to be given up, or stops tasks of lower standing for it, if the job
    /// can't wait any longer.
    pub(super) fn make_room(
        &mut self,
        placing: &Placing,
        stops: Stops,
        rng: &mut impl Rng,
    ) -> bool {
        let at_image = stops == Stops::AtImage;
        let usable: Vec<usize> = (0..self.slots.len())
            .filter(|i| {
                let slot = &self.slots[*i];
                (!at_image || slot.host.cached_images.contains(&placing.spec.image))
                    && self.allows(placing, slot)
            })
            .collect();
        let need = &placing.need;
        for i in &usable {
            let slot = &mut self.slots[*i];
            if slot.leaving != Resources::default() && slot.free.plus(&slot.leaving).fits(need) {
                slot.leaving = slot.leaving.minus(need);
                return true;
            }
        }
        let spec = placing.spec;
        let within = self.within.contains(&spec.id);
        if stops == Stops::Nowhere || (spec.priority >= self.lowest && !within) {
            return false;
        }
        let count = usable.len().min(SAMPLE);
        let sampled: Vec<usize> = sample(rng, usable.len(), count)
            .iter()
            .map(|i| usable[i])
            .collect();
        let mut best: Option<(bool, f64, usize, usize)> = None;
        for i in sampled {
            self.list_movable(i);
            let Some((count, lost)) = self.victims(i, placing, within) else {
                continue;
            };
            let fetch = !self.slots[i].host.cached_images.contains(&spec.image);
            let better = best.is_none_or(|(f, l, ..)| (fetch, lost) < (f, l));
            if better {
                best = Some((fetch, lost, i, count));
            }
        }
        let Some((_, _, i, count)) = best else {
            return false;
        };
        if self.plan.halts.len() + count > MAX_HALTS {
            return false;
        }
        self.stop(i, placing, within, count);
        true
    }

    fn list_movable(&mut self, i: usize) {
        if self.slots[i].movable.is_some() {
            return;
        }
        let host = self.slots[i].host;
        let mut movable: Vec<Movable> = host
            .bindings
            .iter()
            .filter(|(_, b)| b.eviction.is_none() && !b.unbinding)
            .filter_map(|(task, b)| {
                let job = self.jobs.get(&task.job)?;
                let ran_s = b.running_since.map_or(0.0, |since| self.now - since);
                Some(Movable {
                    task,
                    rank: job.spec.priority,
                    standing: job.is_service(),
                    team: &b.team,
                    need: b.request,
                    lost: ran_s * b.request.cpus.max(0.1),
                    stopped: false,
                })
            })
            .collect();
        movable.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        self.slots[i].movable = Some(movable);
    }

    /// Whether a task may be stopped for this job: it ranks lower, or its team has borrowed what
    /// this job's team is guaranteed.
    fn may_stop(&self, victim: &Movable, placing: &Placing, within: bool) -> bool {
        let need = &victim.need;
        let borrowed = || {
            within
                && !victim.standing
                && victim.team != placing.spec.team
                && self
                    .quotas
                    .exceeds_quota_without(victim.team, need.cpus, need.gpus)
        };
        !victim.stopped && (victim.rank > placing.spec.priority || borrowed())
    }

    /// How many of a host's tasks would have to stop, the least work lost first, and the work lost.
    fn victims(&self, i: usize, placing: &Placing, within: bool) -> Option<(usize, f64)> {
        let slot = &self.slots[i];
        let mut room = slot.free.plus(&slot.leaving);
        let mut lost = 0.0;
        let mut count = 0;
        for victim in slot.movable.iter().flatten() {
            if room.fits(&placing.need) {
                break;
            }
            if self.may_stop(victim, placing, within) {
                room = room.plus(&victim.need);
                lost += victim.lost;
                count += 1;
            }
        }
        (count > 0 && room.fits(&placing.need)).then_some((count, lost))
    }

    fn stop(&mut self, i: usize, placing: &Placing, within: bool, count: usize) {
        let mut movable = self.slots[i].movable.take().unwrap_or_default();
        let mut left = count;
        for victim in &mut movable {
            if left > 0 && self.may_stop(victim, placing, within) {
                left -= 1;
                victim.stopped = true;
                let slot = &mut self.slots[i];
                slot.leaving = slot.leaving.plus(&victim.need);
                let halt = (slot.host.name.clone(), victim.task.clone());
                self.plan.halts.push(halt);
            }
        }
        let slot = &mut self.slots[i];
        slot.leaving = slot.leaving.minus(&placing.need);
        slot.movable = Some(movable);
    }
}
