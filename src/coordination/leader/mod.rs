//! What the leading controller does: it rebuilds its tables from the state service, takes heartbeats, binds
//! tasks, and reconciles workers and fleet with what is wanted.

mod binding_reconciliation;
mod commit;
mod consolidation;
mod decision_log;
mod dispatch;
mod failure_attribution;
mod failure_detection;
mod fencing;
mod fleet;
mod heartbeats;
mod leases;
mod recovery;
mod scaling;
mod scheduling;

use super::effects::Effects;
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::permits::{PermitKind, ViewFreshness};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::records::FinishedRecord;
use crate::bookkeeping::workers::{Binding, Eviction, Workers};
use crate::policy::Policy;
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobSpec;
use crate::protocol::peer::{JobCounts, MAX_JOB_COUNTS};
use crate::protocol::worker::TaskId;
use crate::settings::Settings;
use commit::CommitPipeline;
use decision_log::DecisionLog;
use dispatch::CommandDispatcher;
use fleet::Fleet;
use leases::LeaseTracker;
use rand::rngs::SmallRng;
use recovery::Recovery;
use scheduling::SchedulingTrigger;
use std::collections::BTreeSet;
use std::rc::Rc;

pub use heartbeats::HeartbeatOutcome;

/// Share of the state service's limits that the leader's own writes may use.
pub const LEADER_STATE_SHARE: f64 = 0.5;
/// Workers whose heartbeats are kept during recovery.
const MAX_BUFFERED_HEARTBEATS: usize = 4096;
/// Estimates are often wrong by half.
const RUNTIME_ESTIMATE_MARGIN: f64 = 1.5;
/// Leases for which a job's tasks avoid a worker on which one of them has failed.
const AVOID_LEASES: f64 = 1.0;

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
    commits: CommitPipeline,
    /// `None` once the tables are rebuilt.
    recovery: Option<Recovery>,
    scheduling: SchedulingTrigger,
    /// Attempts that this leader has numbered.
    attempts: u64,
    /// Starts may go out, as of the last time.
    may_start: bool,
    dispatcher: CommandDispatcher,
    fleet: Fleet,
    events: Vec<LeaderEvent>,
    /// No leader before this one has written anything: there is no machine of ours.
    is_first_leader: bool,
    leases: LeaseTracker,
    decisions: DecisionLog,
    rng: SmallRng,
}

impl Leader {
    /// A leader that knows nothing yet and starts to load its tables.
    pub fn new(
        epoch: u64,
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        instance_types: Rc<Vec<InstanceType>>,
        lease_grace_s: f64,
        rng: SmallRng,
        now: f64,
    ) -> Leader {
        let heartbeat_interval_s = settings.deployment.workers.heartbeat_interval_s;
        Leader {
            epoch,
            elected_at: now,
            jobs: Jobs::default(),
            workers: Workers::default(),
            quotas: Quotas::new(&settings.deployment.teams),
            commits: CommitPipeline::new(&settings, epoch),
            recovery: Some(Recovery::new()),
            attempts: 0,
            scheduling: SchedulingTrigger::new(heartbeat_interval_s),
            may_start: true,
            dispatcher: CommandDispatcher::new(settings.deployment.quota.direct_sockets()),
            fleet: Fleet::new(&settings, epoch, now),
            events: Vec::new(),
            is_first_leader: false,
            leases: LeaseTracker::new(&settings, lease_grace_s, now),
            decisions: DecisionLog::new(heartbeat_interval_s, now),
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

    /// A controller has shown that it knows this epoch, or a higher one: it never again answers
    /// heartbeats for an earlier one. Once all have, no other controller renews any lease.
    pub fn acknowledged_by(&mut self, label: &str, now: f64) {
        if self.leases.on_acknowledged(label, now) {
            for worker in self.workers.iter_mut() {
                worker.lease_renewed_at = worker.lease_renewed_at.min(now);
            }
        }
    }

    fn emit(&mut self, event: LeaderEvent) {
        self.events.push(event);
    }

    /// What the rest of the controller must learn.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes a new instance catalog.
    pub fn set_instance_types(&mut self, instance_types: Rc<Vec<InstanceType>>) {
        self.instance_types = instance_types;
        self.scheduling.request();
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
        self.scheduling.request();
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
        if let Some(recovery) = &mut self.recovery {
            recovery.on_job_closed(id);
        }
        if let Some(job) = self.jobs.remove(id) {
            tracing::debug!(
                job = id,
                bound = job.bound_workers.len(),
                copies_on = job.workers_with_start_copies.len(),
                "job ended: tasks evicted"
            );
            self.commits.forget_job(id);
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
                self.dispatcher.mark_due(name);
            }
        }
    }

    /// Requests a stop of a job's bound tasks after its end.
    fn evict_tasks_of(&mut self, job: &Job) {
        for (index, names) in &job.bound_workers {
            let task = TaskId {
                job: job.spec.id.clone(),
                index: *index,
            };
            for name in names {
                let worker = self.workers.get_mut(name);
                if let Some(binding) = worker.and_then(|worker| worker.bindings.get_mut(&task)) {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                    self.dispatcher.mark_due(name);
                }
            }
        }
        self.withdraw_failures(job);
        self.scheduling.request();
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
        if let Some(recovery) = &mut self.recovery {
            recovery.on_open_jobs_listed(revision, listed);
        }
    }

    /// Requests a stop of all bound tasks whose job is over.
    fn evict_orphans(&mut self) {
        for worker in self.workers.iter_mut() {
            for (task, binding) in &mut worker.bindings {
                let over = self.jobs.get(&task.job).is_none();
                if over && binding.eviction != Some(Eviction::JOB_ENDED) {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                    self.dispatcher.mark_due(&worker.name);
                }
            }
        }
        self.scheduling.request();
    }

    /// Whether the tables are still being loaded.
    pub fn recovery(&self) -> bool {
        self.recovery.is_some()
    }

    /// Seconds for which no worker has shown that it receives this leader's answers, although some should.
    pub fn unresponsive_for(&self, now: f64) -> f64 {
        if self.recovery() {
            return 0.0;
        }
        self.leases.unresponsive_for(&self.workers, now)
    }

    /// Does all that is due and that `knowledge` allows.
    pub fn poll(&mut self, freshness: &ViewFreshness, effects: &mut Effects, now: f64) {
        self.leases.on_poll(now);
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
            for worker in self.workers.iter() {
                self.dispatcher.mark_due(&worker.name);
            }
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
        self.decisions.poll(now);
    }

    /// Ends the bindings of workers that have been silent for longer than their lease can last.
    fn expire_worker_leases(&mut self, now: f64) {
        let dead: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| worker.bindings.values().any(|binding| !binding.unbinding))
            .filter(|worker| now > self.leases.expires_at(worker))
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
                job.running_tasks -= u32::from(binding.running_since.is_some());
            }
            self.scheduling.request();
            self.dispatcher.mark_due(name);
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

    /// Display counts of the open jobs.
    pub fn job_counts(&self) -> Vec<JobCounts> {
        self.jobs
            .iter()
            .take(MAX_JOB_COUNTS)
            .map(|job| JobCounts {
                job: job.spec.id.clone(),
                done: job.completed.len(),
                running: job.running_tasks,
            })
            .collect()
    }
}
