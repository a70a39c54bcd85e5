//! Accepts connections, registers them with the event loop, and handles their readiness events.

use super::clients::ClientConnection;
use super::{Daemon, DaemonError};
use crate::coordination::controller::Now;
use crate::protocol::peer;
use crate::transport::frames::Incoming;
use crate::transport::server::ConnectionAction;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Path to which workers send heartbeats. The connection of a heartbeat is closed after the response if the connection
/// table is crowded.
const HEARTBEAT_PATH: &str = "/v1/report";

/// Identifies a connection that is registered with the event loop. A peer is another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Connection {
    /// Connection from a user, a worker or the load balancer, by its id in `Daemon::server`.
    Request(u64),
    /// Connection to the state service, the cloud or a worker.
    Client(ClientConnection),
    /// Connection to a peer, by the index of the peer in `Daemon::outgoing_peers`.
    OutgoingPeer(usize),
    /// Connection from a peer, by its key in `Daemon::incoming_peers`.
    IncomingPeer(u64),
}

/// Adds a listener to the event loop. The event loop then calls `accept` with each new connection.
pub(super) fn add_listener(
    handle: &LoopHandle<'static, Daemon>,
    listener: TcpListener,
    accept: fn(&mut Daemon, TcpStream),
) -> Result<(), DaemonError> {
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(source, move |_, listener, daemon: &mut Daemon| {
            // If accepting fails, for example because no socket is free, the next iteration of the event loop retries.
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
    /// Adds a new connection from a user, a worker or the load balancer, and closes another one if the connection table
    /// is full.
    pub(super) fn accept_request_connection(&mut self, stream: TcpStream) {
        let now = self.now();
        let (id, evicted) = self.server.accept(stream, now.monotonic);
        if let Some(evicted) = evicted {
            self.close(Connection::Request(evicted));
        }
        if let Some(stream) = self.server.stream(id) {
            self.register(Connection::Request(id), stream);
        }
    }

    /// Adds a new connection from a peer. If there are already as many as the socket budget allows, closes the oldest.
    pub(super) fn accept_peer_connection(&mut self, stream: TcpStream) {
        if self.incoming_peers.len() >= self.sockets.incoming_peers
            && let Some(oldest) = self.incoming_peers.keys().min().copied()
        {
            self.close(Connection::IncomingPeer(oldest));
        }
        let id = self.next_incoming_peer;
        self.next_incoming_peer += 1;
        let incoming = Incoming::new(stream);
        let stream = incoming.stream();
        self.incoming_peers.insert(id, incoming);
        self.register(Connection::IncomingPeer(id), stream);
    }

    /// Registers a connection with the event loop. If that fails, closes the connection.
    pub(super) fn register(&mut self, connection: Connection, stream: Rc<TcpStream>) {
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let inserted = self
            .handle
            .insert_source(source, move |_, _, daemon: &mut Daemon| {
                daemon.on_ready(connection);
                Ok(PostAction::Continue)
            });
        match inserted {
            Ok(token) => {
                self.registrations.insert(connection, token);
            }
            Err(error) => {
                tracing::warn!(%error, "connection registration failed");
                self.close(connection);
            }
        }
    }

    /// Registers the connection that was opened for a call, if one was.
    pub(super) fn register_client(&mut self, opened: Option<ClientConnection>) {
        if let Some(connection) = opened
            && let Some(stream) = self.clients.stream(connection)
        {
            self.register(Connection::Client(connection), stream);
        }
    }

    pub(super) fn unregister(&mut self, connection: Connection) {
        if let Some(token) = self.registrations.remove(&connection) {
            self.handle.remove(token);
        }
    }

    /// Unregisters the connections that a connection pool has closed, because of a timeout or to make room for another
    /// connection.
    pub(super) fn unregister_closed_clients(&mut self) {
        let closed: Vec<Connection> = self
            .registrations
            .keys()
            .filter(|connection| match connection {
                Connection::Client(client) => self.clients.stream(*client).is_none(),
                _ => false,
            })
            .copied()
            .collect();
        for connection in closed {
            self.unregister(connection);
        }
    }

    /// Unregisters a connection. An incoming connection is also removed from its table. An outgoing connection is not
    /// removed: its `Client` or `Outgoing` closes or replaces it after a timeout.
    pub(super) fn close(&mut self, connection: Connection) {
        self.unregister(connection);
        match connection {
            Connection::Request(id) => self.server.close(id),
            Connection::IncomingPeer(id) => {
                self.incoming_peers.remove(&id);
            }
            Connection::Client(_) | Connection::OutgoingPeer(_) => {}
        }
    }

    /// Handles a readiness event of a connection, and then executes the effects that the controller has returned.
    fn on_ready(&mut self, connection: Connection) {
        let now = self.now();
        match connection {
            Connection::Request(id) => {
                let action = self.server.on_ready(id, now.monotonic);
                self.serve(id, action, now);
            }
            Connection::Client(client) => {
                let opened = self.clients.on_ready(client, now.monotonic);
                if self.clients.stream(client).is_none() {
                    self.unregister(connection);
                }
                self.register_client(opened);
            }
            Connection::OutgoingPeer(index) => {
                if let Some(outgoing) = self.outgoing_peers.get_mut(index)
                    && !outgoing.on_ready(now.monotonic)
                {
                    self.unregister(connection);
                }
            }
            Connection::IncomingPeer(id) => self.on_peer_ready(id, now),
        }
        self.process_effects();
    }

    /// Reads the frames of a connection from a peer, and passes the heartbeats in them to the controller.
    fn on_peer_ready(&mut self, id: u64, now: Now) {
        let Some(incoming) = self.incoming_peers.get_mut(&id) else {
            return;
        };
        let (frames, open) = incoming.on_ready(peer::MAX_FRAME_BYTES);
        for frame in frames {
            // An invalid heartbeat, for example from a peer that runs another version, is dropped.
            if let Ok(heartbeat) = peer::decode(&frame) {
                self.controller.on_peer_heartbeat(heartbeat, now);
            }
        }
        if !open {
            self.close(Connection::IncomingPeer(id));
        }
    }

    /// Executes the action that `Daemon::server` has returned for connection `id`.
    pub(super) fn serve(&mut self, id: u64, action: ConnectionAction, now: Now) {
        match action {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => self.close(Connection::Request(id)),
            ConnectionAction::Serve(request_id, request) => {
                // If the connection table is crowded, connections of workers are closed to make room for users.
                if request.path == HEARTBEAT_PATH {
                    self.server.close_after_response_if_crowded(request_id);
                }
                // An immediate response of the controller is an effect, which `process_effects` executes.
                self.controller.on_request(
                    request_id,
                    &request.method,
                    &request.path,
                    &request.body,
                    now,
                );
            }
        }
    }
}
