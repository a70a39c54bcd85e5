//! What the users have submitted and were told, and the machines with the tasks on them. The rules of PROTOCOL are
//! checked here, from what users, machines and the cloud see.

use crate::cbor::Value;
use crate::record::Record;
use crate::site::Site;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// What a user submits.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub class: &'static str,
    pub team: String,
    pub service: bool,
    pub rank: &'static str,
    pub steps: u32,
    pub cpus: f64,
    pub ram_gb: f64,
    pub types: Option<Vec<&'static str>>,
    pub zone: Option<&'static str>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: String,
    pub pull_gb: f64,
    /// The run time of a task of an array.
    pub run_s: f64,
    pub snapshot_s: f64,
    pub flush_s: f64,
    pub due_s: Option<f64>,
}

impl Spec {
    /// A service like `formularios`: replicas of 2 CPUs and 2.8 GB that run until the job is cancelled.
    pub fn service(id: u32, team: &str, steps: u32) -> Spec {
        Spec {
            id: format!("j-{id:06}"),
            class: "formularios",
            team: team.to_owned(),
            service: true,
            rank: "production",
            steps,
            cpus: 2.0,
            ram_gb: 2.8,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            image: "img-01".to_owned(),
            pull_gb: 0.9,
            run_s: 0.0,
            snapshot_s: 0.0,
            flush_s: 0.0,
            due_s: None,
        }
    }

    /// An array like `limpieza`: tasks of 4 CPUs and 5.7 GB that may run on cheap machines.
    pub fn array(id: u32, team: &str, steps: u32, run_s: f64) -> Spec {
        Spec {
            class: "limpieza",
            service: false,
            rank: "normal",
            cpus: 4.0,
            ram_gb: 5.7,
            spot: true,
            image: "img-02".to_owned(),
            run_s,
            ..Spec::service(id, team, steps)
        }
    }

    /// Whether the job has so many tasks that the record has no line for each.
    pub fn is_huge(&self) -> bool {
        self.steps > 1000
    }

    /// The body of POST /work.
    pub fn body(&self) -> Value {
        let text = Value::text;
        Value::map(vec![
            ("NameId", text(&self.id)),
            ("Jobclass", text(self.class)),
            ("Owner", text(&self.team)),
            (
                "Shape",
                text(if self.service { "standing" } else { "array" }),
            ),
            ("Rank", text(self.rank)),
            ("Steps", Value::Int(self.steps.into())),
            ("Cores", Value::Float(self.cpus)),
            ("Gpus", Value::Float(0.0)),
            ("RamGb", Value::Float(self.ram_gb)),
            ("Bundle", text(&self.image)),
            ("PullGb", Value::Float(self.pull_gb)),
            (
                "Flavors",
                self.types.as_ref().map_or(Value::Null, |types| {
                    Value::List(types.iter().map(|name| text(name)).collect())
                }),
            ),
            ("Grove", self.zone.map_or(Value::Null, text)),
            ("OneZone", Value::Bool(self.one_zone)),
            ("Spread", Value::Bool(self.spread)),
            ("Windfall", Value::Bool(self.spot)),
            (
                "ExpectS",
                Value::Float(if self.service { 0.0 } else { self.run_s }),
            ),
            ("SnapshotS", Value::Float(self.snapshot_s)),
            ("FlushS", Value::Float(self.flush_s)),
            ("DueS", self.due_s.map_or(Value::Null, Value::Float)),
        ])
    }
}

/// A submitted job, and what its user was told of it; times are seconds of the run.
pub struct Job {
    pub spec: Spec,
    pub accepted_at: Option<f64>,
    pub cancel_sent_at: Option<f64>,
    pub told_aborted_at: Option<f64>,
    pub told_done_at: Option<f64>,
    /// Tasks that have completed on a machine.
    pub done: BTreeSet<u32>,
    /// Saved progress of each task in seconds.
    pub saved: BTreeMap<u32, f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Fetching,
    Running { since: f64 },
    Flushing { until: f64 },
    Exited { cause: &'static str, stored: bool },
}

#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: Step,
}

impl Task {
    /// Whether the task is on its machine in the sense of the rules: it has its image and has not exited.
    pub fn is_on(&self) -> bool {
        matches!(self.state, Step::Running { .. } | Step::Flushing { .. })
    }
    pub fn has_exited(&self) -> bool {
        matches!(self.state, Step::Exited { .. })
    }
}

pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

pub fn index_of(task: &str) -> u32 {
    task.split('/')
        .nth(1)
        .and_then(|index| index.parse().ok())
        .unwrap_or(0)
}

/// A rented machine with its worker.
pub struct Machine {
    pub name: String,
    pub kind: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub pull_gb_per_s: f64,
    pub zone: &'static str,
    pub spot: bool,
    pub rented_at: f64,
    pub up_at: Option<f64>,
    pub gone_at: Option<f64>,
    pub endpoint: Option<SocketAddr>,
    pub tasks: Vec<Task>,
    /// When each image that was asked for is there.
    pub images: BTreeMap<String, f64>,
    pub tenure: u64,
    pub tick: u64,
    pub token: u64,
    pub lease_from: f64,
    pub changed: bool,
    pub token_reported_at: f64,
    /// Every task that starts here fails.
    pub faulty: bool,
    /// The jobs of which a task has failed here.
    pub failed: BTreeSet<String>,
    /// It has stopped by itself, and the cloud does not know yet.
    pub died: bool,
}

pub struct Inner {
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub broken: Vec<String>,
    pub cancel_s: f64,
    pub lease_s: f64,
    pub limits: BTreeMap<String, f64>,
}

#[derive(Clone)]
pub struct World {
    inner: Arc<Mutex<Inner>>,
    pub record: Arc<Record>,
}

/// Time that the stand-ins may need to see an event, added to `cancel_s`.
const TOLERANCE_S: f64 = 0.5;

impl World {
    pub fn new(record: Arc<Record>, site: &Site) -> World {
        let limits = site
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.cpus_max))
            .collect();
        let inner = Inner {
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            broken: Vec::new(),
            cancel_s: site.cancel_s,
            lease_s: site.lease_s,
            limits,
        };
        let world = World {
            inner: Arc::new(Mutex::new(inner)),
            record,
        };
        let advance = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(std::time::Duration::from_millis(20));
                advance.advance();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records a broken rule.
    pub fn broken(&self, inner: &mut Inner, text: String) {
        self.record.line(&format!("BROKEN {text}"));
        inner.broken.push(text);
    }

    fn advance(&self) {
        let now = self.record.now();
        let mut inner = self.lock();
        let names: Vec<String> = inner
            .machines
            .values()
            .filter(|machine| machine.up_at.is_some() && machine.gone_at.is_none())
            .map(|machine| machine.name.clone())
            .collect();
        for name in names {
            self.advance_machine(&mut inner, &name, now);
        }
        self.check_cancelled(&mut inner, now);
    }

    /// Ends the session of a worker whose lease is over; otherwise lets its tasks go on.
    pub fn advance_machine(&self, inner: &mut Inner, name: &str, now: f64) {
        let lease_s = inner.lease_s;
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        if now > machine.lease_from + lease_s {
            self.record.line(&format!(
                "{name}: lease over, session {} ends with {} tasks",
                machine.tenure,
                machine.tasks.len()
            ));
            machine.tasks.clear();
            machine.tenure += 1;
            machine.lease_from = now;
            machine.changed = true;
            return;
        }
        for position in 0..machine.tasks.len() {
            self.advance_task(inner, name, position, now);
        }
    }

    fn advance_task(&self, inner: &mut Inner, name: &str, position: usize, now: f64) {
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        let task = machine.tasks[position].clone();
        let Some(job) = inner.jobs.get_mut(job_of(&task.name)) else {
            return;
        };
        let index = index_of(&task.name);
        let saved = job.saved.get(&index).copied().unwrap_or(0.0);
        let exited = |cause| Step::Exited {
            cause,
            stored: false,
        };
        let next = match task.state {
            Step::Fetching
                if machine
                    .images
                    .get(&job.spec.image)
                    .is_some_and(|at| now >= *at) =>
            {
                if job.done.contains(&index) {
                    exited("done")
                } else {
                    Step::Running { since: now }
                }
            }
            Step::Running { since } if machine.faulty && now > since + 0.05 => exited("error"),
            Step::Running { since }
                if !job.spec.service && now >= since + job.spec.run_s - saved =>
            {
                job.done.insert(index);
                exited("done")
            }
            Step::Flushing { until } if now >= until => Step::Exited {
                cause: "stopped",
                stored: true,
            },
            _ => return,
        };
        machine.tasks[position].state = next;
        machine.changed = true;
        if next == exited("error") {
            machine.failed.insert(job.spec.id.clone());
        }
        if !job.spec.is_huge() {
            self.record.line(&format!(
                "{name}: {} try {} {next:?}",
                task.name, task.attempt
            ));
        }
        if matches!(next, Step::Running { .. }) {
            self.check_start(inner, name, &task, now);
        }
    }

    /// The rules `ran_twice`, `quota`, `wrong_place` and `ran_cancelled`, at the start of a task.
    fn check_start(&self, inner: &mut Inner, host: &str, task: &Task, now: f64) {
        let id = job_of(&task.name);
        let Some(job) = inner.jobs.get(id) else {
            return;
        };
        let spec = job.spec.clone();
        let what = format!("{} try {} starts on {host}", task.name, task.attempt);
        let mut broken = Vec::new();
        if job
            .told_aborted_at
            .is_some_and(|at| now > at + inner.cancel_s + TOLERANCE_S)
        {
            broken.push(format!(
                "ran_cancelled: {what}, cancelled {:?}",
                job.told_aborted_at
            ));
        }
        let Some(here) = inner.machines.get(host) else {
            return;
        };
        let on: Vec<(&Machine, &Task)> = inner
            .machines
            .values()
            .flat_map(|m| m.tasks.iter().filter(|t| t.is_on()).map(move |t| (m, t)))
            .collect();
        for (machine, _) in on
            .iter()
            .filter(|(m, t)| t.name == task.name && m.name != host)
        {
            broken.push(format!("ran_twice: {what}, it is on {}", machine.name));
        }
        let limit = inner.limits.get(&spec.team).copied().unwrap_or(0.0);
        let used: f64 = on
            .iter()
            .filter_map(|(_, t)| inner.jobs.get(job_of(&t.name)))
            .filter(|job| job.spec.team == spec.team)
            .map(|job| job.spec.cpus)
            .sum();
        if limit > 0.0 && used > limit + 1e-6 {
            broken.push(format!(
                "quota: {what}, {} uses {used} of {limit}",
                spec.team
            ));
        }
        let others: Vec<&str> = on
            .iter()
            .filter(|(_, t)| job_of(&t.name) == id && t.name != task.name)
            .map(|(m, _)| m.zone)
            .collect();
        let in_zone = others.iter().filter(|zone| **zone == here.zone).count() as u32;
        if (here.spot && !spec.spot)
            || spec.zone.is_some_and(|zone| zone != here.zone)
            || spec
                .types
                .as_ref()
                .is_some_and(|types| !types.contains(&here.kind))
            || (spec.one_zone && others.iter().any(|zone| *zone != here.zone))
            || (spec.spread && in_zone + 1 > spec.steps.div_ceil(2))
        {
            broken.push(format!(
                "wrong_place: {what} in {}, others in {others:?}",
                here.zone
            ));
        }
        for text in broken {
            self.broken(inner, text);
        }
    }

    /// The rule `ran_cancelled` for tasks that are still on a machine.
    fn check_cancelled(&self, inner: &mut Inner, now: f64) {
        let mut late = Vec::new();
        for machine in inner
            .machines
            .values()
            .filter(|machine| machine.gone_at.is_none())
        {
            for task in machine.tasks.iter().filter(|task| task.is_on()) {
                let told = inner
                    .jobs
                    .get(job_of(&task.name))
                    .and_then(|job| job.told_aborted_at);
                if told.is_some_and(|at| now > at + inner.cancel_s + TOLERANCE_S) {
                    late.push(format!(
                        "ran_cancelled: {} is on {}, told {told:?}",
                        task.name, machine.name
                    ));
                }
            }
        }
        for text in late {
            if !inner.broken.contains(&text) {
                self.broken(inner, text);
            }
        }
    }

    /// Takes a machine away with everything on it.
    pub fn remove_machine(&self, inner: &mut Inner, name: &str, why: &str) {
        let now = self.record.now();
        if let Some(machine) = inner.machines.get_mut(name)
            && machine.gone_at.is_none()
        {
            machine.gone_at = Some(now);
            machine.tasks.clear();
            self.record.line(&format!("{name}: gone ({why})"));
        }
    }
}

/// The number of tasks of a job that are on a machine.
pub fn on(inner: &Inner, job: &str) -> usize {
    let machines = inner
        .machines
        .values()
        .filter(|machine| machine.gone_at.is_none());
    let tasks = machines.flat_map(|machine| &machine.tasks);
    tasks
        .filter(|task| job_of(&task.name) == job && task.is_on())
        .count()
}

/// CPUs and memory that the tasks of a machine take; fetching tasks count.
pub fn used(inner: &Inner, machine: &Machine) -> (f64, f64) {
    let tasks = machine.tasks.iter().filter(|task| !task.has_exited());
    let specs = tasks.filter_map(|task| inner.jobs.get(job_of(&task.name)).map(|job| &job.spec));
    specs.fold((0.0, 0.0), |(cpus, ram), spec| {
        (cpus + spec.cpus, ram + spec.ram_gb)
    })
}
