//! Hosts, the tasks bound to them and what their workers say.

use crate::bookkeeping::failures::HostFailures;
use crate::bookkeeping::permits::Knowledge;
use crate::protocol::cloud::Flavor;
use crate::protocol::worker::{Cause, Order, Report, StepReport, StepStatus, TaskId, Verb};
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
    pub fn of_flavor(flavor: &Flavor) -> Room {
        Room {
            cpus: flavor.cpus,
            gpus: flavor.gpus,
            ram: flavor.ram,
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

/// The ways on which a start may still reach the worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Sent by the direct command that is now on its way.
    pub direct: bool,
    /// Sent by a direct command that never got an answer: it may arrive as long as the session and
    /// the Epoch last.
    pub lost: bool,
    /// Sent in the answer to the report with this tick; settled by the next report.
    pub answered: Option<u64>,
    /// Sent by a direct command that was answered: a copy of it may follow as long as the session and
    /// the Epoch last.
    pub copies: bool,
}

impl InFlight {
    /// Whether the start itself may still arrive.
    fn is_open(&self) -> bool {
        self.direct || self.lost || self.answered.is_some()
    }
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
    pub steps: BTreeMap<TaskId, Vec<StepReport>>,
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
    /// Starts that may still be on their way: (task, attempt).
    pub in_flight: BTreeMap<(TaskId, u64), InFlight>,
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

/// Attempts kept on a host because they can't be cleared, beyond which direct starts are avoided: a
/// small part of what a report may hold.
const MAX_KEPT: usize = 64;
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
            in_flight: BTreeMap::new(),
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
    pub fn is_newer(&self, report: &Report) -> bool {
        (report.tenure, report.tick) > (self.tenure, self.tick)
    }

    /// Whether a binding's attempt is in the latest report, and how.
    pub fn step(&self, task: &TaskId, attempt: u64) -> Option<&StepReport> {
        self.steps
            .get(task)?
            .iter()
            .find(|step| step.attempt == attempt)
    }

    /// Remembers that the host has an image.
    pub fn note_image(&mut self, image: &str) {
        self.images.retain(|known| known != image);
        self.images.push(image.to_owned());
        if self.images.len() > IMAGES {
            self.images.remove(0);
        }
    }

    /// Whether a start of this attempt may still be on its way to the worker.
    pub fn start_in_flight(&self, task: &TaskId, attempt: u64) -> bool {
        self.way(task, attempt).is_some_and(InFlight::is_open)
    }

    fn way(&self, task: &TaskId, attempt: u64) -> Option<&InFlight> {
        self.in_flight.get(&(task.clone(), attempt))
    }

    /// Whether an exited attempt may be cleared: after that, a start that arrives late, or once more,
    /// would run it again. Copies do no harm to a task that is done, whose result is kept.
    fn may_clear(&self, task: &TaskId, step: &StepReport) -> bool {
        let way = self.way(task, step.attempt);
        way.is_none_or(|way| !way.is_open() && (step.cause == Some(Cause::Done) || !way.copies))
    }

    /// Whether so many attempts can't be cleared that further starts should go in answers to reports,
    /// of which there are no copies; reports must not grow without bound.
    pub fn keeps_many(&self) -> bool {
        self.in_flight
            .values()
            .filter(|way| way.lost || way.copies)
            .count()
            > MAX_KEPT
    }

    /// Forgets the starts of attempts that are neither bound nor shown any more, where only copies
    /// might follow: these were cleared.
    pub fn forget_cleared(&mut self) {
        let (steps, bindings) = (&self.steps, &self.bindings);
        self.in_flight.retain(|(task, attempt), way| {
            way.is_open()
                || steps
                    .get(task)
                    .is_some_and(|shown| shown.iter().any(|step| step.attempt == *attempt))
                || bindings.get(task).is_some_and(|b| b.attempt == *attempt)
        });
    }

    /// Notes that the starts among these orders went out, directly or in the answer to a report.
    pub fn note_sent(&mut self, orders: &[Order], answered: Option<u64>, knowledge: &Knowledge) {
        let direct = answered.is_none();
        for order in orders.iter().filter(|order| order.verb != Verb::Start) {
            let verb = order.verb;
            let attempt = order.attempt;
            tracing::debug!(
                host = self.name,
                task = order.step,
                attempt,
                ?verb,
                direct,
                "order sent"
            );
        }
        for order in orders.iter().filter(|order| order.verb == Verb::Start) {
            if let Some(task) = TaskId::parse(&order.step) {
                tracing::debug!(
                    host = self.name,
                    %task,
                    attempt = order.attempt,
                    direct,
                    tenure = self.tenure,
                    view_age_s = knowledge.view_age_s,
                    "start sent"
                );
                let way = self.in_flight.entry((task, order.attempt)).or_default();
                match answered {
                    Some(tick) => way.answered = Some(tick),
                    None => way.direct = true,
                }
            }
        }
    }

    /// Notes what came of a direct call. Without an answer its starts may still arrive, and a later
    /// answer to a repetition settles nothing about the first.
    pub fn settle_direct(&mut self, orders: &[Order], lost: bool) {
        for order in orders.iter().filter(|order| order.verb == Verb::Start) {
            if lost {
                tracing::debug!(
                    host = self.name,
                    task = order.step,
                    attempt = order.attempt,
                    "start without answer: it may still arrive"
                );
            }
            if let Some(task) = TaskId::parse(&order.step)
                && let Some(way) = self.in_flight.get_mut(&(task, order.attempt))
            {
                way.direct = false;
                way.lost |= lost;
                way.copies |= !lost;
            }
        }
    }

    /// Notes a report that the worker sent by itself: since it has one in flight at a time, the
    /// answers to earlier ones have been executed or dropped.
    pub fn settle_answers(&mut self, tick: u64) {
        for way in self.in_flight.values_mut() {
            if way.answered.is_some_and(|sent| sent < tick) {
                way.answered = None;
            }
        }
        self.in_flight.retain(|_, way| way.is_open() || way.copies);
    }

    /// The orders that turn what the latest report shows into what is wanted. Starts only where
    /// `may_start`, which needs a confirmed leader.
    ///
    /// A clear is left out while a start of that attempt may still be on its way: after the clear
    /// it would run again.
    pub fn orders(&self, may_start: bool, limit: usize) -> Vec<Order> {
        let order = |verb, step: String, attempt, drain_s| Order {
            verb,
            step,
            attempt,
            drain_s,
        };
        let mut orders = Vec::new();
        for (task, steps) in &self.steps {
            for step in steps {
                let binding = self
                    .bindings
                    .get(task)
                    .filter(|b| b.attempt == step.attempt);
                let exited = step.status == StepStatus::Exited;
                match binding {
                    Some(binding) => {
                        if let Some((drain_s, _)) = binding.halt
                            && !exited
                            && (step.status != StepStatus::Flushing || drain_s == 0.0)
                        {
                            orders.push(order(
                                Verb::Halt,
                                step.step.clone(),
                                step.attempt,
                                Some(drain_s),
                            ));
                        }
                    }
                    None if exited => {
                        if self.may_clear(task, step) {
                            orders.push(order(Verb::Clear, step.step.clone(), step.attempt, None));
                        }
                    }
                    None => orders.push(order(
                        Verb::Halt,
                        step.step.clone(),
                        step.attempt,
                        Some(0.0),
                    )),
                }
            }
        }
        if may_start && !self.returning {
            for (task, binding) in &self.bindings {
                if binding.durable
                    && !binding.inherited
                    && !binding.ending
                    && binding.halt.is_none()
                    && binding.tenure == self.tenure
                    && self.step(task, binding.attempt).is_none()
                {
                    orders.push(order(Verb::Start, task.to_string(), binding.attempt, None));
                }
            }
        }
        orders.truncate(limit);
        orders
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
