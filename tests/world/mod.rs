//! A deterministic simulation for tests. Real controllers run against a simulated state service,
//! cloud, workers and users, which implement the protocol. Time is simulated too, and all random
//! choices come from one seed. Times are in simulated seconds since the start, unless stated otherwise.

#![allow(dead_code)]

mod checks;
mod cloud;
pub mod digest;
mod faults;
mod kv_service;
#[path = "../standins/kv_store.rs"]
mod kv_store;
pub mod recorder;
mod users;
mod workers;

use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::effects::Effect;
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::cloud::{
    CloudRequest, CloudResponse, Instance, InstanceStatus, InstanceType,
};
use cedarladder::protocol::job::{JobStatus, JobView};
use cedarladder::protocol::kv::{KvRequest, KvResponse, WriteOp};
use cedarladder::protocol::peer::PeerHeartbeat;
use cedarladder::protocol::token::FencingToken;
use cedarladder::protocol::worker::{
    CommandBatch, CommandKind, ExitReason, NotLeader, TaskState, TaskStatus, WorkerHeartbeat,
    WorkerRequest, WorkerResponse,
};
use cedarladder::settings::{PeerAddress, Settings};
use ciborium::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub use checks::Counters;
use faults::ZonePartition;
pub use faults::{DelayedCommands, NetworkFaults};
use kv_service::KvService;
use recorder::Recorder;
pub use users::{InvalidRequest, User};
use users::{UserRequest, UserRequestKind};
use workers::Worker;

pub const SETTINGS: &str = include_str!("settings.toml");
/// `lease_s` of the settings: the time after which a worker stops its tasks if its lease is not renewed.
pub const LEASE_S: f64 = 10.0;
/// `cancel_s` of the settings: once this time has passed since the confirmation of a cancellation, no task of the job
/// may run.
pub const CANCEL_S: f64 = 30.0;
/// How long a user waits for a response before the request counts as timed out.
const USER_TIMEOUT_S: f64 = 5.0;
/// Wall-clock time at the start of the simulation, in seconds since 1970.
const WALL: f64 = 1_700_000_000.0;

/// An event of the simulation. If an event concerns a controller, the first field is the controller's index. Requests
/// that a controller sends to services and workers, and the responses to them, then have the controller's process
/// incarnation (which changes whenever the controller starts or crashes) and the correlation id of the request.
#[derive(Clone)]
enum SimEvent {
    ControllerTicks(usize, u64),
    KvRequestArrives(usize, u64, u64, KvRequest),
    KvResponseArrives(usize, u64, u64, KvResponse),
    CloudRequestArrives(usize, u64, u64, CloudRequest),
    CloudResponseArrives(usize, u64, u64, CloudResponse),
    WorkerRequestArrives(usize, u64, u64, String, WorkerRequest),
    /// A direct call that was delayed in transit; usually its sender has timed out.
    DelayedCommandArrives(usize, u64, u64, String, WorkerRequest),
    WorkerResponseArrives(usize, u64, u64, WorkerResponse),
    PeerHeartbeatArrives(usize, PeerHeartbeat),
    WorkerRuns(String),
    WorkerHeartbeatArrives(usize, String, Box<WorkerHeartbeat>),
    /// A late duplicate of a heartbeat; the worker ignores the response.
    DuplicateHeartbeatArrives(usize, Box<WorkerHeartbeat>),
    /// The response to a duplicate heartbeat.
    ResponseIgnored,
    WorkerHeartbeatAnswered(String, u64, u64, u16, Vec<u8>),
    UserActs(usize),
    UserRequestArrives(usize, usize, UserRequest),
    UserResponseArrives(usize, UserRequest, u16, Vec<u8>),
    InvalidRequestArrives(usize, InvalidRequest),
    InvalidRequestAnswered(InvalidRequest, u16),
    ControllerCrashes(usize),
    /// After a pause, the effects that the controller produced before it are performed.
    PausedEffectsSent(usize, u64, Vec<Effect>),
    ControllerStarts(usize),
    StateServiceOutage(bool),
}

pub struct World {
    pub now: f64,
    next_event: u64,
    /// Scheduled events, by time in microseconds and sequence number.
    queue: BTreeMap<(u64, u64), SimEvent>,
    settings: Vec<Rc<Settings>>,
    controllers: Vec<Option<Controller>>,
    process_incarnations: Vec<u64>,
    /// The events that will deliver the responses to HTTP requests, for the requests to which a controller has not
    /// responded yet. The key is the controller's index and the request id.
    pending_responses: BTreeMap<(usize, u64), SimEvent>,
    next_request_id: u64,
    kv: KvService,
    /// Names of the created instances, by the idempotency key of the request.
    created_by_key: BTreeMap<String, Vec<String>>,
    instances: BTreeMap<String, Instance>,
    workers: BTreeMap<String, Worker>,
    next_instance_number: u32,
    pub users: Vec<User>,
    completed_tasks: BTreeSet<String>,
    pub faults: NetworkFaults,
    rng: SmallRng,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// Number of tasks that have begun to run.
    pub starts: u32,
    /// Names of instances that were deleted while tasks ran on them.
    pub deleted_while_busy: Vec<String>,
    /// For each controller, until when it is isolated from workers and from the other controllers.
    isolated_except_state_service: Vec<f64>,
    /// For each controller, until when it is isolated from the state service and from the other controllers.
    isolated_except_workers: Vec<f64>,
    /// For each controller, until when its process is paused. Its clocks go on.
    paused_until: Vec<f64>,
    /// For each controller, for how many seconds it pauses before it sends its next effects, or `None` if it does not
    /// pause.
    pause_before_sending_s: Vec<Option<f64>>,
    /// For each controller, until when it is down and connections to it hang instead of being refused.
    hung_until: Vec<f64>,
    partition: Option<ZonePartition>,
    /// For each controller, until when the state service answers its requests with 503.
    state_requests_fail_until: Vec<f64>,
    /// For each controller, until when its watch on the open jobs gets no responses.
    watch_hangs_until: Vec<f64>,
    /// For each controller, until when the state service rejects its watch on the open jobs because of its rate limit.
    watch_limited_until: Vec<f64>,
    /// For each controller, whether it handles the requests that arrived during a pause before its overdue timers.
    requests_before_timers: Vec<bool>,
    /// For each controller, until when the load balancer sends no user requests to it.
    users_avoid_until: Vec<f64>,
    /// The usual boot time that the cloud states for its instance type.
    pub listed_boot_time_s: f64,
    /// Until when workers that boot are disconnected from the beginning.
    new_workers_disconnected_until: f64,
    /// Until when listings get no responses.
    listings_hang_until: f64,
    /// For each controller, the highest correlation id of its committed transactions that have writes.
    newest_txn: BTreeMap<usize, u64>,
    /// Until when controllers refuse one another's connections.
    peer_connections_refused_until: f64,
    /// Maximum number of instances in each pool of the cloud.
    instances_per_pool: u32,
    pub counts: Counters,
    /// Which direct commands with starts are delayed in transit, and for how long.
    pub delayed_commands: DelayedCommands,
    next_lease_check_at: f64,
    /// When all faults have ended, infinity if that is not known. From then on, jobs must not starve.
    faults_end_at: f64,
    next_starvation_check_at: f64,
    /// Correlation ids of the direct calls without a response, for each controller and process incarnation.
    pending_worker_calls: BTreeMap<(usize, u64), BTreeSet<u64>>,
    /// Records the messages of the controllers and the responses to users. Set only in simulations for a digest.
    recorder: Option<Recorder>,
}

impl World {
    /// Creates a world with three controllers and at most twelve instances, three in each pool.
    pub fn new(seed: u64) -> World {
        World::with_size(seed, 3, 3)
    }

    /// Creates a world with `controllers` controllers and at most `pool` instances in each of the four pools.
    pub fn with_size(seed: u64, controllers: usize, pool: u32) -> World {
        let settings: Vec<Rc<Settings>> = (0..controllers)
            .map(|i| {
                let mut settings =
                    Settings::parse(SETTINGS).expect("the settings of the simulation are invalid");
                settings.label = format!("n{i}");
                settings.deployment.initial_size = controllers as u32;
                settings.peers = (0..controllers)
                    .filter(|other| *other != i)
                    .map(|other| PeerAddress {
                        label: format!("n{other}"),
                        zone: "a".to_owned(),
                        address: ([10, 0, 0, 1 + other as u8], 8081).into(),
                    })
                    .collect();
                if pool > 3 {
                    // In worlds with more than three instances in each pool, the team has no CPU limit.
                    settings.deployment.teams[0].cpus_max = 0.0;
                }
                Rc::new(settings)
            })
            .collect();
        let mut world = World {
            now: 0.0,
            next_event: 0,
            queue: BTreeMap::new(),
            settings,
            controllers: (0..controllers).map(|_| None).collect(),
            process_incarnations: vec![0; controllers],
            pending_responses: BTreeMap::new(),
            next_request_id: 1,
            kv: KvService::default(),
            created_by_key: BTreeMap::new(),
            instances: BTreeMap::new(),
            workers: BTreeMap::new(),
            next_instance_number: 0,
            users: Vec::new(),
            completed_tasks: BTreeSet::new(),
            faults: NetworkFaults::default(),
            rng: SmallRng::seed_from_u64(seed),
            violations: Vec::new(),
            starts: 0,
            deleted_while_busy: Vec::new(),
            isolated_except_state_service: vec![0.0; controllers],
            isolated_except_workers: vec![0.0; controllers],
            paused_until: vec![0.0; controllers],
            pause_before_sending_s: vec![None; controllers],
            hung_until: vec![0.0; controllers],
            partition: None,
            state_requests_fail_until: vec![0.0; controllers],
            watch_hangs_until: vec![0.0; controllers],
            watch_limited_until: vec![0.0; controllers],
            requests_before_timers: vec![false; controllers],
            users_avoid_until: vec![0.0; controllers],
            listed_boot_time_s: 5.0,
            new_workers_disconnected_until: 0.0,
            listings_hang_until: 0.0,
            newest_txn: BTreeMap::new(),
            peer_connections_refused_until: 0.0,
            instances_per_pool: pool,
            counts: Counters::default(),
            delayed_commands: DelayedCommands::default(),
            next_lease_check_at: 0.0,
            faults_end_at: f64::INFINITY,
            next_starvation_check_at: 0.0,
            pending_worker_calls: BTreeMap::new(),
            recorder: None,
        };
        for i in 0..controllers {
            world.schedule_at(0.0, SimEvent::ControllerStarts(i));
        }
        world
    }

    fn schedule_at(&mut self, time: f64, event: SimEvent) {
        self.next_event += 1;
        // The time is rounded up, because an event must not take place before its time.
        let time_us = (time.max(self.now) * 1e6).ceil() as u64;
        self.queue.insert((time_us, self.next_event), event);
    }

    fn schedule_after(&mut self, delay: f64, event: SimEvent) {
        let jitter = self.rng.random::<f64>() * 0.002;
        self.schedule_at(self.now + delay + jitter, event);
    }

    /// Runs the simulation until a simulated time.
    pub fn run_until(&mut self, until: f64) {
        while let Some((key, event)) = self.queue.pop_first() {
            let time = key.0 as f64 / 1e6;
            if time > until {
                self.queue.insert(key, event);
                break;
            }
            self.now = time;
            self.kv.expire_leases(time);
            self.check_deadlines();
            self.check_starvation();
            self.handle_event(event);
            self.answer_watches();
        }
        self.now = until;
    }

    fn clock(&self) -> Now {
        Now {
            monotonic: self.now,
            wall: WALL + self.now,
        }
    }

    /// Returns the controller that handles an event, or `None` if the event does not have to wait while a controller is
    /// paused.
    fn destination(event: &SimEvent) -> Option<usize> {
        match event {
            SimEvent::ControllerTicks(i, _)
            | SimEvent::KvResponseArrives(i, ..)
            | SimEvent::CloudResponseArrives(i, ..)
            | SimEvent::WorkerResponseArrives(i, ..)
            | SimEvent::PeerHeartbeatArrives(i, _)
            | SimEvent::WorkerHeartbeatArrives(i, ..)
            | SimEvent::DuplicateHeartbeatArrives(i, _)
            | SimEvent::InvalidRequestArrives(i, _)
            | SimEvent::UserRequestArrives(i, ..) => Some(*i),
            _ => None,
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        let now = self.clock();
        if let Some(i) = World::destination(&event)
            && self.now < self.paused_until[i]
        {
            self.defer_until_resumed(i, event);
            return;
        }
        match event {
            SimEvent::ControllerStarts(i) => {
                if self.controllers[i].is_none() {
                    self.process_incarnations[i] += 1;
                    let process_incarnation = self.process_incarnations[i] * 10 + i as u64;
                    let settings = self.settings[i].clone();
                    let policy = Rc::new(Policy::built_in(&settings));
                    self.controllers[i] =
                        Some(Controller::new(settings, policy, process_incarnation));
                    self.schedule_after(
                        0.01,
                        SimEvent::ControllerTicks(i, self.process_incarnations[i]),
                    );
                }
            }
            SimEvent::ControllerCrashes(i) => {
                self.controllers[i] = None;
                self.process_incarnations[i] += 1;
                self.kv.watches.retain(|watch| watch.controller != i);
                let waiting: Vec<_> = self
                    .pending_responses
                    .keys()
                    .filter(|k| k.0 == i)
                    .copied()
                    .collect();
                for key in waiting {
                    // If the connection hangs, the user times out, else the user notices at once that it was reset.
                    // Both are represented by status 599. Workers time out by themselves.
                    if let Some(SimEvent::UserResponseArrives(user, user_request, ..)) =
                        self.pending_responses.remove(&key)
                    {
                        let is_hung = self.now < self.hung_until[i];
                        let wait_s = if is_hung { USER_TIMEOUT_S } else { 0.01 };
                        self.schedule_after(
                            wait_s,
                            SimEvent::UserResponseArrives(user, user_request, 599, Vec::new()),
                        );
                    }
                }
            }
            SimEvent::PausedEffectsSent(i, process_incarnation, effects) => {
                if self.process_incarnations[i] == process_incarnation {
                    self.perform(i, effects);
                }
            }
            SimEvent::StateServiceOutage(out) => {
                self.kv.set_down(out, self.now);
            }
            SimEvent::ControllerTicks(i, process_incarnation) => {
                if self.process_incarnations[i] == process_incarnation
                    && self.controllers[i].is_some()
                {
                    self.run_controller(i, |controller| controller.tick(now));
                    self.schedule_after(0.05, SimEvent::ControllerTicks(i, process_incarnation));
                }
            }
            SimEvent::KvRequestArrives(i, process_incarnation, correlation_id, request) => {
                self.on_kv_request(i, process_incarnation, correlation_id, request);
            }
            SimEvent::KvResponseArrives(i, process_incarnation, correlation_id, response) => {
                if self.process_incarnations[i] == process_incarnation {
                    self.run_controller(i, |controller| {
                        controller.on_kv_response(correlation_id, response, now);
                    });
                }
            }
            SimEvent::CloudRequestArrives(i, process_incarnation, correlation_id, request) => {
                let response = self.on_cloud_request(&request);
                self.schedule_after(
                    0.1,
                    SimEvent::CloudResponseArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        response,
                    ),
                );
            }
            SimEvent::CloudResponseArrives(i, process_incarnation, correlation_id, response) => {
                if self.process_incarnations[i] == process_incarnation {
                    self.run_controller(i, |controller| {
                        controller.on_cloud_response(correlation_id, response, now);
                    });
                }
            }
            SimEvent::WorkerRequestArrives(i, ..)
            | SimEvent::DelayedCommandArrives(i, ..)
            | SimEvent::WorkerHeartbeatArrives(i, ..)
            | SimEvent::DuplicateHeartbeatArrives(i, _)
            | SimEvent::PeerHeartbeatArrives(i, _)
                if self.now < self.isolated_except_state_service[i] => {}
            SimEvent::PeerHeartbeatArrives(i, _)
                if self.now
                    < self.isolated_except_workers[i].max(self.peer_connections_refused_until) => {}
            SimEvent::WorkerHeartbeatArrives(i, ref name, _)
                if self
                    .workers
                    .get(name)
                    .is_some_and(|w| self.is_partitioned_from(i, &w.zone)) => {}
            SimEvent::UserRequestArrives(i, user, user_request) if self.is_in_partition(i) => {
                self.schedule_after(
                    1.0,
                    SimEvent::UserResponseArrives(user, user_request, 599, Vec::new()),
                );
            }
            SimEvent::ResponseIgnored => {}
            SimEvent::InvalidRequestArrives(i, _) if self.is_in_partition(i) => {}
            SimEvent::InvalidRequestArrives(i, invalid) => {
                let (method, path, body) = invalid.request();
                self.handle_http_request(
                    i,
                    SimEvent::InvalidRequestAnswered(invalid, 0),
                    method,
                    path,
                    &body,
                );
            }
            SimEvent::InvalidRequestAnswered(invalid, status) => {
                if let Some(recorder) = &mut self.recorder {
                    recorder.invalid_request_answered(self.now, status);
                }
                self.on_invalid_request_answered(invalid, status);
            }
            SimEvent::DuplicateHeartbeatArrives(i, heartbeat) => {
                self.count_stale_heartbeat(&heartbeat);
                let body = cbor::encode(&*heartbeat);
                self.handle_http_request(i, SimEvent::ResponseIgnored, "POST", "/v1/report", &body);
            }
            SimEvent::WorkerRequestArrives(
                i,
                process_incarnation,
                correlation_id,
                worker,
                request,
            ) => {
                self.on_worker_request(i, process_incarnation, correlation_id, &worker, &request);
            }
            SimEvent::DelayedCommandArrives(
                i,
                process_incarnation,
                correlation_id,
                worker,
                request,
            ) => {
                self.count_delayed_command(&worker, &request);
                self.on_worker_request(i, process_incarnation, correlation_id, &worker, &request);
            }
            SimEvent::WorkerResponseArrives(i, process_incarnation, correlation_id, response) => {
                if self.process_incarnations[i] == process_incarnation {
                    self.pending_worker_calls
                        .entry((i, process_incarnation))
                        .or_default()
                        .remove(&correlation_id);
                    self.run_controller(i, |controller| {
                        controller.on_worker_response(correlation_id, response, now);
                    });
                }
            }
            SimEvent::PeerHeartbeatArrives(i, heartbeat) => {
                self.run_controller(i, |controller| controller.on_peer_heartbeat(heartbeat, now));
            }
            SimEvent::WorkerRuns(name) => self.run_worker(&name),
            SimEvent::WorkerHeartbeatArrives(i, name, heartbeat) => {
                self.counts.heartbeats += 1;
                let response = SimEvent::WorkerHeartbeatAnswered(
                    name,
                    heartbeat.incarnation,
                    heartbeat.sequence,
                    0,
                    Vec::new(),
                );
                let body = cbor::encode(&*heartbeat);
                self.handle_http_request(i, response, "POST", "/v1/report", &body);
            }
            SimEvent::WorkerHeartbeatAnswered(name, incarnation, sequence, status, body) => {
                self.on_heartbeat_answered(&name, (incarnation, sequence), status, &body);
            }
            SimEvent::UserActs(user) => self.user_acts(user),
            SimEvent::UserRequestArrives(i, user, user_request) => {
                let (path, body) = match user_request.kind {
                    UserRequestKind::Submit => ("/work".to_owned(), self.users[user].body.clone()),
                    UserRequestKind::Poll => (format!("/work/{}", self.users[user].id), Vec::new()),
                    UserRequestKind::Cancel => {
                        (format!("/work/{}/cancel", self.users[user].id), Vec::new())
                    }
                };
                let method = if user_request.kind == UserRequestKind::Poll {
                    "GET"
                } else {
                    "POST"
                };
                let response = SimEvent::UserResponseArrives(user, user_request, 0, Vec::new());
                self.handle_http_request(i, response, method, &path, &body);
            }
            SimEvent::UserResponseArrives(user, user_request, status, body) => {
                if let Some(recorder) = &mut self.recorder {
                    recorder.user_answered(self.now, user, status, &body);
                }
                self.on_user_answered(user, user_request, status, &body);
            }
        }
    }

    /// Defers an event to the end of the controller's pause. Deferred events keep their order, except that timers
    /// come last if the controller handles requests before overdue timers. The delay of at least a microsecond makes
    /// up for the rounding of times to whole microseconds.
    fn defer_until_resumed(&mut self, i: usize, event: SimEvent) {
        let is_timer = matches!(event, SimEvent::ControllerTicks(..));
        let delay_us = if is_timer && self.requests_before_timers[i] {
            10.0
        } else {
            1.0
        };
        if self.requests_before_timers[i] && matches!(event, SimEvent::WorkerHeartbeatArrives(..)) {
            self.counts.heartbeats_served_before_timers += 1;
        }
        self.schedule_at(self.paused_until[i] + delay_us * 1e-6, event);
    }

    fn handle_http_request(
        &mut self,
        i: usize,
        response: SimEvent,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let now = self.clock();
        if self.controllers[i].is_none() {
            if let SimEvent::UserResponseArrives(user, user_request, ..) = response {
                let wait_s = if self.now < self.hung_until[i] {
                    self.counts.requests_to_hung_controllers += 1;
                    USER_TIMEOUT_S
                } else {
                    0.01
                };
                self.schedule_after(
                    wait_s,
                    SimEvent::UserResponseArrives(user, user_request, 599, Vec::new()),
                );
            }
            return;
        }
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        self.pending_responses.insert((i, request_id), response);
        self.run_controller(i, |controller| {
            controller.on_request(request_id, method, path, body, now);
        });
    }

    /// Calls a controller and performs the effects that it requests. If the controller is to pause before it sends
    /// effects, they are scheduled for the end of the pause instead.
    fn run_controller(&mut self, i: usize, act: impl FnOnce(&mut Controller)) {
        let Some(controller) = &mut self.controllers[i] else {
            return;
        };
        act(controller);
        let effects = controller.take_effects();
        if effects.is_empty() {
            return;
        }
        if let Some(for_s) = self.pause_before_sending_s[i].take() {
            let until = self.now + for_s;
            self.counts.pauses_before_sending += 1;
            self.paused_until[i] = until;
            self.schedule_at(
                until,
                SimEvent::PausedEffectsSent(i, self.process_incarnations[i], effects),
            );
            return;
        }
        self.perform(i, effects);
    }

    /// Performs the effects that a controller requests.
    fn perform(&mut self, i: usize, effects: Vec<Effect>) {
        let process_incarnation = self.process_incarnations[i];
        for effect in effects {
            if let Some(recorder) = &mut self.recorder {
                recorder.sent(self.now, i, &effect);
            }
            match effect {
                Effect::Respond {
                    request_id,
                    status,
                    body,
                    retry_after_s,
                } => {
                    let answered = match self.pending_responses.remove(&(i, request_id)) {
                        Some(SimEvent::WorkerHeartbeatAnswered(
                            name,
                            incarnation,
                            sequence,
                            ..,
                        )) => SimEvent::WorkerHeartbeatAnswered(
                            name,
                            incarnation,
                            sequence,
                            status,
                            body,
                        ),
                        Some(SimEvent::UserResponseArrives(user, user_request, ..)) => {
                            SimEvent::UserResponseArrives(user, user_request, status, body)
                        }
                        Some(SimEvent::InvalidRequestAnswered(invalid, _)) => {
                            if matches!(status, 429 | 503) && retry_after_s.is_none() {
                                self.violations.push(format!(
                                    "{invalid:?}: status {status} without Retry-After"
                                ));
                            }
                            SimEvent::InvalidRequestAnswered(invalid, status)
                        }
                        _ => continue,
                    };
                    self.send_response(0.001, answered);
                }
                Effect::CallKv {
                    correlation_id,
                    request,
                    timeout_s,
                } => {
                    let timeout = SimEvent::KvResponseArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        KvResponse::OutcomeUnknown,
                    );
                    self.schedule_after(timeout_s, timeout);
                    self.count_state_request(&request);
                    if self.now < self.isolated_except_workers[i] || self.is_in_partition(i) {
                        continue;
                    }
                    self.send_request(SimEvent::KvRequestArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        request,
                    ));
                }
                Effect::CallCloud {
                    correlation_id,
                    request,
                    timeout_s,
                } => {
                    let timeout = SimEvent::CloudResponseArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        CloudResponse::OutcomeUnknown,
                    );
                    self.schedule_after(timeout_s, timeout);
                    if self.is_in_partition(i) {
                        continue;
                    }
                    self.send_request(SimEvent::CloudRequestArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        request,
                    ));
                }
                Effect::CallWorker {
                    correlation_id,
                    endpoint,
                    request,
                    timeout_s,
                } => {
                    let timeout = SimEvent::WorkerResponseArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        WorkerResponse::OutcomeUnknown,
                    );
                    self.schedule_after(timeout_s, timeout);
                    self.counts.worker_calls += 1;
                    let pending_calls = self
                        .pending_worker_calls
                        .entry((i, process_incarnation))
                        .or_default();
                    pending_calls.insert(correlation_id);
                    self.counts.max_pending_worker_calls = self
                        .counts
                        .max_pending_worker_calls
                        .max(pending_calls.len());
                    if let Some(delay_s) = self.command_delay(&request) {
                        let delayed_command = SimEvent::DelayedCommandArrives(
                            i,
                            process_incarnation,
                            correlation_id,
                            endpoint.clone(),
                            request.clone(),
                        );
                        self.schedule_after(delay_s, delayed_command);
                        if !self.delayed_commands.copies_only {
                            continue;
                        }
                    }
                    self.send_request(SimEvent::WorkerRequestArrives(
                        i,
                        process_incarnation,
                        correlation_id,
                        endpoint,
                        request,
                    ));
                }
                Effect::BroadcastHeartbeat(_)
                    if self.now
                        < self.isolated_except_state_service[i]
                            .max(self.isolated_except_workers[i]) => {}
                Effect::BroadcastHeartbeat(heartbeat) => {
                    for peer in (0..self.controllers.len()).filter(|peer| *peer != i) {
                        if self.is_in_partition(i) != self.is_in_partition(peer) {
                            continue;
                        }
                        self.schedule_after(
                            0.001,
                            SimEvent::PeerHeartbeatArrives(peer, heartbeat.clone()),
                        );
                    }
                }
            }
        }
    }
}
