//! What the leading controller does: it rebuilds its tables from the state service, takes heartbeats, binds
//! tasks, and reconciles workers and fleet with what is wanted.

mod binding_reconciliation;
mod commit;
mod consolidation;
mod dispatch;
mod failure_attribution;
mod failure_detection;
mod fencing;
mod fleet;
mod heartbeats;
mod recovery;
mod scaling;

use super::effects::Effects;
use super::scheduler::{self, SchedulingCycle};
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::permits::{DecisionCounters, PermitKind, ViewFreshness};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::reconciliation::RevocationCounters;
use crate::bookkeeping::records::FinishedRecord;
use crate::bookkeeping::wal::{LogEntry, TxnLimits, WriteAheadLog};
use crate::bookkeeping::workers::{Binding, Eviction, EvictionReason, Resources, Worker, Workers};
use crate::policy::Policy;
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::{JobKind, JobSpec};
use crate::protocol::peer::{JobCounts, MAX_JOB_COUNTS};
use crate::protocol::worker::{Command, TaskId, WorkerHeartbeat};
use crate::settings::{DRIFT, Settings};
use fleet::Fleet;
use rand::rngs::SmallRng;
use recovery::Recovery;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

pub use heartbeats::HeartbeatOutcome;

/// Attempts within one epoch.
const ATTEMPT_COUNTER_BITS: u32 = 24;
/// Share of the state service's limits that the leader's own writes may use.
pub const LEADER_STATE_SHARE: f64 = 0.5;
/// Heartbeats kept while the tables are being loaded.
const MAX_BUFFERED_HEARTBEATS: usize = 4096;
/// Binds are put off while more changes than this wait to be written.
const MAX_BACKLOG: usize = 600;
/// Estimates are often wrong by half.
const RUNTIME_ESTIMATE_MARGIN: f64 = 1.5;
/// Leases for which a job waits without a start before it goes first among its equals.
const AGEING_LEASES: f64 = 6.0;
/// Leases for which a job's tasks avoid a worker on which one of them has failed.
const AVOID_LEASES: f64 = 1.0;
/// Heartbeat intervals between two logs of what was allowed and denied.
const HEARTBEATS_PER_DECISION_LOG: f64 = 24.0;
/// Passes of the scheduler in a heartbeat interval, at most.
const CYCLES_PER_HEARTBEAT: f64 = 25.0;

/// Something that the rest of the controller must learn.
#[derive(Debug, PartialEq)]
pub enum LeaderEvent {
    /// A job has ended.
    JobFinished(String, FinishedRecord),
    /// Another leader's epoch was seen.
    HigherEpochSeen(u64),
    /// A transaction found the leader's key changed.
    Deposed,
}

/// The leader's tables and pipelines, for one epoch.
pub struct Leader {
    epoch: u64,
    elected_at: f64,
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    instance_types: Rc<Vec<InstanceType>>,
    jobs: Jobs,
    workers: Workers,
    quotas: Quotas,
    log: WriteAheadLog,
    recovery: Option<Recovery>,
    buffered_heartbeats: BTreeMap<String, WorkerHeartbeat>,
    closed_during_recovery: HashSet<String>,
    /// Jobs that an earlier leader has told to be crash-looping.
    inherited_crash_looping: BTreeSet<String>,
    listing_during_recovery: Option<(u64, BTreeSet<String>)>,
    attempts: u64,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// A transaction, or a look at its outcome, is on its way.
    commit_in_flight: bool,
    /// No transaction before this time.
    next_commit_at: f64,
    /// The conditions that a transaction of unknown outcome met.
    failed_compares: Vec<String>,
    schedule_due: bool,
    next_cycle_at: f64,
    /// Starts may go out, as of the last time.
    may_start: bool,
    dispatch_due: BTreeSet<String>,
    /// Workers with a direct call on its way, and whether it may well not be answered.
    calls_in_flight: HashMap<String, bool>,
    last_dispatch: HashMap<String, (Vec<Command>, f64)>,
    pending_demand: Vec<scheduler::PendingDemand>,
    fleet: Fleet,
    events: Vec<LeaderEvent>,
    /// No leader before this one has written anything: there is no machine of ours.
    is_first_leader: bool,
    /// Until then an earlier leader may have renewed leases.
    previous_leader_deadline: f64,
    /// Controllers that know this epoch, or a higher one.
    acknowledged_by: BTreeSet<String>,
    last_heartbeat_at: Option<f64>,
    /// When this controller last did its work, and since when it has done so without a gap: nobody counts
    /// as silent for the time in which it did not listen.
    last_polled_at: f64,
    awake_since: f64,
    decisions: DecisionCounters,
    revocations: RevocationCounters,
    next_decision_log_at: f64,
    rng: SmallRng,
}

impl Leader {
    /// A leader that knows nothing yet and starts to load its tables.
    pub fn new(
        epoch: u64,
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        instance_types: Rc<Vec<InstanceType>>,
        hold_over_s: f64,
        rng: SmallRng,
        now: f64,
    ) -> Leader {
        let state = &settings.deployment.state;
        let limits = TxnLimits {
            max_writes: state.txn_ops,
            max_value_bytes: (state.value_kb * 1024.0) as usize,
        };
        let share = |all: f64| TokenBucket::new(all * LEADER_STATE_SHARE, all * LEADER_STATE_SHARE);
        Leader {
            epoch,
            elected_at: now,
            jobs: Jobs::default(),
            workers: Workers::default(),
            quotas: Quotas::new(&settings.deployment.teams),
            log: WriteAheadLog::new(limits),
            recovery: Some(Recovery::new()),
            buffered_heartbeats: BTreeMap::new(),
            closed_during_recovery: HashSet::new(),
            inherited_crash_looping: BTreeSet::new(),
            listing_during_recovery: None,
            attempts: 0,
            request_budget: share(state.rps),
            write_budget: share(state.write_rps),
            commit_in_flight: false,
            next_commit_at: 0.0,
            failed_compares: Vec::new(),
            schedule_due: true,
            next_cycle_at: 0.0,
            may_start: true,
            dispatch_due: BTreeSet::new(),
            calls_in_flight: HashMap::new(),
            last_dispatch: HashMap::new(),
            pending_demand: Vec::new(),
            fleet: Fleet::new(&settings, epoch, now),
            events: Vec::new(),
            is_first_leader: false,
            previous_leader_deadline: if settings.peers.is_empty() {
                now
            } else {
                now + hold_over_s
            },
            acknowledged_by: BTreeSet::new(),
            last_heartbeat_at: None,
            last_polled_at: now,
            awake_since: now,
            decisions: DecisionCounters::default(),
            revocations: RevocationCounters::default(),
            next_decision_log_at: now,
            rng,
            settings,
            policy,
            instance_types,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A controller has shown that it knows this epoch, or a higher one: it no longer answers heartbeats, under the grace period, for an
    /// earlier one, and never will again. Once all have, nobody else renews any lease.
    pub fn acknowledged_by(&mut self, label: &str, now: f64) {
        let seeds = &self.settings.peers;
        if !self.acknowledged_by.insert(label.to_owned())
            || !seeds
                .iter()
                .all(|seed| self.acknowledged_by.contains(&seed.label))
        {
            return;
        }
        self.previous_leader_deadline = self.previous_leader_deadline.min(now);
        for worker in self.workers.iter_mut() {
            worker.lease_renewed_at = worker.lease_renewed_at.min(now);
        }
    }

    /// What the rest of the controller must learn.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes a new instance catalog.
    pub fn set_instance_types(&mut self, instance_types: Rc<Vec<InstanceType>>) {
        self.instance_types = instance_types;
        self.schedule_due = true;
    }

    /// A job was opened, as the watch or the job API shows it.
    pub fn on_job_opened(&mut self, mod_revision: u64, spec: &JobSpec, now: f64, wall: f64) {
        if self.jobs.get(&spec.id).is_some() {
            return;
        }
        let since = now - (wall - spec.submitted_at).clamp(0.0, now.max(0.0) + 1e6);
        let mut job = Job::new(spec.clone(), mod_revision, since);
        if job.deadline.is_none() && !job.is_service() {
            job.deadline = self.objective("finished", &spec.class).map(|s| since + s);
        }
        job.start_objective_s = self.objective("wait", &spec.class);
        if let (Some(deadline), None) = (job.deadline, job.start_objective_s) {
            job.latest_unhurried_start =
                deadline - RUNTIME_ESTIMATE_MARGIN * spec.expected_runtime_s;
        }
        self.jobs.insert(job);
        self.schedule_due = true;
    }

    /// The time within which jobs of a class should be finished, or their tasks started, by the
    /// tightest objective.
    fn objective(&self, kind: &str, class: &str) -> Option<f64> {
        self.settings
            .deployment
            .objectives
            .iter()
            .filter(|objective| objective.kind == kind && objective.class == class)
            .filter_map(|objective| objective.within_s)
            .min_by(f64::total_cmp)
    }

    /// A job was closed. Its tasks are stopped; their bindings last until they are gone.
    pub fn on_job_closed(&mut self, id: &str) {
        if self.recovery.is_some() {
            // What has been read so far may still show it as open.
            self.closed_during_recovery.insert(id.to_owned());
        }
        if let Some(job) = self.jobs.remove(id) {
            tracing::debug!(
                job = id,
                bound = job.bound_workers().len(),
                copies_on = job.workers_with_start_copies.len(),
                "job ended: tasks evicted"
            );
            self.log.forget_job(id);
            self.evict_tasks_of(&job);
            self.revoke_start_copies(&job);
        }
    }

    /// Revokes copies of starts of a job's completed tasks: of a job that may have been cancelled no task
    /// may be started, not even to exit at once.
    fn revoke_start_copies(&mut self, job: &Job) {
        for name in &job.workers_with_start_copies {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.revoke_ended_jobs = true;
                self.dispatch_due.insert(name.clone());
            }
        }
    }

    /// Requests a stop of a job's bound tasks after its end.
    fn evict_tasks_of(&mut self, job: &Job) {
        for (index, names) in job.bound_workers() {
            let task = TaskId {
                job: job.spec.id.clone(),
                index: *index,
            };
            for name in names {
                let worker = self.workers.get_mut(name);
                if let Some(binding) = worker.and_then(|worker| worker.bindings.get_mut(&task)) {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                    self.dispatch_due.insert(name.clone());
                }
            }
        }
        self.withdraw_failures(job);
        self.schedule_due = true;
    }

    /// A listing of the open jobs at a revision. The leader's own listing may be older: a job that
    /// was closed between the two has no event that would tell.
    pub fn on_open_jobs_listed(&mut self, revision: u64, listed: BTreeSet<String>) {
        let closed: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.mod_revision <= revision && !listed.contains(&job.spec.id))
            .map(|job| job.spec.id.clone())
            .collect();
        for id in closed {
            self.on_job_closed(&id);
        }
        if self.recovery.is_some() {
            self.listing_during_recovery = Some((revision, listed));
        }
    }

    /// Requests a stop of all bound tasks whose job is over.
    fn evict_orphans(&mut self) {
        for worker in self.workers.iter_mut() {
            for (task, binding) in &mut worker.bindings {
                let over = self.jobs.get(&task.job).is_none();
                if over && binding.eviction != Some(Eviction::JOB_ENDED) {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                    self.dispatch_due.insert(worker.name.clone());
                }
            }
        }
        self.schedule_due = true;
    }

    /// Whether the tables are still being loaded.
    pub fn recovery(&self) -> bool {
        self.recovery.is_some()
    }

    /// For how long no worker has shown that it hears us, although some should.
    pub fn unresponsive_for(&self, now: f64) -> f64 {
        // Since when there is somebody to be heard: a machine whose first word has just come has not
        // had our answer yet.
        let there = self
            .workers
            .iter()
            .filter(|worker| {
                !worker.terminating
                    && (worker.last_heartbeat_at.is_some() || !worker.bindings.is_empty())
            })
            .map(|worker| worker.first_heartbeat_at.unwrap_or(self.elected_at))
            .min_by(f64::total_cmp);
        let Some(there) = there.filter(|_| !self.recovery()) else {
            return 0.0;
        };
        // After a failover, workers need a moment to find the new leader.
        let from = self.elected_at + 2.0 * self.settings.deployment.workers.heartbeat_interval_s;
        now - self.last_heartbeat_at.unwrap_or(from).max(from).max(there)
    }

    /// When an incarnation whose worker is silent has certainly ended: its lease has run out since the
    /// last answer that may have renewed it, by the slower of two clocks.
    fn worker_lease_expires_at(&self, worker: &Worker) -> f64 {
        let worker_settings = &self.settings.deployment.workers;
        worker.lease_renewed_at
            + worker_settings.lease_s * (1.0 + 4.0 * DRIFT)
            + worker_settings.heartbeat_interval_s / 5.0
    }

    /// Does all that is due and that `knowledge` allows.
    pub fn poll(&mut self, freshness: &ViewFreshness, effects: &mut Effects, now: f64) {
        if now - self.last_polled_at > self.settings.deployment.workers.heartbeat_interval_s / 4.0 {
            tracing::info!(gap_s = now - self.last_polled_at, "event loop stalled");
            self.awake_since = now;
        }
        self.last_polled_at = now;
        if self.recovery() {
            self.poll_recovery(effects, now);
            return;
        }
        self.expire_worker_leases(now);
        if freshness.lease_held {
            self.run_scheduling_cycle(now);
        }
        self.commit_pending(effects, now);
        self.poll_fleet(freshness.lease_held, effects, now);
        let starts = freshness.may_start();
        self.decisions.count(PermitKind::StartTasks, starts);
        let may_start = starts.is_ok();
        if may_start && !self.may_start {
            // Starts that had to wait.
            let names = self.workers.iter().map(|worker| worker.name.clone());
            self.dispatch_due.extend(names);
        }
        if self.may_start != may_start {
            tracing::debug!(
                ?starts,
                view_age_s = freshness.view_age_s,
                lease_age_s = freshness.lease_age_s,
                "permission to start tasks changed"
            );
        }
        self.may_start = may_start;
        self.dispatch_commands(freshness, effects, now);
        self.log_decisions(now);
    }

    /// Logs how often what was allowed and denied, from time to time.
    fn log_decisions(&mut self, now: f64) {
        if now < self.next_decision_log_at {
            return;
        }
        self.next_decision_log_at = now
            + HEARTBEATS_PER_DECISION_LOG * self.settings.deployment.workers.heartbeat_interval_s;
        self.decisions.log();
        self.revocations.log();
    }

    /// Ends the bindings of workers that have been silent for longer than their lease can last.
    fn expire_worker_leases(&mut self, now: f64) {
        let dead: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| worker.bindings.values().any(|binding| !binding.unbinding))
            .filter(|worker| now > self.worker_lease_expires_at(worker))
            .map(|worker| worker.name.clone())
            .collect();
        for name in dead {
            tracing::info!(worker = name, "worker lease expired");
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.token_acknowledged = false;
                worker.observed_tasks.clear();
                worker.pending_starts.end_session();
            }
            self.end_lost_bindings(&name, |_| true);
        }
    }

    /// Ends bindings of tasks that are certainly no longer on the worker.
    fn end_lost_bindings(&mut self, name: &str, is_lost: impl Fn(&Binding) -> bool) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let lost: Vec<(TaskId, u64)> = worker
            .bindings
            .iter()
            .filter(|(_, binding)| !binding.unbinding && is_lost(binding))
            .map(|(task, binding)| (task.clone(), binding.attempt))
            .collect();
        for (task, attempt) in lost {
            tracing::debug!(worker = name, %task, attempt, "binding lost");
            self.end_binding(name, &task, attempt, false);
        }
    }

    /// Drops a binding from the tables, after its end is written down or its machine is gone.
    fn drop_binding(&mut self, name: &str, task: &TaskId, attempt: u64, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker
            .bindings
            .get(task)
            .is_none_or(|b| b.attempt != attempt)
        {
            return;
        }
        if let Some(binding) = worker.bindings.remove(task) {
            self.quotas
                .release(&binding.team, binding.request.cpus, binding.request.gpus);
            if worker.bindings.is_empty() {
                worker.idle_since = now;
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.unbind(task.index, name, &worker.zone, now);
                if binding.running_since.is_some() {
                    job.remove_running_task();
                }
            }
            self.schedule_due = true;
            self.dispatch_due.insert(name.to_owned());
        }
    }

    /// Drops all bindings of a machine that is gone.
    fn drop_all_bindings(&mut self, name: &str, now: f64) {
        let bound: Vec<(TaskId, u64)> = self
            .workers
            .get(name)
            .into_iter()
            .flat_map(|worker| &worker.bindings)
            .map(|(task, binding)| (task.clone(), binding.attempt))
            .collect();
        for (task, attempt) in bound {
            self.drop_binding(name, &task, attempt, now);
        }
    }

    /// One pass of the scheduler, unless too much waits to be written down.
    fn run_scheduling_cycle(&mut self, now: f64) {
        let is_due = self.schedule_due && now >= self.next_cycle_at;
        if !is_due || self.instance_types.is_empty() || self.log.backlog() > MAX_BACKLOG {
            return;
        }
        self.schedule_due = false;
        self.next_cycle_at =
            now + self.settings.deployment.workers.heartbeat_interval_s / CYCLES_PER_HEARTBEAT;
        let lease_s = self.settings.deployment.workers.lease_s;
        let limits = scheduler::CycleLimits {
            ageing_s: AGEING_LEASES * lease_s,
            avoid_s: AVOID_LEASES * lease_s,
        };
        let pass = SchedulingCycle::new(
            &self.jobs,
            &self.workers,
            &self.instance_types,
            &self.quotas,
            limits,
            now,
        );
        let plan = pass.run(&mut self.rng);
        for (task, worker) in plan.bindings {
            self.bind(&task, &worker, now);
        }
        for (name, task) in plan.preemptions {
            let worker = self.workers.get_mut(&name);
            if let Some(binding) = worker.and_then(|worker| worker.bindings.get_mut(&task)) {
                tracing::info!(worker = name, %task, "task preempted");
                let checkpoint_grace_s = self
                    .jobs
                    .get(&task.job)
                    .map_or(0.0, |job| job.spec.checkpoint_grace_s);
                binding.eviction = Some(Eviction {
                    grace_s: checkpoint_grace_s,
                    reason: EvictionReason::Preempted,
                });
                self.dispatch_due.insert(name);
            }
        }
        self.pending_demand = plan.pending_demand;
    }

    fn bind(&mut self, task: &TaskId, name: &str, now: f64) {
        let (Some(worker), Some(job)) = (self.workers.get_mut(name), self.jobs.get_mut(&task.job))
        else {
            return;
        };
        if worker.bindings.contains_key(task) || worker.observed_tasks.contains_key(task) {
            return;
        }
        // The tasks of a gang find one another by a common attempt.
        let mates = match job.gang_attempt {
            Some(attempt) if job.spec.kind == JobKind::Gang && !job.bound_workers().is_empty() => {
                Some(attempt)
            }
            _ => None,
        };
        let attempt = mates.unwrap_or_else(|| {
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
        // Forecasts are for what belongs in the pool: neither replicas, which stay, nor work that
        // has only spilled over from the spot pools; nor probes of a job that fails everywhere.
        let spilled = job.spec.spot && !worker.spot;
        let share = if job.is_service() || spilled || job.failures.is_crash_looping() {
            None
        } else {
            let instance_type = self
                .instance_types
                .iter()
                .find(|f| f.name == worker.instance_type);
            instance_type.map(|f| need.dominant_share(&Resources::from(f)))
        };
        self.fleet.record_start(worker, share, now);
        self.log.push(LogEntry::Bind {
            worker: name.to_owned(),
            task: task.clone(),
            attempt,
        });
    }

    /// Display counts of the open jobs.
    pub fn job_counts(&self) -> Vec<JobCounts> {
        self.jobs
            .iter()
            .take(MAX_JOB_COUNTS)
            .map(|job| JobCounts {
                job: job.spec.id.clone(),
                done: job.completed().len(),
                running: job.running_tasks(),
            })
            .collect()
    }
}
