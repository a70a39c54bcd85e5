//! Outgoing HTTP connections: a small pool for each destination, with a time limit for each call.

use super::http::{self, Parsed, Response};
use super::socket::{self, ReadEnd, Wire};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Names a call that waits for its answer.
pub type CallId = u64;

/// What came of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The answer.
    Answer(Response),
    /// It was certainly never sent: there was no connection to spare for it in time.
    NotSent,
    /// It was certainly never sent: no connection came about.
    Unreached,
    /// It was sent, or may have been; no answer.
    Silent,
}

/// A request on its way out.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its name.
    pub id: CallId,
    /// Where to.
    pub to: SocketAddr,
    /// The bytes to send.
    pub bytes: Vec<u8>,
    /// When to give up.
    pub until: f64,
}

struct Conn {
    to: SocketAddr,
    wire: Wire,
    connected: bool,
    call: Option<Call>,
    idle_since: f64,
    /// Its place among the connections without a call.
    idle_turn: Option<u64>,
}

/// One destination: the calls that wait for a connection, and its connections.
#[derive(Default)]
struct Destination {
    queue: VecDeque<Call>,
    conns: Vec<u64>,
}

/// The pools.
pub struct Client {
    conns: HashMap<u64, Conn>,
    destinations: HashMap<SocketAddr, Destination>,
    /// Destinations with calls that wait.
    waiting: BTreeSet<SocketAddr>,
    /// Connections without a call, the longest unused first.
    idle: BTreeMap<u64, u64>,
    done: Vec<(CallId, Outcome)>,
    next: u64,
    per_destination: usize,
    limit: usize,
    max_body: usize,
    idle_s: f64,
}

impl Client {
    /// Bounds: connections for each destination and in all, bytes of a response body, and the
    /// seconds for which an unused connection is kept.
    pub fn new(per_destination: usize, limit: usize, max_body: usize, idle_s: f64) -> Client {
        Client {
            conns: HashMap::new(),
            destinations: HashMap::new(),
            waiting: BTreeSet::new(),
            idle: BTreeMap::new(),
            done: Vec::new(),
            next: 1,
            per_destination,
            limit,
            max_body,
            idle_s,
        }
    }

    /// The stream of a connection.
    pub fn stream(&self, id: u64) -> Option<Rc<TcpStream>> {
        self.conns.get(&id).map(|conn| conn.wire.stream())
    }

    /// Makes a call. Returns a new connection that must be registered, if one was opened for it.
    pub fn call(&mut self, call: Call, now: f64) -> Option<u64> {
        let to = call.to;
        let destination = self.destinations.entry(to).or_default();
        destination.queue.push_back(call);
        self.dispatch(to, now)
    }

    /// Hands waiting calls to free connections, opening one where needed. What it does is bounded
    /// by the connections and calls of this destination: there may be a thousand others.
    fn dispatch(&mut self, to: SocketAddr, now: f64) -> Option<u64> {
        let opened = self.serve_queue(to, now);
        let left = self.destinations.get(&to);
        if left.is_some_and(|d| !d.queue.is_empty()) {
            self.waiting.insert(to);
        } else {
            self.waiting.remove(&to);
            if left.is_some_and(|d| d.conns.is_empty()) {
                self.destinations.remove(&to);
            }
        }
        opened
    }

    fn serve_queue(&mut self, to: SocketAddr, now: f64) -> Option<u64> {
        loop {
            let destination = self.destinations.get_mut(&to)?;
            if destination.queue.is_empty() {
                return None;
            }
            let free = destination
                .conns
                .iter()
                .copied()
                .find(|id| self.conns.get(id).is_some_and(|c| c.call.is_none()));
            let Some(id) = free else { break };
            let call = destination.queue.pop_front()?;
            self.use_again(id);
            if let Some(conn) = self.conns.get_mut(&id) {
                let sent = !conn.connected || conn.wire.send(&call.bytes);
                conn.call = Some(call);
                if !sent {
                    self.fail(id);
                }
            }
        }
        if self.destinations.get(&to)?.conns.len() >= self.per_destination {
            return None;
        }
        if self.conns.len() >= self.limit
            && let Some((_, oldest)) = self.idle.first_key_value()
        {
            self.fail(*oldest);
        }
        if self.conns.len() >= self.limit {
            return None;
        }
        let destination = self.destinations.entry(to).or_default();
        match socket::connect(to) {
            Ok(stream) => {
                let call = destination.queue.pop_front();
                let id = self.next;
                self.next += 1;
                destination.conns.push(id);
                self.conns.insert(
                    id,
                    Conn {
                        to,
                        wire: Wire::new(stream),
                        connected: false,
                        call,
                        idle_since: now,
                        idle_turn: None,
                    },
                );
                Some(id)
            }
            Err(_) => {
                for call in destination.queue.drain(..) {
                    self.done.push((call.id, Outcome::NotSent));
                }
                None
            }
        }
    }

    /// A connection has no call any more.
    fn set_idle(&mut self, id: u64, now: f64) {
        self.next += 1;
        let turn = self.next;
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.idle_since = now;
            conn.idle_turn = Some(turn);
            self.idle.insert(turn, id);
        }
    }

    /// A connection is no longer without a call.
    fn use_again(&mut self, id: u64) {
        if let Some(turn) = self.conns.get_mut(&id).and_then(|c| c.idle_turn.take()) {
            self.idle.remove(&turn);
        }
    }

    /// Ends a connection and the call on it.
    fn fail(&mut self, id: u64) {
        self.use_again(id);
        let Some(conn) = self.conns.remove(&id) else {
            return;
        };
        if let Some(destination) = self.destinations.get_mut(&conn.to) {
            destination.conns.retain(|other| *other != id);
            if destination.conns.is_empty() && destination.queue.is_empty() {
                self.destinations.remove(&conn.to);
            }
        }
        if let Some(call) = conn.call {
            let outcome = if conn.connected {
                Outcome::Silent
            } else {
                Outcome::Unreached
            };
            self.done.push((call.id, outcome));
        }
    }

    /// Reads and writes what a connection is ready for. Returns a connection to register.
    pub fn on_ready(&mut self, id: u64, now: f64) -> Option<u64> {
        let conn = self.conns.get_mut(&id)?;
        let to = conn.to;
        let mut alive = true;
        let mut answered = false;
        if !conn.connected {
            match conn.wire.connected() {
                None => return None,
                Some(true) => {
                    conn.connected = true;
                    if let Some(call) = &conn.call {
                        let bytes = call.bytes.clone();
                        alive = conn.wire.send(&bytes);
                    }
                }
                Some(false) => alive = false,
            }
        }
        if alive {
            alive = conn.wire.flush();
        }
        if alive {
            let end = conn.wire.fill(self.max_body + http::MAX_HEAD);
            alive = end == ReadEnd::Open;
            if conn.call.is_some() && end != ReadEnd::Failed && !conn.wire.inbox.is_empty() {
                match http::parse_response(&conn.wire.inbox, self.max_body, !alive) {
                    Ok(Parsed::Complete(response, used)) => {
                        conn.wire.consume(used);
                        alive &= response.keep_alive && conn.wire.inbox.is_empty();
                        if let Some(call) = conn.call.take() {
                            self.done.push((call.id, Outcome::Answer(response)));
                            answered = true;
                        }
                    }
                    Ok(Parsed::Partial { .. }) => {}
                    Err(_) => alive = false,
                }
            } else if !conn.wire.inbox.is_empty() {
                alive = false;
            }
        }
        if !alive {
            self.fail(id);
        } else if answered {
            self.set_idle(id, now);
        }
        self.dispatch(to, now)
    }

    /// Ends calls whose time is over and connections unused for long. Returns connections to
    /// register.
    pub fn expire(&mut self, now: f64) -> Vec<u64> {
        let late: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, conn)| match &conn.call {
                Some(call) => now >= call.until,
                None => now - conn.idle_since > self.idle_s,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.fail(id);
        }
        let mut opened = Vec::new();
        for to in self.waiting.clone() {
            if let Some(destination) = self.destinations.get_mut(&to) {
                let queue = &mut destination.queue;
                while queue.front().is_some_and(|call| now >= call.until) {
                    if let Some(call) = queue.pop_front() {
                        self.done.push((call.id, Outcome::NotSent));
                    }
                }
            }
            opened.extend(self.dispatch(to, now));
        }
        opened
    }

    /// Takes the calls that have ended.
    pub fn take_done(&mut self) -> Vec<(CallId, Outcome)> {
        std::mem::take(&mut self.done)
    }
}
