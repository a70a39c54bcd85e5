//! Preemption: for tasks that found no suitable free capacity, claims capacity that other tasks are releasing, or
//! chooses tasks to stop.

use super::cycle::SchedulingCycle;
use super::placement::JobPlacement;
use super::scoring::SAMPLE_SIZE;
use crate::bookkeeping::workers::Resources;
use crate::protocol::job::PriorityClass;
use crate::protocol::worker::TaskId;
use rand::Rng;
use rand::seq::index::sample;

/// Maximum number of tasks preempted in one cycle.
const MAX_PREEMPTIONS: usize = 32;
/// Lower bound on a task's CPUs when the work that it would lose is computed, so that the run time counts even if the
/// task requests no CPUs.
const MIN_WORK_CPUS: f64 = 0.1;

/// The workers on which tasks may be preempted for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PreemptionScope {
    /// No task is preempted, but capacity that tasks are releasing may be claimed on any worker.
    NoWorkers,
    /// Workers that have the job's image in their cache. Capacity that tasks are releasing is also
    /// claimed only on these workers.
    WorkersWithImage,
    /// All workers that pass the job's filter.
    AllWorkers,
}

/// A bound task that is not being stopped yet. Whether it may be preempted depends on the job that needs its capacity.
pub(super) struct PreemptionCandidate<'a> {
    task: &'a TaskId,
    priority: PriorityClass,
    is_service: bool,
    team: &'a str,
    request: Resources,
    /// CPU seconds of work that preemption would lose.
    work_lost: f64,
    /// The task has already been preempted in this cycle.
    preempted: bool,
}

/// The tasks to preempt on one worker. The worker's candidates are ordered by the work that they would lose; the plan
/// takes those that may be preempted for the job, from the first, until one task of the job fits.
struct PreemptionPlan {
    /// Index of the worker in the cycle's capacities.
    worker: usize,
    /// Number of tasks to preempt.
    victims: usize,
    /// CPU seconds of work that all preempted tasks together would lose.
    work_lost: f64,
    /// The worker would have to pull the job's image. Plans without an image pull are better.
    needs_image_pull: bool,
}

impl PreemptionPlan {
    fn is_better_than(&self, other: &PreemptionPlan) -> bool {
        (self.needs_image_pull, self.work_lost) < (other.needs_image_pull, other.work_lost)
    }
}

impl SchedulingCycle<'_> {
    /// Provides capacity for one task: claims capacity that other tasks are releasing or, if there is not enough,
    /// preempts tasks on the workers of `scope`. Returns whether there will be capacity for the task.
    pub(super) fn claim_or_preempt(
        &mut self,
        placement: &JobPlacement,
        scope: PreemptionScope,
        rng: &mut impl Rng,
    ) -> bool {
        let usable = self.usable_workers(placement, scope);
        if self.claim_releasing(&usable, &placement.request) {
            return true;
        }
        if scope == PreemptionScope::NoWorkers || !self.may_preempt_any(placement) {
            return false;
        }
        let Some(plan) = self.best_preemption(&usable, placement, rng) else {
            return false;
        };
        if self.assignments.preemptions.len() + plan.victims > MAX_PREEMPTIONS {
            return false;
        }
        self.preempt(&plan, placement);
        true
    }

    /// Returns the indices of the workers that pass the job's filter and on which `scope` allows the job to claim
    /// capacity.
    fn usable_workers(&self, placement: &JobPlacement, scope: PreemptionScope) -> Vec<usize> {
        let image_required = scope == PreemptionScope::WorkersWithImage;
        (0..self.capacities.len())
            .filter(|index| {
                let capacity = &self.capacities[*index];
                (!image_required || capacity.has_image(&placement.spec().image))
                    && self.filter_worker(placement, capacity)
            })
            .collect()
    }

    /// Claims capacity for a request on the first worker where the free capacity, together with the capacity that tasks
    /// are releasing, is sufficient. Returns false if there is no such worker among `usable`.
    fn claim_releasing(&mut self, usable: &[usize], request: &Resources) -> bool {
        for index in usable {
            let capacity = &mut self.capacities[*index];
            if capacity.releasing != Resources::default()
                && capacity.free_after_release().fits(request)
            {
                capacity.releasing -= *request;
                return true;
            }
        }
        false
    }

    /// Returns whether all tasks of the job fit into its team's quota, together with those of the team's earlier jobs.
    fn is_within_quota(&self, placement: &JobPlacement) -> bool {
        self.jobs_within_quota.contains(&placement.spec().id)
    }

    /// Returns false if certainly no bound task may be preempted for the job, so that no search is needed.
    fn may_preempt_any(&self, placement: &JobPlacement) -> bool {
        placement.spec().priority < self.lowest_bound_priority || self.is_within_quota(placement)
    }

    /// Returns the best plan for a random sample of the usable workers, or `None` if there is no plan for any of them.
    fn best_preemption(
        &mut self,
        usable: &[usize],
        placement: &JobPlacement,
        rng: &mut impl Rng,
    ) -> Option<PreemptionPlan> {
        let count = usable.len().min(SAMPLE_SIZE);
        let mut best: Option<PreemptionPlan> = None;
        for position in sample(rng, usable.len(), count) {
            let worker = usable[position];
            self.list_preemptible(worker);
            let Some(plan) = self.plan_preemption(worker, placement) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.is_better_than(best)) {
                best = Some(plan);
            }
        }
        best
    }

    /// Sets `preemptible` of a worker, unless it is set already: the bound tasks that are not being stopped, ordered by
    /// the work that they would lose, least work first.
    fn list_preemptible(&mut self, worker: usize) {
        if self.capacities[worker].preemptible.is_some() {
            return;
        }
        let bindings = &self.capacities[worker].worker.bindings;
        let mut preemptible: Vec<PreemptionCandidate> = bindings
            .iter()
            .filter(|(_, binding)| binding.eviction.is_none() && !binding.unbinding)
            .filter_map(|(task, binding)| {
                let job = self.jobs.get(&task.job)?;
                let ran_s = binding.running_since.map_or(0.0, |since| self.now - since);
                Some(PreemptionCandidate {
                    task,
                    priority: job.spec.priority,
                    is_service: job.is_service(),
                    team: &binding.team,
                    request: binding.request,
                    work_lost: ran_s * binding.request.cpus.max(MIN_WORK_CPUS),
                    preempted: false,
                })
            })
            .collect();
        preemptible.sort_by(|a, b| a.work_lost.total_cmp(&b.work_lost));
        self.capacities[worker].preemptible = Some(preemptible);
    }

    /// Returns whether a task may be preempted for the job. A task that this cycle has already preempted may not. Any
    /// other task may be preempted if its priority is lower than the job's. A task of the same or a higher priority
    /// may be preempted only if all of this holds: the job is within its team's quota; the task is not a replica of a
    /// service; the task belongs to another team, which uses its whole quota even without this task.
    fn may_preempt(&self, victim: &PreemptionCandidate, placement: &JobPlacement) -> bool {
        let request = &victim.request;
        let borrows_quota = || {
            self.is_within_quota(placement)
                && !victim.is_service
                && victim.team != placement.spec().team
                && self
                    .quotas
                    .exceeds_quota_without(victim.team, request.cpus, request.gpus)
        };
        !victim.preempted && (victim.priority > placement.spec().priority || borrows_quota())
    }

    /// Returns the plan for preempting tasks on a worker for one task of the job. Returns `None` if preemption would
    /// not free enough capacity, or if the task will fit without preemption.
    fn plan_preemption(&self, worker: usize, placement: &JobPlacement) -> Option<PreemptionPlan> {
        let capacity = &self.capacities[worker];
        let mut available = capacity.free_after_release();
        let mut plan = PreemptionPlan {
            worker,
            victims: 0,
            work_lost: 0.0,
            needs_image_pull: !capacity.has_image(&placement.spec().image),
        };
        for candidate in capacity.preemptible.iter().flatten() {
            if available.fits(&placement.request) {
                break;
            }
            if self.may_preempt(candidate, placement) {
                available += candidate.request;
                plan.work_lost += candidate.work_lost;
                plan.victims += 1;
            }
        }
        (plan.victims > 0 && available.fits(&placement.request)).then_some(plan)
    }

    /// Preempts the tasks of a plan, and claims the capacity that they release for one task of the job.
    fn preempt(&mut self, plan: &PreemptionPlan, placement: &JobPlacement) {
        let worker = plan.worker;
        let mut preemptible = self.capacities[worker]
            .preemptible
            .take()
            .unwrap_or_default();
        let mut remaining = plan.victims;
        for candidate in &mut preemptible {
            if remaining > 0 && self.may_preempt(candidate, placement) {
                remaining -= 1;
                candidate.preempted = true;
                let capacity = &mut self.capacities[worker];
                capacity.releasing += candidate.request;
                let name = capacity.worker.name.clone();
                let preemption = (name, candidate.task.clone());
                self.assignments.preemptions.push(preemption);
            }
        }
        let capacity = &mut self.capacities[worker];
        capacity.releasing -= placement.request;
        capacity.preemptible = Some(preemptible);
    }
}
