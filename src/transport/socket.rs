//! Non-blocking sockets with bounded buffers.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// What a read brought.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// Nothing more for now.
    Open,
    /// The other side has closed its direction.
    Closed,
    /// The connection failed.
    Failed,
}

/// A connection with its unread and unsent bytes.
#[derive(Debug)]
pub struct Wire {
    stream: Rc<TcpStream>,
    /// Bytes read and not yet consumed.
    pub inbox: Vec<u8>,
    outbox: Vec<u8>,
    sent: usize,
}

impl Wire {
    /// Takes over a non-blocking stream.
    pub fn new(stream: TcpStream) -> Wire {
        Wire {
            stream: Rc::new(stream),
            inbox: Vec::new(),
            outbox: Vec::new(),
            sent: 0,
        }
    }

    /// The stream, for registering with the loop.
    pub fn stream(&self) -> Rc<TcpStream> {
        self.stream.clone()
    }

    /// Reads what is there, up to `limit` unread bytes.
    pub fn fill(&mut self, limit: usize) -> ReadEnd {
        let mut chunk = [0u8; 16 * 1024];
        loop {
            if self.inbox.len() > limit {
                return ReadEnd::Failed;
            }
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => return ReadEnd::Closed,
                Ok(n) => self.inbox.extend_from_slice(&chunk[..n]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadEnd::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadEnd::Failed,
            }
        }
    }

    /// Drops consumed bytes, and memory that a large message has left behind.
    pub fn consume(&mut self, count: usize) {
        self.inbox.drain(..count);
        if self.inbox.is_empty() && self.inbox.capacity() > 64 * 1024 {
            self.inbox = Vec::new();
        }
    }

    /// Queues bytes and sends what goes out. False: the connection failed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.outbox.extend_from_slice(bytes);
        self.flush()
    }

    /// Sends what goes out. False: the connection failed.
    pub fn flush(&mut self) -> bool {
        while self.sent < self.outbox.len() {
            match (&*self.stream).write(&self.outbox[self.sent..]) {
                Ok(0) => return false,
                Ok(n) => self.sent += n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.outbox.clear();
        self.sent = 0;
        if self.outbox.capacity() > 64 * 1024 {
            self.outbox = Vec::new();
        }
        true
    }

    /// Bytes that wait to be sent.
    pub fn unsent(&self) -> usize {
        self.outbox.len() - self.sent
    }

    /// Whether a connection attempt is over and went well; `None` while it goes on.
    pub fn connected(&self) -> Option<bool> {
        match self.stream.take_error() {
            Ok(None) => self.stream.peer_addr().ok().map(|_| true),
            _ => Some(false),
        }
    }
}

/// Starts a connection without waiting for it.
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

/// "Operation now in progress", which `std` has no stable name for.
const EINPROGRESS: i32 = 115;

/// Listens at an address, also right after a predecessor has ended.
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
