//! The controller process: a single thread that runs an event loop, which owns the listeners, all connections, a timer
//! and the controller.
//!
//! The controller itself does no I/O: it is called with an input and the time, and returns
//! [effects](crate::coordination::effects). This module does the I/O for it:
//!
//! - `connections` reads and writes sockets, and passes requests, and heartbeats from peers, to the controller; a peer
//!   is another controller;
//! - `dispatch` executes the controller's effects;
//! - `clients` makes calls, which are requests to the state service, the cloud and workers, and matches each response
//!   to its call;
//! - [`sockets`] divides the process's sockets among the kinds of connections.

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

/// An error that ends the controller process.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The controller cannot listen on one of its addresses.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The event loop failed.
    #[error("event loop failed: {0}")]
    Loop(#[from] calloop::Error),
    /// A listener or the timer could not be added to the event loop.
    #[error("cannot add an event source to the event loop: {0}")]
    Source(String),
}

/// Largest number of connections that wait to be accepted. It is high because all workers and users connect at the same
/// time after a failover.
const LISTEN_BACKLOG: i32 = 4096;
/// Number of controller ticks in a heartbeat interval.
const TICKS_PER_HEARTBEAT: f64 = 100.0;
/// Number of sweeps in a heartbeat interval; a sweep closes timed-out connections and logs latencies.
const SWEEPS_PER_HEARTBEAT: f64 = 5.0;
/// Interval between two log lines with latencies of the same kind, in heartbeat intervals.
const HEARTBEATS_PER_LATENCY_LOG: f64 = 24.0;
/// Time after which an idle outgoing connection is closed, in heartbeat intervals.
const CLIENT_IDLE_HEARTBEATS: f64 = 20.0;
/// Time after which an idle connection from a user or worker is closed, in heartbeat intervals.
const SERVER_IDLE_HEARTBEATS: f64 = 40.0;
/// Time within which a user or worker must send a complete request, or read a complete response, in heartbeat
/// intervals.
const SLOW_REQUEST_HEARTBEATS: f64 = 4.0;

/// The state that the callbacks of the event loop share.
struct Daemon {
    controller: Controller,
    handle: LoopHandle<'static, Daemon>,
    /// Event loop registrations of the open connections.
    registrations: HashMap<Connection, RegistrationToken>,
    sockets: SocketBudget,
    /// Connections from users, workers and the load balancer.
    server: Server,
    clients: Clients,
    /// Connections to the peers, in the order of the settings.
    outgoing_peers: Vec<Outgoing>,
    /// Connections from peers, by number; connections accepted later have higher numbers.
    incoming_peers: HashMap<u64, Incoming>,
    next_incoming_peer: u64,
    state_service: SocketAddr,
    cloud: SocketAddr,
    /// When the daemon was created; the steady clock was 0 then.
    started: Instant,
    heartbeat_interval_s: f64,
    /// Time of the next sweep, in seconds of the steady clock.
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
    add_listener(&handle, peers, Daemon::accept_peer_connection)?;
    add_timer(&handle, daemon.heartbeat_interval_s / TICKS_PER_HEARTBEAT)?;
    event_loop.run(None, &mut daemon, |_| {})?;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    socket::listen(address, LISTEN_BACKLOG).map_err(|error| DaemonError::Listen(address, error))
}

/// Adds a timer that calls [`Daemon::tick`] immediately, and then `interval_s` seconds after each call.
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

    /// Runs the timers of the controller, completes calls that have timed out, and sweeps if that is due.
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
        self.process_effects();
    }

    /// Logs latencies if that is due, and closes connections that have timed out.
    fn sweep(&mut self, now: f64) {
        self.request_latency.log_if_due(now);
        self.state_service_latency.log_if_due(now);
        for id in self.server.timed_out(now) {
            self.close(Connection::Request(id));
        }
        self.unregister_closed_clients();
    }
}
