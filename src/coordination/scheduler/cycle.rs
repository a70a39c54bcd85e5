//! One scheduling cycle: a run over the queue of jobs.

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

/// Times that govern how a cycle treats a job.
#[derive(Debug, Clone, Copy)]
pub struct CycleLimits {
    /// Seconds without a start after which a job goes first among its equals.
    pub starvation_after_s: f64,
    /// Seconds for which a job's tasks avoid a worker on which one of them has failed.
    pub avoid_failed_worker_s: f64,
}

/// One scheduling cycle. It works on copies of the quotas and of the workers' free capacity.
pub struct SchedulingCycle<'a> {
    pub(super) jobs: &'a Jobs,
    pub(super) quotas: Quotas,
    pub(super) capacities: Vec<WorkerCapacity<'a>>,
    pub(super) zones: ZoneIndex<'a>,
    pub(super) assignments: Assignments,
    pub(super) jobs_within_quota: HashSet<String>,
    pub(super) unsatisfiable: UnsatisfiableRequests,
    /// The lowest priority among jobs with bound tasks.
    pub(super) lowest_bound_priority: PriorityClass,
    pub(super) limits: CycleLimits,
    pub(super) now: f64,
}

impl<'a> SchedulingCycle<'a> {
    /// Prepares a cycle.
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

    /// Schedules all jobs of the queue.
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
        if outcome.quota_exhausted {
            // More capacity would not help: the team's quota is what limits the job.
            return;
        }
        let mut unplaced = waiting - outcome.placed - outcome.still_observed;
        unplaced -= self.preempt_for_tasks(&placement, unplaced, rng);
        if queued.is_starving() && unplaced > 0 && outcome.placed == 0 {
            self.reserve_freest_worker(&placement);
        }
        self.record_pending_demand(job, unplaced + outcome.still_observed);
    }

    /// Frees capacity for up to `count` tasks of a job. Returns for how many there will be.
    fn preempt_for_tasks(
        &mut self,
        placement: &JobPlacement,
        count: u32,
        rng: &mut impl Rng,
    ) -> u32 {
        let job = placement.job;
        let urgent = self.now >= job.may_preempt_from && !job.failures.is_crash_looping();
        let scope = if urgent {
            PreemptionScope::AllWorkers
        } else {
            PreemptionScope::NoWorkers
        };
        let mut served = 0;
        while served < count
            && self.quota_allows(&job.spec)
            && self.claim_or_preempt(placement, scope, rng)
        {
            self.charge_quota(&job.spec);
            served += 1;
        }
        served
    }

    /// Notes the tasks without capacity, as far as the team's quota would let them run.
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

    /// Whether the team's quota allows one more task of a job.
    pub(super) fn quota_allows(&self, spec: &JobSpec) -> bool {
        self.quotas.has_capacity(&spec.team, spec.cpus, spec.gpus)
    }

    /// Charges one task of a job to its team's quota.
    pub(super) fn charge_quota(&mut self, spec: &JobSpec) {
        self.quotas.charge(&spec.team, spec.cpus, spec.gpus);
    }
}
