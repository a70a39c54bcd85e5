//! Scheduling: when a cycle runs, and what becomes of its assignments.

use super::{AVOID_LEASES, Leader};
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::{Binding, Eviction, EvictionReason, Resources, Worker};
use crate::coordination::scheduler::{self, PendingDemand, SchedulingCycle};
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobKind;
use crate::protocol::worker::TaskId;

/// Bits of an attempt's number that count within an epoch.
const ATTEMPT_COUNTER_BITS: u32 = 24;
/// No cycle runs while more log entries than this are not durable.
const MAX_BACKLOG: usize = 600;
/// Worker leases for which a job waits without a start before it goes first among its equals.
const AGEING_LEASES: f64 = 6.0;
/// Scheduling cycles in a heartbeat interval, at most.
const CYCLES_PER_HEARTBEAT: f64 = 25.0;

/// When the next scheduling cycle runs, and the demand that the latest one left.
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
    /// A trigger with a first cycle requested.
    pub(super) fn new(heartbeat_interval_s: f64) -> SchedulingTrigger {
        SchedulingTrigger {
            is_requested: true,
            next_cycle_at: 0.0,
            min_interval_s: heartbeat_interval_s / CYCLES_PER_HEARTBEAT,
            pending_demand: Vec::new(),
        }
    }

    /// Something has changed that may allow other assignments.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    fn is_due(&self, now: f64) -> bool {
        self.is_requested && now >= self.next_cycle_at
    }

    fn cycle_started(&mut self, now: f64) {
        self.is_requested = false;
        self.next_cycle_at = now + self.min_interval_s;
    }
}

impl Leader {
    /// Runs a scheduling cycle if one is due, unless too many entries wait to be committed.
    pub(super) fn run_scheduling_cycle(&mut self, now: f64) {
        if !self.scheduling.is_due(now)
            || self.instance_types.is_empty()
            || self.commits.backlog() > MAX_BACKLOG
        {
            return;
        }
        self.scheduling.cycle_started(now);
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

    /// Evicts a task in favour of more urgent ones.
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

    /// Binds a task to a worker; the binding takes effect once it is committed.
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
        let need = scheduler::resource_request(&job.spec);
        let binding = Binding {
            attempt,
            incarnation: worker.incarnation,
            request: need,
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
        self.quotas.charge(&job.spec.team, need.cpus, need.gpus);
        let share = forecast_share(job, worker, &need, &self.instance_types);
        self.fleet.record_start(worker, share, now);
        self.commits.push(LogEntry::Bind {
            worker: name.to_owned(),
            task: task.clone(),
            attempt,
        });
    }
}

/// The attempt that a job's tasks share: those of a gang find one another by it.
fn gang_attempt(job: &Job) -> Option<u64> {
    let is_bound_gang = job.spec.kind == JobKind::Gang && !job.bound_workers().is_empty();
    job.gang_attempt.filter(|_| is_bound_gang)
}

/// The share of a machine that a task counts for in its pool's forecast. Forecasts are for what
/// belongs in the pool: neither replicas, which stay, nor work that has only spilled over from the
/// spot pools, nor probes of a crash-looping job.
fn forecast_share(
    job: &Job,
    worker: &Worker,
    request: &Resources,
    instance_types: &[InstanceType],
) -> Option<f64> {
    let spilled = job.spec.spot && !worker.spot;
    if job.is_service() || spilled || job.failures.is_crash_looping() {
        return None;
    }
    instance_types
        .iter()
        .find(|instance_type| instance_type.name == worker.instance_type)
        .map(|instance_type| request.dominant_share(&Resources::from(instance_type)))
}
