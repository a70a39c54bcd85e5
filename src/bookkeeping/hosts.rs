//! Hosts, the tasks bound to them and what their workers say.

use crate::bookkeeping::failures::HostFailures;
use crate::bookkeeping::pending_starts::{CallFate, PendingStarts};
use crate::bookkeeping::permits::{self, Denial, Knowledge};
use crate::protocol::cloud::InstanceType;
use crate::protocol::worker::{
    Command, CommandKind, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
};
use std::collections::BTreeMap;

/// Resources of a machine or a task.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory.
    pub ram: f64,
}

/// Sums of decimals may be off by rounding; so much is let pass.
const ROUNDING: f64 = 1e-6;

impl Room {
    /// What a machine of a type has.
    pub fn of_flavor(flavor: &InstanceType) -> Room {
        Room {
            cpus: flavor.cpus,
            gpus: flavor.gpus,
            ram: flavor.ram_gb,
        }
    }
    /// Whether `need` fits.
    pub fn fits(&self, need: &Room) -> bool {
        need.cpus <= self.cpus + ROUNDING
            && need.gpus <= self.gpus + ROUNDING
            && need.ram <= self.ram + ROUNDING
    }
    /// Less.
    pub fn minus(&self, other: &Room) -> Room {
        Room {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            ram: self.ram - other.ram,
        }
    }
    /// More.
    pub fn plus(&self, other: &Room) -> Room {
        Room {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            ram: self.ram + other.ram,
        }
    }
    /// So many times as much.
    pub fn times(&self, factor: f64) -> Room {
        Room {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            ram: self.ram * factor,
        }
    }
    /// How many of `need` fit.
    pub fn count(&self, need: &Room) -> u32 {
        let of = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + ROUNDING) / need).floor().max(0.0)
            } else {
                f64::INFINITY
            }
        };
        let count = of(self.cpus, need.cpus)
            .min(of(self.gpus, need.gpus))
            .min(of(self.ram, need.ram));
        if count.is_finite() {
            count as u32
        } else {
            1000
        }
    }
    /// The largest share of `whole` that any resource takes.
    pub fn share_of(&self, whole: &Room) -> f64 {
        let of = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        of(self.cpus, whole.cpus)
            .max(of(self.gpus, whole.gpus))
            .max(of(self.ram, whole.ram))
    }
}

/// Why a task is to leave its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HaltReason {
    /// Its job is over.
    Over,
    /// Its room is needed by work that goes first.
    Preempted,
    /// The host goes away.
    Drained,
}

/// A task bound to a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Binding {
    /// Attempt.
    pub attempt: u64,
    /// Session of the worker for which it was bound.
    pub tenure: u64,
    /// What it takes.
    pub need: Room,
    /// Team that it counts for.
    pub team: String,
    /// The state service has it.
    pub durable: bool,
    /// Bound by an earlier leader, which may or may not have sent the start.
    pub inherited: bool,
    /// Its end is being written down.
    pub ending: bool,
    /// It is to be stopped, with this time to save.
    pub halt: Option<(f64, HaltReason)>,
    /// When it was first seen running.
    pub running: Option<f64>,
}

/// Why starts that may still arrive at a worker are revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RevocationReason {
    /// Their job is over.
    JobOver,
    /// A task that the worker doesn't show is to leave it.
    Halted,
    /// An attempt that has exited can't be cleared before.
    Clear,
    /// Too many are kept.
    Crowded,
}

impl RevocationReason {
    /// Whether the worker is told at once, rather than with the answer to its next report.
    pub fn is_urgent(self) -> bool {
        matches!(self, RevocationReason::JobOver | RevocationReason::Halted)
    }
}

/// The way on which orders go to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// In a direct command.
    Direct,
    /// In the answer to the report with this tick.
    Answer(u64),
}

/// A machine and its worker.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Machine type.
    pub flavor: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Worker's address; empty while unknown.
    pub endpoint: String,
    /// Nothing may be placed here any more.
    pub returning: bool,
    /// Its replicas are being moved elsewhere; nothing is placed here until it is empty.
    pub draining: bool,
    /// Marked in the state service as returning, so that the delete may be sent.
    pub marked: bool,
    /// Latest session seen; 0: no report so far.
    pub tenure: u64,
    /// Latest report seen of that session.
    pub tick: u64,
    /// The worker has this leader's Epoch.
    pub acked: bool,
    /// Tasks in the latest report.
    pub steps: BTreeMap<TaskId, Vec<TaskStatus>>,
    /// The worker's lease cannot run beyond this plus `lease_s`.
    pub lease_from: f64,
    /// When its worker was first heard.
    pub first_heard: Option<f64>,
    /// When its worker was last heard.
    pub heard: Option<f64>,
    /// Since when the latest direct call has had no answer, or a lost session none yet: reports may
    /// arrive from a machine that no answer or command reaches.
    pub unreached: Option<f64>,
    /// When the cloud takes it away.
    pub taken_at: Option<f64>,
    /// Bound tasks.
    pub bindings: BTreeMap<TaskId, Binding>,
    /// Starts that may still arrive, and the worker's fence.
    pub pending: PendingStarts,
    /// A job is over of which starts may still arrive, though nothing of it is bound here.
    pub revoke_closed: bool,
    /// Images it is believed to have, the latest last.
    pub images: Vec<String>,
    /// When it was first known.
    pub since: f64,
    /// Since when nothing is bound here.
    pub idle_since: f64,
    /// What tasks that failed here tell about it.
    pub failures: HostFailures,
    /// When it was last in the cloud's list.
    pub listed: Option<f64>,
    /// The cloud's list has shown it as running.
    pub listed_up: bool,
}

/// Images remembered of each host.
const IMAGES: usize = 16;

impl Host {
    /// A host of which only the name and the kind are known.
    pub fn new(name: &str, flavor: &str, zone: &str, spot: bool, now: f64) -> Host {
        Host {
            name: name.to_owned(),
            flavor: flavor.to_owned(),
            zone: zone.to_owned(),
            spot,
            endpoint: String::new(),
            returning: false,
            draining: false,
            marked: false,
            tenure: 0,
            tick: 0,
            acked: false,
            steps: BTreeMap::new(),
            lease_from: now,
            first_heard: None,
            heard: None,
            unreached: None,
            taken_at: None,
            bindings: BTreeMap::new(),
            pending: PendingStarts::default(),
            revoke_closed: false,
            images: Vec::new(),
            since: now,
            idle_since: now,
            failures: HostFailures::default(),
            listed: None,
            listed_up: false,
        }
    }

    /// What all bindings take.
    pub fn used(&self) -> Room {
        self.bindings
            .values()
            .fold(Room::default(), |sum, b| sum.plus(&b.need))
    }

    /// What the bindings that are being stopped will give back.
    pub fn leaving(&self) -> Room {
        self.bindings
            .values()
            .filter(|b| b.halt.is_some() || b.ending)
            .fold(Room::default(), |sum, b| sum.plus(&b.need))
    }

    /// Whether tasks may be placed here.
    pub fn usable(&self) -> bool {
        self.acked
            && !self.returning
            && !self.draining
            && self.unreached.is_none()
            && self.taken_at.is_none()
            && self.heard.is_some()
    }

    /// Whether a report is newer than all seen.
    pub fn is_newer(&self, report: &WorkerHeartbeat) -> bool {
        (report.incarnation, report.sequence) > (self.tenure, self.tick)
    }

    /// Whether a binding's attempt is in the latest report, and how.
    pub fn step(&self, task: &TaskId, attempt: u64) -> Option<&TaskStatus> {
        self.steps
            .get(task)?
            .iter()
            .find(|step| step.attempt == attempt)
    }

    /// Whether the latest report shows an attempt as exited.
    pub fn has_exited(&self, task: &TaskId, attempt: u64) -> bool {
        self.step(task, attempt)
            .is_some_and(|step| step.state == TaskState::Exited)
    }

    /// Remembers that the host has an image.
    pub fn note_image(&mut self, image: &str) {
        self.images.retain(|known| known != image);
        self.images.push(image.to_owned());
        if self.images.len() > IMAGES {
            self.images.remove(0);
        }
    }

    /// Whether the starts that may still arrive are to be revoked, and why. Nothing that goes out under the
    /// present fence needs that twice.
    pub fn revocation(&self) -> Option<RevocationReason> {
        let mut halted = None;
        for (task, binding) in &self.bindings {
            let Some((_, reason)) = binding.halt else {
                continue;
            };
            if binding.ending || !self.pending.needs_fence(task, binding.attempt) {
                continue;
            }
            if reason == HaltReason::Over {
                return Some(RevocationReason::JobOver);
            }
            if self.step(task, binding.attempt).is_none() {
                halted = Some(RevocationReason::Halted);
            }
        }
        if self.revoke_closed {
            return Some(RevocationReason::JobOver);
        }
        if halted.is_some() {
            return halted;
        }
        if self.keeps_exited() {
            return Some(RevocationReason::Clear);
        }
        let crowded = self.pending.is_crowded() && !self.pending.awaits_fence();
        crowded.then_some(RevocationReason::Crowded)
    }

    /// Whether an attempt that has exited can't be cleared before the fence is raised.
    fn keeps_exited(&self) -> bool {
        self.steps.iter().any(|(task, steps)| {
            steps.iter().any(|step| {
                permits::clear(self, task, step) == Err(Denial::StartMayArrive)
                    && self.pending.needs_fence(task, step.attempt)
            })
        })
    }

    /// Revokes all starts that went out so far: the worker will execute none once it has the next message.
    /// False: the fence can't be raised any further.
    pub fn revoke_starts(&mut self, reason: RevocationReason) -> bool {
        let starts = self.pending.len();
        let raised = self.pending.raise_fence();
        let fence = self.pending.fence();
        tracing::debug!(
            host = self.name,
            ?reason,
            fence,
            starts,
            raised,
            "starts revoked"
        );
        self.revoke_closed = false;
        raised
    }

    /// Whether a task that is to leave waits for the worker to show its present fence.
    pub fn waits_for_fence(&self) -> bool {
        self.pending.awaits_fence()
            && self.bindings.iter().any(|(task, binding)| {
                binding.halt.is_some()
                    && !binding.ending
                    && self.pending.may_arrive(task, binding.attempt)
            })
    }

    /// Notes the fence that the worker shows under this leader.
    pub fn note_fence(&mut self, fence: u32) {
        if fence > self.pending.fence() {
            tracing::error!(
                host = self.name,
                fence,
                given = self.pending.fence(),
                "Epoch: the worker shows a fence that it was not given; it is taken over. Look for a \
                 second controller with this node's label"
            );
        }
        self.pending.note_shown(fence);
    }

    /// Notes orders that go out.
    pub fn note_sent(&mut self, orders: &[Command], way: Way, knowledge: &Knowledge) {
        for order in orders {
            tracing::debug!(
                host = self.name,
                task = order.task,
                attempt = order.attempt,
                verb = ?order.kind,
                ?way,
                tenure = self.tenure,
                fence = self.pending.fence(),
                view_age_s = knowledge.view_age_s,
                "order sent"
            );
            if order.kind != CommandKind::Start {
                continue;
            }
            let Some(task) = TaskId::parse(&order.task) else {
                continue;
            };
            match way {
                Way::Direct => self.pending.send_directly(task, order.attempt),
                Way::Answer(tick) => self.pending.send_in_answer(task, order.attempt, tick),
            }
        }
    }

    /// Notes what came of a direct call.
    pub fn settle_call(&mut self, orders: &[Command], fate: CallFate) {
        for order in orders
            .iter()
            .filter(|order| order.kind == CommandKind::Start)
        {
            if fate == CallFate::Unanswered {
                tracing::debug!(
                    host = self.name,
                    task = order.task,
                    attempt = order.attempt,
                    fence = self.pending.fence(),
                    "start without answer: it may still arrive"
                );
            }
            if let Some(task) = TaskId::parse(&order.task) {
                self.pending.settle_call(&task, order.attempt, fate);
            }
        }
    }

    /// The orders that turn what the latest report shows into what is wanted. Starts only where
    /// `may_start`, which needs a confirmed leader.
    pub fn orders(&self, may_start: bool, limit: usize) -> Vec<Command> {
        let mut orders = Vec::new();
        for (task, steps) in &self.steps {
            for step in steps {
                if permits::clear(self, task, step).is_ok() {
                    orders.push(order(
                        CommandKind::Clear,
                        step.task.clone(),
                        step.attempt,
                        None,
                    ));
                } else if let Some(drain_s) = self.wanted_halt(task, step) {
                    let drain_s = Some(drain_s);
                    orders.push(order(
                        CommandKind::Stop,
                        step.task.clone(),
                        step.attempt,
                        drain_s,
                    ));
                }
            }
        }
        if may_start {
            for (task, binding) in &self.bindings {
                if permits::start(self, task, binding).is_ok() {
                    orders.push(order(
                        CommandKind::Start,
                        task.to_string(),
                        binding.attempt,
                        None,
                    ));
                }
            }
        }
        orders.truncate(limit);
        orders
    }

    /// The time to save of a task that is to be stopped, or stopped once more.
    fn wanted_halt(&self, task: &TaskId, step: &TaskStatus) -> Option<f64> {
        if step.state == TaskState::Exited {
            return None;
        }
        let bound = self.bindings.get(task);
        let Some(binding) = bound.filter(|binding| binding.attempt == step.attempt) else {
            return Some(0.0);
        };
        let (drain_s, _) = binding.halt?;
        let saves = step.state == TaskState::Checkpointing && drain_s > 0.0;
        (!saves).then_some(drain_s)
    }
}

fn order(verb: CommandKind, step: String, attempt: u64, drain_s: Option<f64>) -> Command {
    Command {
        kind: verb,
        task: step,
        attempt,
        grace_s: drain_s,
    }
}

/// All hosts.
#[derive(Debug, Default)]
pub struct Hosts {
    hosts: BTreeMap<String, Host>,
}

impl Hosts {
    /// A host.
    pub fn get(&self, name: &str) -> Option<&Host> {
        self.hosts.get(name)
    }
    /// A host, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Host> {
        self.hosts.get_mut(name)
    }
    /// A host, made if it is unknown.
    pub fn entry(&mut self, name: &str, make: impl FnOnce() -> Host) -> &mut Host {
        self.hosts.entry(name.to_owned()).or_insert_with(make)
    }
    /// Drops a host.
    pub fn remove(&mut self, name: &str) -> Option<Host> {
        self.hosts.remove(name)
    }
    /// All hosts, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }
    /// All hosts, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Host> {
        self.hosts.values_mut()
    }
    /// How many.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
