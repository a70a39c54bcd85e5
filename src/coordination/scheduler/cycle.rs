//! A scheduling cycle: goes through the queue of jobs once, and decides for each job which of its waiting tasks are
//! bound to which workers. See the parent module for *quota* and *limit*.

use super::assignments::{Assignments, PendingDemand};
use super::capacity::{WorkerCapacity, ZoneIndex, worker_capacities};
use super::placement::JobPlacement;
use super::preemption::PreemptionScope;
use super::queue::{QueuedJob, jobs_within_quota, scheduling_queue};
use super::scoring::UnsatisfiableRequests;
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::workers::Workers;
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::{JobSpec, PriorityClass};
use rand::Rng;
use std::collections::HashSet;

/// Time limits that a cycle applies to each job.
#[derive(Debug, Clone, Copy)]
pub struct CycleLimits {
    /// A job counts as starving if none of its tasks has been placed within this number of seconds after its
    /// submission, unless the job is crash-looping. A starving job is scheduled before jobs of the same priority that
    /// are not starving, except that jobs within their team's quota always come before jobs beyond it.
    pub starvation_after_s: f64,
    /// Seconds for which a job's tasks are not placed on a worker after one of them has failed there. Does not apply to
    /// crash-looping jobs.
    pub avoid_failed_worker_s: f64,
}

/// The state of one scheduling cycle. It changes only its own copies of the quotas and of the workers' free capacity.
pub struct SchedulingCycle<'a> {
    pub(super) jobs: &'a Jobs,
    pub(super) quotas: Quotas,
    pub(super) capacities: Vec<WorkerCapacity<'a>>,
    pub(super) zones: ZoneIndex<'a>,
    pub(super) assignments: Assignments,
    /// Ids of the jobs within their team's quota, see `queue::jobs_within_quota`.
    pub(super) jobs_within_quota: HashSet<String>,
    pub(super) unsatisfiable: UnsatisfiableRequests,
    /// The lowest priority of all jobs with bound tasks, or `Production` if no job has any. Lower priorities are
    /// greater values of the enum.
    pub(super) lowest_bound_priority: PriorityClass,
    pub(super) limits: CycleLimits,
    pub(super) now: f64,
}

impl<'a> SchedulingCycle<'a> {
    /// Prepares a cycle that places the waiting tasks of `jobs` on `workers`. `now` is in seconds, on the clock of the
    /// times in `jobs`.
    pub fn new(
        jobs: &'a Jobs,
        workers: &'a Workers,
        instance_types: &[InstanceType],
        quotas: &Quotas,
        limits: CycleLimits,
        now: f64,
    ) -> SchedulingCycle<'a> {
        let mut zones = ZoneIndex::default();
        let capacities = worker_capacities(workers, instance_types, &mut zones);
        let lowest_bound_priority = jobs
            .iter()
            .filter(|job| !job.bound_workers().is_empty())
            .map(|job| job.spec.priority)
            .max()
            .unwrap_or(PriorityClass::Production);
        SchedulingCycle {
            jobs,
            quotas: quotas.clone(),
            capacities,
            zones,
            assignments: Assignments::default(),
            jobs_within_quota: jobs_within_quota(jobs, quotas),
            unsatisfiable: UnsatisfiableRequests::default(),
            lowest_bound_priority,
            limits,
            now,
        }
    }

    /// Schedules all jobs of the queue, and returns the resulting assignments. `rng` selects the samples of workers.
    pub fn run(mut self, rng: &mut impl Rng) -> Assignments {
        let queue = scheduling_queue(self.jobs, &self.jobs_within_quota, self.limits, self.now);
        for queued in queue {
            self.schedule_job(&queued, rng);
        }
        self.assignments
    }

    fn schedule_job(&mut self, queued: &QueuedJob<'a>, rng: &mut impl Rng) {
        let job = queued.job;
        let waiting = job.startable_count();
        let mut placement = JobPlacement::new(job, &mut self.zones);
        let outcome = self.place_tasks(&mut placement, rng);
        if outcome.limit_reached {
            // The team's limit allows no further task, so neither preemption nor more workers would help the job.
            return;
        }
        let mut unplaced = waiting - outcome.placed - outcome.still_observed;
        unplaced -= self.preempt_for_tasks(&placement, unplaced, rng);
        if queued.is_starving() && unplaced > 0 && outcome.placed == 0 {
            self.reserve_freest_worker(&placement);
        }
        self.record_pending_demand(job, unplaced + outcome.still_observed);
    }

    /// Claims capacity that other tasks are releasing, or preempts tasks, for up to `count` tasks of a job. Returns the
    /// number of tasks for which there will be capacity. These tasks are bound in a later cycle.
    fn preempt_for_tasks(
        &mut self,
        placement: &JobPlacement,
        count: u32,
        rng: &mut impl Rng,
    ) -> u32 {
        let job = placement.job;
        let may_preempt = self.now >= job.may_preempt_from && !job.failures.is_crash_looping();
        let scope = if may_preempt {
            PreemptionScope::AllWorkers
        } else {
            PreemptionScope::NoWorkers
        };
        let mut placed = 0;
        while placed < count
            && self.limit_allows(&job.spec)
            && self.claim_or_preempt(placement, scope, rng)
        {
            self.charge_quota(&job.spec);
            placed += 1;
        }
        placed
    }

    /// Adds a job's unplaced tasks to the pending demand, but no more than the team's limit still allows.
    fn record_pending_demand(&mut self, job: &Job, unplaced: u32) {
        let spec = &job.spec;
        let allowed = self
            .quotas
            .remaining_tasks(&spec.team, spec.cpus, spec.gpus);
        let count = unplaced.min(allowed);
        if count > 0 {
            self.assignments.pending_demand.push(PendingDemand {
                job: spec.id.clone(),
                count,
                oldest_wait_s: self.now - job.waiting_since,
            });
        }
    }

    /// Returns whether the team's limit allows one more task of a job.
    pub(super) fn limit_allows(&self, spec: &JobSpec) -> bool {
        self.quotas.has_capacity(&spec.team, spec.cpus, spec.gpus)
    }

    /// Adds one task of a job to its team's usage.
    pub(super) fn charge_quota(&mut self, spec: &JobSpec) {
        self.quotas.charge(&spec.team, spec.cpus, spec.gpus);
    }
}
