//! The leader: the controller that was elected to bind tasks to workers and to scale the fleet.
//!
//! `Leader` holds the tables of jobs, workers and quotas for one epoch, which is the number of an election: a later
//! leader has a higher one. It connects the components that hold the rest of its state:
//!
//! - `recovery`: reads all records after the election, and buffers heartbeats and job events until the tables are
//!   rebuilt; `replay`: rebuilds the tables of workers and bindings from the write-ahead log
//! - `commit`: commits the write-ahead log in transactions on the state service
//! - `leases`: tracks worker leases, including those that an earlier leader may have renewed
//! - `heartbeats`: handles heartbeats of workers, and responds with commands
//! - `dispatch`: makes direct calls to workers; `fencing`: adds the fencing token to messages and checks the
//!   commands in them
//! - `jobs`: handles jobs that are opened, closed or finished
//! - `scheduling`: runs cycles of the scheduler, and creates the bindings that follow
//! - `binding_reconciliation`: compares bindings with the tasks that heartbeats list; `bindings`: ends bindings
//! - `failure_attribution`: decides whether a failed task is the fault of its worker or of its job;
//!   `availability`: tracks for how long workers can't take tasks, and whether they still count as capacity;
//!   `failure_detection`: finds failed workers, which are then released; `partitions`: finds partitioned zones
//! - `fleet`: provisions and deletes instances; `scaling`: decides how many are needed; `consolidation`: moves
//!   replicas together to empty a worker
//! - `decision_log`: counts permitted and denied actions, and logs the counts
//!
//! Names that end in `_s` are durations in seconds. Other times are readings of the monotonic clock in seconds,
//! unless they are called `wall` (wall-clock time).

mod availability;
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
mod partitions;
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

/// Share of the state service's limits on requests and on writes per second that the leader may use to read records
/// and write the log. The requests of users have the rest.
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
        /// The job's outcome and the number of its completed tasks.
        record: FinishedRecord,
    },
    /// A transaction failed because another writer had closed a job, for example by a cancellation.
    JobClosed {
        /// Id of the job.
        job: String,
    },
    /// A worker has shown this epoch, which is higher than the one of this leader: a later leader exists.
    HigherEpochSeen(u64),
    /// A transaction failed because another controller had written the leader's key or the log.
    Deposed,
}

/// The parameters of a new leader.
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
    /// Number of attempts made in this epoch; the number of the next attempt is derived from it.
    attempts: u64,
    /// Whether start commands were allowed at the last poll.
    may_start: bool,
    dispatcher: CommandDispatcher,
    fleet: Fleet,
    events: Vec<LeaderEvent>,
    /// No earlier leader has written a log segment or a provisioning request, so no instances exist yet. False until
    /// recovery completes.
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

    /// Records that a peer knows this epoch or a higher one: the peer no longer responds to heartbeats as the leader
    /// of an earlier epoch. Once all peers do, no earlier leader renews worker leases any more, and leases count as
    /// renewed now at the latest.
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

    /// Returns the events that were emitted since the last call of this function, the oldest first.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the instance catalog, and requests a scheduling cycle.
    pub fn set_instance_types(&mut self, instance_types: Rc<Vec<InstanceType>>) {
        self.instance_types = instance_types;
        self.scheduling.request();
    }

    /// Returns an instance type; `None` if it is not known.
    fn instance_type(&self, name: &str) -> Option<&InstanceType> {
        self.instance_types
            .iter()
            .find(|instance_type| instance_type.name == name)
    }

    /// Returns the usual boot time of an instance type, in seconds; the heartbeat interval if the type is not known.
    fn usual_boot_time_s(&self, instance_type: &str) -> f64 {
        self.instance_type(instance_type)
            .map_or(self.fleet.heartbeat_interval_s, |instance_type| {
                instance_type.boot_time_s
            })
    }

    /// Whether the tables are still being recovered.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the seconds for which no worker has shown that it receives this leader's responses; zero or less if no
    /// worker is expected to have done so yet, and during recovery.
    pub fn worker_contact_lost_s(&self, now: f64) -> f64 {
        if self.is_recovering() {
            return 0.0;
        }
        self.leases.worker_contact_lost_s(&self.workers, now)
    }

    /// Does the work that is due, as far as `freshness` allows it, which tells how recently the leader's lease and
    /// the view of the open jobs were confirmed.
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

    /// Updates whether start commands are allowed. Once they become allowed, all workers are marked as due for a
    /// direct call, since start commands for them may have been withheld.
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
