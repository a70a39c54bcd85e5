//! Non-blocking sockets. A connection has a bounded buffer for received bytes and an unbounded buffer for bytes to
//! send.

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
    /// Bytes that were received and are not consumed yet; [`BufferedStream::consume`] removes them.
    pub read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
    /// Number of bytes at the start of the write buffer that the socket has accepted.
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

    /// Reads all bytes that have arrived into the read buffer. Returns `Failed` once the read buffer holds more than
    /// `limit` bytes.
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

    /// Removes `count` bytes from the start of the read buffer. If the buffer is then empty and its capacity is above
    /// 64 KiB, frees its memory.
    pub fn consume(&mut self, count: usize) {
        self.read_buffer.drain(..count);
        if self.read_buffer.is_empty() && self.read_buffer.capacity() > 64 * 1024 {
            self.read_buffer = Vec::new();
        }
    }

    /// Adds bytes to the write buffer and writes as much as the socket accepts. Returns false if the connection failed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.write_buffer.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes as much of the write buffer as the socket accepts. Returns true if bytes remain because the socket
    /// accepts no more or is not connected yet, and false if the connection failed.
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

    /// Whether the connection attempt succeeded; `None` while the attempt is in progress.
    pub fn connect_result(&self) -> Option<bool> {
        match self.stream.take_error() {
            Ok(None) => self.stream.peer_addr().ok().map(|_| true),
            _ => Some(false),
        }
    }
}

/// Starts a connection attempt without blocking. [`BufferedStream::connect_result`] returns whether it has succeeded.
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

/// Listens on an address, even if connections of an earlier process on that address are still in TIME_WAIT. At most
/// about `backlog` connections wait to be accepted; the operating system refuses or ignores more.
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
