//! Machines with their workers: what they run, what they report, and what they do when they are told.

use super::clock::Clock;
use super::http::{Client, Reply, Request, serve};
use super::oracle::{Oracle, Shared, job_of, lock};
use super::plan::Fault;
use cedarladder::protocol::cbor;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// CPUs of every machine.
pub const CPUS: f64 = 8.0;
/// The only instance type.
pub const INSTANCE_TYPE: &str = "standard";
/// Seconds of the protocol that the fetch of an image takes.
const FETCH_S: f64 = 2.0;
/// Seconds between two looks at a machine's tasks, its lease and its next heartbeat.
const STEP_S: f64 = 0.005;

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: State,
}

/// How far a task is, with the time of what comes next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// It has its image at this time.
    Fetching(f64),
    /// It is done at this time.
    Running(f64),
    Exited(&'static str),
}

impl Task {
    /// Whether it is on its machine: it has its image and has not exited.
    pub fn is_on(&self) -> bool {
        matches!(self.state, State::Running(_))
    }

    fn is_gone(&self) -> bool {
        matches!(self.state, State::Exited(_))
    }
}

/// A machine that was rented, and its worker.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub spot: bool,
    pub rented: f64,
    pub up: Option<f64>,
    pub gone: Option<f64>,
    pub address: Option<SocketAddr>,
    pub steps: Vec<Task>,
    images: BTreeSet<String>,
    incarnation: u64,
    tick: u64,
    token: u64,
    lease_from: f64,
    /// Something has changed that is to be reported soon.
    changed: bool,
    /// When a higher token last counted as a change.
    token_reported: f64,
    warned: Option<f64>,
}

#[derive(Debug, Serialize)]
struct HeartbeatBody<'a> {
    #[serde(rename = "Host")]
    host: &'a str,
    #[serde(rename = "Endpoint")]
    endpoint: String,
    #[serde(rename = "Flavor")]
    instance_type: &'static str,
    #[serde(rename = "Grove")]
    zone: &'static str,
    #[serde(rename = "Windfall")]
    spot: bool,
    #[serde(rename = "Tenure")]
    incarnation: u64,
    #[serde(rename = "Tick")]
    tick: u64,
    #[serde(rename = "Epoch")]
    token: u64,
    #[serde(rename = "WarningS")]
    warning_s: Option<f64>,
    #[serde(rename = "Steps")]
    steps: Vec<TaskBody<'a>>,
}

#[derive(Debug, Serialize)]
struct TaskBody<'a> {
    #[serde(rename = "Step")]
    name: &'a str,
    #[serde(rename = "Try")]
    attempt: u64,
    #[serde(rename = "Status")]
    status: &'static str,
    #[serde(rename = "Cause", skip_serializing_if = "Option::is_none")]
    cause: Option<&'static str>,
}

#[derive(Debug, Clone, Deserialize)]
struct CommandBody {
    #[serde(rename = "Verb")]
    kind: String,
    #[serde(rename = "Step")]
    step: String,
    #[serde(rename = "Try")]
    attempt: u64,
}

#[derive(Debug, Clone, Deserialize)]
struct CommandBatchBody {
    #[serde(rename = "Epoch")]
    token: u64,
    #[serde(rename = "Tenure", default)]
    incarnation: Option<u64>,
    #[serde(rename = "Orders", default)]
    commands: Vec<CommandBody>,
}

#[derive(Debug, Deserialize)]
struct NotLeaderBody {
    #[serde(rename = "Foreman", default)]
    leader_hint: Option<String>,
}

impl Machine {
    pub fn new(name: String, zone: &'static str, spot: bool, now: f64) -> Machine {
        Machine {
            name,
            zone,
            spot,
            rented: now,
            up: None,
            gone: None,
            address: None,
            steps: Vec::new(),
            images: BTreeSet::new(),
            incarnation: 1,
            tick: 0,
            token: 0,
            lease_from: now,
            changed: false,
            token_reported: f64::NEG_INFINITY,
            warned: None,
        }
    }

    /// It is up, and its incarnation begins.
    pub fn begin(&mut self, address: SocketAddr, now: f64) {
        self.up = Some(now);
        self.address = Some(address);
        self.lease_from = now;
    }

    /// CPUs that its tasks use, those that wait for their image included.
    pub fn used(&self, truth_cpus: impl Fn(&str) -> f64) -> f64 {
        let there = self.steps.iter().filter(|step| !step.is_gone());
        there.map(|step| truth_cpus(&step.name)).sum()
    }

    fn report(&mut self, now: f64) -> Vec<u8> {
        self.tick += 1;
        self.changed = false;
        let steps = self.steps.iter().map(|step| TaskBody {
            name: &step.name,
            attempt: step.attempt,
            status: match step.state {
                State::Fetching(_) => "fetching",
                State::Running(_) => "running",
                State::Exited(_) => "exited",
            },
            cause: match step.state {
                State::Exited(cause) => Some(cause),
                _ => None,
            },
        });
        cbor::encode(&HeartbeatBody {
            host: &self.name,
            endpoint: self.address.map_or(String::new(), |at| at.to_string()),
            instance_type: INSTANCE_TYPE,
            zone: self.zone,
            spot: self.spot,
            incarnation: self.incarnation,
            tick: self.tick,
            token: self.token,
            warning_s: self.warned.map(|at| (at - now).max(0.0)),
            steps: steps.collect(),
        })
    }

    /// Takes a token that may be higher than all before.
    fn note_token(&mut self, token: u64, half_lease_s: f64, now: f64) {
        if token > self.token {
            self.token = token;
            if now - self.token_reported > half_lease_s {
                self.token_reported = now;
                self.changed = true;
            }
        }
    }
}

impl Oracle {
    /// Notes that a spot machine is about to be taken.
    pub fn warn(&mut self, name: &str, at: f64) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.warned = Some(at);
            machine.changed = true;
        }
    }

    /// A machine is gone, with all that runs there.
    pub fn remove_machine(&mut self, name: &str) {
        let now = self.clock.now();
        if let Some(machine) = self.machines.get_mut(name) {
            machine.gone.get_or_insert(now);
            machine.steps.clear();
        }
    }

    fn cpus_of(&self, step: &str) -> f64 {
        self.jobs.get(job_of(step)).map_or(0.0, |job| job.spec.cpus)
    }

    fn is_hung(&self, host: &str) -> bool {
        self.faults.at_machine(Fault::HangMachines, host)
    }

    /// Executes commands, if their token and, for direct ones, their incarnation match. False: they do not.
    fn execute(&mut self, host: &str, commands: &CommandBatchBody, direct: bool) -> bool {
        let now = self.clock.now();
        let half_lease_s = self.times.lease_s / 2.0;
        let Some(machine) = self.machines.get_mut(host) else {
            return false;
        };
        if commands.token < machine.token
            || (direct && commands.incarnation != Some(machine.incarnation))
        {
            return false;
        }
        machine.note_token(commands.token, half_lease_s, now);
        for command in &commands.commands {
            match command.kind.as_str() {
                "start" => self.start(host, &command.step, command.attempt),
                "halt" => self.halt(host, &command.step, command.attempt),
                "clear" => self.clear(host, &command.step, command.attempt),
                _ => {}
            }
        }
        true
    }

    fn start(&mut self, host: &str, name: &str, attempt: u64) {
        let now = self.clock.now();
        let fetch_s = self.clock.scaled(FETCH_S);
        let need = self.cpus_of(name);
        let image = self
            .jobs
            .get(job_of(name))
            .map(|job| job.spec.image.clone());
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        let known = |step: &&Task| step.name == name;
        let mut same = machine.steps.iter().filter(known);
        if same.clone().any(|step| step.attempt == attempt) {
            return;
        }
        let state = match image {
            None => State::Exited("no_such"),
            Some(_) if same.any(|step| !step.is_gone()) => State::Exited("busy"),
            Some(_) if machine.used(|step| self.cpus_of(step)) + need > CPUS + 1e-6 => {
                State::Exited("full")
            }
            Some(image) if machine.images.contains(&image) => State::Fetching(now),
            Some(_) => State::Fetching(now + fetch_s),
        };
        if let Some(machine) = self.machines.get_mut(host) {
            machine.changed = true;
            machine.steps.push(Task {
                name: name.to_owned(),
                attempt,
                state,
            });
        }
        self.advance(host);
    }

    fn halt(&mut self, host: &str, name: &str, attempt: u64) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        for step in &mut machine.steps {
            if step.name == name && step.attempt == attempt && !step.is_gone() {
                step.state = State::Exited("stopped");
                machine.changed = true;
            }
        }
    }

    fn clear(&mut self, host: &str, name: &str, attempt: u64) {
        if let Some(machine) = self.machines.get_mut(host) {
            let cleared = |s: &Task| s.name == name && s.attempt == attempt && s.is_gone();
            machine.steps.retain(|step| !cleared(step));
        }
    }

    /// Lets a machine's tasks go on, and its incarnation end when its lease is over.
    pub fn advance(&mut self, host: &str) {
        let now = self.clock.now();
        let lease_s = self.times.lease_s;
        let hung = self.is_hung(host);
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if machine.up.is_none() || machine.gone.is_some() {
            return;
        }
        if now > machine.lease_from + lease_s {
            machine.steps.clear();
            machine.incarnation += 1;
            machine.lease_from = now;
            machine.changed = true;
            self.counts.leases_lost += 1;
            return;
        }
        if hung {
            for step in &mut machine.steps {
                if let State::Running(until) | State::Fetching(until) = &mut step.state {
                    *until += STEP_S;
                }
            }
            return;
        }
        let due: Vec<(usize, State)> = machine
            .steps
            .iter()
            .enumerate()
            .filter(|(_, step)| {
                matches!(step.state, State::Fetching(at) | State::Running(at) if now >= at)
            })
            .map(|(place, step)| (place, step.state))
            .collect();
        for (place, state) in due {
            match state {
                State::Fetching(_) => self.begin_step(host, place),
                State::Running(_) => self.finish_step(host, place),
                State::Exited(_) => {}
            }
        }
    }

    fn begin_step(&mut self, host: &str, place: usize) {
        let now = self.clock.now();
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        let (name, attempt) = (
            machine.steps[place].name.clone(),
            machine.steps[place].attempt,
        );
        let (job, index) = name.split_once('/').unwrap_or((&name, "0"));
        let index: u32 = index.parse().unwrap_or(0);
        let Some(known) = self.jobs.get(job) else {
            return;
        };
        machine.images.insert(known.spec.image.clone());
        machine.changed = true;
        // The result of a task that is done is kept: it exits as soon as it has its image.
        if known.done.contains(&index) {
            machine.steps[place].state = State::Exited("done");
            return;
        }
        let run_s = known.spec.run_s * self.chance.random_range(0.6..1.4);
        let until = if known.spec.standing {
            f64::INFINITY
        } else {
            now + run_s
        };
        self.check_begin(host, &name, attempt);
        if let Some(machine) = self.machines.get_mut(host) {
            machine.steps[place].state = State::Running(until);
        }
    }

    fn finish_step(&mut self, host: &str, place: usize) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.steps[place].state = State::Exited("done");
        machine.changed = true;
        let name = &machine.steps[place].name;
        if let Some((job, index)) = name.split_once('/')
            && let Some(job) = self.jobs.get_mut(job)
            && let Ok(index) = index.parse()
        {
            job.done.insert(index);
        }
    }
}

/// What a worker needs.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub oracle: Shared,
    pub clock: Clock,
    /// The controllers' addresses for workers.
    pub nodes: Vec<SocketAddr>,
}

impl Worker {
    /// Heartbeats, and takes direct commands, until its machine is gone.
    pub async fn run(self, listener: TcpListener) {
        let direct = self.clone();
        let server = serve(listener, move |request| direct.clone().direct(request));
        tokio::select! {
            () = server => {}
            () = self.work() => {}
            () = self.reports() => {}
        }
    }

    /// Lets the tasks go on and the incarnation end in time, whatever the heartbeats wait for.
    async fn work(&self) {
        while self.is_there() {
            self.clock.sleep(STEP_S).await;
            lock(&self.oracle).advance(&self.name);
        }
    }

    fn is_there(&self) -> bool {
        let oracle = lock(&self.oracle);
        oracle
            .machines
            .get(&self.name)
            .is_some_and(|machine| machine.gone.is_none())
    }

    /// Whether a fault is under way for this machine; it is counted.
    fn suffers(&self, troubles: &[Fault]) -> bool {
        let faults = &mut lock(&self.oracle).faults;
        let found = troubles
            .iter()
            .find(|fault| faults.at_machine(**fault, &self.name))
            .copied();
        if let Some(fault) = found {
            faults.note(fault);
        }
        found.is_some()
    }

    async fn wait_while_hung(&self) {
        loop {
            let until = {
                let oracle = lock(&self.oracle);
                oracle
                    .faults
                    .until_at_machine(Fault::HangMachines, &self.name)
            };
            match until {
                Some(until) => self.clock.sleep_until(until + STEP_S).await,
                None => return,
            }
        }
    }

    /// Takes a direct request.
    async fn direct(self, request: Request) -> Option<Reply> {
        if !self.is_there() || self.suffers(&[Fault::CutMachines, Fault::DeafMachines]) {
            return None;
        }
        if request.path == "/show" {
            return Some(self.show(200));
        }
        let Ok(commands) = cbor::decode::<CommandBatchBody>(&request.body) else {
            return Some(Reply::new(400, &()));
        };
        let (held, copied, leader_cut) = {
            let oracle = &mut *lock(&self.oracle);
            let held = oracle
                .faults
                .lateness(Fault::HoldCommands, &mut oracle.chance);
            let copied = oracle
                .faults
                .lateness(Fault::CopyCommands, &mut oracle.chance);
            let leader = oracle.leader;
            let cut = oracle.faults.at_node(Fault::CutFromWorkers, leader);
            (held, copied, cut)
        };
        if leader_cut {
            return None;
        }
        if let Some(late_s) = copied {
            tokio::spawn(self.clone().late_commands(commands.clone(), late_s));
        }
        if let Some(late_s) = held {
            self.late_commands(commands, late_s).await;
            return None;
        }
        self.wait_while_hung().await;
        let done = lock(&self.oracle).execute(&self.name, &commands, true);
        Some(self.show(if done { 200 } else { 409 }))
    }

    /// Commands that arrive late are executed if token and incarnation still match.
    async fn late_commands(self, commands: CommandBatchBody, late_s: f64) {
        self.clock.sleep(late_s).await;
        self.wait_while_hung().await;
        if !self.is_there() {
            return;
        }
        let oracle = &mut *lock(&self.oracle);
        let starts = commands
            .commands
            .iter()
            .filter(|command| command.kind == "start");
        let late = starts
            .filter(|command| oracle.must_be_gone(job_of(&command.step)))
            .count();
        oracle.counts.late_starts_past_cancellation += late as u64;
        if oracle.execute(&self.name, &commands, true) {
            oracle.counts.late_commands_executed += 1;
        } else {
            oracle.counts.late_commands_refused += 1;
        }
    }

    fn show(&self, status: u16) -> Reply {
        let mut oracle = lock(&self.oracle);
        let now = oracle.clock.now();
        let machine = oracle.machines.get_mut(&self.name);
        Reply {
            status,
            body: machine
                .map(|machine| machine.report(now))
                .unwrap_or_default(),
        }
    }

    /// Heartbeats to one controller after another, one heartbeat at a time.
    async fn reports(&self) {
        let mut client = Client::default();
        let mut at = lock(&self.oracle).chance.random_range(0..self.nodes.len());
        let mut next = self.clock.now();
        let mut last = f64::NEG_INFINITY;
        while self.is_there() {
            self.clock.sleep(STEP_S).await;
            let (due, soonest) = {
                let oracle = lock(&self.oracle);
                let changed = oracle.machines.get(&self.name).is_some_and(|m| m.changed);
                let now = self.clock.now();
                let soonest = last + oracle.times.change_s;
                (now >= next || (changed && now >= soonest), soonest)
            };
            if !due || self.clock.now() < soonest.min(next) {
                continue;
            }
            self.wait_while_hung().await;
            last = self.clock.now();
            let (wait_s, node) = self.report_once(&mut client, at).await;
            at = node;
            next = self.clock.now() + wait_s;
        }
    }

    /// Sends one heartbeat. Returns the wait until the next and to whom that goes.
    async fn report_once(&self, client: &mut Client, at: usize) -> (f64, usize) {
        let other = (at + 1) % self.nodes.len();
        let (body, incarnation, times, held, copied, node_cut, wait_s) = {
            let oracle = &mut *lock(&self.oracle);
            let now = oracle.clock.now();
            let held = oracle
                .faults
                .lateness(Fault::HoldReports, &mut oracle.chance);
            let copied = oracle
                .faults
                .lateness(Fault::CopyReports, &mut oracle.chance);
            let wait_s = oracle.times.report_s * oracle.chance.random_range(0.75..1.25);
            let cut = oracle.faults.at_node(Fault::CutFromWorkers, at);
            let times = oracle.times;
            let Some(machine) = oracle.machines.get_mut(&self.name) else {
                return (wait_s, at);
            };
            let incarnation = machine.incarnation;
            (
                machine.report(now),
                incarnation,
                times,
                held,
                copied,
                cut,
                wait_s,
            )
        };
        let sent = self.clock.now();
        let unheard = node_cut || self.suffers(&[Fault::MuteMachines, Fault::CutMachines]);
        for late_s in [held, copied].into_iter().flatten().filter(|_| !unheard) {
            tokio::spawn(self.clone().late_report(body.clone(), late_s));
        }
        if unheard || held.is_some() {
            self.clock.sleep(times.answer_s).await;
            return (times.retry_s, other);
        }
        let to = self.nodes[at];
        let answer = client
            .call(to, "POST", "/v1/report", body, times.answer_s)
            .await;
        let lost = self.suffers(&[Fault::DeafMachines, Fault::CutMachines]);
        if lost {
            self.clock.sleep_until(sent + times.answer_s).await;
        }
        let hung = lock(&self.oracle).is_hung(&self.name);
        let Some(reply) = answer.ok().filter(|_| !lost && !hung) else {
            return (times.retry_s, other);
        };
        match reply.status {
            200 => {
                self.take_answer(&reply.body, at, incarnation, sent);
                (wait_s, at)
            }
            421 => self.redirected(&reply.body, at, times.retry_s),
            _ => (times.retry_s, other),
        }
    }

    fn take_answer(&self, body: &[u8], at: usize, incarnation: u64, sent: f64) {
        let Ok(commands) = cbor::decode::<CommandBatchBody>(body) else {
            return;
        };
        let oracle = &mut *lock(&self.oracle);
        if oracle.leader != at {
            oracle.leader = at;
            oracle.counts.leaders += 1;
        }
        // Answers to heartbeats of an earlier incarnation are dropped.
        let same = oracle
            .machines
            .get(&self.name)
            .is_some_and(|m| m.incarnation == incarnation);
        if same
            && oracle.execute(&self.name, &commands, false)
            && let Some(machine) = oracle.machines.get_mut(&self.name)
        {
            machine.lease_from = sent;
        }
    }

    fn redirected(&self, body: &[u8], at: usize, retry_s: f64) -> (f64, usize) {
        let redirect = cbor::decode::<NotLeaderBody>(body).ok();
        let leader_hint = redirect.and_then(|redirect| redirect.leader_hint);
        let named = leader_hint.and_then(|label| label.strip_prefix('n')?.parse::<usize>().ok());
        match named.filter(|node| *node != at && *node < self.nodes.len()) {
            Some(node) => (0.0, node),
            None => (retry_s, (at + 1) % self.nodes.len()),
        }
    }

    /// A heartbeat, or a copy of it, that arrives late at any controller; nobody waits for its answer.
    async fn late_report(self, body: Vec<u8>, late_s: f64) {
        self.clock.sleep(late_s).await;
        let (node, times) = {
            let oracle = &mut *lock(&self.oracle);
            (
                oracle.chance.random_range(0..self.nodes.len()),
                oracle.times,
            )
        };
        let mut client = Client::default();
        let to = self.nodes[node];
        let _ = client
            .call(to, "POST", "/v1/report", body, times.answer_s)
            .await;
    }
}
