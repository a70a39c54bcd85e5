//! A test harness for one controller. It simulates a state service whose responses a test can hold back and release, a
//! cloud without capacity for new instances, and a single worker. Times are in simulated seconds since the start.

#![allow(dead_code)]

#[path = "../standins/kv_store.rs"]
pub mod kv_store;

use cedarladder::bookkeeping::records::{self, FinishedRecord, JobOutcome, LeaderRecord};
use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::effects::{CorrelationId, Effect};
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::cloud::{
    CloudRequest, CloudResponse, Instance, InstanceStatus, InstanceType,
};
use cedarladder::protocol::job::{JobKind, JobSpec, JobView};
use cedarladder::protocol::kv::{Compare, KeyValue, KvRequest, KvResponse, Txn, WriteOp};
use cedarladder::protocol::peer::{JobCounts, PeerHeartbeat, Termination, TerminationLog};
use cedarladder::protocol::token::FencingToken;
use cedarladder::protocol::worker::{
    Command, CommandBatch, CommandKind, ExitReason, TaskId, TaskState, TaskStatus, WorkerHeartbeat,
    WorkerRequest, WorkerResponse,
};
use cedarladder::settings::Settings;
use ciborium::Value;
use kv_store::KvStore;
use std::collections::BTreeMap;
use std::rc::Rc;

const SETTINGS: &str = include_str!("../world/settings.toml");
const WALL: f64 = 1_700_000_000.0;
/// Interval between the controller's ticks, in seconds.
const TICK_S: f64 = 0.05;
/// Interval between the worker's heartbeats, in seconds.
const HEARTBEAT_S: f64 = 0.5;
/// Number of keys in a page of a listing; with 1, a listing of several jobs always takes several pages.
const PAGE_SIZE: usize = 1;
/// Maximum number of changes that the state service keeps for watches.
const MAX_CHANGES: usize = 10_000;
const WORKER: &str = "host-000001";
const PEER: &str = "n1";

/// Kinds of requests to the state service whose responses a test can hold back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldResponses {
    /// Listings of open jobs for pages after the first page.
    LaterPages,
    /// Watches on the open jobs.
    OpenJobWatches,
    /// Watches on the `leader` key.
    LeaderWatches,
    /// Transactions that open jobs.
    Submissions,
    /// Transactions that cancel jobs.
    Cancellations,
    /// Transactions that put the instance types. While their responses are held back, they are not applied. When
    /// released, the responses say that the outcome is unknown.
    CatalogPuts,
}

#[derive(Debug)]
struct WaitingWatch {
    correlation_id: CorrelationId,
    prefix: String,
    after: u64,
    until: f64,
}

/// The state of the only worker.
#[derive(Debug)]
struct Worker {
    incarnation: u64,
    sequence: u64,
    token: FencingToken,
    tasks: BTreeMap<(String, u64), TaskStatus>,
    next_heartbeat_at: f64,
    /// The worker is reachable: it responds to direct calls and, unless `heartbeats_stopped` is set, sends heartbeats.
    is_connected: bool,
    /// The worker sends no heartbeats, but responds to direct calls if it is connected.
    heartbeats_stopped: bool,
}

/// What the controller has sent since the last [`Harness::clear_sent`].
#[derive(Debug, Default)]
pub struct Sent {
    /// Transactions, each with whether it was committed.
    pub transactions: Vec<(Txn, bool)>,
    /// Number of instances that the cloud was asked to create.
    pub instances_requested: u32,
    /// Commands from heartbeat responses and direct calls that the worker has executed.
    pub commands: Vec<Command>,
    /// Number of direct calls that reached the worker.
    pub worker_calls: u32,
}

pub struct Harness {
    pub now: f64,
    pub store: KvStore,
    pub sent: Sent,
    /// Task counts of each job in the latest heartbeat that the controller broadcast to its peers.
    pub broadcast_counts: Vec<JobCounts>,
    /// The instance types that the cloud lists.
    pub instance_types: Vec<InstanceType>,
    /// The response to the next watch on the open jobs says that the watch's revision is compacted.
    pub compact_next_watch: bool,
    controller: Controller,
    /// The kinds of requests whose responses are held back at present.
    holds: Vec<HeldResponses>,
    /// The responses that are held back and have not been released.
    held: Vec<(HeldResponses, CorrelationId, KvResponse)>,
    watches: Vec<WaitingWatch>,
    worker: Worker,
    worker_request: Option<u64>,
    last_request: u64,
    answers: BTreeMap<u64, (u16, Vec<u8>)>,
}

impl Default for Harness {
    fn default() -> Harness {
        let settings = Settings::parse(SETTINGS).expect("the settings of the harness are invalid");
        let policy = Policy::built_in(&settings);
        Harness {
            now: 0.0,
            store: KvStore::new(MAX_CHANGES),
            sent: Sent::default(),
            broadcast_counts: Vec::new(),
            instance_types: vec![super::common::instance_type("f")],
            compact_next_watch: false,
            controller: Controller::new(Rc::new(settings), Rc::new(policy), 1),
            holds: Vec::new(),
            held: Vec::new(),
            watches: Vec::new(),
            worker: Worker {
                incarnation: 1,
                sequence: 0,
                token: FencingToken::default(),
                tasks: BTreeMap::new(),
                next_heartbeat_at: 0.0,
                is_connected: true,
                heartbeats_stopped: false,
            },
            worker_request: None,
            last_request: 0,
            answers: BTreeMap::new(),
        }
    }
}

impl Harness {
    fn clock(&self) -> Now {
        Now {
            monotonic: self.now,
            wall: WALL + self.now,
        }
    }

    /// Runs the simulation for `for_s` seconds.
    pub fn run_for(&mut self, for_s: f64) {
        let until = self.now + for_s;
        while self.now + TICK_S / 2.0 < until {
            self.now += TICK_S;
            let sends_heartbeats = self.worker.is_connected && !self.worker.heartbeats_stopped;
            if sends_heartbeats && self.now >= self.worker.next_heartbeat_at {
                self.send_worker_heartbeat();
            }
            let now = self.clock();
            self.controller.tick(now);
            self.settle();
        }
    }

    /// Runs the simulation until a condition holds. Panics if the condition does not hold within ten simulated seconds;
    /// `what` then names what was waited for.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Harness) -> bool) {
        for _ in 0..200 {
            if condition(self) {
                return;
            }
            self.run_for(TICK_S);
        }
        panic!("timed out after ten simulated seconds, waiting for {what}");
    }

    /// Holds back the responses to a kind of requests from now on.
    pub fn hold(&mut self, held: HeldResponses) {
        self.holds.push(held);
    }

    /// Returns whether a response to a request of this kind is being held back.
    pub fn is_holding(&self, held: HeldResponses) -> bool {
        self.held.iter().any(|(held_back, ..)| *held_back == held)
    }

    /// Delivers the responses to a kind of requests that were held back, and stops holding back such responses.
    pub fn release(&mut self, held: HeldResponses) {
        self.holds.retain(|held_back| *held_back != held);
        let (arriving, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(held_back, ..)| *held_back == held);
        self.held = held;
        for (_, correlation_id, response) in arriving {
            let now = self.clock();
            self.controller
                .on_kv_response(correlation_id, response, now);
        }
        self.settle();
    }

    /// Empties [`Harness::sent`].
    pub fn clear_sent(&mut self) {
        self.sent = Sent::default();
    }

    pub fn is_leader(&self) -> bool {
        self.controller.is_leader()
    }

    /// Revokes the lease of the `leader` key in the state service, which deletes the key. Panics if there is no such
    /// lease.
    pub fn revoke_leader_lease(&mut self) {
        let KvResponse::Value(KeyValue {
            lease_id: Some(lease_id),
            ..
        }) = self.store.get(records::LEADER_KEY)
        else {
            panic!("the leader key does not exist or has no lease");
        };
        self.store.revoke_lease(lease_id);
    }

    /// Returns the mod revision of the `leader` key, or 0 if the key does not exist.
    pub fn leader_revision(&self) -> u64 {
        match self.store.get(records::LEADER_KEY) {
            KvResponse::Value(item) => item.mod_revision,
            _ => 0,
        }
    }

    // ---- users

    /// Sends a user's HTTP request to the controller. Returns a number by which
    /// [`Harness::answer`] finds the response.
    pub fn request(&mut self, method: &str, path: &str, body: &[u8]) -> u64 {
        self.last_request += 1;
        let now = self.clock();
        self.controller
            .on_request(self.last_request, method, path, body, now);
        let request = self.last_request;
        self.settle();
        request
    }

    pub fn submit(&mut self, id: &str, tasks: u32) -> u64 {
        self.request("POST", "/work", &submission(id, tasks, "normal"))
    }

    pub fn submit_urgent(&mut self, id: &str, tasks: u32) -> u64 {
        self.request("POST", "/work", &submission(id, tasks, "urgent"))
    }

    pub fn cancel(&mut self, id: &str) -> u64 {
        self.request("POST", &format!("/work/{id}/cancel"), &[])
    }

    pub fn poll(&mut self, id: &str) -> u64 {
        self.request("GET", &format!("/work/{id}"), &[])
    }

    /// Returns the status and the body (in debug format) of the response to a request, or `None` if it has not arrived.
    pub fn answer(&self, request: u64) -> Option<(u16, String)> {
        let (status, body) = self.answers.get(&request)?;
        let body: Value = cbor::decode(body).expect("the body of the response is no CBOR");
        Some((*status, format!("{body:?}")))
    }

    /// Polls a job, and returns the view in the response.
    pub fn view(&mut self, id: &str) -> JobView {
        let request = self.poll(id);
        self.run_until("the response to a poll", |harness| {
            harness.answers.contains_key(&request)
        });
        let (status, body) = &self.answers[&request];
        assert_eq!(*status, 200, "{id}: status of the response to a poll");
        cbor::decode(body).expect("the response to a poll is no job view")
    }

    /// Returns the transactions since the last [`Harness::clear_sent`], committed or not, that put `key`.
    pub fn puts_of(&self, key: &str) -> Vec<Txn> {
        let puts_key =
            |write: &WriteOp| matches!(write, WriteOp::Put { key: put, .. } if put == key);
        let transactions = self.sent.transactions.iter();
        transactions
            .filter(|(txn, _)| txn.writes.iter().any(puts_key))
            .map(|(txn, _)| txn.clone())
            .collect()
    }

    // ---- other controllers

    /// Cancels a job in the state service, as another controller would do it.
    pub fn cancel_through_other_controller(&mut self, id: &str) {
        let open_key = records::open_key(id);
        let KvResponse::Value(item) = self.store.get(&open_key) else {
            panic!("{id} is not open");
        };
        let aborted = FinishedRecord {
            outcome: JobOutcome::Aborted,
            completed_tasks: 0,
        };
        let txn = Txn {
            compares: vec![Compare::new(open_key.clone(), item.mod_revision)],
            writes: vec![
                WriteOp::delete(open_key),
                WriteOp::put(records::finished_key(id), &aborted),
            ],
        };
        let response = self.store.transact(&txn);
        assert!(matches!(response, KvResponse::Committed(_)));
        self.answer_watches();
    }

    /// Puts the `leader` key as if another controller was elected, so that the controller under test is not elected.
    pub fn elect_other_controller(&mut self) {
        let record = LeaderRecord {
            label: PEER.to_owned(),
            process_incarnation: 1,
        };
        let txn = Txn {
            compares: Vec::new(),
            writes: vec![WriteOp::put(records::LEADER_KEY, &record)],
        };
        let response = self.store.transact(&txn);
        assert!(matches!(response, KvResponse::Committed(_)));
        self.settle();
    }

    /// Delivers a peer's heartbeat which says that a job was cancelled.
    pub fn receive_cancellation_from_peer(&mut self, id: &str) {
        self.receive_termination_from_peer(id, true);
    }

    /// Delivers a peer's heartbeat which says that a job was aborted or, if `aborted` is false, completed.
    pub fn receive_termination_from_peer(&mut self, id: &str, aborted: bool) {
        let mut heartbeat = peer_heartbeat(PEER, 0);
        heartbeat.terminations.entries.push(Termination {
            job: id.to_owned(),
            aborted,
            done: 0,
        });
        self.receive_peer_heartbeat(heartbeat);
    }

    /// Delivers a peer's heartbeat to the controller.
    pub fn receive_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let now = self.clock();
        self.controller.on_peer_heartbeat(heartbeat, now);
        self.settle();
    }

    // ---- the worker

    /// Returns the number of tasks of a job that run on the worker.
    pub fn running_tasks(&self, job: &str) -> usize {
        let tasks = self.worker.tasks.values();
        tasks
            .filter(|status| status.state == TaskState::Running)
            .filter(|status| TaskId::parse(&status.task).is_ok_and(|task| task.job == job))
            .count()
    }

    /// Lets all running tasks of a job exit. The controller learns of it from the worker's next heartbeat.
    pub fn exit_tasks(&mut self, job: &str, reason: ExitReason) {
        for status in self.worker.tasks.values_mut() {
            let is_of_job = TaskId::parse(&status.task).is_ok_and(|task| task.job == job);
            if is_of_job && status.state == TaskState::Running {
                status.state = TaskState::Exited;
                status.exit_reason = Some(reason);
            }
        }
    }

    /// Stops the worker's heartbeats and its responses to direct calls. Its tasks go on.
    pub fn disconnect_worker(&mut self) {
        self.worker.is_connected = false;
    }

    /// Stops the worker's heartbeats. The worker still responds to direct calls.
    pub fn stop_worker_heartbeats(&mut self) {
        self.worker.heartbeats_stopped = true;
    }

    /// Lets the worker's lease expire: the worker stops all tasks and begins its next incarnation.
    pub fn expire_worker_lease(&mut self) {
        self.worker.tasks.clear();
        self.worker.incarnation += 1;
    }

    /// Restarts the worker, which loses its incarnation, sequence and token, and begins at incarnation 1 again.
    pub fn forget_incarnations(&mut self) {
        self.restart_worker();
        (self.worker.incarnation, self.worker.sequence) = (1, 0);
    }

    /// Restarts the worker, which loses its tasks and the highest token that it had seen. Its incarnation and sequence
    /// stay.
    pub fn restart_worker(&mut self) {
        self.worker.tasks.clear();
        self.worker.token = FencingToken::default();
    }

    /// Delivers a worker heartbeat without tasks, with this incarnation, sequence and token. The response is ignored.
    pub fn send_stale_heartbeat(&mut self, incarnation: u64, sequence: u64, token: FencingToken) {
        let heartbeat = WorkerHeartbeat {
            incarnation,
            sequence,
            token,
            tasks: Vec::new(),
            ..self.next_heartbeat()
        };
        let body = cbor::encode(&heartbeat);
        self.request("POST", "/v1/report", &body);
    }

    /// Returns the sequence number of the worker's latest heartbeat, on its own or in the response to a direct call.
    pub fn sequence(&self) -> u64 {
        self.worker.sequence
    }

    /// Reconnects the worker, which sends a heartbeat at once.
    pub fn reconnect_worker(&mut self) {
        self.worker.is_connected = true;
        self.send_worker_heartbeat();
    }

    /// Sends a heartbeat of the worker now.
    pub fn send_worker_heartbeat(&mut self) {
        self.worker.next_heartbeat_at = self.now + HEARTBEAT_S;
        let heartbeat = self.next_heartbeat();
        self.last_request += 1;
        self.worker_request = Some(self.last_request);
        let body = cbor::encode(&heartbeat);
        let now = self.clock();
        self.controller
            .on_request(self.last_request, "POST", "/v1/report", &body, now);
        self.settle();
    }

    fn next_heartbeat(&mut self) -> WorkerHeartbeat {
        self.worker.sequence += 1;
        WorkerHeartbeat {
            worker: WORKER.to_owned(),
            endpoint: "10.1.0.1:9000".to_owned(),
            instance_type: "f".to_owned(),
            zone: "a".to_owned(),
            spot: false,
            incarnation: self.worker.incarnation,
            sequence: self.worker.sequence,
            token: self.worker.token,
            reclaim_in_s: None,
            tasks: self.worker.tasks.values().cloned().collect(),
        }
    }

    /// Executes commands on the worker, unless their token is lower than the worker's. A stopped task exits at once.
    fn execute(&mut self, batch: &CommandBatch) {
        if batch.token < self.worker.token {
            return;
        }
        self.worker.token = batch.token;
        self.sent.commands.extend(batch.commands.iter().cloned());
        for command in &batch.commands {
            let key = (command.task.clone(), command.attempt);
            match command.kind {
                CommandKind::Start => {
                    self.worker.tasks.entry(key).or_insert(TaskStatus {
                        task: command.task.clone(),
                        attempt: command.attempt,
                        state: TaskState::Running,
                        exit_reason: None,
                    });
                }
                CommandKind::Stop => {
                    if let Some(status) = self.worker.tasks.get_mut(&key) {
                        status.state = TaskState::Exited;
                        status.exit_reason = Some(ExitReason::Stopped);
                    }
                }
                CommandKind::Clear => drop(self.worker.tasks.remove(&key)),
            }
        }
    }

    // ---- the controller's effects

    /// Performs the controller's effects and responds to watches, until the controller has no more effects and no watch
    /// gets a response.
    fn settle(&mut self) {
        loop {
            let effects = self.controller.take_effects();
            if effects.is_empty() {
                if !self.answer_watches() {
                    return;
                }
                continue;
            }
            for effect in effects {
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        let now = self.clock();
        match effect {
            Effect::Respond {
                request_id,
                status,
                body,
                ..
            } => {
                if self.worker_request == Some(request_id) {
                    if status == 200 {
                        let batch: CommandBatch = cbor::decode(&body)
                            .expect("the response to a heartbeat is no command batch");
                        self.execute(&batch);
                    }
                } else {
                    self.answers.insert(request_id, (status, body));
                }
            }
            Effect::CallKv {
                correlation_id,
                request,
                ..
            } => self.on_kv_request(correlation_id, request),
            Effect::CallCloud {
                correlation_id,
                request,
                ..
            } => {
                let response = self.on_cloud_request(&request);
                self.controller
                    .on_cloud_response(correlation_id, response, now);
            }
            Effect::CallWorker {
                correlation_id,
                request,
                ..
            } => {
                let response = self.on_worker_request(&request);
                self.controller
                    .on_worker_response(correlation_id, response, now);
            }
            Effect::BroadcastHeartbeat(heartbeat) => self.broadcast_counts = heartbeat.counts,
        }
    }

    fn on_worker_request(&mut self, request: &WorkerRequest) -> WorkerResponse {
        if !self.worker.is_connected {
            return WorkerResponse::OutcomeUnknown;
        }
        self.sent.worker_calls += 1;
        let WorkerRequest::Commands(batch) = request;
        let same_incarnation = batch.incarnation == Some(self.worker.incarnation);
        if !same_incarnation || batch.token < self.worker.token {
            return WorkerResponse::Rejected(Box::new(self.next_heartbeat()));
        }
        self.execute(batch);
        WorkerResponse::Executed(Box::new(self.next_heartbeat()))
    }

    fn on_cloud_request(&mut self, request: &CloudRequest) -> CloudResponse {
        match request {
            CloudRequest::ListInstanceTypes => {
                CloudResponse::InstanceTypes(self.instance_types.clone())
            }
            CloudRequest::CreateInstances(request) => {
                self.sent.instances_requested += request.count;
                CloudResponse::InsufficientCapacity
            }
            CloudRequest::DeleteInstances(_) => CloudResponse::Deleted,
            CloudRequest::ListInstances(_) => CloudResponse::Page {
                instances: vec![Instance {
                    name: WORKER.to_owned(),
                    endpoint: "10.1.0.1:9000".to_owned(),
                    instance_type: "f".to_owned(),
                    zone: "a".to_owned(),
                    spot: false,
                    status: InstanceStatus::Running,
                    age_s: self.now,
                }],
                more: false,
            },
        }
    }

    fn on_kv_request(&mut self, correlation_id: CorrelationId, request: KvRequest) {
        if let KvRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = request
        {
            self.watches.push(WaitingWatch {
                correlation_id,
                prefix,
                after,
                until: self.now + wait_ms as f64 / 1000.0,
            });
            return;
        }
        let held = self.held_responses_to(&request);
        if held == Some(HeldResponses::CatalogPuts)
            && let KvRequest::Txn(txn) = request
        {
            self.sent.transactions.push((txn, false));
            let response = KvResponse::OutcomeUnknown;
            self.held
                .push((HeldResponses::CatalogPuts, correlation_id, response));
            return;
        }
        let response = self.respond(&request);
        if let KvRequest::Txn(txn) = request {
            let committed = matches!(response, KvResponse::Committed(_));
            self.sent.transactions.push((txn, committed));
        }
        if let Some(held) = held {
            self.held.push((held, correlation_id, response));
            return;
        }
        let now = self.clock();
        self.controller
            .on_kv_response(correlation_id, response, now);
    }

    fn respond(&mut self, request: &KvRequest) -> KvResponse {
        match request {
            KvRequest::Get(key) => self.store.get(key),
            KvRequest::List { prefix, after } => {
                self.store.list(prefix, after.as_deref(), PAGE_SIZE)
            }
            KvRequest::Txn(txn) => self.store.transact(txn),
            KvRequest::GrantLease(ttl_ms) => self.store.grant_lease(*ttl_ms, self.now),
            KvRequest::KeepAlive(lease_id) => self.store.keep_alive(*lease_id, self.now),
            KvRequest::RevokeLease(lease_id) => self.store.revoke_lease(*lease_id),
            KvRequest::Watch { .. } => {
                unreachable!("watch request that was not passed to `answer_watches`")
            }
        }
    }

    fn held_responses_to(&self, request: &KvRequest) -> Option<HeldResponses> {
        let held = match request {
            KvRequest::List {
                prefix,
                after: Some(_),
            } if prefix == records::OPEN_PREFIX => HeldResponses::LaterPages,
            KvRequest::Txn(txn) if txn.writes.iter().any(is_submission) => {
                HeldResponses::Submissions
            }
            KvRequest::Txn(txn) if is_cancellation(txn) => HeldResponses::Cancellations,
            KvRequest::Txn(txn) if txn.writes.iter().any(is_catalog) => HeldResponses::CatalogPuts,
            _ => return None,
        };
        self.holds.contains(&held).then_some(held)
    }

    /// Responds to the watches for which there are changes or whose time is up. Returns whether there were any.
    fn answer_watches(&mut self) -> bool {
        let mut any_answered = false;
        for watch in std::mem::take(&mut self.watches) {
            let on_open_jobs = watch.prefix == records::OPEN_PREFIX;
            let held = if on_open_jobs {
                HeldResponses::OpenJobWatches
            } else {
                HeldResponses::LeaderWatches
            };
            if self.holds.contains(&held) {
                self.watches.push(watch);
                continue;
            }
            let response = if on_open_jobs && std::mem::take(&mut self.compact_next_watch) {
                KvResponse::Compacted
            } else {
                self.store.changes_after(&watch.prefix, watch.after)
            };
            let has_no_changes =
                matches!(&response, KvResponse::Events { events, .. } if events.is_empty());
            if has_no_changes && self.now < watch.until {
                self.watches.push(watch);
                continue;
            }
            any_answered = true;
            let now = self.clock();
            self.controller
                .on_kv_response(watch.correlation_id, response, now);
        }
        any_answered
    }
}

/// Returns a peer's heartbeat with the label and epoch, and otherwise without content.
pub fn peer_heartbeat(label: &str, epoch: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        label: label.to_owned(),
        epoch,
        leader: None,
        state_service_ok: true,
        redirected_workers: 0,
        counts: Vec::new(),
        crash_looping_jobs: Vec::new(),
        user_writes_per_s: 0.0,
        terminations: TerminationLog {
            process_incarnation: 1,
            ..TerminationLog::default()
        },
    }
}

fn is_submission(write: &WriteOp) -> bool {
    matches!(write, WriteOp::Put { key, .. } if key.starts_with(records::OPEN_PREFIX))
}

fn is_catalog(write: &WriteOp) -> bool {
    matches!(write, WriteOp::Put { key, .. } if key == records::INSTANCE_CATALOG_KEY)
}

/// Returns whether a transaction ends jobs without an entry in the leader's log. Only cancellations do.
fn is_cancellation(txn: &Txn) -> bool {
    let puts_under = |prefix: &str| {
        txn.writes
            .iter()
            .any(|write| matches!(write, WriteOp::Put { key, .. } if key.starts_with(prefix)))
    };
    puts_under(records::FINISHED_PREFIX) && !puts_under(records::LOG_PREFIX)
}

/// Returns the request body that submits an array job of tasks with two CPUs each.
fn submission(id: &str, tasks: u32, priority: &str) -> Vec<u8> {
    let text = |text: &str| Value::Text(text.to_owned());
    let fields = vec![
        ("NameId", text(id)),
        ("Jobclass", text("c")),
        ("Owner", text("t")),
        ("Shape", text("array")),
        ("Rank", text(priority)),
        ("Steps", Value::from(tasks)),
        ("Cores", Value::Float(2.0)),
        ("Gpus", Value::Float(0.0)),
        ("RamGb", Value::Float(1.0)),
        ("Flavors", Value::Null),
        ("OneZone", Value::Bool(false)),
        ("Spread", Value::Bool(false)),
        ("Windfall", Value::Bool(false)),
        ("Bundle", text("img")),
        ("PullGb", Value::Float(0.5)),
        ("ExpectS", Value::Float(30.0)),
        ("SnapshotS", Value::Float(0.0)),
        ("FlushS", Value::Float(0.0)),
    ];
    let fields = fields
        .into_iter()
        .map(|(name, value)| (text(name), value))
        .collect();
    cbor::encode(&Value::Map(fields))
}

/// Returns the specification of an array job, much like those that [`Harness::submit`] submits.
pub fn job_spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        ..super::common::spec(id, tasks)
    }
}
