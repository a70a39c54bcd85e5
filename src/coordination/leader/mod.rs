//! The leader: the one controller that binds tasks to workers and sizes the fleet.
//!
//! `Leader` holds the tables of jobs, workers and quotas for one epoch and wires the components
//! that own the rest of its state:
//!
//! - `recovery`: the read of all records after the election, and what arrives meanwhile; `replay`: the tables
//!   rebuilt from the write-ahead log
//! - `commit`: the write-ahead log and its transactions on the state service
//! - `leases`: leases of workers, and those that an earlier leader may have renewed
//! - `heartbeats`: what workers report, and the commands that answer them
//! - `dispatch`: direct calls to workers; `fencing`: the token and checks of all commands
//! - `jobs`: jobs that are opened, closed and finished
//! - `scheduling`: cycles of the scheduler, and the bindings that they make
//! - `binding_reconciliation` and `bindings`: bindings against what workers report, and their end
//! - `failure_attribution` and `failure_detection`: whose fault a failed task is, and which
//!   workers are of no use
//! - `fleet`, `scaling` and `consolidation`: instances that are rented, needed, and released
//!
//! Times are monotonic, in seconds, unless they are called `wall`.

mod binding_reconciliation;
mod bindings;
mod commit;
mod consolidation;
mod decision_log;
mod dispatch;
mod failure_attribution;
mod failure_detection;
mod fencing;
mod fleet;
mod heartbeats;
mod jobs;
mod leases;
mod recovery;
mod replay;
mod scaling;
mod scheduling;

use super::effects::Effects;
use crate::bookkeeping::jobs::Jobs;
use crate::bookkeeping::permits::{GuardedAction, ViewFreshness};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::records::FinishedRecord;
use crate::bookkeeping::workers::Workers;
use crate::policy::Policy;
use crate::protocol::cloud::InstanceType;
use crate::settings::Settings;
use commit::CommitPipeline;
use decision_log::DecisionLog;
use dispatch::CommandDispatcher;
use fleet::Fleet;
use leases::LeaseTracker;
use rand::rngs::SmallRng;
use recovery::Recovery;
use scheduling::SchedulingTrigger;
use std::rc::Rc;

pub use heartbeats::HeartbeatOutcome;

/// Share of the state service's limits that the leader's own writes may use.
pub const LEADER_STATE_SHARE: f64 = 0.5;
/// By how much a task may take longer than its estimated run time: estimates are often wrong by half.
const RUNTIME_ESTIMATE_MARGIN: f64 = 1.5;
/// Worker leases for which a job's tasks avoid a worker on which one of them has failed.
const AVOID_LEASES: f64 = 1.0;

/// What the rest of the controller must learn from the leader.
#[derive(Debug, PartialEq)]
pub enum LeaderEvent {
    /// A job has ended.
    JobFinished {
        /// The job.
        job: String,
        /// How it has ended.
        record: FinishedRecord,
    },
    /// A transaction has found a job to be closed by somebody else.
    JobClosed {
        /// The job.
        job: String,
    },
    /// Another leader's epoch was seen.
    HigherEpochSeen(u64),
    /// A transaction found the leader's key changed.
    Deposed,
}

/// What a leader is made from.
pub struct LeaderConfig {
    /// The epoch that the election has given it.
    pub epoch: u64,
    /// The controller's settings.
    pub settings: Rc<Settings>,
    /// The policy for the autoscaler.
    pub policy: Rc<Policy>,
    /// The cloud's instance types, as far as they are known.
    pub instance_types: Rc<Vec<InstanceType>>,
    /// Seconds from its election for which an earlier leader may still renew worker leases.
    pub lease_grace_s: f64,
}

/// The leader's tables, and the components that keep them and the workers up to date, for one epoch.
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
    /// Whether start commands were allowed at the last poll.
    may_start: bool,
    dispatcher: CommandDispatcher,
    fleet: Fleet,
    events: Vec<LeaderEvent>,
    /// No earlier leader has written anything: there are no instances of ours.
    is_first_leader: bool,
    leases: LeaseTracker,
    decisions: DecisionLog,
    rng: SmallRng,
}

impl Leader {
    /// A leader that has been elected now and knows nothing yet: it starts with recovery.
    pub fn new(config: LeaderConfig, rng: SmallRng, now: f64) -> Leader {
        let LeaderConfig {
            epoch,
            settings,
            policy,
            instance_types,
            lease_grace_s,
        } = config;
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

    /// The epoch that the election has given this leader.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A controller has shown that it knows this epoch, or a higher one: it never again answers
    /// heartbeats for an earlier one. Once all have, no other controller renews any lease.
    pub fn on_epoch_acknowledged(&mut self, label: &str, now: f64) {
        if self.leases.on_epoch_acknowledged(label, now) {
            for worker in self.workers.iter_mut() {
                worker.lease_renewed_at = worker.lease_renewed_at.min(now);
            }
        }
    }

    fn emit(&mut self, event: LeaderEvent) {
        self.events.push(event);
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes a new instance catalog.
    pub fn set_instance_types(&mut self, instance_types: Rc<Vec<InstanceType>>) {
        self.instance_types = instance_types;
        self.scheduling.request();
    }

    /// Whether the tables are still being recovered.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Seconds for which no worker has shown that it receives this leader's answers, although some should.
    pub fn worker_contact_lost_s(&self, now: f64) -> f64 {
        if self.is_recovering() {
            return 0.0;
        }
        self.leases.worker_contact_lost_s(&self.workers, now)
    }

    /// Does all that is due and that `freshness` allows.
    pub fn poll(&mut self, freshness: &ViewFreshness, effects: &mut Effects, now: f64) {
        self.leases.on_poll(now);
        if self.is_recovering() {
            self.poll_recovery(effects, now);
            return;
        }
        self.expire_worker_leases(now);
        if freshness.lease_held {
            self.run_scheduling_cycle(now);
        }
        self.commit_pending(effects, now);
        self.poll_fleet(freshness.lease_held, effects, now);
        self.update_start_permission(freshness);
        self.dispatch_commands(freshness, effects, now);
        self.decisions.poll(now);
    }

    /// Follows whether start commands are allowed; once they are, those that had to wait are due.
    fn update_start_permission(&mut self, freshness: &ViewFreshness) {
        let starts = freshness.may_start();
        self.decisions.count(GuardedAction::StartTasks, starts);
        let may_start = starts.is_ok();
        if self.may_start == may_start {
            return;
        }
        tracing::debug!(
            ?starts,
            view_age_s = freshness.view_age_s,
            lease_age_s = freshness.lease_age_s,
            "permission to start tasks changed"
        );
        self.may_start = may_start;
        if may_start {
            for worker in self.workers.iter() {
                self.dispatcher.mark_due(&worker.name);
            }
        }
    }
}
