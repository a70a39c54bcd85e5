//! Length-prefixed frames, which carry messages between controllers: 4 bytes of length (little-endian), then the body.

use super::socket::{self, BufferedStream, ReadStatus};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Removes all complete frames from the buffer and returns their bodies. Returns `None` if a frame is longer than
/// `limit`.
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
    /// Reads the frames that have arrived. The flag is false if the connection must be closed.
    pub fn on_ready(&mut self, limit: usize) -> (Vec<Vec<u8>>, bool) {
        let status = self.buffered.read_available(2 * limit);
        match split_frames(&mut self.buffered.read_buffer, limit) {
            Some(frames) => (frames, status == ReadStatus::Open),
            None => (Vec::new(), false),
        }
    }
}

/// The connection to one peer. To bound the memory, a frame is dropped instead of queued while the connection is being
/// established or an earlier frame is not completely written.
pub struct Outgoing {
    address: SocketAddr,
    buffered: Option<BufferedStream>,
    connected: bool,
    last_progress_at: f64,
    stall_timeout_s: f64,
}

impl Outgoing {
    /// A connection that [`send`](Outgoing::send) opens, and replaces once it has made no progress for
    /// `stall_timeout_s`.
    pub fn new(address: SocketAddr, stall_timeout_s: f64) -> Outgoing {
        Outgoing {
            address,
            buffered: None,
            connected: false,
            last_progress_at: 0.0,
            stall_timeout_s,
        }
    }

    /// Sends a frame, or drops it if the connection is not ready. Returns the new stream to register if a connection
    /// was opened.
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

    /// Handles a readiness event. Returns false if the connection is closed.
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
        // Peers send nothing on this connection: a read only detects that it was closed.
        if buffered.read_available(0) != ReadStatus::Open || !buffered.flush() {
            self.buffered = None;
            return false;
        }
        true
    }
}
