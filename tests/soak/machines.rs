//! Simulated machines and their workers, which send heartbeats, and execute commands to start, stop and clear tasks.
//!
//! A machine is an instance that the cloud has created. Its worker is the process that runs tasks on it; a worker
//! begins a new incarnation when its lease expires. A node is a controller.

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

/// Number of CPUs of each machine.
pub const CPUS: f64 = 8.0;
/// Name of the only instance type.
pub const INSTANCE_TYPE: &str = "standard";
/// Time that a machine takes to fetch an image, in seconds of the protocol.
const FETCH_S: f64 = 2.0;
/// Interval at which the tasks of a machine, the lease of its worker and the time of the next heartbeat are checked, in
/// seconds.
const POLL_INTERVAL_S: f64 = 0.005;

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: State,
}

/// State of a task. Times are seconds of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// The machine is fetching the image of the task, which takes until this time.
    Fetching(f64),
    /// The task runs, and completes at this time.
    Running(f64),
    /// The task has exited, or was not started, for this cause.
    Exited(&'static str),
}

impl Task {
    /// Whether the task runs on its machine: the image is fetched and the task has not exited.
    pub fn is_running(&self) -> bool {
        matches!(self.state, State::Running(_))
    }

    fn has_exited(&self) -> bool {
        matches!(self.state, State::Exited(_))
    }
}

/// A machine and the state of its worker. Times are seconds of the run.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub spot: bool,
    /// When the cloud created the machine.
    pub rented_at: f64,
    /// When the machine had booted; `None` until then.
    pub up_at: Option<f64>,
    /// When the machine was deleted or reclaimed; `None` until then.
    pub gone_at: Option<f64>,
    /// Address for direct calls to the worker; `None` until the machine has booted.
    pub address: Option<SocketAddr>,
    pub tasks: Vec<Task>,
    /// Images that the machine has fetched.
    images: BTreeSet<String>,
    incarnation: u64,
    /// Sequence number of the latest heartbeat.
    sequence: u64,
    /// Highest token that the worker has received with commands; commands with a lower token are rejected.
    token: u64,
    /// Start of the current lease: when the machine had booted, when the worker began its current incarnation, or when
    /// it sent the latest heartbeat whose response it has accepted.
    lease_started_at: f64,
    /// Whether a heartbeat is due before the end of the heartbeat interval, because there is something new to report.
    changed: bool,
    /// When `changed` was last set because of a new token.
    token_reported_at: f64,
    /// Announced time at which the cloud reclaims the spot machine; `None` without an announcement.
    reclaim_at: Option<f64>,
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
    sequence: u64,
    #[serde(rename = "Epoch")]
    token: u64,
    #[serde(rename = "WarningS")]
    warning_s: Option<f64>,
    #[serde(rename = "Steps")]
    tasks: Vec<TaskBody<'a>>,
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
    verb: String,
    #[serde(rename = "Step")]
    task: String,
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
            rented_at: now,
            up_at: None,
            gone_at: None,
            address: None,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            incarnation: 1,
            sequence: 0,
            token: 0,
            lease_started_at: now,
            changed: false,
            token_reported_at: f64::NEG_INFINITY,
            reclaim_at: None,
        }
    }

    /// Records that the machine is up, and begins its worker's lease.
    pub fn finish_boot(&mut self, address: SocketAddr, now: f64) {
        self.up_at = Some(now);
        self.address = Some(address);
        self.lease_started_at = now;
    }

    /// Number of CPUs that tasks use: all tasks that have not exited, also those whose image is being fetched.
    pub fn used(&self, cpus_of_task: impl Fn(&str) -> f64) -> f64 {
        let unfinished = self.tasks.iter().filter(|task| !task.has_exited());
        unfinished.map(|task| cpus_of_task(&task.name)).sum()
    }

    /// The body of the next heartbeat, with the next sequence number.
    fn next_heartbeat(&mut self, now: f64) -> Vec<u8> {
        self.sequence += 1;
        self.changed = false;
        let tasks = self.tasks.iter().map(|task| TaskBody {
            name: &task.name,
            attempt: task.attempt,
            status: match task.state {
                State::Fetching(_) => "fetching",
                State::Running(_) => "running",
                State::Exited(_) => "exited",
            },
            cause: match task.state {
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
            sequence: self.sequence,
            token: self.token,
            warning_s: self.reclaim_at.map(|at| (at - now).max(0.0)),
            tasks: tasks.collect(),
        })
    }

    /// Stores a token if it is higher than all earlier ones. A heartbeat is then due early, unless a new token has
    /// already caused an early heartbeat within the last half of a lease duration.
    fn observe_token(&mut self, token: u64, half_lease_s: f64, now: f64) {
        if token > self.token {
            self.token = token;
            if now - self.token_reported_at > half_lease_s {
                self.token_reported_at = now;
                self.changed = true;
            }
        }
    }
}

impl Oracle {
    /// Announces to a worker that the cloud reclaims its spot machine at a time.
    pub fn announce_reclaim(&mut self, name: &str, at: f64) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.reclaim_at = Some(at);
            machine.changed = true;
        }
    }

    /// Removes a machine, with all tasks on it.
    pub fn remove_machine(&mut self, name: &str) {
        let now = self.clock.now();
        if let Some(machine) = self.machines.get_mut(name) {
            machine.gone_at.get_or_insert(now);
            machine.tasks.clear();
        }
    }

    fn cpus_of(&self, task: &str) -> f64 {
        self.jobs.get(job_of(task)).map_or(0.0, |job| job.spec.cpus)
    }

    fn is_hung(&self, host: &str) -> bool {
        self.faults.affects_machine(Fault::HangMachines, host)
    }

    /// Executes a batch of commands. `direct` says that the batch came in a direct call (a request of a controller to
    /// the worker) and not in the response to a heartbeat. Returns false and executes nothing if there is no such
    /// machine, the token of the batch is lower than an earlier one, or a direct call is not for the current
    /// incarnation.
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
        machine.observe_token(commands.token, half_lease_s, now);
        for command in &commands.commands {
            match command.verb.as_str() {
                "start" => self.start(host, &command.task, command.attempt),
                "halt" => self.stop(host, &command.task, command.attempt),
                "clear" => self.clear(host, &command.task, command.attempt),
                _ => {}
            }
        }
        true
    }

    /// Starts an attempt of a task unless the worker already has it. If the attempt cannot start, it is added as
    /// exited.
    fn start(&mut self, host: &str, name: &str, attempt: u64) {
        let now = self.clock.now();
        let fetch_s = self.clock.scaled(FETCH_S);
        let needed_cpus = self.cpus_of(name);
        let image = self
            .jobs
            .get(job_of(name))
            .map(|job| job.spec.image.clone());
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        let is_same_task = |task: &&Task| task.name == name;
        let mut attempts = machine.tasks.iter().filter(is_same_task);
        if attempts.clone().any(|task| task.attempt == attempt) {
            return;
        }
        let state = match image {
            None => State::Exited("no_such"),
            Some(_) if attempts.any(|task| !task.has_exited()) => State::Exited("busy"),
            Some(_) if machine.used(|task| self.cpus_of(task)) + needed_cpus > CPUS + 1e-6 => {
                State::Exited("full")
            }
            Some(image) if machine.images.contains(&image) => State::Fetching(now),
            Some(_) => State::Fetching(now + fetch_s),
        };
        if let Some(machine) = self.machines.get_mut(host) {
            machine.changed = true;
            machine.tasks.push(Task {
                name: name.to_owned(),
                attempt,
                state,
            });
        }
        self.advance(host);
    }

    fn stop(&mut self, host: &str, name: &str, attempt: u64) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        for task in &mut machine.tasks {
            if task.name == name && task.attempt == attempt && !task.has_exited() {
                task.state = State::Exited("stopped");
                machine.changed = true;
            }
        }
    }

    fn clear(&mut self, host: &str, name: &str, attempt: u64) {
        if let Some(machine) = self.machines.get_mut(host) {
            let cleared = |s: &Task| s.name == name && s.attempt == attempt && s.has_exited();
            machine.tasks.retain(|task| !cleared(task));
        }
    }

    /// Advances the tasks on a machine to the current time. If the lease of the worker has expired, ends all tasks and
    /// begins a new incarnation, also while the machine hangs. Otherwise the tasks of a hung machine make no progress.
    pub fn advance(&mut self, host: &str) {
        let now = self.clock.now();
        let lease_s = self.times.lease_s;
        let is_hung_now = self.is_hung(host);
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if machine.up_at.is_none() || machine.gone_at.is_some() {
            return;
        }
        if now > machine.lease_started_at + lease_s {
            machine.tasks.clear();
            machine.incarnation += 1;
            machine.lease_started_at = now;
            machine.changed = true;
            self.counters.leases_expired += 1;
            return;
        }
        if is_hung_now {
            for task in &mut machine.tasks {
                if let State::Running(until) | State::Fetching(until) = &mut task.state {
                    *until += POLL_INTERVAL_S;
                }
            }
            return;
        }
        let due: Vec<(usize, State)> = machine
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| {
                matches!(task.state, State::Fetching(at) | State::Running(at) if now >= at)
            })
            .map(|(position, task)| (position, task.state))
            .collect();
        for (position, state) in due {
            match state {
                State::Fetching(_) => self.run_task(host, position),
                State::Running(_) => self.finish_task(host, position),
                State::Exited(_) => {}
            }
        }
    }

    /// Begins to run a task whose image is fetched, and checks the rules for starts.
    fn run_task(&mut self, host: &str, position: usize) {
        let now = self.clock.now();
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        let (name, attempt) = (
            machine.tasks[position].name.clone(),
            machine.tasks[position].attempt,
        );
        let (job, index) = name.split_once('/').unwrap_or((&name, "0"));
        let index: u32 = index.parse().unwrap_or(0);
        let Some(job_state) = self.jobs.get(job) else {
            return;
        };
        machine.images.insert(job_state.spec.image.clone());
        machine.changed = true;
        // The result of a completed task is kept, so that another attempt exits as soon as its image is fetched.
        if job_state.done.contains(&index) {
            machine.tasks[position].state = State::Exited("done");
            return;
        }
        let run_s = job_state.spec.run_s * self.rng.random_range(0.6..1.4);
        let until = if job_state.spec.is_service {
            f64::INFINITY
        } else {
            now + run_s
        };
        self.check_start(host, &name, attempt);
        if let Some(machine) = self.machines.get_mut(host) {
            machine.tasks[position].state = State::Running(until);
        }
    }

    /// Completes a running task.
    fn finish_task(&mut self, host: &str, position: usize) {
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.tasks[position].state = State::Exited("done");
        machine.changed = true;
        let name = &machine.tasks[position].name;
        if let Some((job, index)) = name.split_once('/')
            && let Some(job) = self.jobs.get_mut(job)
            && let Ok(index) = index.parse()
        {
            job.done.insert(index);
        }
    }
}

/// Simulates the worker process of a machine. The state of the worker is in [`Machine`].
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub oracle: Shared,
    pub clock: Clock,
    /// Addresses on which the controllers accept requests of workers.
    pub nodes: Vec<SocketAddr>,
}

impl Worker {
    /// Sends heartbeats and executes commands until the machine is deleted or reclaimed.
    pub async fn run(self, listener: TcpListener) {
        let worker = self.clone();
        let server = serve(listener, move |request| {
            worker.clone().handle_direct_call(request)
        });
        tokio::select! {
            () = server => {}
            () = self.advance_tasks() => {}
            () = self.send_heartbeats() => {}
        }
    }

    /// Advances the tasks and checks the lease at intervals, also while a heartbeat waits for its response.
    async fn advance_tasks(&self) {
        while self.machine_exists() {
            self.clock.sleep(POLL_INTERVAL_S).await;
            lock(&self.oracle).advance(&self.name);
        }
    }

    fn machine_exists(&self) -> bool {
        let oracle = lock(&self.oracle);
        oracle
            .machines
            .get(&self.name)
            .is_some_and(|machine| machine.gone_at.is_none())
    }

    /// Whether one of these faults is active for this machine. If so, counts that the fault was applied.
    fn is_affected_by(&self, kinds: &[Fault]) -> bool {
        let faults = &mut lock(&self.oracle).faults;
        let found = kinds
            .iter()
            .find(|fault| faults.affects_machine(**fault, &self.name))
            .copied();
        if let Some(fault) = found {
            faults.count(fault);
        }
        found.is_some()
    }

    /// Waits until no fault makes this machine hang.
    async fn wait_while_hung(&self) {
        loop {
            let until = {
                let oracle = lock(&self.oracle);
                oracle
                    .faults
                    .machine_affected_until(Fault::HangMachines, &self.name)
            };
            match until {
                Some(until) => self.clock.sleep_until(until + POLL_INTERVAL_S).await,
                None => return,
            }
        }
    }

    /// Handles a direct call (a request that a controller sends to the worker). Returns no response if the machine is
    /// gone, or if a fault loses the request or delays the commands.
    async fn handle_direct_call(self, request: Request) -> Option<Reply> {
        if !self.machine_exists()
            || self.is_affected_by(&[Fault::PartitionMachines, Fault::PartitionMachinesInbound])
        {
            return None;
        }
        if request.path == "/show" {
            return Some(self.heartbeat_reply(200));
        }
        let Ok(commands) = cbor::decode::<CommandBatchBody>(&request.body) else {
            return Some(Reply::new(400, &()));
        };
        let (command_delay_s, duplicate_delay_s, leader_partitioned) = {
            let oracle = &mut *lock(&self.oracle);
            let command_delay_s = oracle
                .faults
                .draw_delay(Fault::DelayCommands, &mut oracle.rng);
            let duplicate_delay_s = oracle
                .faults
                .draw_delay(Fault::DuplicateCommands, &mut oracle.rng);
            let leader = oracle.leader;
            let is_partitioned = oracle
                .faults
                .affects_node(Fault::PartitionFromWorkers, leader);
            (command_delay_s, duplicate_delay_s, is_partitioned)
        };
        if leader_partitioned {
            return None;
        }
        if let Some(delay_s) = duplicate_delay_s {
            tokio::spawn(
                self.clone()
                    .execute_late_commands(commands.clone(), delay_s),
            );
        }
        if let Some(delay_s) = command_delay_s {
            self.execute_late_commands(commands, delay_s).await;
            return None;
        }
        self.wait_while_hung().await;
        let executed = lock(&self.oracle).execute(&self.name, &commands, true);
        Some(self.heartbeat_reply(if executed { 200 } else { 409 }))
    }

    /// Executes commands after a delay. They are rejected if their token or incarnation is no longer valid then.
    async fn execute_late_commands(self, commands: CommandBatchBody, delay_s: f64) {
        self.clock.sleep(delay_s).await;
        self.wait_while_hung().await;
        if !self.machine_exists() {
            return;
        }
        let oracle = &mut *lock(&self.oracle);
        let starts = commands
            .commands
            .iter()
            .filter(|command| command.verb == "start");
        let late = starts
            .filter(|command| oracle.must_have_ended(job_of(&command.task)))
            .count();
        oracle.counters.late_starts_after_cancellation += late as u64;
        if oracle.execute(&self.name, &commands, true) {
            oracle.counters.late_commands_executed += 1;
        } else {
            oracle.counters.late_commands_rejected += 1;
        }
    }

    fn heartbeat_reply(&self, status: u16) -> Reply {
        let mut oracle = lock(&self.oracle);
        let now = oracle.clock.now();
        let machine = oracle.machines.get_mut(&self.name);
        Reply {
            status,
            body: machine
                .map(|machine| machine.next_heartbeat(now))
                .unwrap_or_default(),
        }
    }

    /// Sends heartbeats, one at a time. They go to the same controller as long as it responds with status 200, and
    /// otherwise to another one.
    async fn send_heartbeats(&self) {
        let mut client = Client::default();
        let mut target = lock(&self.oracle).rng.random_range(0..self.nodes.len());
        let mut next_due_at = self.clock.now();
        let mut last_sent_at = f64::NEG_INFINITY;
        while self.machine_exists() {
            self.clock.sleep(POLL_INTERVAL_S).await;
            let (due, earliest) = {
                let oracle = lock(&self.oracle);
                let changed = oracle.machines.get(&self.name).is_some_and(|m| m.changed);
                let now = self.clock.now();
                let earliest = last_sent_at + oracle.times.min_heartbeat_interval_s;
                (now >= next_due_at || (changed && now >= earliest), earliest)
            };
            if !due || self.clock.now() < earliest.min(next_due_at) {
                continue;
            }
            self.wait_while_hung().await;
            last_sent_at = self.clock.now();
            let (wait_s, node) = self.send_heartbeat(&mut client, target).await;
            target = node;
            next_due_at = self.clock.now() + wait_s;
        }
    }

    /// Sends one heartbeat to a controller. Returns the time until the next heartbeat, and the controller for it.
    async fn send_heartbeat(&self, client: &mut Client, node: usize) -> (f64, usize) {
        let next_node = (node + 1) % self.nodes.len();
        let (
            body,
            incarnation,
            times,
            heartbeat_delay_s,
            duplicate_delay_s,
            node_partitioned,
            wait_s,
        ) = {
            let oracle = &mut *lock(&self.oracle);
            let now = oracle.clock.now();
            let heartbeat_delay_s = oracle
                .faults
                .draw_delay(Fault::DelayHeartbeats, &mut oracle.rng);
            let duplicate_delay_s = oracle
                .faults
                .draw_delay(Fault::DuplicateHeartbeats, &mut oracle.rng);
            let wait_s = oracle.times.heartbeat_interval_s * oracle.rng.random_range(0.75..1.25);
            let is_partitioned = oracle
                .faults
                .affects_node(Fault::PartitionFromWorkers, node);
            let times = oracle.times;
            let Some(machine) = oracle.machines.get_mut(&self.name) else {
                return (wait_s, node);
            };
            let incarnation = machine.incarnation;
            (
                machine.next_heartbeat(now),
                incarnation,
                times,
                heartbeat_delay_s,
                duplicate_delay_s,
                is_partitioned,
                wait_s,
            )
        };
        let sent_at = self.clock.now();
        let request_lost = node_partitioned
            || self.is_affected_by(&[Fault::PartitionMachinesOutbound, Fault::PartitionMachines]);
        for delay_s in [heartbeat_delay_s, duplicate_delay_s]
            .into_iter()
            .flatten()
            .filter(|_| !request_lost)
        {
            tokio::spawn(self.clone().deliver_late_heartbeat(body.clone(), delay_s));
        }
        if request_lost || heartbeat_delay_s.is_some() {
            self.clock.sleep(times.response_timeout_s).await;
            return (times.retry_delay_s, next_node);
        }
        let to = self.nodes[node];
        let answer = client
            .call(to, "POST", "/v1/report", body, times.response_timeout_s)
            .await;
        let response_lost =
            self.is_affected_by(&[Fault::PartitionMachinesInbound, Fault::PartitionMachines]);
        if response_lost {
            self.clock
                .sleep_until(sent_at + times.response_timeout_s)
                .await;
        }
        let is_hung_now = lock(&self.oracle).is_hung(&self.name);
        let Some(reply) = answer.ok().filter(|_| !response_lost && !is_hung_now) else {
            return (times.retry_delay_s, next_node);
        };
        match reply.status {
            200 => {
                self.handle_heartbeat_response(&reply.body, node, incarnation, sent_at);
                (wait_s, node)
            }
            421 => self.next_after_redirect(&reply.body, node, times.retry_delay_s),
            _ => (times.retry_delay_s, next_node),
        }
    }

    /// Executes the commands in a heartbeat response with status 200, and renews the lease from the time at which the
    /// heartbeat was sent. `incarnation` is the one that sent the heartbeat.
    fn handle_heartbeat_response(&self, body: &[u8], node: usize, incarnation: u64, sent_at: f64) {
        let Ok(commands) = cbor::decode::<CommandBatchBody>(body) else {
            return;
        };
        let oracle = &mut *lock(&self.oracle);
        if oracle.leader != node {
            oracle.leader = node;
            oracle.counters.leader_changes += 1;
        }
        // A response to a heartbeat of an earlier incarnation is ignored.
        let same_incarnation = oracle
            .machines
            .get(&self.name)
            .is_some_and(|m| m.incarnation == incarnation);
        if same_incarnation
            && oracle.execute(&self.name, &commands, false)
            && let Some(machine) = oracle.machines.get_mut(&self.name)
        {
            machine.lease_started_at = sent_at;
        }
    }

    /// Returns, after a redirect (status 421), the time until the next heartbeat and the controller to send it to: the
    /// one that the redirect names, or else the next one.
    fn next_after_redirect(&self, body: &[u8], node: usize, retry_delay_s: f64) -> (f64, usize) {
        let redirect = cbor::decode::<NotLeaderBody>(body).ok();
        let leader_hint = redirect.and_then(|redirect| redirect.leader_hint);
        let hinted = leader_hint.and_then(|label| label.strip_prefix('n')?.parse::<usize>().ok());
        match hinted.filter(|hinted| *hinted != node && *hinted < self.nodes.len()) {
            Some(hinted) => (0.0, hinted),
            None => (retry_delay_s, (node + 1) % self.nodes.len()),
        }
    }

    /// Delivers a delayed heartbeat, or the late duplicate of a heartbeat, to a random controller. The response is
    /// ignored.
    async fn deliver_late_heartbeat(self, body: Vec<u8>, delay_s: f64) {
        self.clock.sleep(delay_s).await;
        let (node, times) = {
            let oracle = &mut *lock(&self.oracle);
            (oracle.rng.random_range(0..self.nodes.len()), oracle.times)
        };
        let mut client = Client::default();
        let to = self.nodes[node];
        let _ = client
            .call(to, "POST", "/v1/report", body, times.response_timeout_s)
            .await;
    }
}
