//! Wires sockets, timers and the controller into one event loop.

use crate::coordination::controller::{Controller, Now};
use crate::coordination::effects::{CorrelationId, Effect};
use crate::latency::Latency;
use crate::policy::Policy;
use crate::protocol::cloud::{CloudRequest, CloudResponse};
use crate::protocol::kv::{KvRequest, KvResponse};
use crate::protocol::peer;
use crate::protocol::worker::{WorkerRequest, WorkerResponse};
use crate::settings::Settings;
use crate::transport::client::{Call, Client, Outcome};
use crate::transport::frames::{Incoming, Outgoing};
use crate::transport::server::{After, Server};
use crate::transport::{http, socket};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Why a controller can't run.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address can't be listened at.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The event loop failed.
    #[error("event loop: {0}")]
    Loop(#[from] calloop::Error),
    /// A source could not be added to the event loop.
    #[error("event loop: {0}")]
    Source(String),
}

/// Share of the sockets that nobody is given: those being closed, and the listeners.
const SPARE_SHARE: f64 = 0.03;
/// Sockets for incoming peers, for each of them.
const INCOMING_PER_PEER: usize = 3;
/// Connections to the state service: two wait for changes, the others work; more than the calls
/// that are made at a time, so that a renewal never waits for one.
const STATE_CONNS: usize = 28;
/// Where workers report.
const REPORT_PATH: &str = "/v1/report";
/// Connections to the cloud.
const CLOUD_CONNS: usize = 4;
/// Longest answer of the state service. A watch that brings more is read anew.
const STATE_BODY: usize = 2 * 1024 * 1024;
/// Longest answer of the cloud.
const CLOUD_BODY: usize = 1024 * 1024;
/// Longest answer of a worker.
const WORKER_BODY: usize = 2 * http::MAX_REQUEST_BODY;
/// Connections that may wait to be accepted: after a failover all workers and users come at once.
const BACKLOG: i32 = 4096;
/// Heartbeat intervals between two logs of the latencies.
const REPORTS_PER_LOG: f64 = 24.0;
/// Ticks in a heartbeat interval.
const TICKS_PER_REPORT: f64 = 100.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Pool {
    State,
    Cloud,
    Workers,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Source {
    Server(u64),
    Client(Pool, u64),
    Peer(usize),
    Incoming(u64),
}

enum Waiting {
    Store(CorrelationId, KvRequest, f64),
    Cloud(CorrelationId, CloudRequest),
    Worker(CorrelationId),
}

struct Daemon {
    controller: Controller,
    server: Server,
    clients: HashMap<Pool, Client>,
    waiting: HashMap<u64, Waiting>,
    next_call: u64,
    peers: Vec<Outgoing>,
    incoming: HashMap<u64, Incoming>,
    next_incoming: u64,
    handle: LoopHandle<'static, Daemon>,
    tokens: HashMap<Source, RegistrationToken>,
    state: SocketAddr,
    cloud: SocketAddr,
    started: Instant,
    sweep_at: f64,
    heartbeat_interval_s: f64,
    answers: Latency,
    state_calls: Latency,
}

/// Runs a controller until it is killed.
pub fn run(settings: Settings, policy: Policy) -> Result<(), DaemonError> {
    let mut event_loop: EventLoop<'static, Daemon> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listen = |address| {
        socket::listen(address, BACKLOG).map_err(|error| DaemonError::Listen(address, error))
    };
    let users = listen(settings.bind)?;
    let controllers = listen(settings.peer_bind)?;
    let heartbeat_interval_s = settings.deployment.workers.heartbeat_interval_s;
    let quota = &settings.deployment.quota;
    // All that is not set aside for others is for those who come: workers, users and probes.
    let set_aside = quota.direct_sockets()
        + (1 + INCOMING_PER_PEER) * settings.peers.len()
        + STATE_CONNS
        + CLOUD_CONNS
        + (quota.max_sockets as f64 * SPARE_SHARE) as usize;
    let incoming = quota.max_sockets.saturating_sub(set_aside).max(1);
    let idle_s = heartbeat_interval_s * 20.0;
    let mut clients = HashMap::new();
    clients.insert(
        Pool::State,
        Client::new(STATE_CONNS, STATE_CONNS, STATE_BODY, idle_s),
    );
    clients.insert(
        Pool::Cloud,
        Client::new(CLOUD_CONNS, CLOUD_CONNS, CLOUD_BODY, idle_s),
    );
    clients.insert(
        Pool::Workers,
        Client::new(1, quota.direct_sockets(), WORKER_BODY, idle_s),
    );
    tracing::info!(
        label = settings.label,
        version = env!("CARGO_PKG_VERSION"),
        "controller starting"
    );
    let settings = Rc::new(settings);
    let process_incarnation = SmallRng::from_os_rng().random();
    let mut daemon = Daemon {
        controller: Controller::new(settings.clone(), Rc::new(policy), process_incarnation),
        server: Server::new(incoming, idle_s * 2.0, heartbeat_interval_s * 4.0),
        clients,
        waiting: HashMap::new(),
        next_call: 1,
        peers: settings
            .peers
            .iter()
            .map(|seed| Outgoing::new(seed.address, heartbeat_interval_s))
            .collect(),
        incoming: HashMap::new(),
        next_incoming: 1,
        handle: handle.clone(),
        tokens: HashMap::new(),
        state: settings.services.state,
        cloud: settings.services.cloud,
        started: Instant::now(),
        sweep_at: 0.0,
        heartbeat_interval_s,
        answers: Latency::new("answers", heartbeat_interval_s * REPORTS_PER_LOG),
        state_calls: Latency::new("state service", heartbeat_interval_s * REPORTS_PER_LOG),
    };
    add_listener(&handle, users, Daemon::accept_user)?;
    add_listener(&handle, controllers, Daemon::accept_peer)?;
    let tick = Duration::from_secs_f64(heartbeat_interval_s / TICKS_PER_REPORT);
    handle
        .insert_source(Timer::immediate(), move |_, _, daemon: &mut Daemon| {
            daemon.tick();
            TimeoutAction::ToDuration(tick)
        })
        .map_err(|error| DaemonError::Source(error.to_string()))?;
    event_loop.run(None, &mut daemon, |_| {})?;
    Ok(())
}

fn add_listener(
    handle: &LoopHandle<'static, Daemon>,
    listener: TcpListener,
    accept: fn(&mut Daemon, TcpStream),
) -> Result<(), DaemonError> {
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(source, move |_, listener, daemon: &mut Daemon| {
            // A failed accept (out of sockets, say) is tried again when the loop comes round.
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nodelay(true);
                if stream.set_nonblocking(true).is_ok() {
                    accept(daemon, stream);
                }
            }
            Ok(PostAction::Continue)
        })
        .map_err(|error| DaemonError::Source(error.to_string()))?;
    Ok(())
}

impl Daemon {
    fn now(&self) -> Now {
        Now {
            monotonic: self.started.elapsed().as_secs_f64(),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |since| since.as_secs_f64()),
        }
    }

    /// Registers a stream; its readiness comes back with its name.
    fn register(&mut self, source: Source, stream: Rc<TcpStream>) {
        let generic = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let inserted = self
            .handle
            .insert_source(generic, move |_, _, daemon: &mut Daemon| {
                daemon.ready(source);
                Ok(PostAction::Continue)
            });
        match inserted {
            Ok(token) => {
                self.tokens.insert(source, token);
            }
            Err(error) => {
                tracing::warn!(%error, "connection registration failed");
                self.forget(source);
            }
        }
    }

    fn unregister(&mut self, source: Source) {
        if let Some(token) = self.tokens.remove(&source) {
            self.handle.remove(token);
        }
    }

    /// Drops what belongs to a source.
    fn forget(&mut self, source: Source) {
        self.unregister(source);
        match source {
            Source::Server(id) => self.server.close(id),
            Source::Incoming(id) => {
                self.incoming.remove(&id);
            }
            Source::Client(..) | Source::Peer(_) => {}
        }
    }

    fn accept_user(&mut self, stream: TcpStream) {
        let now = self.now();
        let (id, evicted) = self.server.accept(stream, now.monotonic);
        if let Some(old) = evicted {
            self.forget(Source::Server(old));
        }
        if let Some(stream) = self.server.stream(id) {
            self.register(Source::Server(id), stream);
        }
    }

    fn accept_peer(&mut self, stream: TcpStream) {
        let most = INCOMING_PER_PEER * self.peers.len();
        if self.incoming.len() >= most
            && let Some(oldest) = self.incoming.keys().min().copied()
        {
            self.forget(Source::Incoming(oldest));
        }
        let id = self.next_incoming;
        self.next_incoming += 1;
        let incoming = Incoming::new(stream);
        let stream = incoming.stream();
        self.incoming.insert(id, incoming);
        self.register(Source::Incoming(id), stream);
    }

    /// A stream is ready to be read or written.
    fn ready(&mut self, source: Source) {
        let now = self.now();
        match source {
            Source::Server(id) => {
                let after = self.server.ready(id, now.monotonic);
                self.follow(id, after, now);
            }
            Source::Client(pool, id) => {
                if let Some(client) = self.clients.get_mut(&pool) {
                    let opened = client.ready(id, now.monotonic);
                    if client.stream(id).is_none() {
                        self.unregister(source);
                    }
                    self.register_client(pool, opened);
                }
            }
            Source::Peer(index) => {
                if let Some(outgoing) = self.peers.get_mut(index)
                    && !outgoing.ready(now.monotonic)
                {
                    self.unregister(source);
                }
            }
            Source::Incoming(id) => {
                if let Some(incoming) = self.incoming.get_mut(&id) {
                    let (frames, open) = incoming.ready(peer::MAX_FRAME);
                    for frame in frames {
                        if let Some(heartbeat) = peer::decode(&frame) {
                            self.controller.on_peer_heartbeat(heartbeat, now);
                        }
                    }
                    if !open {
                        self.forget(source);
                    }
                }
            }
        }
        self.pump();
    }

    fn register_client(&mut self, pool: Pool, opened: Option<u64>) {
        if let Some(id) = opened
            && let Some(stream) = self.clients.get(&pool).and_then(|client| client.stream(id))
        {
            self.register(Source::Client(pool, id), stream);
        }
    }

    fn follow(&mut self, id: u64, mut after: After, now: Now) {
        loop {
            match after {
                After::Keep => return,
                After::Close => {
                    self.forget(Source::Server(id));
                    return;
                }
                After::Serve(to, request) => {
                    // Workers keep their connections while there is room; users always find some.
                    if request.path == REPORT_PATH {
                        self.server.close_if_crowded(to);
                    }
                    self.controller.on_request(
                        to,
                        &request.method,
                        &request.path,
                        &request.body,
                        now,
                    );
                    // An answer that is there already goes out at once, and the next request in.
                    after = After::Keep;
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.controller.tick(now);
        for pool in [Pool::State, Pool::Cloud, Pool::Workers] {
            let Some(client) = self.clients.get_mut(&pool) else {
                continue;
            };
            let opened = client.expire(now.monotonic);
            for id in opened {
                self.register_client(pool, Some(id));
            }
        }
        if now.monotonic >= self.sweep_at {
            self.sweep_at = now.monotonic + self.heartbeat_interval_s / 5.0;
            self.answers.drive(now.monotonic);
            self.state_calls.drive(now.monotonic);
            for id in self.server.overdue(now.monotonic) {
                self.forget(Source::Server(id));
            }
            self.drop_stale_tokens();
        }
        self.pump();
    }

    /// Unregisters the connections that the pools have closed by themselves.
    fn drop_stale_tokens(&mut self) {
        let stale: Vec<Source> = self
            .tokens
            .keys()
            .filter(|source| match source {
                Source::Client(pool, id) => self
                    .clients
                    .get(pool)
                    .is_none_or(|client| client.stream(*id).is_none()),
                _ => false,
            })
            .copied()
            .collect();
        for source in stale {
            self.unregister(source);
        }
    }

    /// Carries out what the controller wants, and hands it what came back, until nothing is left.
    fn pump(&mut self) {
        loop {
            let now = self.now();
            let actions = self.controller.take_effects();
            let idle = actions.is_empty();
            for action in actions {
                self.act(action, now);
            }
            if !self.deliver(now) && idle {
                return;
            }
        }
    }

    fn act(&mut self, action: Effect, now: Now) {
        match action {
            Effect::Respond {
                request_id: to,
                status,
                body,
                retry_after_s,
            } => {
                let answered = self
                    .server
                    .answer(to, status, &body, retry_after_s, now.monotonic);
                if let Some((id, after, waited_s)) = answered {
                    self.answers.record(waited_s);
                    self.follow(id, after, now);
                }
            }
            Effect::CallKv {
                correlation_id,
                request: call,
                timeout_s: within_s,
            } => {
                let request = call.http_request();
                let waiting = Waiting::Store(correlation_id, call, now.monotonic);
                self.send(Pool::State, self.state, request, waiting, within_s, now);
            }
            Effect::CallCloud {
                correlation_id,
                request: call,
                timeout_s: within_s,
            } => {
                let request = call.http_request();
                let waiting = Waiting::Cloud(correlation_id, call);
                self.send(Pool::Cloud, self.cloud, request, waiting, within_s, now);
            }
            Effect::CallWorker {
                correlation_id,
                endpoint,
                request: call,
                timeout_s: within_s,
            } => match endpoint.parse::<SocketAddr>() {
                Ok(to) => {
                    let request = call.http_request();
                    let waiting = Waiting::Worker(correlation_id);
                    self.send(Pool::Workers, to, request, waiting, within_s, now);
                }
                Err(_) => {
                    tracing::warn!(endpoint, "worker endpoint invalid");
                    self.controller.on_worker_response(
                        correlation_id,
                        WorkerResponse::NotSent,
                        now,
                    );
                }
            },
            Effect::BroadcastHeartbeat(heartbeat) => {
                let bytes = peer::encode(&heartbeat);
                for index in 0..self.peers.len() {
                    if let Some(stream) = self.peers[index].send(&bytes, now.monotonic) {
                        self.unregister(Source::Peer(index));
                        self.register(Source::Peer(index), stream);
                    }
                }
            }
        }
    }

    fn send(
        &mut self,
        pool: Pool,
        to: SocketAddr,
        (method, path, body): (&'static str, String, Vec<u8>),
        waiting: Waiting,
        within_s: f64,
        now: Now,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        self.waiting.insert(id, waiting);
        let call = Call {
            id,
            to,
            bytes: http::write_request(method, &to.to_string(), &path, &body),
            until: now.monotonic + within_s,
        };
        let opened = self
            .clients
            .get_mut(&pool)
            .and_then(|client| client.call(call, now.monotonic));
        self.register_client(pool, opened);
    }

    /// Hands the outcomes of calls to the controller. False: there were none.
    fn deliver(&mut self, now: Now) -> bool {
        let done: Vec<(u64, Outcome)> = self
            .clients
            .values_mut()
            .flat_map(Client::take_done)
            .collect();
        let any = !done.is_empty();
        for (id, outcome) in done {
            let Some(waiting) = self.waiting.remove(&id) else {
                continue;
            };
            match waiting {
                Waiting::Store(correlation_id, call, sent) => {
                    if !matches!(call, KvRequest::Watch { .. }) {
                        self.state_calls.record(now.monotonic - sent);
                    }
                    let reply = match outcome {
                        Outcome::Answer(r) => call.response(r.status, &r.body),
                        // Certainly not executed, but no more is known of the service.
                        Outcome::NotSent | Outcome::Unreached | Outcome::Silent => {
                            KvResponse::OutcomeUnknown
                        }
                    };
                    self.controller.on_kv_response(correlation_id, reply, now);
                }
                Waiting::Cloud(correlation_id, call) => {
                    let reply = match outcome {
                        Outcome::Answer(r) => call.response(r.status, &r.body),
                        Outcome::NotSent | Outcome::Unreached | Outcome::Silent => {
                            CloudResponse::OutcomeUnknown
                        }
                    };
                    self.controller
                        .on_cloud_response(correlation_id, reply, now);
                }
                Waiting::Worker(correlation_id) => {
                    let reply = match outcome {
                        Outcome::Answer(r) => WorkerRequest::response(r.status, &r.body),
                        Outcome::NotSent => WorkerResponse::NotSent,
                        Outcome::Unreached => WorkerResponse::Unreachable,
                        Outcome::Silent => WorkerResponse::OutcomeUnknown,
                    };
                    self.controller
                        .on_worker_response(correlation_id, reply, now);
                }
            }
        }
        any
    }
}
