//! Parses and encodes HTTP/1.1 messages. Heads are parsed with `httparse`. The size of parsed messages is limited.

use std::fmt::Write as _;

/// Longest incomplete head of a message (start line and headers) that is accepted, in bytes.
pub const MAX_HEAD: usize = 8 * 1024;
/// Largest number of headers of a message.
const MAX_HEADERS: usize = 48;
/// Longest body of a request, in bytes.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method, such as GET; upper and lower case are as received.
    pub method: String,
    /// Path, without the query and the fragment.
    pub path: String,
    /// Decoded body; empty if the request has none.
    pub body: Vec<u8>,
    /// Whether the client wants the connection to stay open after the response.
    pub keep_alive: bool,
}

/// The bytes are not a valid message within the size limits. The field is an HTTP status: for a request, the status to
/// respond with; for a response, always 502.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid or oversized HTTP message (status {0})")]
pub struct ParseError(pub u16);

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Decoded body; empty if the response has none.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
}

/// What the bytes received so far contain.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// The message is incomplete.
    Partial {
        /// The sender waits for `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// A complete message, and the number of bytes that its encoding takes up. Further bytes may follow.
    Complete(T, usize),
}

/// What the headers of a message say about its body and its connection.
struct Head {
    content_length: Option<usize>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
    expects_continue: bool,
}

fn read_headers(headers: &[httparse::Header]) -> Result<Head, ParseError> {
    let mut head = Head {
        content_length: None,
        chunked: false,
        close: false,
        keep_alive: false,
        expects_continue: false,
    };
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| ParseError(400))?;
        let value = value.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            // Digits only: `usize::from_str` would also accept a plus sign.
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(ParseError(400));
            }
            let length = value.parse().map_err(|_| ParseError(400))?;
            if head.content_length.is_some_and(|known| known != length) {
                return Err(ParseError(400));
            }
            head.content_length = Some(length);
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
    if head.chunked && head.content_length.is_some() {
        return Err(ParseError(400));
    }
    Ok(head)
}

/// Parses a chunked body of at most `limit` bytes. Returns the body and the number of its encoded bytes, or `None` if
/// more bytes are needed.
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

/// Parses a request. A body above [`MAX_REQUEST_BODY`] is rejected with status 400, because the protocol requires 400
/// and not 413.
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
        let length = head.content_length.unwrap_or(0);
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

/// Parses a response with a body of at most `limit` bytes. Skips informational responses (status 1xx) before it.
/// `is_closed` says that the sender will send no more bytes; this ends the body of a response that has neither
/// `Content-Length` nor chunked encoding.
pub fn parse_response(
    bytes: &[u8],
    limit: usize,
    is_closed: bool,
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
        return match parse_response(&bytes[used..], limit, is_closed)? {
            Parsed::Complete(response, more) => Ok(Parsed::Complete(response, used + more)),
            partial => Ok(partial),
        };
    }
    let rest = &bytes[used..];
    let (body, total, has_known_length) = if head.chunked {
        match read_chunks(rest, limit).map_err(|_| ParseError(502))? {
            Some((body, size)) => (body, used + size, true),
            None => return partial,
        }
    } else {
        match head.content_length {
            Some(length) if length > limit => return Err(ParseError(502)),
            Some(length) if rest.len() < length => return partial,
            Some(length) => (rest[..length].to_vec(), used + length, true),
            None if status == 204 || status == 304 => (Vec::new(), used, true),
            None if rest.len() > limit => return Err(ParseError(502)),
            None if is_closed => (rest.to_vec(), bytes.len(), false),
            None => return partial,
        }
    };
    Ok(Parsed::Complete(
        Response {
            status,
            body,
            keep_alive: has_known_length && !head.close && response.version == Some(1),
        },
        total,
    ))
}

fn reason_phrase(status: u16) -> &'static str {
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

/// Encodes a response with a CBOR body. `keep_alive` false adds the header `Connection: close`.
pub fn write_response(
    status: u16,
    body: &[u8],
    retry_after_s: Option<u32>,
    keep_alive: bool,
) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        reason_phrase(status),
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

/// Encodes a request with a CBOR body. A GET request without a body gets no headers about a body.
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
