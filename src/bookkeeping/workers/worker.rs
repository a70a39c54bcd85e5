//! One worker: its machine, its lease, what is bound to it and what its heartbeats show.

use super::binding::Binding;
use super::pending_starts::PendingStarts;
use super::resources::Resources;
use crate::bookkeeping::failure_attribution::WorkerFailures;
use crate::protocol::token::FencingToken;
use crate::protocol::worker::{TaskId, TaskState, TaskStatus, WorkerHeartbeat};
use std::collections::BTreeMap;

/// Container images remembered of each worker.
const MAX_CACHED_IMAGES: usize = 16;

/// A worker, as the leader knows it. Times are seconds of the controller's steady clock.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name of the worker and its instance.
    pub name: String,
    /// Name of the instance type.
    pub instance_type: String,
    /// Zone of the instance.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Address of the worker's server; empty while unknown.
    pub endpoint: String,
    /// The instance is to be released: no task is placed here any more.
    pub terminating: bool,
    /// Its replicas are being moved to other workers: no task is placed here until it is empty.
    pub draining: bool,
    /// The termination is committed to the state service, so that the delete request may be sent.
    pub termination_recorded: bool,
    /// Latest incarnation seen; 0 before the first heartbeat.
    pub incarnation: u64,
    /// Sequence number of the latest heartbeat of that incarnation.
    pub sequence: u64,
    /// Highest token that the worker has shown.
    pub token: FencingToken,
    /// The worker has shown this leader's epoch.
    pub token_acknowledged: bool,
    /// Tasks in the latest heartbeat.
    pub observed_tasks: BTreeMap<TaskId, Vec<TaskStatus>>,
    /// The worker's lease ends at most `lease_s` after this time.
    pub lease_renewed_at: f64,
    /// When this leader received the worker's first heartbeat.
    pub first_heartbeat_at: Option<f64>,
    /// When this leader received the worker's latest heartbeat.
    pub last_heartbeat_at: Option<f64>,
    /// Since when the latest direct call has had no answer, or an incarnation that ended has had no
    /// successor: heartbeats may arrive from a worker that no response or command reaches.
    pub unreachable_since: Option<f64>,
    /// When the cloud reclaims the instance.
    pub reclaim_at: Option<f64>,
    /// Bound tasks.
    pub bindings: BTreeMap<TaskId, Binding>,
    /// Starts that may still arrive, and the worker's fence.
    pub pending_starts: PendingStarts,
    /// Starts may still arrive of a job that has ended and of which nothing is bound here.
    pub revoke_starts_of_ended_jobs: bool,
    /// Container images that the worker is believed to have, the latest last.
    pub cached_images: Vec<String>,
    /// When the worker was first known.
    pub first_seen_at: f64,
    /// Since when nothing is bound here.
    pub idle_since: f64,
    /// Failures of tasks on this worker.
    pub failures: WorkerFailures,
    /// When the instance was last in the cloud's list.
    pub last_listed_at: Option<f64>,
    /// The cloud's list has shown the instance as running.
    pub listed_running: bool,
}

impl Worker {
    /// A worker of which only the name and the kind of instance are known.
    pub fn new(name: &str, instance_type: &str, zone: &str, spot: bool, now: f64) -> Worker {
        Worker {
            name: name.to_owned(),
            instance_type: instance_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            endpoint: String::new(),
            terminating: false,
            draining: false,
            termination_recorded: false,
            incarnation: 0,
            sequence: 0,
            token: FencingToken::default(),
            token_acknowledged: false,
            observed_tasks: BTreeMap::new(),
            lease_renewed_at: now,
            first_heartbeat_at: None,
            last_heartbeat_at: None,
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

    /// Resources that all bindings take.
    pub fn allocated(&self) -> Resources {
        self.bindings.values().map(|binding| binding.request).sum()
    }

    /// Resources that bindings release which are evicted or being unbound.
    pub fn releasing(&self) -> Resources {
        self.bindings
            .values()
            .filter(|binding| binding.eviction.is_some() || binding.unbinding)
            .map(|binding| binding.request)
            .sum()
    }

    /// Whether tasks may be placed here.
    pub fn is_schedulable(&self) -> bool {
        self.token_acknowledged
            && !self.terminating
            && !self.draining
            && self.unreachable_since.is_none()
            && self.reclaim_at.is_none()
            && self.last_heartbeat_at.is_some()
    }

    /// Whether a heartbeat is newer than all that were seen, by its numbers.
    pub fn is_newer(&self, heartbeat: &WorkerHeartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.sequence)
    }

    /// Whether a heartbeat shows a lower token than an earlier one did. A worker's token never sinks, so
    /// the machine has restarted and forgotten it in between, or this is from before such a restart.
    pub fn shows_lower_token(&self, heartbeat: &WorkerHeartbeat) -> bool {
        heartbeat.token < self.token
    }

    /// The status of an attempt in the latest heartbeat, if it is there.
    pub fn observed_task(&self, task: &TaskId, attempt: u64) -> Option<&TaskStatus> {
        self.observed_tasks
            .get(task)?
            .iter()
            .find(|task_status| task_status.attempt == attempt)
    }

    /// Whether a bound task that the latest heartbeat shows is missing in the newer `tasks`. Within an
    /// incarnation only a clear removes a task, and none is sent while the task is bound: the machine has
    /// restarted and forgotten its incarnations.
    pub fn has_lost_bound_task(&self, tasks: &BTreeMap<TaskId, Vec<TaskStatus>>) -> bool {
        self.bindings.iter().any(|(task, binding)| {
            let is_shown = |status: &TaskStatus| status.attempt == binding.attempt;
            let was_shown = self.observed_task(task, binding.attempt).is_some();
            was_shown
                && !tasks
                    .get(task)
                    .is_some_and(|statuses| statuses.iter().any(is_shown))
        })
    }

    /// Whether the latest heartbeat shows an attempt as exited.
    pub fn has_exited(&self, task: &TaskId, attempt: u64) -> bool {
        self.observed_task(task, attempt)
            .is_some_and(|task_status| task_status.state == TaskState::Exited)
    }

    /// Remembers that the worker has an image.
    pub fn remember_image(&mut self, image: &str) {
        self.cached_images.retain(|known| known != image);
        self.cached_images.push(image.to_owned());
        if self.cached_images.len() > MAX_CACHED_IMAGES {
            self.cached_images.remove(0);
        }
    }
}
