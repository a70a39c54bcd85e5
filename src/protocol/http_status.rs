//! HTTP status codes that the interfaces use, and the decoding of response bodies.

use super::cbor::{self, CborError};
use serde::de::DeserializeOwned;

/// Executed; the body contains the result.
pub const OK: u16 = 200;
/// The receiver considers the request malformed.
pub const BAD_REQUEST: u16 = 400;
/// There is no such key, lease or job.
pub const NOT_FOUND: u16 = 404;
/// Not executed: a condition of the request does not hold, such as a compare of a transaction or the token of a direct
/// call.
pub const CONFLICT: u16 = 409;
/// The requested data is no longer available, such as revisions that were compacted.
pub const GONE: u16 = 410;
/// Not executed: the rate limit is exceeded.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// Not executed: the service is unavailable, or has no capacity.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// A response from which the outcome of the request can't be determined.
#[derive(Debug, thiserror::Error)]
pub enum UnusableResponse {
    /// The protocol defines no response with this status for the request.
    #[error("unexpected status {0} in the response to this request")]
    UnexpectedStatus(u16),
    /// The body does not have the form that belongs to the status.
    #[error(transparent)]
    Body(#[from] CborError),
}

/// Decodes the body of a response, and applies `convert` to the decoded message.
pub(super) fn decode_body<T: DeserializeOwned, R>(
    body: &[u8],
    convert: impl FnOnce(T) -> R,
) -> Result<R, UnusableResponse> {
    Ok(convert(cbor::decode(body)?))
}
