//! HTTP/1.1 messages as bytes: bounded parsing and writing, on top of `httparse`.

use std::fmt::Write as _;

/// Longest head of a message.
pub const MAX_HEAD: usize = 8 * 1024;
/// Most header lines.
const MAX_HEADERS: usize = 48;
/// Longest body of a request.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method, as sent.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the answer.
    pub keep_alive: bool,
}

/// Why bytes are not a request that we take; the status to answer with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("refused with status {0}")]
pub struct ParseError(pub u16);

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection stays open.
    pub keep_alive: bool,
}

/// What the bytes so far amount to.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial {
        /// The sender waits for `100 Continue`.
        expects_continue: bool,
    },
    /// A whole message and how many bytes it took.
    Complete(T, usize),
}

struct Head {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
    expects_continue: bool,
}

fn read_headers(headers: &[httparse::Header]) -> Result<Head, ParseError> {
    let mut head = Head {
        length: None,
        chunked: false,
        close: false,
        keep_alive: false,
        expects_continue: false,
    };
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| ParseError(400))?;
        let value = value.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            // Digits only: `usize` parsing would also take a plus sign.
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(ParseError(400));
            }
            let length = value.parse().map_err(|_| ParseError(400))?;
            if head.length.is_some_and(|known| known != length) {
                return Err(ParseError(400));
            }
            head.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(ParseError(501));
            }
            head.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            for token in value.split(',').map(str::trim) {
                head.close |= token.eq_ignore_ascii_case("close");
                head.keep_alive |= token.eq_ignore_ascii_case("keep-alive");
            }
        } else if header.name.eq_ignore_ascii_case("expect") {
            head.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
    }
    if head.chunked && head.length.is_some() {
        return Err(ParseError(400));
    }
    Ok(head)
}

/// Reads a chunked body. `None`: more bytes are needed.
fn read_chunks(mut bytes: &[u8], limit: usize) -> Result<Option<(Vec<u8>, usize)>, ParseError> {
    let start = bytes.len();
    let mut body = Vec::new();
    loop {
        let (used, size) = match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ParseError(400)),
        };
        if size > (limit - body.len()) as u64 {
            return Err(ParseError(400));
        }
        let size = size as usize;
        if bytes.len() < used + size + 2 {
            return Ok(None);
        }
        if &bytes[used + size..used + size + 2] != b"\r\n" {
            return Err(ParseError(400));
        }
        body.extend_from_slice(&bytes[used..used + size]);
        bytes = &bytes[used + size + 2..];
        if size == 0 {
            return Ok(Some((body, start - bytes.len())));
        }
    }
}

/// Parses a request. A body over the limit is refused with 400, as the protocol has it.
pub fn parse_request(bytes: &[u8]) -> Result<Parsed<Request>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let used = match request.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD => {
            return Ok(Parsed::Partial {
                expects_continue: false,
            });
        }
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(ParseError(431));
        }
        Err(_) => return Err(ParseError(400)),
    };
    let head = read_headers(request.headers)?;
    let version = request.version.unwrap_or(1);
    let target = request.path.unwrap_or("/");
    let (body, total) = if head.chunked {
        match read_chunks(&bytes[used..], MAX_REQUEST_BODY)? {
            Some((body, size)) => (body, used + size),
            None if bytes.len() > used + 2 * MAX_REQUEST_BODY => return Err(ParseError(400)),
            None => {
                return Ok(Parsed::Partial {
                    expects_continue: head.expects_continue,
                });
            }
        }
    } else {
        let length = head.length.unwrap_or(0);
        if length > MAX_REQUEST_BODY {
            return Err(ParseError(400));
        }
        if bytes.len() < used + length {
            return Ok(Parsed::Partial {
                expects_continue: head.expects_continue,
            });
        }
        (bytes[used..used + length].to_vec(), used + length)
    };
    let path = target.split(['?', '#']).next().unwrap_or("/").to_owned();
    Ok(Parsed::Complete(
        Request {
            method: request.method.unwrap_or("").to_owned(),
            path,
            body,
            keep_alive: !head.close && (version == 1 || head.keep_alive),
        },
        total,
    ))
}

/// Parses a response of at most `limit` bytes of body.
pub fn parse_response(
    bytes: &[u8],
    limit: usize,
    ended: bool,
) -> Result<Parsed<Response>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let partial = Ok(Parsed::Partial {
        expects_continue: false,
    });
    let used = match response.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD => return partial,
        _ => return Err(ParseError(502)),
    };
    let status = response.code.unwrap_or(0);
    let head = read_headers(response.headers).map_err(|_| ParseError(502))?;
    if (100..200).contains(&status) {
        return match parse_response(&bytes[used..], limit, ended)? {
            Parsed::Complete(response, more) => Ok(Parsed::Complete(response, used + more)),
            partial => Ok(partial),
        };
    }
    let rest = &bytes[used..];
    let (body, total, framed) = if head.chunked {
        match read_chunks(rest, limit).map_err(|_| ParseError(502))? {
            Some((body, size)) => (body, used + size, true),
            None => return partial,
        }
    } else {
        match head.length {
            Some(length) if length > limit => return Err(ParseError(502)),
            Some(length) if rest.len() < length => return partial,
            Some(length) => (rest[..length].to_vec(), used + length, true),
            None if status == 204 || status == 304 => (Vec::new(), used, true),
            None if rest.len() > limit => return Err(ParseError(502)),
            None if ended => (rest.to_vec(), bytes.len(), false),
            None => return partial,
        }
    };
    Ok(Parsed::Complete(
        Response {
            status,
            body,
            keep_alive: framed && !head.close && response.version == Some(1),
        },
        total,
    ))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Writes a response.
pub fn write_response(
    status: u16,
    body: &[u8],
    retry_after_s: Option<u32>,
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(seconds) = retry_after_s {
        let _ = write!(head, "Retry-After: {seconds}\r\n");
    }
    if !keep_alive {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes a request.
pub fn write_request(method: &str, host: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    if method != "GET" || !body.is_empty() {
        bytes.extend_from_slice(
            format!(
                "Content-Type: application/cbor\r\nContent-Length: {}\r\n",
                body.len()
            )
            .as_bytes(),
        );
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
