//! Non-blocking sockets, with a bounded buffer for received bytes and an unbounded one for bytes to send.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// State of a connection after a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// The connection is open; no more bytes have arrived yet.
    Open,
    /// The other side will send no more bytes.
    Closed,
    /// The connection failed, or more bytes arrived than are allowed.
    Failed,
}

/// A non-blocking connection with buffers for received and unsent bytes.
#[derive(Debug)]
pub struct BufferedStream {
    stream: Rc<TcpStream>,
    /// Bytes that were received and not yet consumed.
    pub read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
    sent_len: usize,
}

impl BufferedStream {
    /// Wraps a non-blocking stream.
    pub fn new(stream: TcpStream) -> BufferedStream {
        BufferedStream {
            stream: Rc::new(stream),
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            sent_len: 0,
        }
    }

    /// The stream, to register it with the event loop.
    pub fn stream(&self) -> Rc<TcpStream> {
        self.stream.clone()
    }

    /// Reads all bytes that have arrived. Fails if more than `limit` unconsumed bytes are then in the buffer.
    pub fn read_available(&mut self, limit: usize) -> ReadStatus {
        let mut chunk = [0u8; 16 * 1024];
        loop {
            if self.read_buffer.len() > limit {
                return ReadStatus::Failed;
            }
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => return ReadStatus::Closed,
                Ok(n) => self.read_buffer.extend_from_slice(&chunk[..n]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadStatus::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Failed,
            }
        }
    }

    /// Removes consumed bytes from the read buffer, and frees an empty buffer that a large message has grown.
    pub fn consume(&mut self, count: usize) {
        self.read_buffer.drain(..count);
        if self.read_buffer.is_empty() && self.read_buffer.capacity() > 64 * 1024 {
            self.read_buffer = Vec::new();
        }
    }

    /// Adds bytes to the write buffer and writes as much as the socket accepts. Returns false if the connection
    /// failed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.write_buffer.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes as much of the write buffer as the socket accepts. Returns false if the connection failed.
    pub fn flush(&mut self) -> bool {
        while self.sent_len < self.write_buffer.len() {
            match (&*self.stream).write(&self.write_buffer[self.sent_len..]) {
                Ok(0) => return false,
                Ok(n) => self.sent_len += n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.write_buffer.clear();
        self.sent_len = 0;
        if self.write_buffer.capacity() > 64 * 1024 {
            self.write_buffer = Vec::new();
        }
        true
    }

    /// Number of bytes that are not written to the socket yet.
    pub fn unsent_len(&self) -> usize {
        self.write_buffer.len() - self.sent_len
    }

    /// Whether a connection attempt succeeded; `None` while it is in progress.
    pub fn connect_result(&self) -> Option<bool> {
        match self.stream.take_error() {
            Ok(None) => self.stream.peer_addr().ok().map(|_| true),
            _ => Some(false),
        }
    }
}

/// Starts to connect without blocking; [`BufferedStream::connect_result`] tells when the attempt is over.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&SockAddr::from(address)) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// Linux error number of "operation now in progress"; `std::io::ErrorKind` has no stable variant for it.
const EINPROGRESS: i32 = 115;

/// Listens on an address, even if connections of an earlier process on it are still in TIME_WAIT.
pub fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(backlog)?;
    Ok(socket.into())
}
