//! One worker: its instance, its lease, the tasks bound to it and the contents of its heartbeats.

use super::availability::Unavailability;
use super::binding::Binding;
use super::pending_starts::PendingStarts;
use super::resources::Resources;
use crate::bookkeeping::failure_attribution::WorkerFailures;
use crate::protocol::token::FencingToken;
use crate::protocol::worker::{TaskId, TaskState, TaskStatus, WorkerHeartbeat};
use std::collections::BTreeMap;

/// Maximum number of cached container images recorded for each worker.
const MAX_CACHED_IMAGES: usize = 16;

/// The leader's record of a worker. Times are seconds of the controller's monotonic clock.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name of the worker and its instance.
    pub name: String,
    /// Name of the instance type.
    pub instance_type: String,
    /// Zone of the instance.
    pub zone: String,
    /// Whether the instance is a spot instance.
    pub spot: bool,
    /// Address of the worker's server; empty while unknown.
    pub endpoint: String,
    /// The instance is to be deleted: no more tasks are placed on the worker.
    pub terminating: bool,
    /// Since when the worker's service replicas are being moved to other workers; `None` if they are not, or no longer.
    /// No task is placed on the worker meanwhile.
    pub draining_since: Option<f64>,
    /// The termination is committed to the state service, so that the delete request may be sent.
    pub termination_recorded: bool,
    /// Latest incarnation seen; 0 before the first heartbeat.
    pub incarnation: u64,
    /// Sequence number of the latest heartbeat with the incarnation in `incarnation`.
    pub sequence: u64,
    /// Highest token that the worker has reported.
    pub token: FencingToken,
    /// The worker has reported a token with this leader's epoch.
    pub token_acknowledged: bool,
    /// Tasks in the latest heartbeat, with one status for each attempt that the worker lists.
    pub observed_tasks: BTreeMap<TaskId, Vec<TaskStatus>>,
    /// The latest time at which the worker's lease may have been renewed. The lease ends at most `lease_s`, which is a
    /// setting, after this time.
    pub lease_renewed_at: f64,
    /// The worker has sent a heartbeat, to this leader or to an earlier one that has bound tasks to it.
    pub has_been_up: bool,
    /// When this leader received the worker's first heartbeat; `None` before.
    pub first_heartbeat_at: Option<f64>,
    /// When this leader received the worker's latest heartbeat; `None` before the first.
    pub last_heartbeat_at: Option<f64>,
    /// When this leader received the latest heartbeat that the worker sent by itself, not in response to a direct call;
    /// `None` before the first. Only such a heartbeat can renew the worker's lease.
    pub last_reported_at: Option<f64>,
    /// The leader has received no heartbeat of the worker for half a lease, as of its latest check.
    pub is_silent: bool,
    /// The worker has sent no heartbeat by itself for a lease, as of the leader's latest check.
    pub is_not_reporting: bool,
    /// Since when the worker is cordoned, as of the leader's latest check; `None` if it is not.
    pub cordoned_since: Option<f64>,
    /// Why and since when the worker can't take tasks, as of the leader's latest check; `None` if it can.
    pub unavailability: Option<Unavailability>,
    /// Since when the worker may be unreachable, because a direct call was not answered or the worker has begun a new
    /// incarnation although its heartbeats were answered; `None` once the worker answers a direct call. Heartbeats may
    /// still arrive from a worker that receives neither responses nor commands.
    pub unreachable_since: Option<f64>,
    /// When the cloud will reclaim the spot instance; `None` if that has not been announced.
    pub reclaim_at: Option<f64>,
    /// Tasks bound to the worker.
    pub bindings: BTreeMap<TaskId, Binding>,
    /// Start commands that may still arrive, and the worker's fence.
    pub pending_starts: PendingStarts,
    /// Pending start commands must be revoked, because a job has ended whose tasks had completed on this worker while
    /// duplicates of their start commands could still arrive.
    pub revoke_starts_of_ended_jobs: bool,
    /// Container images that the worker probably has in its cache, the most recently recorded last.
    pub cached_images: Vec<String>,
    /// When this leader first recorded the worker.
    pub first_seen_at: f64,
    /// Since when no task has been bound to the worker; has no meaning while a task is bound.
    pub idle_since: f64,
    /// Failures of tasks on this worker.
    pub failures: WorkerFailures,
    /// When the cloud's listing last contained the instance; `None` if it never has.
    pub last_listed_at: Option<f64>,
    /// The cloud's listing has reported the instance as running.
    pub listed_running: bool,
}

impl Worker {
    /// A worker of which only the name and the pool (instance type, zone, spot or on-demand) are known.
    pub fn new(name: &str, instance_type: &str, zone: &str, spot: bool, now: f64) -> Worker {
        Worker {
            name: name.to_owned(),
            instance_type: instance_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            endpoint: String::new(),
            terminating: false,
            draining_since: None,
            termination_recorded: false,
            incarnation: 0,
            sequence: 0,
            token: FencingToken::default(),
            token_acknowledged: false,
            observed_tasks: BTreeMap::new(),
            lease_renewed_at: now,
            has_been_up: false,
            first_heartbeat_at: None,
            last_heartbeat_at: None,
            last_reported_at: None,
            is_silent: false,
            is_not_reporting: false,
            cordoned_since: None,
            unavailability: None,
            unreachable_since: None,
            reclaim_at: None,
            bindings: BTreeMap::new(),
            pending_starts: PendingStarts::default(),
            revoke_starts_of_ended_jobs: false,
            cached_images: Vec::new(),
            first_seen_at: now,
            idle_since: now,
            failures: WorkerFailures::default(),
            last_listed_at: None,
            listed_running: false,
        }
    }

    /// Resources of all bindings together.
    pub fn allocated(&self) -> Resources {
        self.bindings.values().map(|binding| binding.request).sum()
    }

    /// Resources of the bindings that are being evicted or unbound, together.
    pub fn releasing(&self) -> Resources {
        self.bindings
            .values()
            .filter(|binding| binding.eviction.is_some() || binding.unbinding)
            .map(|binding| binding.request)
            .sum()
    }

    /// Whether a heartbeat is newer than all earlier ones, by its incarnation and sequence number.
    pub fn is_newer(&self, heartbeat: &WorkerHeartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.sequence)
    }

    /// Whether a heartbeat has a lower token than an earlier heartbeat. A worker's token never decreases unless the
    /// instance restarts and the worker loses the token. So the instance has restarted, and this heartbeat was sent
    /// either after the restart, or before the restart and was delayed.
    pub fn shows_lower_token(&self, heartbeat: &WorkerHeartbeat) -> bool {
        heartbeat.token < self.token
    }

    /// The status of an attempt in the latest heartbeat; `None` if the heartbeat does not list the attempt.
    pub fn observed_task(&self, task: &TaskId, attempt: u64) -> Option<&TaskStatus> {
        self.observed_tasks
            .get(task)?
            .iter()
            .find(|task_status| task_status.attempt == attempt)
    }

    /// Whether `tasks`, from a newer heartbeat of the same incarnation, lacks a bound task that the latest recorded
    /// heartbeat lists. Within an incarnation only a clear command removes a task, and no clear command is sent while
    /// the task is bound. So a missing task shows that the instance has restarted and the worker has lost its
    /// incarnation number.
    pub fn has_lost_bound_task(&self, tasks: &BTreeMap<TaskId, Vec<TaskStatus>>) -> bool {
        self.bindings.iter().any(|(task, binding)| {
            let is_listed = |status: &TaskStatus| status.attempt == binding.attempt;
            let was_listed = self.observed_task(task, binding.attempt).is_some();
            was_listed
                && !tasks
                    .get(task)
                    .is_some_and(|statuses| statuses.iter().any(is_listed))
        })
    }

    /// Whether the latest heartbeat reports an attempt as exited.
    pub fn has_exited(&self, task: &TaskId, attempt: u64) -> bool {
        self.observed_task(task, attempt)
            .is_some_and(|task_status| task_status.state == TaskState::Exited)
    }

    /// Records that the worker has an image in its cache. Beyond the maximum number of images, drops the one that was
    /// recorded the longest ago.
    pub fn remember_image(&mut self, image: &str) {
        self.cached_images.retain(|known| known != image);
        self.cached_images.push(image.to_owned());
        if self.cached_images.len() > MAX_CACHED_IMAGES {
            self.cached_images.remove(0);
        }
    }
}
