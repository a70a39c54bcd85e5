//! Workers, the tasks bound to them and what their workers say.

use crate::bookkeeping::failure_attribution::WorkerFailures;
use crate::bookkeeping::pending_starts::{CallOutcome, PendingStarts};
use crate::bookkeeping::permits::{self, Denial, ViewFreshness};
use crate::protocol::cloud::InstanceType;
use crate::protocol::worker::{
    Command, CommandKind, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
};
use std::collections::BTreeMap;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// Resources of a machine or a task.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory.
    pub ram_gb: f64,
}

/// Sums of decimals may be off by rounding; so much is let pass.
const ROUNDING: f64 = 1e-6;

impl Resources {
    /// Whether `need` fits.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING
            && need.gpus <= self.gpus + ROUNDING
            && need.ram_gb <= self.ram_gb + ROUNDING
    }
    /// How many of `need` fit.
    pub fn count_fitting(&self, need: &Resources) -> u32 {
        let of = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + ROUNDING) / need).floor().max(0.0)
            } else {
                f64::INFINITY
            }
        };
        let count = of(self.cpus, need.cpus)
            .min(of(self.gpus, need.gpus))
            .min(of(self.ram_gb, need.ram_gb));
        if count.is_finite() {
            count as u32
        } else {
            1000
        }
    }
    /// The largest share of `whole` that any resource takes.
    pub fn dominant_share(&self, whole: &Resources) -> f64 {
        let of = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        of(self.cpus, whole.cpus)
            .max(of(self.gpus, whole.gpus))
            .max(of(self.ram_gb, whole.ram_gb))
    }
}

impl From<&InstanceType> for Resources {
    /// What an instance of this type has.
    fn from(instance_type: &InstanceType) -> Resources {
        Resources {
            cpus: instance_type.cpus,
            gpus: instance_type.gpus,
            ram_gb: instance_type.ram_gb,
        }
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            ram_gb: self.ram_gb + other.ram_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            ram_gb: self.ram_gb - other.ram_gb,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

impl Mul<f64> for Resources {
    type Output = Resources;

    fn mul(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            ram_gb: self.ram_gb * factor,
        }
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Resources>>(resources: I) -> Resources {
        resources.fold(Resources::default(), Resources::add)
    }
}

/// A task that is to leave its worker: when its process ends, its binding does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Eviction {
    /// Seconds that it has to save a checkpoint before it is stopped.
    pub grace_s: f64,
    /// Why it must leave.
    pub reason: EvictionReason,
}

impl Eviction {
    /// Of a task whose job has ended: stopped at once.
    pub const JOB_ENDED: Eviction = Eviction {
        grace_s: 0.0,
        reason: EvictionReason::JobEnded,
    };
}

/// Why a task is to leave its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionReason {
    /// Its job is over.
    JobEnded,
    /// Its room is needed by work that goes first.
    Preempted,
    /// The worker goes away.
    Drained,
}

/// A task bound to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Binding {
    /// Attempt.
    pub attempt: u64,
    /// Session of the worker for which it was bound.
    pub incarnation: u64,
    /// What it takes.
    pub request: Resources,
    /// Team that it counts for.
    pub team: String,
    /// The state service has it.
    pub durable: bool,
    /// Bound by an earlier leader, which may or may not have sent the start.
    pub inherited: bool,
    /// Its end is being written down.
    pub unbinding: bool,
    /// Set once the task is to leave the worker.
    pub eviction: Option<Eviction>,
    /// When it was first seen running.
    pub running_since: Option<f64>,
}

/// Why starts that may still arrive at a worker are revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RevocationReason {
    /// Their job is over.
    JobEnded,
    /// A task that the worker doesn't show is to leave it.
    Evicted,
    /// An attempt that has exited can't be cleared before.
    Clear,
    /// Too many are kept.
    TooManyPending,
}

impl RevocationReason {
    /// Whether the worker is told at once, rather than with the answer to its next heartbeat.
    pub fn is_urgent(self) -> bool {
        matches!(self, RevocationReason::JobEnded | RevocationReason::Evicted)
    }
}

/// The way on which commands go to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryPath {
    /// In a direct command.
    DirectCall,
    /// In the answer to the heartbeat with this tick.
    HeartbeatResponse(u64),
}

/// A machine and its worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Machine type.
    pub instance_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Worker's address; empty while unknown.
    pub endpoint: String,
    /// Nothing may be placed here any more.
    pub terminating: bool,
    /// Its replicas are being moved elsewhere; nothing is placed here until it is empty.
    pub draining: bool,
    /// Marked in the state service as returning, so that the delete may be sent.
    pub termination_recorded: bool,
    /// Latest incarnation seen; 0: no report so far.
    pub incarnation: u64,
    /// Latest heartbeat seen of that incarnation.
    pub sequence: u64,
    /// The worker has this leader's epoch.
    pub token_acknowledged: bool,
    /// Tasks in the latest heartbeat.
    pub observed_tasks: BTreeMap<TaskId, Vec<TaskStatus>>,
    /// The worker's lease cannot run beyond this plus `lease_s`.
    pub lease_renewed_at: f64,
    /// When its worker was first heard.
    pub first_heartbeat_at: Option<f64>,
    /// When its worker was last heard.
    pub last_heartbeat_at: Option<f64>,
    /// Since when the latest direct call has had no answer, or a lost incarnation none yet: reports may
    /// arrive from a machine that no answer or command reaches.
    pub unreachable_since: Option<f64>,
    /// When the cloud takes it away.
    pub reclaim_at: Option<f64>,
    /// Bound tasks.
    pub bindings: BTreeMap<TaskId, Binding>,
    /// Starts that may still arrive, and the worker's fence.
    pub pending_starts: PendingStarts,
    /// A job is over of which starts may still arrive, though nothing of it is bound here.
    pub revoke_ended_jobs: bool,
    /// Images it is believed to have, the latest last.
    pub cached_images: Vec<String>,
    /// When it was first known.
    pub first_seen_at: f64,
    /// Since when nothing is bound here.
    pub idle_since: f64,
    /// What tasks that failed here tell about it.
    pub failures: WorkerFailures,
    /// When it was last in the cloud's list.
    pub last_listed_at: Option<f64>,
    /// The cloud's list has shown it as running.
    pub listed_running: bool,
}

/// Images remembered of each worker.
const MAX_CACHED_IMAGES: usize = 16;

impl Worker {
    /// A worker of which only the name and the kind are known.
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
            token_acknowledged: false,
            observed_tasks: BTreeMap::new(),
            lease_renewed_at: now,
            first_heartbeat_at: None,
            last_heartbeat_at: None,
            unreachable_since: None,
            reclaim_at: None,
            bindings: BTreeMap::new(),
            pending_starts: PendingStarts::default(),
            revoke_ended_jobs: false,
            cached_images: Vec::new(),
            first_seen_at: now,
            idle_since: now,
            failures: WorkerFailures::default(),
            last_listed_at: None,
            listed_running: false,
        }
    }

    /// What all bindings take.
    pub fn allocated(&self) -> Resources {
        self.bindings.values().map(|binding| binding.request).sum()
    }

    /// What the bindings that are being stopped will release.
    pub fn releasing(&self) -> Resources {
        self.bindings
            .values()
            .filter(|b| b.eviction.is_some() || b.unbinding)
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

    /// Whether a heartbeat is newer than all seen.
    pub fn is_newer(&self, heartbeat: &WorkerHeartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.sequence)
    }

    /// Whether a binding's attempt is in the latest heartbeat, and how.
    pub fn observed_task(&self, task: &TaskId, attempt: u64) -> Option<&TaskStatus> {
        self.observed_tasks
            .get(task)?
            .iter()
            .find(|task_status| task_status.attempt == attempt)
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

    /// Whether the starts that may still arrive are to be revoked, and why. Nothing that goes out under the
    /// present fence needs that twice.
    pub fn pending_revocation(&self) -> Option<RevocationReason> {
        let mut evicted = None;
        for (task, binding) in &self.bindings {
            let Some(eviction) = binding.eviction else {
                continue;
            };
            if binding.unbinding || !self.pending_starts.needs_fence(task, binding.attempt) {
                continue;
            }
            if eviction.reason == EvictionReason::JobEnded {
                return Some(RevocationReason::JobEnded);
            }
            if self.observed_task(task, binding.attempt).is_none() {
                evicted = Some(RevocationReason::Evicted);
            }
        }
        if self.revoke_ended_jobs {
            return Some(RevocationReason::JobEnded);
        }
        if evicted.is_some() {
            return evicted;
        }
        if self.has_uncleared_exit() {
            return Some(RevocationReason::Clear);
        }
        let crowded = self.pending_starts.is_crowded() && !self.pending_starts.awaits_fence();
        crowded.then_some(RevocationReason::TooManyPending)
    }

    /// Whether an attempt that has exited can't be cleared before the fence is raised.
    fn has_uncleared_exit(&self) -> bool {
        self.observed_tasks.iter().any(|(task, statuses)| {
            statuses.iter().any(|task_status| {
                permits::may_clear(self, task, task_status) == Err(Denial::StartMayArrive)
                    && self.pending_starts.needs_fence(task, task_status.attempt)
            })
        })
    }

    /// Revokes all starts that went out so far: the worker will execute none once it has the next message.
    /// False: the fence can't be raised any further.
    pub fn revoke_starts(&mut self, reason: RevocationReason) -> bool {
        let starts = self.pending_starts.len();
        let raised = self.pending_starts.raise_fence();
        let fence = self.pending_starts.fence();
        tracing::debug!(
            worker = self.name,
            ?reason,
            fence,
            starts,
            raised,
            "starts revoked"
        );
        self.revoke_ended_jobs = false;
        raised
    }

    /// Whether a task that is to leave waits for the worker to show its present fence.
    pub fn awaits_fence(&self) -> bool {
        self.pending_starts.awaits_fence()
            && self.bindings.iter().any(|(task, binding)| {
                binding.eviction.is_some()
                    && !binding.unbinding
                    && self.pending_starts.may_arrive(task, binding.attempt)
            })
    }

    /// Notes the fence that the worker shows under this leader.
    pub fn observe_fence(&mut self, fence: u32) {
        if fence > self.pending_starts.fence() {
            tracing::error!(
                worker = self.name,
                fence,
                given = self.pending_starts.fence(),
                "Epoch: the worker shows a fence that it was not given; it is taken over. Look for a \
                 second controller with this label"
            );
        }
        self.pending_starts.observe_fence(fence);
    }

    /// Notes commands that go out.
    pub fn record_sent(
        &mut self,
        commands: &[Command],
        way: DeliveryPath,
        freshness: &ViewFreshness,
    ) {
        for command in commands {
            tracing::debug!(
                worker = self.name,
                task = command.task,
                attempt = command.attempt,
                verb = ?command.kind,
                ?way,
                incarnation = self.incarnation,
                fence = self.pending_starts.fence(),
                view_age_s = freshness.view_age_s,
                "command sent"
            );
            if command.kind != CommandKind::Start {
                continue;
            }
            let Ok(task) = TaskId::parse(&command.task) else {
                continue;
            };
            match way {
                DeliveryPath::DirectCall => self
                    .pending_starts
                    .record_direct_call(task, command.attempt),
                DeliveryPath::HeartbeatResponse(tick) => self
                    .pending_starts
                    .record_heartbeat_response(task, command.attempt, tick),
            }
        }
    }

    /// Notes what came of a direct call.
    pub fn record_call_outcome(&mut self, commands: &[Command], fate: CallOutcome) {
        for command in commands
            .iter()
            .filter(|command| command.kind == CommandKind::Start)
        {
            if fate == CallOutcome::Unanswered {
                tracing::debug!(
                    worker = self.name,
                    task = command.task,
                    attempt = command.attempt,
                    fence = self.pending_starts.fence(),
                    "start outcome unknown"
                );
            }
            if let Ok(task) = TaskId::parse(&command.task) {
                self.pending_starts
                    .record_call_outcome(&task, command.attempt, fate);
            }
        }
    }

    /// The commands that turn what the latest heartbeat shows into what is wanted. Starts only where
    /// `may_start`, which needs a confirmed leader.
    pub fn commands(&self, may_start: bool, limit: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        for (task, statuses) in &self.observed_tasks {
            for task_status in statuses {
                if permits::may_clear(self, task, task_status).is_ok() {
                    commands.push(command(
                        CommandKind::Clear,
                        task_status.task.clone(),
                        task_status.attempt,
                        None,
                    ));
                } else if let Some(grace_s) = self.wanted_stop(task, task_status) {
                    let grace_s = Some(grace_s);
                    commands.push(command(
                        CommandKind::Stop,
                        task_status.task.clone(),
                        task_status.attempt,
                        grace_s,
                    ));
                }
            }
        }
        if may_start {
            for (task, binding) in &self.bindings {
                if permits::may_start_task(self, task, binding).is_ok() {
                    commands.push(command(
                        CommandKind::Start,
                        task.to_string(),
                        binding.attempt,
                        None,
                    ));
                }
            }
        }
        commands.truncate(limit);
        commands
    }

    /// The time to save of a task that is to be stopped, or stopped once more.
    fn wanted_stop(&self, task: &TaskId, task_status: &TaskStatus) -> Option<f64> {
        if task_status.state == TaskState::Exited {
            return None;
        }
        let bound = self.bindings.get(task);
        let Some(binding) = bound.filter(|binding| binding.attempt == task_status.attempt) else {
            return Some(0.0);
        };
        let grace_s = binding.eviction?.grace_s;
        let saves = task_status.state == TaskState::Checkpointing && grace_s > 0.0;
        (!saves).then_some(grace_s)
    }
}

fn command(verb: CommandKind, task_status: String, attempt: u64, grace_s: Option<f64>) -> Command {
    Command {
        kind: verb,
        task: task_status,
        attempt,
        grace_s,
    }
}

/// All workers.
#[derive(Debug, Default)]
pub struct Workers {
    workers: BTreeMap<String, Worker>,
}

impl Workers {
    /// A worker.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }
    /// A worker, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }
    /// A worker, made if it is unknown.
    pub fn entry(&mut self, name: &str, make: impl FnOnce() -> Worker) -> &mut Worker {
        self.workers.entry(name.to_owned()).or_insert_with(make)
    }
    /// Drops a worker.
    pub fn remove(&mut self, name: &str) -> Option<Worker> {
        self.workers.remove(name)
    }
    /// All workers, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }
    /// All workers, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.values_mut()
    }
    /// How many.
    pub fn len(&self) -> usize {
        self.workers.len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}
