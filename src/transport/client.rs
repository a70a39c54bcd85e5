//! Outgoing HTTP connections: a small pool for each destination, with a time limit for each call.

use super::http::{self, Parsed, Response};
use super::socket::{self, ReadEnd, Wire};
use std::collections::{HashMap, VecDeque};
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
}

/// The pools.
pub struct Client {
    conns: HashMap<u64, Conn>,
    queues: HashMap<SocketAddr, VecDeque<Call>>,
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
            queues: HashMap::new(),
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
        self.queues.entry(to).or_default().push_back(call);
        self.dispatch(to, now)
    }

    /// Hands waiting calls to free connections, opening one where needed.
    fn dispatch(&mut self, to: SocketAddr, now: f64) -> Option<u64> {
        let mut dead = Vec::new();
        while let Some(queue) = self.queues.get_mut(&to) {
            if queue.is_empty() {
                self.queues.remove(&to);
                break;
            }
            let free = self
                .conns
                .iter()
                .find(|(id, c)| c.to == to && c.call.is_none() && !dead.contains(*id))
                .map(|(id, _)| *id);
            let Some(id) = free else { break };
            let call = queue.pop_front()?;
            if let Some(conn) = self.conns.get_mut(&id) {
                let sent = !conn.connected || conn.wire.send(&call.bytes);
                conn.call = Some(call);
                if !sent {
                    dead.push(id);
                }
            }
        }
        for id in dead {
            self.fail(id);
        }
        let waiting = self.queues.get(&to).map_or(0, VecDeque::len);
        let open = self.conns.values().filter(|c| c.to == to).count();
        if waiting == 0 || open >= self.per_destination {
            return None;
        }
        if self.conns.len() >= self.limit {
            self.drop_oldest_idle();
        }
        if self.conns.len() >= self.limit {
            return None;
        }
        match socket::connect(to) {
            Ok(stream) => {
                let call = self.queues.get_mut(&to).and_then(VecDeque::pop_front);
                let id = self.next;
                self.next += 1;
                self.conns.insert(
                    id,
                    Conn {
                        to,
                        wire: Wire::new(stream),
                        connected: false,
                        call,
                        idle_since: now,
                    },
                );
                Some(id)
            }
            Err(_) => {
                for call in self.queues.remove(&to).into_iter().flatten() {
                    self.done.push((call.id, Outcome::NotSent));
                }
                None
            }
        }
    }

    fn drop_oldest_idle(&mut self) {
        let oldest = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.call.is_none())
            .min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since))
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.conns.remove(&id);
        }
    }

    /// Ends a connection and the call on it.
    fn fail(&mut self, id: u64) {
        if let Some(conn) = self.conns.remove(&id)
            && let Some(call) = conn.call
        {
            let outcome = if conn.connected {
                Outcome::Silent
            } else {
                Outcome::Unreached
            };
            self.done.push((call.id, outcome));
        }
    }

    /// Reads and writes what a connection is ready for. Returns a connection to register.
    pub fn ready(&mut self, id: u64, now: f64) -> Option<u64> {
        let conn = self.conns.get_mut(&id)?;
        let to = conn.to;
        let mut alive = true;
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
                    Ok(Parsed::Whole(response, used)) => {
                        conn.wire.consume(used);
                        alive &= response.keep_alive && conn.wire.inbox.is_empty();
                        conn.idle_since = now;
                        if let Some(call) = conn.call.take() {
                            self.done.push((call.id, Outcome::Answer(response)));
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
        for queue in self.queues.values_mut() {
            while queue.front().is_some_and(|call| now >= call.until) {
                if let Some(call) = queue.pop_front() {
                    self.done.push((call.id, Outcome::NotSent));
                }
            }
        }
        let waiting: Vec<SocketAddr> = self.queues.keys().copied().collect();
        waiting
            .into_iter()
            .filter_map(|to| self.dispatch(to, now))
            .collect()
    }

    /// Takes the calls that have ended.
    pub fn take_done(&mut self) -> Vec<(CallId, Outcome)> {
        std::mem::take(&mut self.done)
    }
}
