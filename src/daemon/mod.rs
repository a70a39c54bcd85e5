//! The process: one event loop with the listeners, the outgoing connections, a timer and the controller.
//!
//! The controller is pure: inputs go in with the time, and [effects](crate::coordination::effects) come out. This
//! module is what makes a program of it. `connections` reads and writes sockets and hands requests and peers'
//! heartbeats to the controller; `dispatch` carries out its effects; `clients` makes the calls and knows which
//! response belongs to which; [`sockets`] shares out the sockets. All run on one thread.

mod clients;
mod connections;
mod dispatch;
pub mod sockets;

use crate::coordination::controller::{Controller, Now};
use crate::latency::LatencyRecorder;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::transport::frames::{Incoming, Outgoing};
use crate::transport::server::Server;
use crate::transport::socket;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, LoopHandle, RegistrationToken};
use clients::Clients;
use connections::{Connection, add_listener};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sockets::SocketBudget;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
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

/// Connections that may wait to be accepted: after a failover all workers and users come at once.
const LISTEN_BACKLOG: i32 = 4096;
/// Ticks of the controller in a heartbeat interval.
const TICKS_PER_HEARTBEAT: f64 = 100.0;
/// Sweeps for overdue connections in a heartbeat interval.
const SWEEPS_PER_HEARTBEAT: f64 = 5.0;
/// Heartbeat intervals between two log lines of a latency.
const HEARTBEATS_PER_LATENCY_LOG: f64 = 24.0;
/// Heartbeat intervals after which an idle outgoing connection is closed.
const CLIENT_IDLE_HEARTBEATS: f64 = 20.0;
/// Heartbeat intervals after which an idle connection of a user or worker is closed.
const SERVER_IDLE_HEARTBEATS: f64 = 40.0;
/// Heartbeat intervals within which a request must arrive, and a response be taken.
const SLOW_REQUEST_HEARTBEATS: f64 = 4.0;

struct Daemon {
    controller: Controller,
    handle: LoopHandle<'static, Daemon>,
    /// What the event loop watches.
    registrations: HashMap<Connection, RegistrationToken>,
    sockets: SocketBudget,
    server: Server,
    clients: Clients,
    outgoing_peers: Vec<Outgoing>,
    incoming_peers: HashMap<u64, Incoming>,
    next_incoming_peer: u64,
    state_service: SocketAddr,
    cloud: SocketAddr,
    /// Zero of the steady clock.
    started: Instant,
    heartbeat_interval_s: f64,
    next_sweep_at: f64,
    request_latency: LatencyRecorder,
    state_service_latency: LatencyRecorder,
}

/// Runs a controller until the process is killed.
pub fn run(settings: Settings, policy: Policy) -> Result<(), DaemonError> {
    let mut event_loop: EventLoop<'static, Daemon> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let requests = listen(settings.bind)?;
    let peers = listen(settings.peer_bind)?;
    tracing::info!(
        label = settings.label,
        version = env!("CARGO_PKG_VERSION"),
        "controller starting"
    );
    let mut daemon = Daemon::new(Rc::new(settings), Rc::new(policy), handle.clone());
    add_listener(&handle, requests, Daemon::accept_request_connection)?;
    add_listener(&handle, peers, Daemon::accept_peer)?;
    add_timer(&handle, daemon.heartbeat_interval_s / TICKS_PER_HEARTBEAT)?;
    event_loop.run(None, &mut daemon, |_| {})?;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    socket::listen(address, LISTEN_BACKLOG).map_err(|error| DaemonError::Listen(address, error))
}

/// Ticks at once, and then every `interval_s`.
fn add_timer(handle: &LoopHandle<'static, Daemon>, interval_s: f64) -> Result<(), DaemonError> {
    let interval = Duration::from_secs_f64(interval_s);
    handle
        .insert_source(Timer::immediate(), move |_, _, daemon: &mut Daemon| {
            daemon.tick();
            TimeoutAction::ToDuration(interval)
        })
        .map_err(|error| DaemonError::Source(error.to_string()))?;
    Ok(())
}

impl Daemon {
    fn new(
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        handle: LoopHandle<'static, Daemon>,
    ) -> Daemon {
        let heartbeat_interval_s = settings.deployment.workers.heartbeat_interval_s;
        let sockets = SocketBudget::new(&settings);
        let process_incarnation = SmallRng::from_os_rng().random();
        let latency =
            |what| LatencyRecorder::new(what, heartbeat_interval_s * HEARTBEATS_PER_LATENCY_LOG);
        Daemon {
            controller: Controller::new(settings.clone(), policy, process_incarnation),
            handle,
            registrations: HashMap::new(),
            sockets,
            server: Server::new(
                sockets.requests,
                heartbeat_interval_s * SERVER_IDLE_HEARTBEATS,
                heartbeat_interval_s * SLOW_REQUEST_HEARTBEATS,
            ),
            clients: Clients::new(&sockets, heartbeat_interval_s * CLIENT_IDLE_HEARTBEATS),
            outgoing_peers: settings
                .peers
                .iter()
                .map(|peer| Outgoing::new(peer.address, heartbeat_interval_s))
                .collect(),
            incoming_peers: HashMap::new(),
            next_incoming_peer: 1,
            state_service: settings.services.state,
            cloud: settings.services.cloud,
            started: Instant::now(),
            heartbeat_interval_s,
            next_sweep_at: 0.0,
            request_latency: latency("answers"),
            state_service_latency: latency("state service"),
        }
    }

    fn now(&self) -> Now {
        Now {
            monotonic: self.started.elapsed().as_secs_f64(),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |since| since.as_secs_f64()),
        }
    }

    /// Lets time pass: for the controller, for calls that time out, and for connections that are overdue.
    fn tick(&mut self) {
        let now = self.now();
        self.controller.tick(now);
        for opened in self.clients.expire(now.monotonic) {
            self.register_client(Some(opened));
        }
        if now.monotonic >= self.next_sweep_at {
            self.next_sweep_at = now.monotonic + self.heartbeat_interval_s / SWEEPS_PER_HEARTBEAT;
            self.sweep(now.monotonic);
        }
        self.pump();
    }

    fn sweep(&mut self, now: f64) {
        self.request_latency.log_if_due(now);
        self.state_service_latency.log_if_due(now);
        for id in self.server.timed_out(now) {
            self.close(Connection::Request(id));
        }
        self.unregister_closed_clients();
    }
}
