//! A pool of outgoing HTTP connections. It limits the connections to each destination address and in total. A call is
//! an HTTP request with a deadline; calls for which no connection is free wait in a queue for each destination.

use super::http::{self, Parsed, Response};
use super::socket::{self, BufferedStream, ReadStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Identifies a call; the caller chooses the id.
pub type CallId = u64;

/// How a call completed.
#[derive(Debug)]
pub enum Outcome {
    /// The destination responded.
    Response(Response),
    /// The call was not sent: no connection became free before its deadline, or opening a socket failed at once.
    NotSent,
    /// The call was not sent: a connection was being opened for it and was not established.
    ConnectFailed,
    /// The call may have been sent, and its connection was closed or its deadline passed before a valid response
    /// arrived.
    NoResponse,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifies the call when it completes.
    pub id: CallId,
    /// The destination.
    pub address: SocketAddr,
    /// The encoded request.
    pub bytes: Vec<u8>,
    /// Time at which the call completes without a response, in seconds of the steady clock.
    pub deadline: f64,
}

struct Connection {
    address: SocketAddr,
    buffered: BufferedStream,
    /// Whether the connection is established.
    connected: bool,
    /// The call that waits for its response on this connection.
    call: Option<Call>,
    /// When the connection last became idle, or was opened, in seconds of the steady clock.
    idle_since: f64,
    /// Key of this connection in `Client::idle_connections`; `None` while the connection has a call.
    idle_position: Option<u64>,
}

/// The calls that wait for a connection to a destination address, and the ids of the connections to it.
#[derive(Default)]
struct Destination {
    queue: VecDeque<Call>,
    connections: Vec<u64>,
}

/// A connection pool.
pub struct Client {
    connections: HashMap<u64, Connection>,
    destinations: HashMap<SocketAddr, Destination>,
    /// Addresses of the destinations with calls that wait for a connection.
    destinations_with_queue: BTreeSet<SocketAddr>,
    /// Ids of the connections without a call. A connection that became idle later has a higher key.
    idle_connections: BTreeMap<u64, u64>,
    /// Completed calls that [`Client::take_completed`] has not returned yet.
    completed: Vec<(CallId, Outcome)>,
    /// Counter for the ids of connections and the keys in `idle_connections`.
    next_id: u64,
    max_per_destination: usize,
    max_connections: usize,
    max_body: usize,
    idle_timeout_s: f64,
}

impl Client {
    /// Creates a pool of at most `max_per_destination` connections to each destination and `max_connections` in total.
    /// It accepts response bodies of up to `max_body` bytes and closes connections that have been idle for longer than
    /// `idle_timeout_s` seconds.
    pub fn new(
        max_per_destination: usize,
        max_connections: usize,
        max_body: usize,
        idle_timeout_s: f64,
    ) -> Client {
        Client {
            connections: HashMap::new(),
            destinations: HashMap::new(),
            destinations_with_queue: BTreeSet::new(),
            idle_connections: BTreeMap::new(),
            completed: Vec::new(),
            next_id: 1,
            max_per_destination,
            max_connections,
            max_body,
            idle_timeout_s,
        }
    }

    /// The stream of a connection, to register it with the event loop, or `None` if the connection is closed.
    pub fn stream(&self, id: u64) -> Option<Rc<TcpStream>> {
        self.connections
            .get(&id)
            .map(|connection| connection.buffered.stream())
    }

    /// Makes a call, or queues it until a connection is free. If a connection was opened, returns its id; the caller
    /// must register the connection with the event loop.
    pub fn call(&mut self, call: Call, now: f64) -> Option<u64> {
        let address = call.address;
        let destination = self.destinations.entry(address).or_default();
        destination.queue.push_back(call);
        self.dispatch(address, now)
    }

    /// Sends the queued calls of a destination over its idle connections, and opens at most one more connection if
    /// calls remain. Returns the id of the connection that was opened. Does not iterate over other destinations,
    /// because there may be a thousand.
    fn dispatch(&mut self, address: SocketAddr, now: f64) -> Option<u64> {
        let opened = self.send_queued(address, now);
        let remaining = self.destinations.get(&address);
        if remaining.is_some_and(|destination| !destination.queue.is_empty()) {
            self.destinations_with_queue.insert(address);
        } else {
            self.destinations_with_queue.remove(&address);
            if remaining.is_some_and(|destination| destination.connections.is_empty()) {
                self.destinations.remove(&address);
            }
        }
        opened
    }

    /// The part of [`Client::dispatch`] that sends calls and opens a connection. If the limit on the total number of
    /// connections is reached, closes the connection that has been idle longest, whatever its destination.
    fn send_queued(&mut self, address: SocketAddr, now: f64) -> Option<u64> {
        loop {
            let destination = self.destinations.get_mut(&address)?;
            if destination.queue.is_empty() {
                return None;
            }
            let free = destination.connections.iter().copied().find(|id| {
                self.connections
                    .get(id)
                    .is_some_and(|connection| connection.call.is_none())
            });
            let Some(id) = free else { break };
            let call = destination.queue.pop_front()?;
            self.mark_in_use(id);
            if let Some(connection) = self.connections.get_mut(&id) {
                let sent = !connection.connected || connection.buffered.send(&call.bytes);
                connection.call = Some(call);
                if !sent {
                    self.close(id);
                }
            }
        }
        if self.destinations.get(&address)?.connections.len() >= self.max_per_destination {
            return None;
        }
        if self.connections.len() >= self.max_connections
            && let Some((_, oldest)) = self.idle_connections.first_key_value()
        {
            self.close(*oldest);
        }
        if self.connections.len() >= self.max_connections {
            return None;
        }
        let destination = self.destinations.entry(address).or_default();
        match socket::connect(address) {
            Ok(stream) => {
                let call = destination.queue.pop_front();
                let id = self.next_id;
                self.next_id += 1;
                destination.connections.push(id);
                self.connections.insert(
                    id,
                    Connection {
                        address,
                        buffered: BufferedStream::new(stream),
                        connected: false,
                        call,
                        idle_since: now,
                        idle_position: None,
                    },
                );
                Some(id)
            }
            Err(_) => {
                for call in destination.queue.drain(..) {
                    self.completed.push((call.id, Outcome::NotSent));
                }
                None
            }
        }
    }

    /// Records that a connection no longer has a call.
    fn mark_idle(&mut self, id: u64, now: f64) {
        self.next_id += 1;
        let position = self.next_id;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = now;
            connection.idle_position = Some(position);
            self.idle_connections.insert(position, id);
        }
    }

    /// Records that a connection is no longer idle.
    fn mark_in_use(&mut self, id: u64) {
        if let Some(position) = self
            .connections
            .get_mut(&id)
            .and_then(|connection| connection.idle_position.take())
        {
            self.idle_connections.remove(&position);
        }
    }

    /// Closes a connection. If it has a call, completes the call without a response.
    fn close(&mut self, id: u64) {
        self.mark_in_use(id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(destination) = self.destinations.get_mut(&connection.address) {
            destination.connections.retain(|other| *other != id);
            if destination.connections.is_empty() && destination.queue.is_empty() {
                self.destinations.remove(&connection.address);
            }
        }
        if let Some(call) = connection.call {
            let outcome = if connection.connected {
                Outcome::NoResponse
            } else {
                Outcome::ConnectFailed
            };
            self.completed.push((call.id, outcome));
        }
    }

    /// Handles a readiness event of a connection: reads and writes what is possible. If another connection was opened
    /// for a queued call, returns its id; the caller must register it with the event loop.
    pub fn on_ready(&mut self, id: u64, now: f64) -> Option<u64> {
        let connection = self.connections.get_mut(&id)?;
        let address = connection.address;
        let mut keep_open = true;
        let mut has_responded = false;
        if !connection.connected {
            match connection.buffered.connect_result() {
                None => return None,
                Some(true) => {
                    connection.connected = true;
                    if let Some(call) = &connection.call {
                        let bytes = call.bytes.clone();
                        keep_open = connection.buffered.send(&bytes);
                    }
                }
                Some(false) => keep_open = false,
            }
        }
        if keep_open {
            keep_open = connection.buffered.flush();
        }
        if keep_open {
            let status = connection
                .buffered
                .read_available(self.max_body + http::MAX_HEAD);
            keep_open = status == ReadStatus::Open;
            if connection.call.is_some()
                && status != ReadStatus::Failed
                && !connection.buffered.read_buffer.is_empty()
            {
                match http::parse_response(
                    &connection.buffered.read_buffer,
                    self.max_body,
                    !keep_open,
                ) {
                    Ok(Parsed::Complete(response, used)) => {
                        connection.buffered.consume(used);
                        keep_open &=
                            response.keep_alive && connection.buffered.read_buffer.is_empty();
                        if let Some(call) = connection.call.take() {
                            self.completed.push((call.id, Outcome::Response(response)));
                            has_responded = true;
                        }
                    }
                    Ok(Parsed::Partial { .. }) => {}
                    Err(_) => keep_open = false,
                }
            } else if !connection.buffered.read_buffer.is_empty() {
                keep_open = false;
            }
        }
        if !keep_open {
            self.close(id);
        } else if has_responded {
            self.mark_idle(id, now);
        }
        self.dispatch(address, now)
    }

    /// Completes the calls on connections whose deadline has passed, closes the connections that have been idle for too
    /// long, and removes expired calls from the front of each queue. Returns the ids of the connections that were
    /// opened for queued calls; the caller must register them with the event loop.
    pub fn expire(&mut self, now: f64) -> Vec<u64> {
        let expired: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| match &connection.call {
                Some(call) => now >= call.deadline,
                None => now - connection.idle_since > self.idle_timeout_s,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.close(id);
        }
        let mut opened = Vec::new();
        for address in self.destinations_with_queue.clone() {
            if let Some(destination) = self.destinations.get_mut(&address) {
                let queue = &mut destination.queue;
                while queue.front().is_some_and(|call| now >= call.deadline) {
                    if let Some(call) = queue.pop_front() {
                        self.completed.push((call.id, Outcome::NotSent));
                    }
                }
            }
            opened.extend(self.dispatch(address, now));
        }
        opened
    }

    /// Returns the calls that have completed since this function was last called, with their outcomes.
    pub fn take_completed(&mut self) -> Vec<(CallId, Outcome)> {
        std::mem::take(&mut self.completed)
    }
}
