//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client with a connection for each call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .iter()
            .find(|(k, _)| k == name)
            .map(|(_, v)| v.as_str())
    }
}

/// The status and body of the response; `None` closes the connection without a response.
pub type Reply = Option<(u16, Vec<u8>)>;

fn parse_head(head: &str) -> Option<(String, usize, bool)> {
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let (mut length, mut close) = (0, false);
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        } else if name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        }
    }
    Some((first, length, close))
}

/// Reads one message: its first line, its body, and whether the sender closes the connection after it.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<(String, Vec<u8>, bool)> {
    let mut chunk = [0u8; 65536];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let (first, length, close) = parse_head(&head)?;
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((first, body, close));
            }
        }
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Reply + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || connection(stream, &*handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((first, body, close)) = read_message(&mut stream, &mut buffer, None) {
        let mut words = first.split(' ');
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            return;
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(k, v)| (k.to_owned(), v.to_owned()))
                .collect(),
            body,
        };
        let Some((status, body)) = handler(request) else {
            return;
        };
        let mut bytes = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        if stream.write_all(&bytes).is_err() || close {
            return;
        }
    }
}

/// Makes a call. Returns the status and the body, or `None` if there is no response within `timeout_s`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout_s: f64,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + Duration::from_secs_f64(timeout_s);
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs_f64(timeout_s)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/cbor\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream
        .set_write_timeout(Some(Duration::from_secs_f64(timeout_s)))
        .ok()?;
    stream.write_all(&bytes).ok()?;
    let (first, body, _) = read_message(&mut stream, &mut Vec::new(), Some(until))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
