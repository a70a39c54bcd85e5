//! The worker of a machine: reports to one controller at a time, executes commands and keeps its lease, as PROTOCOL says.

use crate::cbor::Value;
use crate::http::{self, Client, Reply, Request};
use crate::record::Record;
use crate::site;
use crate::world::{Inner, Machine, Step, Task, World, job_of, used};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// What all workers share.
#[derive(Clone)]
pub struct Workers {
    pub world: World,
    /// The addresses at which workers report to the controllers.
    pub nodes: Vec<SocketAddr>,
    pub report_s: f64,
}

/// A random number from 0 to 1.
pub fn random() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let bits = std::hash::RandomState::new().build_hasher().finish();
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

impl Workers {
    fn record(&self) -> &Record {
        &self.world.record
    }

    /// Starts the worker of a machine that is up now.
    pub fn start(&self, name: &str, listener: TcpListener) {
        let (workers, host) = (self.clone(), name.to_owned());
        http::serve(listener, move |request| {
            workers.direct_call(&host, &request)
        });
        let (workers, host) = (self.clone(), name.to_owned());
        std::thread::spawn(move || workers.report_loop(&host));
    }

    fn direct_call(&self, host: &str, request: &Request) -> Reply {
        if self.is_gone(host) {
            return None;
        }
        if request.path == "/show" {
            return Some((200, self.world.lock().report(host)?));
        }
        let (epoch, tenure) = (request.body.get("Epoch"), request.body.get("Tenure"));
        let status = if epoch.is_null() || tenure.is_null() {
            400
        } else if self.execute(host, &request.body, true) {
            200
        } else {
            409
        };
        Some((status, self.world.lock().report(host)?))
    }

    fn is_gone(&self, host: &str) -> bool {
        let inner = self.world.lock();
        inner
            .machines
            .get(host)
            .is_none_or(|machine| machine.gone_at.is_some())
    }

    /// Executes commands; false if the token is too low or, for a direct call, the session is another.
    fn execute(&self, host: &str, body: &Value, direct: bool) -> bool {
        let now = self.record().now();
        let inner = &mut *self.world.lock();
        self.world.advance_machine(inner, host, now);
        let half_lease_s = inner.lease_s / 2.0;
        let Some(machine) = inner.machines.get_mut(host) else {
            return false;
        };
        let token = body.get("Epoch").u64();
        if body.get("Epoch").is_null()
            || token < machine.token
            || (direct && body.get("Tenure").u64() != machine.tenure)
        {
            return false;
        }
        if token > machine.token {
            machine.token = token;
            if now - machine.token_reported_at > half_lease_s {
                machine.token_reported_at = now;
                machine.changed = true;
            }
        }
        for order in body.get("Orders").list() {
            let (step, attempt) = (order.get("Step").str(), order.get("Try").u64());
            match order.get("Verb").str() {
                "start" => self.start_task(inner, host, step, attempt, now),
                "halt" => self.halt(inner, host, step, attempt, order.get("DrainS").f64(), now),
                "clear" => {
                    if let Some(machine) = inner.machines.get_mut(host) {
                        machine
                            .tasks
                            .retain(|t| t.name != step || t.attempt != attempt || !t.has_exited());
                    }
                }
                _ => {}
            }
        }
        true
    }

    fn start_task(&self, inner: &mut Inner, host: &str, step: &str, attempt: u64, now: f64) {
        let Some(machine) = inner.machines.get(host) else {
            return;
        };
        if machine
            .tasks
            .iter()
            .any(|t| t.name == step && t.attempt == attempt)
        {
            return;
        }
        let exited = |cause| Step::Exited {
            cause,
            stored: false,
        };
        let spec = inner.jobs.get(job_of(step)).map(|job| job.spec.clone());
        let (cpus, ram) = used(inner, machine);
        let state = match &spec {
            None => exited("no_such"),
            Some(_)
                if machine
                    .tasks
                    .iter()
                    .any(|t| t.name == step && !t.has_exited()) =>
            {
                exited("busy")
            }
            Some(spec)
                if cpus + spec.cpus > machine.cpus + 1e-6
                    || ram + spec.ram_gb > machine.ram_gb + 1e-6 =>
            {
                exited("full")
            }
            Some(_) => Step::Fetching,
        };
        if !spec.as_ref().is_some_and(|spec| spec.is_huge()) {
            self.record()
                .line(&format!("{host}: start {step} try {attempt}: {state:?}"));
        }
        if let Some(machine) = inner.machines.get_mut(host) {
            if let (Step::Fetching, Some(spec)) = (state, &spec) {
                let fetched_at = now + spec.pull_gb / machine.pull_gb_per_s;
                machine
                    .images
                    .entry(spec.image.clone())
                    .or_insert(fetched_at);
            }
            machine.tasks.push(Task {
                name: step.to_owned(),
                attempt,
                state,
            });
            machine.changed = true;
        }
    }

    fn halt(
        &self,
        inner: &mut Inner,
        host: &str,
        step: &str,
        attempt: u64,
        drain_s: f64,
        now: f64,
    ) {
        let Some(job) = inner.jobs.get_mut(job_of(step)) else {
            return;
        };
        let Some(machine) = inner.machines.get_mut(host) else {
            return;
        };
        let found = machine
            .tasks
            .iter_mut()
            .find(|t| t.name == step && t.attempt == attempt);
        let Some(task) = found.filter(|task| !task.has_exited()) else {
            return;
        };
        let spec = &job.spec;
        task.state = match task.state {
            Step::Running { since } if spec.snapshot_s > 0.0 && drain_s >= spec.flush_s => {
                *job.saved.entry(crate::world::index_of(step)).or_default() += now - since;
                Step::Flushing {
                    until: now + spec.flush_s,
                }
            }
            Step::Flushing { until } if drain_s > 0.0 => Step::Flushing { until },
            _ => Step::Exited {
                cause: "stopped",
                stored: false,
            },
        };
        machine.changed = true;
        self.record().line(&format!(
            "{host}: halt {step} try {attempt} drain {drain_s}: {:?}",
            task.state
        ));
    }

    fn report_loop(&self, host: &str) {
        let mut client = Client::default();
        let mut node = (random() * self.nodes.len() as f64) as usize % self.nodes.len();
        let mut next_at = self.record().now();
        let mut sent_at = f64::NEG_INFINITY;
        while !self.is_gone(host) {
            std::thread::sleep(Duration::from_millis(10));
            let now = self.record().now();
            let changed = self
                .world
                .lock()
                .machines
                .get(host)
                .is_some_and(|m| m.changed);
            if now < next_at && !(changed && now >= sent_at + 0.5) {
                continue;
            }
            sent_at = self.record().now();
            let (pause_s, next) = self.send_report(host, &mut client, node, sent_at);
            node = next;
            next_at = self.record().now() + pause_s;
            if pause_s <= 1.0 {
                std::thread::sleep(Duration::from_secs_f64(pause_s));
            }
        }
    }

    /// Sends one report; returns after how long the next is due, and the node for it.
    fn send_report(
        &self,
        host: &str,
        client: &mut Client,
        node: usize,
        sent_at: f64,
    ) -> (f64, usize) {
        let (report, tenure) = {
            let inner = &mut *self.world.lock();
            self.world.advance_machine(inner, host, sent_at);
            let Some(report) = inner.report(host) else {
                return (1.0, node);
            };
            let tenure = report.get("Tenure").u64();
            if let Some(machine) = inner.machines.get_mut(host) {
                machine.changed = false;
            }
            (report, tenure)
        };
        let timeout = Duration::from_secs(4);
        let answer = client.call(
            self.nodes[node],
            "POST",
            "/v1/report",
            Some(&report),
            timeout,
        );
        let other = (node + 1) % self.nodes.len();
        match answer {
            Some((200, body)) if self.record().now() <= sent_at + 4.0 => {
                let same = self
                    .world
                    .lock()
                    .machines
                    .get(host)
                    .is_some_and(|m| m.tenure == tenure);
                if same && self.execute(host, &body, false) {
                    let inner = &mut *self.world.lock();
                    if let Some(machine) = inner.machines.get_mut(host)
                        && machine.tenure == tenure
                    {
                        machine.lease_from = sent_at;
                    }
                }
                (self.report_s * (0.75 + random() / 2.0), node)
            }
            Some((400, _)) => {
                let steps = report.get("Steps").list().len();
                self.record().line(&format!(
                    "{host}: report with {steps} tasks refused with 400, {} bytes as JSON",
                    report.json_len()
                ));
                (1.0, other)
            }
            Some((421, body)) => {
                let foreman = body.get("Foreman").str();
                let named =
                    (0..self.nodes.len()).find(|n| site::label(*n) == foreman && *n != node);
                named.map_or((1.0, other), |named| (random() * 0.5, named))
            }
            _ => (1.0, other),
        }
    }
}

impl Inner {
    /// The next report of a machine.
    pub fn report(&mut self, host: &str) -> Option<Value> {
        let machine = self.machines.get_mut(host)?;
        machine.tick += 1;
        Some(machine.report_body())
    }
}

impl Machine {
    fn report_body(&self) -> Value {
        let number = |n: u64| Value::Int(n.into());
        let steps = self.tasks.iter().map(|task| {
            let (status, cause, stored) = match task.state {
                Step::Fetching => ("fetching", None, false),
                Step::Running { .. } => ("running", None, false),
                Step::Flushing { .. } => ("flushing", None, false),
                Step::Exited { cause, stored } => ("exited", Some(cause), stored),
            };
            let mut fields = vec![
                ("Step", Value::text(&task.name)),
                ("Try", number(task.attempt)),
                ("Status", Value::text(status)),
            ];
            if let Some(cause) = cause {
                fields.push(("Cause", Value::text(cause)));
            }
            if stored {
                fields.push(("Stored", Value::Bool(true)));
            }
            Value::map(fields)
        });
        let endpoint = self.endpoint.map_or(String::new(), |at| at.to_string());
        Value::map(vec![
            ("Host", Value::text(&self.name)),
            ("Endpoint", Value::text(&endpoint)),
            ("Flavor", Value::text(self.kind)),
            ("Grove", Value::text(self.zone)),
            ("Windfall", Value::Bool(self.spot)),
            ("Tenure", number(self.tenure)),
            ("Tick", number(self.tick)),
            ("Epoch", number(self.token)),
            ("WarningS", Value::Null),
            ("Steps", Value::List(steps.collect())),
        ])
    }
}
