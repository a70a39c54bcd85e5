//! Length-prefixed frames, which carry messages between controllers. A frame consists of the length of its body (4
//! bytes, little-endian) and the body. A peer is another controller.

use super::socket::{self, BufferedStream, ReadStatus};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Removes all complete frames from the buffer and returns their bodies. Returns `None` and leaves the buffer unchanged
/// if a body is longer than `limit` bytes.
pub fn split_frames(read_buffer: &mut Vec<u8>, limit: usize) -> Option<Vec<Vec<u8>>> {
    let mut frames = Vec::new();
    let mut position = 0;
    while let Some(head) = read_buffer.get(position..position + 4) {
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > limit {
            return None;
        }
        let Some(body) = read_buffer.get(position + 4..position + 4 + length) else {
            break;
        };
        frames.push(body.to_vec());
        position += 4 + length;
    }
    read_buffer.drain(..position);
    Some(frames)
}

/// A connection from a peer.
pub struct Incoming {
    buffered: BufferedStream,
}

impl Incoming {
    /// Wraps a non-blocking stream.
    pub fn new(stream: TcpStream) -> Incoming {
        Incoming {
            buffered: BufferedStream::new(stream),
        }
    }
    /// The stream, to register it with the event loop.
    pub fn stream(&self) -> Rc<TcpStream> {
        self.buffered.stream()
    }
    /// Reads the frames that have arrived, with bodies of up to `limit` bytes. Returns the bodies, and whether the
    /// connection stays open; if false, the caller must close the connection.
    pub fn on_ready(&mut self, limit: usize) -> (Vec<Vec<u8>>, bool) {
        let status = self.buffered.read_available(2 * limit);
        match split_frames(&mut self.buffered.read_buffer, limit) {
            Some(frames) => (frames, status == ReadStatus::Open),
            None => (Vec::new(), false),
        }
    }
}

/// The connection to one peer. To bound memory, frames are not queued: a frame is dropped if the connection is not
/// established or an earlier frame is not completely written.
pub struct Outgoing {
    address: SocketAddr,
    buffered: Option<BufferedStream>,
    /// Whether the connection is established.
    connected: bool,
    /// When the connection was last opened or established, or a frame was last passed to it, in seconds of the steady
    /// clock.
    last_progress_at: f64,
    stall_timeout_s: f64,
}

impl Outgoing {
    /// Creates the state of a connection without opening it. [`send`](Outgoing::send) opens it, and replaces it if it
    /// is not established, or a frame is not completely written, within `stall_timeout_s` seconds.
    pub fn new(address: SocketAddr, stall_timeout_s: f64) -> Outgoing {
        Outgoing {
            address,
            buffered: None,
            connected: false,
            last_progress_at: 0.0,
            stall_timeout_s,
        }
    }

    /// Sends a frame, or drops it if the connection is not ready. If there is no connection, opens one, drops the frame
    /// and returns the stream; the caller must register the stream with the event loop.
    pub fn send(&mut self, body: &[u8], now: f64) -> Option<Rc<TcpStream>> {
        let stalled = |buffered: &BufferedStream, connected: bool, last_progress_at: f64| {
            (!connected || buffered.unsent_len() > 0)
                && now - last_progress_at > self.stall_timeout_s
        };
        if let Some(buffered) = &self.buffered
            && stalled(buffered, self.connected, self.last_progress_at)
        {
            self.buffered = None;
        }
        match &mut self.buffered {
            Some(buffered) if self.connected => {
                if buffered.unsent_len() == 0 {
                    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
                    frame.extend_from_slice(body);
                    self.last_progress_at = now;
                    if !buffered.send(&frame) {
                        self.buffered = None;
                    }
                }
                None
            }
            Some(_) => None,
            None => {
                let buffered = BufferedStream::new(socket::connect(self.address).ok()?);
                let stream = buffered.stream();
                self.buffered = Some(buffered);
                self.connected = false;
                self.last_progress_at = now;
                Some(stream)
            }
        }
    }

    /// Handles a readiness event: completes the connection attempt, and writes what is possible. Returns false if the
    /// connection is closed.
    pub fn on_ready(&mut self, now: f64) -> bool {
        let Some(buffered) = &mut self.buffered else {
            return false;
        };
        if !self.connected {
            match buffered.connect_result() {
                None => return true,
                Some(true) => {
                    self.connected = true;
                    self.last_progress_at = now;
                }
                Some(false) => {
                    self.buffered = None;
                    return false;
                }
            }
        }
        // Peers send nothing on this connection; the read detects whether the peer has closed it.
        if buffered.read_available(0) != ReadStatus::Open || !buffered.flush() {
            self.buffered = None;
            return false;
        }
        true
    }
}
