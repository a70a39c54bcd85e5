//! A table of incoming HTTP connections. It limits the number of connections, and has timeouts for idle connections and
//! for slow clients.

use super::http::{self, Parsed, Request};
use super::socket::{BufferedStream, ReadStatus};
use std::collections::HashMap;
use std::net::TcpStream;

/// Identifies a request that has no response yet.
pub type RequestId = u64;

/// Largest number of bytes of a connection that were received and are not parsed yet.
const MAX_UNREAD: usize = 2 * http::MAX_REQUEST_BODY + 2 * http::MAX_HEAD;

/// Share of the connection limit above which the table counts as crowded.
const CROWDED_SHARE: f64 = 0.85;

/// What the caller must do with a connection after a function of [`Server`] has read or written it.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Keep the connection open. No request is to be served now.
    Keep,
    /// Close the connection.
    Close,
    /// Pass this request to the controller. The id identifies the request in [`Server::answer`].
    Serve(RequestId, Request),
}

struct Connection {
    buffered: BufferedStream,
    /// The request that has no response yet, and whether the connection stays open after the response; `None` if there
    /// is no such request.
    in_flight: Option<(RequestId, bool)>,
    /// Time of the latest of these events, in seconds of the steady clock: the connection was accepted, bytes arrived
    /// in the empty read buffer, a request was complete, or a response was sent.
    last_activity_at: f64,
    /// Whether the client will send no more bytes.
    half_closed: bool,
    /// Whether `100 Continue` was sent for the request that is being received.
    continue_sent: bool,
    /// Whether the connection is to be closed once the write buffer is empty.
    closing: bool,
}

/// The table of incoming connections.
pub struct Server {
    connections: HashMap<u64, Connection>,
    connection_of_request: HashMap<RequestId, u64>,
    /// Next id of a connection or a request.
    next_id: u64,
    max_connections: usize,
    idle_timeout_s: f64,
    slow_timeout_s: f64,
}

impl Server {
    /// Creates a table of at most `max_connections` connections. A connection without a request in flight times out
    /// after `idle_timeout_s` seconds without activity, or after `slow_timeout_s` if a request is partly received or a
    /// response is partly sent.
    pub fn new(max_connections: usize, idle_timeout_s: f64, slow_timeout_s: f64) -> Server {
        Server {
            connections: HashMap::new(),
            connection_of_request: HashMap::new(),
            next_id: 1,
            max_connections,
            idle_timeout_s,
            slow_timeout_s,
        }
    }

    /// Adds a connection and returns its id. If the table was full, also returns the id of the connection that the
    /// caller must close to make room: the one that has been inactive longest of those without a request in flight, or
    /// of all if each has one.
    pub fn accept(&mut self, stream: TcpStream, now: f64) -> (u64, Option<u64>) {
        let evicted = if self.connections.len() >= self.max_connections {
            self.connections
                .iter()
                .min_by(|a, b| {
                    let key = |c: &Connection| (c.in_flight.is_some(), c.last_activity_at);
                    let (a, b) = (key(a.1), key(b.1));
                    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
                })
                .map(|(id, _)| *id)
        } else {
            None
        };
        let id = self.next_id;
        self.next_id += 1;
        self.connections.insert(
            id,
            Connection {
                buffered: BufferedStream::new(stream),
                in_flight: None,
                last_activity_at: now,
                half_closed: false,
                continue_sent: false,
                closing: false,
            },
        );
        (id, evicted)
    }

    /// The stream of a connection, to register it with the event loop, or `None` if the connection is closed.
    pub fn stream(&self, id: u64) -> Option<std::rc::Rc<TcpStream>> {
        self.connections
            .get(&id)
            .map(|connection| connection.buffered.stream())
    }

    /// If the table is crowded, marks the connection of a request to be closed after the response. The client then
    /// opens a new connection for its next request, and the table stays below its limit, at which connections are
    /// evicted.
    pub fn close_after_response_if_crowded(&mut self, request: RequestId) {
        let crowded = self.connections.len() as f64 > CROWDED_SHARE * self.max_connections as f64;
        if let Some(id) = self.connection_of_request.get(&request)
            && crowded
            && let Some(connection) = self.connections.get_mut(id)
            && let Some((_, keep_alive)) = &mut connection.in_flight
        {
            *keep_alive = false;
        }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Handles a readiness event of a connection: reads and writes what is possible. Returns what the caller must do.
    pub fn on_ready(&mut self, id: u64, now: f64) -> ConnectionAction {
        let Some(connection) = self.connections.get_mut(&id) else {
            return ConnectionAction::Close;
        };
        if !connection.buffered.flush() {
            return ConnectionAction::Close;
        }
        if connection.closing {
            return if connection.buffered.unsent_len() == 0 {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            };
        }
        let before = connection.buffered.read_buffer.len();
        match connection.buffered.read_available(MAX_UNREAD) {
            ReadStatus::Open => {}
            ReadStatus::Closed => connection.half_closed = true,
            ReadStatus::Failed => return ConnectionAction::Close,
        }
        if before == 0 && !connection.buffered.read_buffer.is_empty() {
            connection.last_activity_at = now;
        }
        self.next_request(id, now)
    }

    /// Parses the next request of a connection, unless an earlier request has no response yet. Responds to invalid
    /// requests with an error status, and then closes the connection.
    fn next_request(&mut self, id: u64, now: f64) -> ConnectionAction {
        let Some(connection) = self.connections.get_mut(&id) else {
            return ConnectionAction::Close;
        };
        if connection.in_flight.is_some() {
            return ConnectionAction::Keep;
        }
        if connection.buffered.read_buffer.is_empty() {
            return if connection.half_closed {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            };
        }
        match http::parse_request(&connection.buffered.read_buffer) {
            Ok(Parsed::Complete(request, used)) => {
                connection.buffered.consume(used);
                connection.continue_sent = false;
                connection.last_activity_at = now;
                let request_id = self.next_id;
                self.next_id += 1;
                connection.in_flight = Some((request_id, request.keep_alive));
                self.connection_of_request.insert(request_id, id);
                ConnectionAction::Serve(request_id, request)
            }
            Ok(Parsed::Partial { .. }) if connection.half_closed => ConnectionAction::Close,
            Ok(Parsed::Partial { expects_continue }) => {
                if expects_continue && !connection.continue_sent {
                    connection.continue_sent = true;
                    if !connection.buffered.send(b"HTTP/1.1 100 Continue\r\n\r\n") {
                        return ConnectionAction::Close;
                    }
                }
                ConnectionAction::Keep
            }
            Err(error) => {
                let bytes = http::write_response(error.0, b"", None, false);
                connection.closing = true;
                if connection.buffered.send(&bytes) && connection.buffered.unsent_len() > 0 {
                    ConnectionAction::Keep
                } else {
                    ConnectionAction::Close
                }
            }
        }
    }

    /// Sends the response to a request. Returns the id of the connection, what the caller must do with the connection,
    /// and the time since the latest activity of the connection, in seconds: usually the time since the request was
    /// complete. Returns `None` if the connection is closed.
    pub fn answer(
        &mut self,
        request: RequestId,
        status: u16,
        body: &[u8],
        retry_after_s: Option<u32>,
        now: f64,
    ) -> Option<(u64, ConnectionAction, f64)> {
        let id = self.connection_of_request.remove(&request)?;
        let connection = self.connections.get_mut(&id)?;
        let (_, keep_alive) = connection.in_flight.take()?;
        let waited_s = now - connection.last_activity_at;
        connection.last_activity_at = now;
        let bytes = http::write_response(status, body, retry_after_s, keep_alive);
        if !connection.buffered.send(&bytes) {
            return Some((id, ConnectionAction::Close, waited_s));
        }
        if !keep_alive {
            connection.closing = true;
            let action = if connection.buffered.unsent_len() == 0 {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            };
            return Some((id, action, waited_s));
        }
        Some((id, self.next_request(id, now), waited_s))
    }

    /// Removes a connection, and the request in flight on it, from the table.
    pub fn close(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id)
            && let Some((request, _)) = connection.in_flight
        {
            self.connection_of_request.remove(&request);
        }
    }

    /// Ids of the connections that have exceeded the timeout for idle connections or for slow clients. Connections with
    /// a request in flight do not time out.
    pub fn timed_out(&self, now: f64) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| {
                let busy = connection.closing
                    || !connection.buffered.read_buffer.is_empty()
                    || connection.buffered.unsent_len() > 0;
                let timeout_s = if busy {
                    self.slow_timeout_s
                } else {
                    self.idle_timeout_s
                };
                connection.in_flight.is_none() && now - connection.last_activity_at > timeout_s
            })
            .map(|(id, _)| *id)
            .collect()
    }
}
