//! A machine with its worker: reports, leases, tokens, tasks, and the server for direct commands.

use crate::cbor::{Value, int, map, text};
use crate::http::{Reply, Request, call, serve};
use crate::record::sleep;
use crate::site::MachineType;
use crate::world::World;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// How a machine is, apart from its tasks.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Health {
    Well,
    /// Each task that it starts fails.
    Sick,
    /// It is gone: it runs nothing, sends nothing and answers nothing.
    Gone,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Status {
    Fetching,
    Running,
    Flushing,
    Exited,
}

struct Task {
    status: Status,
    cause: Option<&'static str>,
    stored: bool,
    /// When the present status ends by itself.
    until: f64,
    fails: bool,
}

struct Inner {
    health: Health,
    tenure: u64,
    tick: u64,
    epoch: u64,
    lease_from: f64,
    tasks: BTreeMap<(String, u64), Task>,
    images: HashMap<String, f64>,
    changed: bool,
}

pub struct Worker {
    pub name: String,
    pub kind: MachineType,
    pub zone: String,
    pub spot: bool,
    pub endpoint: SocketAddr,
    world: Arc<World>,
    inner: Mutex<Inner>,
}

impl Worker {
    /// Begins the worker of a machine that is up now.
    pub fn start(
        world: Arc<World>,
        name: &str,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        listener: TcpListener,
    ) -> Arc<Worker> {
        let now = world.record.now();
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            kind: kind.clone(),
            zone: zone.to_owned(),
            spot,
            endpoint: listener.local_addr().expect("an address"),
            world,
            inner: Mutex::new(Inner {
                health: Health::Well,
                tenure: 1,
                tick: 0,
                epoch: 0,
                lease_from: now,
                tasks: BTreeMap::new(),
                images: HashMap::new(),
                changed: true,
            }),
        });
        let direct = worker.clone();
        serve(listener, Arc::new(move |request| direct.handle(&request)));
        let reporter = worker.clone();
        std::thread::spawn(move || reporter.report_loop());
        let ticker = worker.clone();
        std::thread::spawn(move || {
            while ticker.health() != Health::Gone {
                ticker.advance(&mut ticker.inner.lock().unwrap());
                sleep(0.02);
            }
        });
        worker
    }

    pub fn health(&self) -> Health {
        self.inner.lock().unwrap().health
    }

    pub fn set_health(&self, health: Health) {
        let mut inner = self.inner.lock().unwrap();
        inner.health = health;
        self.world
            .record
            .log(&self.name, format!("machine is {health:?} now"));
        if health == Health::Gone {
            for ((step, attempt), task) in &inner.tasks {
                if matches!(task.status, Status::Running | Status::Flushing) {
                    self.world
                        .task_left(&self.name, step, *attempt, "machine gone");
                }
            }
            inner.tasks.clear();
        }
    }

    /// CPUs that no task on the machine takes.
    pub fn free_cpus(&self) -> f64 {
        let inner = self.inner.lock().unwrap();
        let used: f64 = inner
            .tasks
            .iter()
            .filter(|(_, task)| task.status != Status::Exited)
            .filter_map(|((step, _), _)| self.world.job_of(step))
            .map(|job| job.f64("Cores").unwrap_or(0.0))
            .sum();
        self.kind.cpus - used
    }

    /// Number of tasks that the machine has, in any status.
    pub fn tasks(&self) -> usize {
        self.inner.lock().unwrap().tasks.len()
    }

    fn log(&self, what: String) {
        self.world.record.log(&self.name, what);
    }

    /// Brings the tasks and the lease up to the present time.
    fn advance(&self, inner: &mut Inner) {
        let now = self.world.record.now();
        if inner.health == Health::Gone {
            return;
        }
        if now - inner.lease_from > self.world.site.lease_s {
            for ((step, attempt), task) in &inner.tasks {
                if matches!(task.status, Status::Running | Status::Flushing) {
                    self.world
                        .task_left(&self.name, step, *attempt, "lease over");
                }
            }
            inner.tasks.clear();
            inner.tenure += 1;
            inner.lease_from = now;
            inner.changed = true;
            self.log(format!("lease is over: session {} begins", inner.tenure));
        }
        let sick = inner.health == Health::Sick;
        let mut changed = false;
        for ((step, attempt), task) in &mut inner.tasks {
            if now < task.until {
                continue;
            }
            match task.status {
                Status::Fetching => {
                    changed = true;
                    let job = self.world.job_of(step).unwrap_or(Value::Null);
                    task.fails = sick || self.world.is_broken(step);
                    if self.world.is_done(step) && !task.fails {
                        self.world.task_started(&self.name, step, *attempt);
                        exit(task, "done");
                        self.world
                            .task_left(&self.name, step, *attempt, "done, result kept");
                        continue;
                    }
                    task.status = Status::Running;
                    let standing = job.str("Shape") == Some("standing");
                    task.until = match (task.fails, standing) {
                        (true, _) => now + 0.3,
                        (false, true) => f64::INFINITY,
                        (false, false) => now + self.world.run_s(&job),
                    };
                    self.world.task_started(&self.name, step, *attempt);
                }
                Status::Running => {
                    changed = true;
                    let cause = if task.fails { "error" } else { "done" };
                    exit(task, cause);
                    if cause == "done" {
                        self.world.task_done(step);
                    }
                    self.world.task_left(&self.name, step, *attempt, cause);
                }
                Status::Flushing => {
                    changed = true;
                    exit(task, "stopped");
                    task.stored = true;
                    self.world
                        .task_left(&self.name, step, *attempt, "stopped, saved");
                }
                Status::Exited => {}
            }
        }
        inner.changed |= changed;
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.tick += 1;
        let steps = inner
            .tasks
            .iter()
            .map(|((step, attempt), task)| {
                let status = match task.status {
                    Status::Fetching => "fetching",
                    Status::Running => "running",
                    Status::Flushing => "flushing",
                    Status::Exited => "exited",
                };
                let mut fields = vec![
                    ("Step", text(step)),
                    ("Try", int(*attempt)),
                    ("Status", text(status)),
                ];
                if let Some(cause) = task.cause {
                    fields.push(("Cause", text(cause)));
                    if task.stored {
                        fields.push(("Stored", Value::Bool(true)));
                    }
                }
                map(fields)
            })
            .collect();
        map(vec![
            ("Host", text(&self.name)),
            ("Endpoint", text(self.endpoint.to_string())),
            ("Flavor", text(self.kind.name)),
            ("Grove", text(&self.zone)),
            ("Windfall", Value::Bool(self.spot)),
            ("Tenure", int(inner.tenure)),
            ("Tick", int(inner.tick)),
            ("Epoch", int(inner.epoch)),
            ("WarningS", Value::Null),
            ("Steps", Value::List(steps)),
        ])
    }

    fn execute(&self, inner: &mut Inner, orders: &[Value], way: &str) {
        let now = self.world.record.now();
        for order in orders {
            let (Some(verb), Some(step), Some(attempt)) =
                (order.str("Verb"), order.str("Step"), order.u64("Try"))
            else {
                continue;
            };
            let key = (step.to_owned(), attempt);
            self.log(format!("{verb} {step} try {attempt} by {way}"));
            match verb {
                "start" if !inner.tasks.contains_key(&key) => {
                    let task = self.new_task(inner, step, now);
                    inner.tasks.insert(key, task);
                    inner.changed = true;
                }
                "halt" => {
                    let drain_s = order.f64("DrainS").unwrap_or(0.0);
                    let Some(task) = inner.tasks.get_mut(&key) else {
                        continue;
                    };
                    let job = self.world.job_of(step).unwrap_or(Value::Null);
                    let flush_s = job.f64("FlushS").unwrap_or(0.0);
                    let saves = job.f64("SnapshotS").unwrap_or(0.0) > 0.0;
                    match task.status {
                        Status::Exited => {}
                        Status::Running if saves && drain_s >= flush_s => {
                            task.status = Status::Flushing;
                            task.until = now + flush_s;
                        }
                        Status::Flushing if drain_s > 0.0 => {}
                        status => {
                            exit(task, "stopped");
                            if status != Status::Fetching {
                                self.world.task_left(&self.name, step, attempt, "stopped");
                            }
                        }
                    }
                    inner.changed = true;
                }
                "clear" => {
                    if inner
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.status == Status::Exited)
                    {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn new_task(&self, inner: &mut Inner, step: &str, now: f64) -> Task {
        let mut task = Task {
            status: Status::Fetching,
            cause: None,
            stored: false,
            until: now,
            fails: false,
        };
        let Some(job) = self.world.job_of(step) else {
            exit(&mut task, "no_such");
            return task;
        };
        let live = |inner: &Inner| -> Vec<String> {
            inner
                .tasks
                .iter()
                .filter(|(_, t)| t.status != Status::Exited)
                .map(|((step, _), _)| step.clone())
                .collect()
        };
        let others = live(inner);
        if others.iter().any(|other| other == step) {
            exit(&mut task, "busy");
            return task;
        }
        let total = |field: &str| -> f64 {
            others
                .iter()
                .filter_map(|s| self.world.job_of(s))
                .filter_map(|j| j.f64(field))
                .sum()
        };
        let fits =
            |field: &str, size: f64| total(field) + job.f64(field).unwrap_or(0.0) <= size + 1e-6;
        if !fits("Cores", self.kind.cpus) || !fits("RamGb", self.kind.ram_gb) {
            exit(&mut task, "full");
            self.log(format!("start of {step} refused: full"));
            return task;
        }
        let image = job.str("Bundle").unwrap_or("").to_owned();
        let pull_s = job.f64("PullGb").unwrap_or(0.0) / self.kind.pull_gb_per_s;
        task.until = *inner.images.entry(image).or_insert(now + pull_s);
        task
    }

    /// Handles a direct request.
    fn handle(&self, request: &Request) -> Reply {
        if self.health() == Health::Gone {
            loop {
                sleep(60.0);
            }
        }
        let mut inner = self.inner.lock().unwrap();
        self.advance(&mut inner);
        let mut status = 200;
        if request.path == "/commands" {
            let body = Value::decode(&request.body)?;
            let (Some(epoch), Some(tenure)) = (body.u64("Epoch"), body.u64("Tenure")) else {
                return Some((400, map(vec![]).encode()));
            };
            if epoch < inner.epoch || tenure != inner.tenure {
                status = 409;
            } else {
                inner.changed |= epoch > inner.epoch;
                inner.epoch = epoch;
                self.execute(&mut inner, body.list("Orders"), "direct call");
                self.advance(&mut inner);
            }
        }
        let report = self.report(&mut inner);
        Some((status, report.encode()))
    }

    fn report_loop(&self) {
        let nodes = self.world.node_addresses();
        let mut node = self.world.random.between(0.0, nodes.len() as f64) as usize % nodes.len();
        let mut next_at = 0.0;
        let mut last_at = f64::NEG_INFINITY;
        let mut refused: HashSet<u16> = HashSet::new();
        loop {
            sleep(0.01);
            let now = self.world.record.now();
            let (body, sent_at, tenure) = {
                let mut inner = self.inner.lock().unwrap();
                if inner.health == Health::Gone {
                    return;
                }
                self.advance(&mut inner);
                let due = now >= next_at || (inner.changed && now - last_at >= 0.5);
                if !due || now < last_at {
                    continue;
                }
                inner.changed = false;
                (self.report(&mut inner), now, inner.tenure)
            };
            let report_s = self.world.site.report_s;
            next_at = now + self.world.random.between(0.75 * report_s, 1.25 * report_s);
            last_at = now;
            let size = body.json_size();
            let reply = call(nodes[node], "POST", "/v1/report", &body.encode(), 4.0);
            let now = self.world.record.now();
            match reply {
                Some((200, bytes)) => {
                    let mut inner = self.inner.lock().unwrap();
                    if inner.health == Health::Gone {
                        return;
                    }
                    self.advance(&mut inner);
                    let Some(response) = Value::decode(&bytes) else {
                        continue;
                    };
                    let epoch = response.u64("Epoch").unwrap_or(0);
                    if epoch < inner.epoch
                        || tenure != inner.tenure
                        || response.u64("Epoch").is_none()
                    {
                        self.log(format!(
                            "response of rung-{node} dropped (token or session)"
                        ));
                        continue;
                    }
                    inner.changed |= epoch > inner.epoch;
                    inner.epoch = epoch;
                    inner.lease_from = inner.lease_from.max(sent_at);
                    self.execute(&mut inner, response.list("Orders"), "response");
                    self.advance(&mut inner);
                }
                Some((421, bytes)) => {
                    let foreman = Value::decode(&bytes)
                        .and_then(|b| b.str("Foreman").map(str::to_owned))
                        .and_then(|label| self.world.node_of(&label))
                        .filter(|other| *other != node);
                    match foreman {
                        Some(other) => {
                            node = other;
                            next_at = now;
                        }
                        None => {
                            node = (node + 1) % nodes.len();
                            next_at = now + 1.0;
                            last_at = now + 1.0;
                        }
                    }
                }
                other => {
                    if let Some((status, _)) = other
                        && refused.insert(status)
                    {
                        self.log(format!(
                            "report with {size} bytes as JSON answered {status} by rung-{node}"
                        ));
                    }
                    node = (node + 1) % nodes.len();
                    next_at = now + 1.0;
                    last_at = now + 1.0;
                }
            }
        }
    }
}

fn exit(task: &mut Task, cause: &'static str) {
    task.status = Status::Exited;
    task.cause = Some(cause);
    task.until = f64::INFINITY;
}
