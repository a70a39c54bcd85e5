//! Placement of one job's tasks on workers: reserves capacity and binds the tasks.

use super::capacity::{ZoneIndex, resource_request};
use super::cycle::SchedulingCycle;
use super::preemption::PreemptionScope;
use super::scoring::{SAMPLE_SIZE, ScoredWorker};
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::workers::Resources;
use crate::protocol::job::{JobKind, JobSpec};
use crate::protocol::worker::TaskId;
use rand::Rng;
use std::collections::HashMap;

/// Maximum number of tasks bound in one cycle.
const MAX_BINDS: usize = 128;

/// A job whose tasks are being placed.
pub(super) struct JobPlacement<'a> {
    pub(super) job: &'a Job,
    /// The resources that one task of the job requests.
    pub(super) request: Resources,
    /// Number of the job's tasks that were bound before the cycle or placed in it, for each zone, indexed by the zone's
    /// number in the cycle's [`ZoneIndex`].
    tasks_per_zone: Vec<u32>,
    /// Number of the job's tasks placed on each worker in this cycle, by the worker's index in the cycle's capacities.
    placed_per_worker: HashMap<usize, u32>,
}

impl<'a> JobPlacement<'a> {
    pub(super) fn new(job: &'a Job, zones: &mut ZoneIndex<'a>) -> JobPlacement<'a> {
        let mut tasks_per_zone = vec![0; zones.len()];
        for (zone, count) in job.bound_per_zone() {
            let number = zones.number_of(zone);
            tasks_per_zone.resize(zones.len(), 0);
            tasks_per_zone[number] = *count;
        }
        JobPlacement {
            job,
            request: resource_request(&job.spec),
            tasks_per_zone,
            placed_per_worker: HashMap::new(),
        }
    }

    pub(super) fn spec(&self) -> &'a JobSpec {
        &self.job.spec
    }

    /// Returns the number of the job's tasks that are bound to, or have been placed on, workers in a zone.
    pub(super) fn tasks_in_zone(&self, zone: usize) -> u32 {
        self.tasks_per_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns the number of the job's tasks placed on a worker in this cycle.
    pub(super) fn placed_on(&self, worker: usize) -> u32 {
        self.placed_per_worker.get(&worker).copied().unwrap_or(0)
    }

    /// Returns whether the job's zone constraints (`one_zone`, `spread`) allow one more task in a zone.
    pub(super) fn zone_allows(&self, zone: usize) -> bool {
        let spec = self.spec();
        let in_zone = self.tasks_in_zone(zone);
        if spec.one_zone && in_zone == 0 && self.has_tasks_in_any_zone() {
            return false;
        }
        in_zone < spec.zone_limit()
    }

    fn has_tasks_in_any_zone(&self) -> bool {
        self.tasks_per_zone.iter().any(|count| *count > 0)
    }

    fn record(&mut self, worker: usize, zone: usize) {
        self.tasks_per_zone[zone] += 1;
        *self.placed_per_worker.entry(worker).or_default() += 1;
    }

    /// Removes all recorded placements. Clearing the zones' counts is correct because only gangs are rolled back, and
    /// none of a gang's tasks is bound before the cycle.
    fn reset(&mut self) {
        self.tasks_per_zone.fill(0);
        self.placed_per_worker.clear();
    }
}

/// The result of placing a job's tasks.
#[derive(Debug, Default)]
pub(super) struct PlacementOutcome {
    /// Number of tasks that were bound, or for which capacity was claimed that other tasks will release.
    pub(super) placed: u32,
    /// Number of tasks that could not be placed while at least one of the considered workers still reports an earlier
    /// attempt of the task.
    pub(super) still_observed: u32,
    /// Placement stopped because the team's limit does not allow another task.
    pub(super) limit_reached: bool,
}

/// The state to restore if not all tasks of a gang can be placed.
struct GangCheckpoint {
    /// Number of bindings before the first task of the gang was placed.
    bindings: usize,
    quotas: Quotas,
}

impl<'a> SchedulingCycle<'a> {
    /// Places the job's startable tasks on workers with free capacity, at most [`MAX_BINDS`] in the cycle. The tasks of
    /// a gang are placed all together or not at all.
    pub(super) fn place_tasks(
        &mut self,
        placement: &mut JobPlacement<'a>,
        rng: &mut impl Rng,
    ) -> PlacementOutcome {
        if placement.spec().kind != JobKind::Gang {
            return self.place_each_task(placement, rng);
        }
        let checkpoint = GangCheckpoint {
            bindings: self.assignments.bindings.len(),
            quotas: self.quotas.clone(),
        };
        let outcome = self.place_each_task(placement, rng);
        if outcome.placed < placement.job.startable_count() {
            // The outcome still counts the tasks that were placed before the roll-back, so that only the tasks for
            // which there was no capacity become pending demand.
            self.roll_back(checkpoint, placement);
        }
        outcome
    }

    fn roll_back(&mut self, checkpoint: GangCheckpoint, placement: &mut JobPlacement) {
        for (_, name) in self.assignments.bindings.drain(checkpoint.bindings..) {
            let mut capacities = self.capacities.iter_mut();
            if let Some(capacity) = capacities.find(|capacity| capacity.worker.name == name) {
                capacity.free += placement.request;
            }
        }
        self.quotas = checkpoint.quotas;
        placement.reset();
    }

    fn place_each_task(
        &mut self,
        placement: &mut JobPlacement<'a>,
        rng: &mut impl Rng,
    ) -> PlacementOutcome {
        let job = placement.job;
        let spec = placement.spec();
        let mut outcome = PlacementOutcome::default();
        let may_preempt_for_image = self.may_preempt_for_image(job);
        let mut candidates = self.score_workers(placement, rng);
        if spec.one_zone && !placement.has_tasks_in_any_zone() {
            self.retain_largest_zone(&mut candidates, &placement.request);
        }
        let startable = job.startable_count() as usize;
        for index in job.waiting_tasks().take(MAX_BINDS.min(startable)) {
            if self.assignments.bindings.len() >= MAX_BINDS {
                break;
            }
            if !self.limit_allows(spec) {
                outcome.limit_reached = true;
                break;
            }
            let task = TaskId {
                job: spec.id.clone(),
                index,
            };
            let mut best = self.best_worker(&candidates, placement, &task);
            if best.is_none() && candidates.len() >= SAMPLE_SIZE {
                // No worker of the sample can take the task. A worker outside the sample may.
                candidates = self.score_workers(placement, rng);
                best = self.best_worker(&candidates, placement, &task);
            }
            if may_preempt_for_image
                && best.is_none_or(|worker| worker.slow_start)
                && self.claim_or_preempt(placement, PreemptionScope::WorkersWithImage, rng)
            {
                // Preempting a task on a worker that has the image is faster than pulling the image on another worker.
                self.charge_quota(spec);
                outcome.placed += 1;
                continue;
            }
            if let Some(worker) = best {
                self.reserve(worker.index, placement);
                self.bind(worker.index, task);
                outcome.placed += 1;
            } else if self.is_observed_on_any(&candidates, &task) {
                outcome.still_observed += 1;
            } else {
                break;
            }
        }
        outcome
    }

    /// Returns whether tasks on workers that have the job's image may be preempted so that the job meets its start
    /// objective. This is so if the job is a service with a start objective, is not crash-looping, and has waited for
    /// less than half of the objective.
    fn may_preempt_for_image(&self, job: &Job) -> bool {
        job.spec.kind == JobKind::Service
            && !job.failures.is_crash_looping()
            && job
                .start_objective_s
                .is_some_and(|objective_s| self.now - job.waiting_since < objective_s / 2.0)
    }

    /// Returns whether any of the candidates still reports an earlier attempt of a task.
    fn is_observed_on_any(&self, candidates: &[ScoredWorker], task: &TaskId) -> bool {
        candidates.iter().any(|candidate| {
            let worker = self.capacities[candidate.index].worker;
            worker.observed_tasks.contains_key(task)
        })
    }

    /// Reserves capacity of a worker for one task, and counts the task towards the team's limit.
    fn reserve(&mut self, worker: usize, placement: &mut JobPlacement) {
        let capacity = &mut self.capacities[worker];
        capacity.free -= placement.request;
        placement.record(worker, capacity.zone);
        self.charge_quota(placement.spec());
    }

    /// Adds the binding of a task to a worker to the assignments.
    fn bind(&mut self, worker: usize, task: TaskId) {
        let name = self.capacities[worker].worker.name.clone();
        self.assignments.bindings.push((task, name));
    }

    /// Reserves capacity for one task of a starving job, so that the remaining jobs of the cycle can't use it. Without
    /// the reservation, small tasks of other jobs would fill each gap before a large task fits. Of the workers that the
    /// task may run on and that are large enough for it when empty, the one is chosen of which the largest share is
    /// free or being released. If there is no such worker, nothing is reserved.
    pub(super) fn reserve_freest_worker(&mut self, placement: &JobPlacement) {
        let free_share = |index: usize| {
            let capacity = &self.capacities[index];
            capacity
                .free_after_release()
                .dominant_share(&capacity.total)
        };
        let freest = (0..self.capacities.len())
            .filter(|index| {
                let capacity = &self.capacities[*index];
                capacity.total.fits(&placement.request) && self.filter_worker(placement, capacity)
            })
            .max_by(|a, b| free_share(*a).total_cmp(&free_share(*b)).then(b.cmp(a)));
        if let Some(index) = freest {
            self.capacities[index].free -= placement.request;
        }
    }
}
