//! Incoming HTTP connections: a bounded table, with time limits for slow senders.

use super::http::{self, Parsed, Request};
use super::socket::{ReadEnd, Wire};
use std::collections::HashMap;
use std::net::TcpStream;

/// Names a request that waits for its answer.
pub type RequestId = u64;

/// Unread bytes that a connection may have.
const MAX_UNREAD: usize = 2 * http::MAX_REQUEST_BODY + 2 * http::MAX_HEAD;

/// Share of the connections beyond which there are few left.
const CROWDED: f64 = 0.85;

/// What to do with a connection after it was touched.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Nothing.
    Keep,
    /// Close it.
    Close,
    /// Hand this request to the service.
    Serve(RequestId, Request),
}

struct Conn {
    wire: Wire,
    /// The request that waits for its answer.
    serving: Option<(RequestId, bool)>,
    /// When the last bytes of use came or went.
    touched: f64,
    half_closed: bool,
    continued: bool,
    closing: bool,
}

/// The table of incoming connections.
pub struct Server {
    conns: HashMap<u64, Conn>,
    waiting: HashMap<RequestId, u64>,
    next: u64,
    limit: usize,
    idle_s: f64,
    slow_s: f64,
}

impl Server {
    /// At most `limit` connections; idle ones are closed after `idle_s`, slow senders and readers
    /// after `slow_s`.
    pub fn new(limit: usize, idle_s: f64, slow_s: f64) -> Server {
        Server {
            conns: HashMap::new(),
            waiting: HashMap::new(),
            next: 1,
            limit,
            idle_s,
            slow_s,
        }
    }

    /// Takes a connection. Also names the connections that must go for it.
    pub fn accept(&mut self, stream: TcpStream, now: f64) -> (u64, Option<u64>) {
        let evicted = if self.conns.len() >= self.limit {
            self.conns
                .iter()
                .min_by(|a, b| {
                    let key = |c: &Conn| (c.serving.is_some(), c.touched);
                    let (a, b) = (key(a.1), key(b.1));
                    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
                })
                .map(|(id, _)| *id)
        } else {
            None
        };
        let id = self.next;
        self.next += 1;
        self.conns.insert(
            id,
            Conn {
                wire: Wire::new(stream),
                serving: None,
                touched: now,
                half_closed: false,
                continued: false,
                closing: false,
            },
        );
        (id, evicted)
    }

    /// The stream of a connection.
    pub fn stream(&self, id: u64) -> Option<std::rc::Rc<TcpStream>> {
        self.conns.get(&id).map(|conn| conn.wire.stream())
    }

    /// Has the connection of a request closed after its answer if few are left: its sender comes
    /// again with a new one, and nobody has to be turned away.
    pub fn close_if_crowded(&mut self, request: RequestId) {
        let crowded = self.conns.len() as f64 > CROWDED * self.limit as f64;
        if let Some(id) = self.waiting.get(&request)
            && crowded
            && let Some(conn) = self.conns.get_mut(id)
            && let Some((_, keep_alive)) = &mut conn.serving
        {
            *keep_alive = false;
        }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Reads and writes what a connection is ready for.
    pub fn on_ready(&mut self, id: u64, now: f64) -> ConnectionAction {
        let Some(conn) = self.conns.get_mut(&id) else {
            return ConnectionAction::Close;
        };
        if !conn.wire.flush() {
            return ConnectionAction::Close;
        }
        if conn.closing {
            return if conn.wire.unsent() == 0 {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            };
        }
        let before = conn.wire.inbox.len();
        match conn.wire.fill(MAX_UNREAD) {
            ReadEnd::Open => {}
            ReadEnd::Closed => conn.half_closed = true,
            ReadEnd::Failed => return ConnectionAction::Close,
        }
        if before == 0 && !conn.wire.inbox.is_empty() {
            conn.touched = now;
        }
        self.next_request(id, now)
    }

    fn next_request(&mut self, id: u64, now: f64) -> ConnectionAction {
        let Some(conn) = self.conns.get_mut(&id) else {
            return ConnectionAction::Close;
        };
        if conn.serving.is_some() {
            return ConnectionAction::Keep;
        }
        if conn.wire.inbox.is_empty() {
            return if conn.half_closed {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            };
        }
        match http::parse_request(&conn.wire.inbox) {
            Ok(Parsed::Complete(request, used)) => {
                conn.wire.consume(used);
                conn.continued = false;
                conn.touched = now;
                let request_id = self.next;
                self.next += 1;
                conn.serving = Some((request_id, request.keep_alive));
                self.waiting.insert(request_id, id);
                ConnectionAction::Serve(request_id, request)
            }
            Ok(Parsed::Partial { .. }) if conn.half_closed => ConnectionAction::Close,
            Ok(Parsed::Partial { expects_continue }) => {
                if expects_continue && !conn.continued {
                    conn.continued = true;
                    if !conn.wire.send(b"HTTP/1.1 100 Continue\r\n\r\n") {
                        return ConnectionAction::Close;
                    }
                }
                ConnectionAction::Keep
            }
            Err(refusal) => {
                let bytes = http::write_response(refusal.0, b"", None, false);
                conn.closing = true;
                if conn.wire.send(&bytes) && conn.wire.unsent() > 0 {
                    ConnectionAction::Keep
                } else {
                    ConnectionAction::Close
                }
            }
        }
    }

    /// Answers a request; says which connection it was, what to do with it then, and how long the
    /// request has waited.
    pub fn answer(
        &mut self,
        request: RequestId,
        status: u16,
        body: &[u8],
        retry_after_s: Option<u32>,
        now: f64,
    ) -> Option<(u64, ConnectionAction, f64)> {
        let id = self.waiting.remove(&request)?;
        let conn = self.conns.get_mut(&id)?;
        let (_, keep_alive) = conn.serving.take()?;
        let waited_s = now - conn.touched;
        conn.touched = now;
        let bytes = http::write_response(status, body, retry_after_s, keep_alive);
        if !conn.wire.send(&bytes) {
            return Some((id, ConnectionAction::Close, waited_s));
        }
        if !keep_alive {
            conn.closing = true;
            let after = if conn.wire.unsent() == 0 {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            };
            return Some((id, after, waited_s));
        }
        Some((id, self.next_request(id, now), waited_s))
    }

    /// Forgets a connection.
    pub fn close(&mut self, id: u64) {
        if let Some(conn) = self.conns.remove(&id)
            && let Some((request, _)) = conn.serving
        {
            self.waiting.remove(&request);
        }
    }

    /// Connections that were idle or slow for too long.
    pub fn timed_out(&self, now: f64) -> Vec<u64> {
        self.conns
            .iter()
            .filter(|(_, conn)| {
                let busy = conn.closing || !conn.wire.inbox.is_empty() || conn.wire.unsent() > 0;
                let limit = if busy { self.slow_s } else { self.idle_s };
                conn.serving.is_none() && now - conn.touched > limit
            })
            .map(|(id, _)| *id)
            .collect()
    }
}
