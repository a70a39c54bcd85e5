//! Length-prefixed frames between controllers.

use super::socket::{self, ReadEnd, Wire};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Takes whole frames out of the bytes read so far. `None`: a frame is longer than allowed.
pub fn split_frames(inbox: &mut Vec<u8>, limit: usize) -> Option<Vec<Vec<u8>>> {
    let mut frames = Vec::new();
    let mut at = 0;
    while let Some(head) = inbox.get(at..at + 4) {
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > limit {
            return None;
        }
        let Some(body) = inbox.get(at + 4..at + 4 + length) else {
            break;
        };
        frames.push(body.to_vec());
        at += 4 + length;
    }
    inbox.drain(..at);
    Some(frames)
}

/// An incoming peer connection.
pub struct Incoming {
    wire: Wire,
}

impl Incoming {
    /// Takes over a stream.
    pub fn new(stream: TcpStream) -> Incoming {
        Incoming {
            wire: Wire::new(stream),
        }
    }
    /// The stream.
    pub fn stream(&self) -> Rc<TcpStream> {
        self.wire.stream()
    }
    /// Reads frames. The flag says whether the connection goes on.
    pub fn on_ready(&mut self, limit: usize) -> (Vec<Vec<u8>>, bool) {
        let end = self.wire.fill(2 * limit);
        match split_frames(&mut self.wire.inbox, limit) {
            Some(frames) => (frames, end == ReadEnd::Open),
            None => (Vec::new(), false),
        }
    }
}

/// The outgoing connection to one peer. Frames are dropped, never queued without bound.
pub struct Outgoing {
    to: SocketAddr,
    wire: Option<Wire>,
    connected: bool,
    since: f64,
    patience_s: f64,
}

impl Outgoing {
    /// A connection that is given up when it makes no progress for `patience_s`.
    pub fn new(to: SocketAddr, patience_s: f64) -> Outgoing {
        Outgoing {
            to,
            wire: None,
            connected: false,
            since: 0.0,
            patience_s,
        }
    }

    /// Sends a frame if the connection can take it. Returns a new stream to register.
    pub fn send(&mut self, body: &[u8], now: f64) -> Option<Rc<TcpStream>> {
        let stuck = |wire: &Wire, connected: bool, since: f64| {
            (!connected || wire.unsent() > 0) && now - since > self.patience_s
        };
        if let Some(wire) = &self.wire
            && stuck(wire, self.connected, self.since)
        {
            self.wire = None;
        }
        match &mut self.wire {
            Some(wire) if self.connected => {
                if wire.unsent() == 0 {
                    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
                    frame.extend_from_slice(body);
                    self.since = now;
                    if !wire.send(&frame) {
                        self.wire = None;
                    }
                }
                None
            }
            Some(_) => None,
            None => {
                let wire = Wire::new(socket::connect(self.to).ok()?);
                let stream = wire.stream();
                self.wire = Some(wire);
                self.connected = false;
                self.since = now;
                Some(stream)
            }
        }
    }

    /// Reacts to readiness. False: the connection has ended.
    pub fn on_ready(&mut self, now: f64) -> bool {
        let Some(wire) = &mut self.wire else {
            return false;
        };
        if !self.connected {
            match wire.connected() {
                None => return true,
                Some(true) => {
                    self.connected = true;
                    self.since = now;
                }
                Some(false) => {
                    self.wire = None;
                    return false;
                }
            }
        }
        // Peers send nothing back on this connection; reading only notices its end.
        if wire.fill(0) != ReadEnd::Open || !wire.flush() {
            self.wire = None;
            return false;
        }
        true
    }
}
