//! HTTP/1.1 with CBOR bodies over blocking sockets: a server with a thread for each connection, and a client that keeps
//! its connection.

use crate::cbor::{self, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// The body; null if it is empty or not CBOR.
    pub body: Value,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A response; `None` instead of one leaves the request unanswered and closes the connection after a while.
pub type Reply = Option<(u16, Value)>;

struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one message with a `Content-Length`; bytes after it stay in `buffer`.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Message> {
    let ended = || std::io::Error::from(ErrorKind::UnexpectedEof);
    let mut chunk = [0_u8; 16 * 1024];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Err(ended()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let length: usize = message
        .header("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let total = head_end + 4 + length;
    while buffer.len() < total {
        match stream.read(&mut chunk)? {
            0 => return Err(ended()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = buffer[head_end + 4..total].to_vec();
    buffer.drain(..total);
    Ok(message)
}

/// Serves a listener until the process ends. The handler gets each request in a thread of its connection.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let builder = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = builder.spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &(impl Fn(Request) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(message) = read_message(&mut stream, &mut buffer) {
        let mut words = message.start.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("/");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
            body: cbor::decode(&message.body).unwrap_or(Value::Null),
        };
        let Some((status, body)) = handler(request) else {
            std::thread::sleep(Duration::from_secs(10));
            return;
        };
        let body = cbor::encode(&body);
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// A client with one connection, which is kept as long as the other side keeps it.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Sends a request and waits for the response; `None` if there is none in time.
    pub fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Option<(u16, Value)> {
        let until = Instant::now() + timeout;
        let kept = self.connection.take().filter(|(address, _)| *address == to);
        let reused = kept.is_some();
        let stream = match kept {
            Some((_, stream)) => stream,
            None => TcpStream::connect_timeout(&to, timeout).ok()?,
        };
        match self.exchange(stream, to, method, path, body, until) {
            // The other side may have closed a kept connection before it saw the request.
            Err(error) if reused && error.kind() != ErrorKind::TimedOut => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return None;
                }
                let stream = TcpStream::connect_timeout(&to, left).ok()?;
                self.exchange(stream, to, method, path, body, until).ok()
            }
            result => result.ok(),
        }
    }

    fn exchange(
        &mut self,
        mut stream: TcpStream,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&Value>,
        until: Instant,
    ) -> std::io::Result<(u16, Value)> {
        let left = until.saturating_duration_since(Instant::now());
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        stream.set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
        let body = body.map(cbor::encode).unwrap_or_default();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        stream.write_all(&bytes)?;
        let message = read_message(&mut stream, &mut Vec::new()).map_err(|error| {
            if error.kind() == ErrorKind::WouldBlock {
                ErrorKind::TimedOut.into()
            } else {
                error
            }
        })?;
        let status = message
            .start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok());
        let status: u16 = status.ok_or_else(|| std::io::Error::from(ErrorKind::InvalidData))?;
        let closes = message
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if !closes {
            self.connection = Some((to, stream));
        }
        Ok((status, cbor::decode(&message.body).unwrap_or(Value::Null)))
    }
}
