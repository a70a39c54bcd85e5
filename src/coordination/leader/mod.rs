//! What the leading node does: it rebuilds its tables from the state service, takes reports, binds
//! tasks, and reconciles workers and fleet with what is wanted.

mod consolidation;
mod direct;
mod exits;
mod failure_detection;
mod fleet;
mod load;
mod orders;
mod reports;
mod scaling;
mod verdicts;
mod writes;

use super::outbox::Outbox;
use super::scheduler::{self, Pass};
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::permits::{DecisionCounters, PermitKind, ViewFreshness};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::FinishedRecord;
use crate::bookkeeping::workers::{Binding, EvictionReason, Resources, Worker, Workers};
use crate::bookkeeping::write_ahead_log::{LogEntry, TxnLimits, WriteAheadLog};
use crate::policy::Policy;
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::{JobKind, JobSpec};
use crate::protocol::peer::{JobCounts, MAX_JOB_COUNTS};
use crate::protocol::worker::{Command, TaskId, WorkerHeartbeat};
use crate::settings::{DRIFT, Settings};
use fleet::Fleet;
use load::Loading;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

pub use reports::ReportAnswer;

/// Attempts within one Epoch.
const TRIES_BITS: u32 = 24;
/// Share of the state service's limits that the leader's own writes may use.
pub const STATE_SHARE: f64 = 0.5;
/// Reports kept while the tables are being loaded.
const MAX_EARLY: usize = 4096;
/// Binds are put off while more changes than this wait to be written.
const MAX_BACKLOG: usize = 600;
/// Estimates are often wrong by half.
const EXPECT_MARGIN: f64 = 1.5;
/// Leases for which a job waits without a start before it goes first among its equals.
const AGEING_LEASES: f64 = 6.0;
/// Leases for which a job's tasks avoid a host on which one of them has failed.
const AVOID_LEASES: f64 = 1.0;
/// Report intervals between two logs of what was allowed and denied.
const REPORTS_PER_TALLY: f64 = 24.0;
/// Passes of the scheduler in a report interval, at most.
const PASSES_PER_REPORT: f64 = 25.0;

/// Something that the rest of the node must learn.
#[derive(Debug, PartialEq)]
pub enum Notice {
    /// A job has ended.
    Over(String, FinishedRecord),
    /// Another leader's Epoch was seen.
    Epoch(u64),
    /// A transaction found the leader's key changed.
    Deposed,
}

/// The leader's tables and pipelines, for one Epoch.
pub struct Leader {
    epoch: u64,
    since: f64,
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    flavors: Rc<Vec<InstanceType>>,
    jobs: Jobs,
    hosts: Workers,
    quotas: Quotas,
    ledger: WriteAheadLog,
    loading: Option<Loading>,
    early: BTreeMap<String, WorkerHeartbeat>,
    closed_early: HashSet<String>,
    /// Jobs that an earlier leader has told to be suspect.
    inherited_suspects: BTreeSet<String>,
    listed_early: Option<(u64, BTreeSet<String>)>,
    tries: u64,
    requests: TokenBucket,
    changes: TokenBucket,
    /// A transaction, or a look at its fate, is on its way.
    writing: bool,
    /// No transaction before this time.
    write_at: f64,
    /// The conditions that a transaction of unknown fate met.
    refused_for: Vec<String>,
    schedule_due: bool,
    schedule_at: f64,
    /// Starts may go out, as of the last time.
    may_start: bool,
    push_due: BTreeSet<String>,
    /// Hosts with a direct call on its way, and whether it may well not be answered.
    pushing: HashMap<String, bool>,
    pushed_at: HashMap<String, (Vec<Command>, f64)>,
    unplaced: Vec<scheduler::Unplaced>,
    fleet: Fleet,
    notices: Vec<Notice>,
    /// No leader before this one has written anything: there is no machine of ours.
    first: bool,
    /// Until then an earlier leader may have renewed leases.
    others_until: f64,
    /// Nodes that know this Epoch, or a higher one.
    informed: BTreeSet<String>,
    last_report: Option<f64>,
    /// When this node last did its work, and since when it has done so without a gap: nobody counts
    /// as silent for the time in which it did not listen.
    drove_at: f64,
    awake_since: f64,
    tally: DecisionCounters,
    tally_at: f64,
    rng: SmallRng,
}

impl Leader {
    /// A leader that knows nothing yet and starts to load its tables.
    pub fn new(
        epoch: u64,
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        flavors: Rc<Vec<InstanceType>>,
        hold_over_s: f64,
        rng: SmallRng,
        now: f64,
    ) -> Leader {
        let state = &settings.deployment.state;
        let limits = TxnLimits {
            max_writes: state.txn_ops,
            max_value_bytes: (state.value_kb * 1024.0) as usize,
        };
        let share = |all: f64| TokenBucket::new(all * STATE_SHARE, all * STATE_SHARE);
        Leader {
            epoch,
            since: now,
            jobs: Jobs::default(),
            hosts: Workers::default(),
            quotas: Quotas::new(&settings.deployment.teams),
            ledger: WriteAheadLog::new(limits),
            loading: Some(Loading::everything()),
            early: BTreeMap::new(),
            closed_early: HashSet::new(),
            inherited_suspects: BTreeSet::new(),
            listed_early: None,
            tries: 0,
            requests: share(state.rps),
            changes: share(state.write_rps),
            writing: false,
            write_at: 0.0,
            refused_for: Vec::new(),
            schedule_due: true,
            schedule_at: 0.0,
            may_start: true,
            push_due: BTreeSet::new(),
            pushing: HashMap::new(),
            pushed_at: HashMap::new(),
            unplaced: Vec::new(),
            fleet: Fleet::new(&settings, epoch, now),
            notices: Vec::new(),
            first: false,
            others_until: if settings.seeds.is_empty() {
                now
            } else {
                now + hold_over_s
            },
            informed: BTreeSet::new(),
            last_report: None,
            drove_at: now,
            awake_since: now,
            tally: DecisionCounters::default(),
            tally_at: now,
            rng,
            settings,
            policy,
            flavors,
        }
    }

    /// The Epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A node has shown that it knows this Epoch, or a higher one: it no longer holds over for an
    /// earlier one, and never will again. Once all have, nobody else renews any lease.
    pub fn informed(&mut self, label: &str, now: f64) {
        let seeds = &self.settings.seeds;
        if !self.informed.insert(label.to_owned())
            || !seeds.iter().all(|seed| self.informed.contains(&seed.label))
        {
            return;
        }
        self.others_until = self.others_until.min(now);
        for host in self.hosts.iter_mut() {
            host.lease_renewed_at = host.lease_renewed_at.min(now);
        }
    }

    /// What the rest of the node must learn.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Takes a new catalogue.
    pub fn set_flavors(&mut self, flavors: Rc<Vec<InstanceType>>) {
        self.flavors = flavors;
        self.schedule_due = true;
    }

    /// A job was opened, as the watch or the frontend shows it.
    pub fn opened(&mut self, stamp: u64, spec: &JobSpec, now: f64, wall: f64) {
        if self.jobs.get(&spec.id).is_some() {
            return;
        }
        let since = now - (wall - spec.submitted_at).clamp(0.0, now.max(0.0) + 1e6);
        let mut job = Job::new(spec.clone(), stamp, since);
        if job.deadline.is_none() && !job.is_service() {
            job.deadline = self.objective("finished", &spec.class).map(|s| since + s);
        }
        job.start_objective_s = self.objective("wait", &spec.class);
        if let (Some(due), None) = (job.deadline, job.start_objective_s) {
            job.latest_unhurried_start = due - EXPECT_MARGIN * spec.expected_runtime_s;
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
    pub fn closed(&mut self, id: &str) {
        if self.loading.is_some() {
            // What has been read so far may still show it as open.
            self.closed_early.insert(id.to_owned());
        }
        if let Some(job) = self.jobs.remove(id) {
            tracing::debug!(
                job = id,
                bound = job.bound_workers.len(),
                copies_on = job.workers_with_start_copies.len(),
                "job over: its tasks are stopped"
            );
            self.ledger.forget_job(id);
            self.halt_orphans_of(&job);
            self.revoke_copies_of(&job);
        }
    }

    /// Revokes copies of starts of a job's completed tasks: of a job that may have been cancelled no task
    /// may be started, not even to exit at once.
    fn revoke_copies_of(&mut self, job: &Job) {
        for name in &job.workers_with_start_copies {
            if let Some(host) = self.hosts.get_mut(name) {
                host.revoke_ended_jobs = true;
                self.push_due.insert(name.clone());
            }
        }
    }

    /// Orders a stop of a job's bound tasks after its end.
    fn halt_orphans_of(&mut self, job: &Job) {
        for (index, names) in &job.bound_workers {
            let task = TaskId {
                job: job.spec.id.clone(),
                index: *index,
            };
            for name in names {
                let host = self.hosts.get_mut(name);
                if let Some(binding) = host.and_then(|host| host.bindings.get_mut(&task)) {
                    binding.eviction = Some((0.0, EvictionReason::JobEnded));
                    self.push_due.insert(name.clone());
                }
            }
        }
        self.forget_failures(job);
        self.schedule_due = true;
    }

    /// A listing of the open jobs at a revision. The leader's own listing may be older: a job that
    /// was closed between the two has no event that would tell.
    pub fn keep_open(&mut self, revision: u64, listed: BTreeSet<String>) {
        let closed: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.mod_revision <= revision && !listed.contains(&job.spec.id))
            .map(|job| job.spec.id.clone())
            .collect();
        for id in closed {
            self.closed(&id);
        }
        if self.loading.is_some() {
            self.listed_early = Some((revision, listed));
        }
    }

    /// Orders a stop of all bound tasks whose job is over.
    fn halt_orphans(&mut self) {
        for host in self.hosts.iter_mut() {
            for (task, binding) in &mut host.bindings {
                let over = self.jobs.get(&task.job).is_none();
                if over && binding.eviction != Some((0.0, EvictionReason::JobEnded)) {
                    binding.eviction = Some((0.0, EvictionReason::JobEnded));
                    self.push_due.insert(host.name.clone());
                }
            }
        }
        self.schedule_due = true;
    }

    /// Whether the tables are still being loaded.
    pub fn loading(&self) -> bool {
        self.loading.is_some()
    }

    /// For how long no worker has shown that it hears us, although some should.
    pub fn silent_for(&self, now: f64) -> f64 {
        // Since when there is somebody to be heard: a machine whose first word has just come has not
        // had our answer yet.
        let there = self
            .hosts
            .iter()
            .filter(|host| !host.terminating && (host.last_heartbeat_at.is_some() || !host.bindings.is_empty()))
            .map(|host| host.first_heartbeat_at.unwrap_or(self.since))
            .min_by(f64::total_cmp);
        let Some(there) = there.filter(|_| !self.loading()) else {
            return 0.0;
        };
        // After a takeover, workers need a moment to find the new leader.
        let from = self.since + 2.0 * self.settings.deployment.workers.report_s;
        now - self.last_report.unwrap_or(from).max(from).max(there)
    }

    /// When a session whose worker is silent has certainly ended: its lease has run out since the
    /// last answer that may have renewed it, by the slower of two clocks.
    fn session_over_at(&self, host: &Worker) -> f64 {
        let workers = &self.settings.deployment.workers;
        host.lease_renewed_at + workers.lease_s * (1.0 + 4.0 * DRIFT) + workers.report_s / 5.0
    }

    /// Does all that is due and that `knowledge` allows.
    pub fn drive(&mut self, knowledge: &ViewFreshness, out: &mut Outbox, now: f64) {
        if now - self.drove_at > self.settings.deployment.workers.report_s / 4.0 {
            tracing::info!(gap_s = now - self.drove_at, "this node stood still");
            self.awake_since = now;
        }
        self.drove_at = now;
        if self.loading() {
            self.drive_loading(out, now);
            return;
        }
        self.end_dead_sessions(now);
        if knowledge.lease_held {
            self.schedule(now);
        }
        self.drive_writes(out, now);
        self.drive_fleet(knowledge.lease_held, out, now);
        let starts = knowledge.may_start();
        self.tally.count(PermitKind::StartTasks, starts);
        let may_start = starts.is_ok();
        if may_start && !self.may_start {
            // Starts that had to wait.
            let names = self.hosts.iter().map(|host| host.name.clone());
            self.push_due.extend(names);
        }
        if self.may_start != may_start {
            tracing::debug!(
                ?starts,
                view_age_s = knowledge.view_age_s,
                lease_age_s = knowledge.lease_age_s,
                "starts allowed or denied"
            );
        }
        self.may_start = may_start;
        self.drive_pushes(knowledge, out, now);
        self.log_decisions(now);
    }

    /// Logs how often what was allowed and denied, from time to time.
    fn log_decisions(&mut self, now: f64) {
        if now < self.tally_at {
            return;
        }
        self.tally_at = now + REPORTS_PER_TALLY * self.settings.deployment.workers.report_s;
        self.tally.log();
    }

    /// Ends the bindings of workers that have been silent for longer than their lease can last.
    fn end_dead_sessions(&mut self, now: f64) {
        let dead: Vec<String> = self
            .hosts
            .iter()
            .filter(|host| host.bindings.values().any(|binding| !binding.unbinding))
            .filter(|host| now > self.session_over_at(host))
            .map(|host| host.name.clone())
            .collect();
        for name in dead {
            tracing::info!(
                host = name,
                "session over: silent for longer than its lease"
            );
            if let Some(host) = self.hosts.get_mut(&name) {
                host.token_acknowledged = false;
                host.observed_tasks.clear();
                host.pending_starts.end_session();
            }
            self.lose_bindings(&name, |_| true);
        }
    }

    /// Ends bindings of tasks that are certainly no longer on the host.
    fn lose_bindings(&mut self, name: &str, is_lost: impl Fn(&Binding) -> bool) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let lost: Vec<(TaskId, u64)> = host
            .bindings
            .iter()
            .filter(|(_, binding)| !binding.unbinding && is_lost(binding))
            .map(|(task, binding)| (task.clone(), binding.attempt))
            .collect();
        for (task, attempt) in lost {
            tracing::debug!(host = name, %task, attempt, "binding lost");
            self.end_binding(name, &task, attempt, false);
        }
    }

    /// Drops a binding from the tables, after its end is written down or its machine is gone.
    fn drop_binding(&mut self, name: &str, task: &TaskId, attempt: u64, now: f64) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.bindings.get(task).is_none_or(|b| b.attempt != attempt) {
            return;
        }
        if let Some(binding) = host.bindings.remove(task) {
            self.quotas
                .release(&binding.team, binding.request.cpus, binding.request.gpus);
            if host.bindings.is_empty() {
                host.idle_since = now;
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.unbind(task.index, name, &host.zone, now);
                job.running_tasks -= u32::from(binding.running_since.is_some());
            }
            self.schedule_due = true;
            self.push_due.insert(name.to_owned());
        }
    }

    /// Drops all bindings of a machine that is gone.
    fn drop_all_bindings(&mut self, name: &str, now: f64) {
        let bound: Vec<(TaskId, u64)> = self
            .hosts
            .get(name)
            .into_iter()
            .flat_map(|host| &host.bindings)
            .map(|(task, binding)| (task.clone(), binding.attempt))
            .collect();
        for (task, attempt) in bound {
            self.drop_binding(name, &task, attempt, now);
        }
    }

    /// One pass of the scheduler, unless too much waits to be written down.
    fn schedule(&mut self, now: f64) {
        let due = self.schedule_due && now >= self.schedule_at;
        if !due || self.flavors.is_empty() || self.ledger.backlog() > MAX_BACKLOG {
            return;
        }
        self.schedule_due = false;
        self.schedule_at = now + self.settings.deployment.workers.report_s / PASSES_PER_REPORT;
        let lease_s = self.settings.deployment.workers.lease_s;
        let limits = scheduler::Limits {
            ageing_s: AGEING_LEASES * lease_s,
            avoid_s: AVOID_LEASES * lease_s,
        };
        let pass = Pass::new(
            &self.jobs,
            &self.hosts,
            &self.flavors,
            &self.quotas,
            limits,
            now,
        );
        let plan = pass.run(&mut self.rng);
        for (task, host) in plan.binds {
            self.bind(&task, &host, now);
        }
        for (name, task) in plan.halts {
            let host = self.hosts.get_mut(&name);
            if let Some(binding) = host.and_then(|host| host.bindings.get_mut(&task)) {
                tracing::info!(host = name, %task, "preempted");
                let flush_s = self
                    .jobs
                    .get(&task.job)
                    .map_or(0.0, |job| job.spec.checkpoint_grace_s);
                binding.eviction = Some((flush_s, EvictionReason::Preempted));
                self.push_due.insert(name);
            }
        }
        self.unplaced = plan.unplaced;
    }

    fn bind(&mut self, task: &TaskId, name: &str, now: f64) {
        let (Some(host), Some(job)) = (self.hosts.get_mut(name), self.jobs.get_mut(&task.job))
        else {
            return;
        };
        if host.bindings.contains_key(task) || host.observed_tasks.contains_key(task) {
            return;
        }
        // The tasks of a group find one another by a common attempt.
        let mates = match job.gang_attempt {
            Some(attempt) if job.spec.kind == JobKind::Gang && !job.bound_workers.is_empty() => {
                Some(attempt)
            }
            _ => None,
        };
        let attempt = mates.unwrap_or_else(|| {
            self.tries += 1;
            (self.epoch << TRIES_BITS) | self.tries
        });
        job.gang_attempt = Some(attempt);
        let need = scheduler::need(&job.spec);
        let binding = Binding {
            attempt,
            incarnation: host.incarnation,
            request: need,
            team: job.spec.team.clone(),
            durable: false,
            inherited: false,
            unbinding: false,
            eviction: None,
            running_since: None,
        };
        tracing::debug!(host = name, %task, attempt, "bound");
        host.bindings.insert(task.clone(), binding);
        job.bind(task.index, name, &host.zone);
        self.quotas.charge(&job.spec.team, need.cpus, need.gpus);
        // Forecasts are for what belongs in the pool: neither replicas, which stay, nor work that
        // has only spilled over from the spot pools; nor probes of a job that fails everywhere.
        let spilled = job.spec.spot && !host.spot;
        let share = if job.is_service() || spilled || job.failures.is_crash_looping() {
            None
        } else {
            let flavor = self.flavors.iter().find(|f| f.name == host.instance_type);
            flavor.map(|f| need.dominant_share(&Resources::of_instance_type(f)))
        };
        self.fleet.note_start(host, share, now);
        self.ledger.push(LogEntry::Bind {
            worker: name.to_owned(),
            task: task.clone(),
            attempt,
        });
    }

    /// Display counts of the open jobs.
    pub fn counts(&self) -> Vec<JobCounts> {
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
