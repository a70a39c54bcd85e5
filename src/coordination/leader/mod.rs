//! The leader: the controller that binds tasks to workers and scales the fleet; there is one at a time.
//!
//! `Leader` holds the tables of jobs, workers and quotas for one epoch, and connects the components that hold the
//! rest of its state:
//!
//! - `recovery`: reads all records after the election, and buffers heartbeats and job events until then;
//!   `replay`: rebuilds the tables from the write-ahead log
//! - `commit`: commits the write-ahead log in transactions on the state service
//! - `leases`: tracks worker leases, including those that an earlier leader may have renewed
//! - `heartbeats`: handles heartbeats of workers, and responds with commands
//! - `dispatch`: makes direct calls to workers; `fencing`: adds the fencing token to messages and checks the
//!   commands in them
//! - `jobs`: handles jobs that are opened, closed or finished
//! - `scheduling`: runs cycles of the scheduler, and creates the bindings that follow
//! - `binding_reconciliation`: compares bindings with the tasks that workers report; `bindings`: ends bindings
//! - `failure_attribution`: decides whether a failed task is the fault of its worker or of its job;
//!   `failure_detection`: finds workers to be released, and partitioned zones
//! - `fleet`: provisions and deletes instances; `scaling`: decides how many are needed; `consolidation`: moves
//!   replicas together to empty a worker
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
/// Factor on a task's estimated run time that allows for wrong estimates, which are often off by half.
const RUNTIME_ESTIMATE_MARGIN: f64 = 1.5;
/// Time for which a job's tasks avoid a worker on which one of them has failed, in units of the worker lease.
const AVOID_LEASES: f64 = 1.0;

/// An event that the leader reports to the rest of the controller.
#[derive(Debug, PartialEq)]
pub enum LeaderEvent {
    /// All tasks of a job have completed, and the end of the job is committed.
    JobFinished {
        /// Id of the job.
        job: String,
        /// The record of its end.
        record: FinishedRecord,
    },
    /// A transaction failed because another writer had closed a job.
    JobClosed {
        /// Id of the job.
        job: String,
    },
    /// A worker has shown the epoch of a later leader.
    HigherEpochSeen(u64),
    /// A transaction failed because another controller had written the leader's key or the log.
    Deposed,
}

/// What a leader is created with.
pub struct LeaderConfig {
    /// The leader's epoch, assigned by the election.
    pub epoch: u64,
    /// The controller's settings.
    pub settings: Rc<Settings>,
    /// The policy for the autoscaler.
    pub policy: Rc<Policy>,
    /// The cloud's instance types; empty if they are not known yet.
    pub instance_types: Rc<Vec<InstanceType>>,
    /// Seconds after this leader's election for which an earlier leader may still renew worker leases.
    pub lease_grace_s: f64,
}

/// The leader's tables for one epoch, and the components that update them and the workers.
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
    /// Counter for the numbers of attempts in this epoch.
    attempts: u64,
    /// Whether start commands were allowed at the last poll.
    may_start: bool,
    dispatcher: CommandDispatcher,
    fleet: Fleet,
    events: Vec<LeaderEvent>,
    /// No earlier leader has written a log segment or a provisioning request, so no instances exist yet.
    is_first_leader: bool,
    leases: LeaseTracker,
    decisions: DecisionLog,
    rng: SmallRng,
}

impl Leader {
    /// Creates a leader that has just been elected. Its tables are empty until recovery completes.
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

    /// Returns the leader's epoch, assigned by the election.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records that a peer knows this epoch or a higher one: it no longer responds to heartbeats as the leader of
    /// an earlier epoch. Once all peers know it, no earlier leader renews worker leases any more.
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

    /// Returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the instance catalog.
    pub fn set_instance_types(&mut self, instance_types: Rc<Vec<InstanceType>>) {
        self.instance_types = instance_types;
        self.scheduling.request();
    }

    /// Whether the tables are still being recovered.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the seconds for which no worker has shown that it receives this leader's responses; zero if no
    /// worker is expected to, and during recovery.
    pub fn worker_contact_lost_s(&self, now: f64) -> f64 {
        if self.is_recovering() {
            return 0.0;
        }
        self.leases.worker_contact_lost_s(&self.workers, now)
    }

    /// Does the work that is due, as far as `freshness` allows it.
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

    /// Updates whether start commands are allowed. Once they are, all workers are due, since start commands may
    /// have been held back.
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
