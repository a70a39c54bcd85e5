//! Scheduling: decides when a cycle of the scheduler runs, and turns the resulting assignments into bindings and
//! evictions.

use super::{AVOID_LEASES, Leader};
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::{Binding, Eviction, EvictionReason, Resources, Worker};
use crate::coordination::scheduler::{self, PendingDemand, SchedulingCycle};
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobKind;
use crate::protocol::worker::TaskId;

/// Number of the low bits of an attempt's number, which count the attempts of an epoch; the bits above hold the
/// epoch.
const ATTEMPT_COUNTER_BITS: u32 = 24;
/// No scheduling cycle runs while more log entries than this are not durable.
const MAX_BACKLOG: usize = 600;
/// Time from its submission after which a job that has not started any task goes ahead of the other jobs of the same
/// priority and quota status, in units of the worker lease.
const AGEING_LEASES: f64 = 6.0;
/// Maximum number of scheduling cycles in a heartbeat interval.
const CYCLES_PER_HEARTBEAT: f64 = 25.0;

/// When the next scheduling cycle runs, and the demand that the latest one left unplaced.
#[derive(Debug)]
pub(super) struct SchedulingTrigger {
    is_requested: bool,
    /// No cycle before this monotonic time, in seconds.
    next_cycle_at: f64,
    min_interval_s: f64,
    /// Tasks that the latest cycle did not place.
    pub(super) pending_demand: Vec<PendingDemand>,
}

impl SchedulingTrigger {
    /// Creates a trigger with a first cycle requested.
    pub(super) fn new(heartbeat_interval_s: f64) -> SchedulingTrigger {
        SchedulingTrigger {
            is_requested: true,
            next_cycle_at: 0.0,
            min_interval_s: heartbeat_interval_s / CYCLES_PER_HEARTBEAT,
            pending_demand: Vec::new(),
        }
    }

    /// Requests a cycle; called after changes that may allow other assignments.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    fn is_due(&self, now: f64) -> bool {
        self.is_requested && now >= self.next_cycle_at
    }

    fn record_cycle_started(&mut self, now: f64) {
        self.is_requested = false;
        self.next_cycle_at = now + self.min_interval_s;
    }
}

impl Leader {
    /// Runs a scheduling cycle if one is due, unless the instance types are not known or too many entries wait to be
    /// committed.
    pub(super) fn run_scheduling_cycle(&mut self, now: f64) {
        if !self.scheduling.is_due(now)
            || self.instance_types.is_empty()
            || self.commits.backlog() > MAX_BACKLOG
        {
            return;
        }
        self.scheduling.record_cycle_started(now);
        let lease_s = self.settings.deployment.workers.lease_s;
        let limits = scheduler::CycleLimits {
            starvation_after_s: AGEING_LEASES * lease_s,
            avoid_failed_worker_s: AVOID_LEASES * lease_s,
        };
        let cycle = SchedulingCycle::new(
            &self.jobs,
            &self.workers,
            &self.instance_types,
            &self.quotas,
            limits,
            now,
        );
        let assignments = cycle.run(&mut self.rng);
        for (task, worker) in assignments.bindings {
            self.bind(&task, &worker, now);
        }
        for (worker, task) in assignments.preemptions {
            self.preempt(&worker, &task);
        }
        self.scheduling.pending_demand = assignments.pending_demand;
    }

    /// Evicts a task in favour of tasks of a higher priority.
    fn preempt(&mut self, name: &str, task: &TaskId) {
        let worker = self.workers.get_mut(name);
        if let Some(binding) = worker.and_then(|worker| worker.bindings.get_mut(task)) {
            tracing::info!(worker = name, %task, "task preempted");
            let job = self.jobs.get(&task.job);
            binding.eviction = Some(Eviction {
                grace_s: job.map_or(0.0, |job| job.spec.checkpoint_grace_s),
                reason: EvictionReason::Preempted,
            });
            self.dispatcher.mark_due(name);
        }
    }

    /// Binds a task to a worker; the task is started once the binding is committed. Does nothing if the worker
    /// already has an attempt of the task.
    fn bind(&mut self, task: &TaskId, name: &str, now: f64) {
        let (Some(worker), Some(job)) = (self.workers.get_mut(name), self.jobs.get_mut(&task.job))
        else {
            return;
        };
        if worker.bindings.contains_key(task) || worker.observed_tasks.contains_key(task) {
            return;
        }
        let attempt = gang_attempt(job).unwrap_or_else(|| {
            self.attempts += 1;
            (self.epoch << ATTEMPT_COUNTER_BITS) | self.attempts
        });
        job.gang_attempt = Some(attempt);
        let request = scheduler::resource_request(&job.spec);
        let binding = Binding {
            attempt,
            incarnation: worker.incarnation,
            request,
            team: job.spec.team.clone(),
            durable: false,
            inherited: false,
            unbinding: false,
            eviction: None,
            running_since: None,
        };
        tracing::debug!(worker = name, %task, attempt, "task bound");
        worker.bindings.insert(task.clone(), binding);
        job.bind(task.index, name, &worker.zone);
        self.quotas
            .charge(&job.spec.team, request.cpus, request.gpus);
        let share = forecast_share(job, worker, &request, &self.instance_types);
        self.fleet.record_start(worker, share, now);
        self.commits.push(LogEntry::Bind {
            worker: name.to_owned(),
            task: task.clone(),
            attempt,
        });
    }
}

/// Returns the attempt number that the bound tasks of a gang share, so that further tasks are bound with the same
/// number. A gang is a job whose tasks all run at the same time; they can tell by the number which of them run
/// together. `None` for other jobs, and while no task of the gang is bound: the next one then begins a new attempt.
fn gang_attempt(job: &Job) -> Option<u64> {
    let is_bound_gang = job.spec.kind == JobKind::Gang && !job.bound_workers().is_empty();
    job.gang_attempt.filter(|_| is_bound_gang)
}

/// Returns the share of an instance that a task requests, for its pool's forecast; `None` if the instance type is not
/// known or the task does not count in the forecast. These don't count: replicas, which run until they are cancelled;
/// tasks that may use spot instances but spilled over to an on-demand one; and probes of a crash-looping job.
fn forecast_share(
    job: &Job,
    worker: &Worker,
    request: &Resources,
    instance_types: &[InstanceType],
) -> Option<f64> {
    let spilled_over = job.spec.spot && !worker.spot;
    if job.is_service() || spilled_over || job.failures.is_crash_looping() {
        return None;
    }
    instance_types
        .iter()
        .find(|instance_type| instance_type.name == worker.instance_type)
        .map(|instance_type| request.dominant_share(&Resources::from(instance_type)))
}
