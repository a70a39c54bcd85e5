//! HTTP statuses of the interfaces, and how a response's body becomes a value.

use super::cbor::{self, CborError};
use serde::de::DeserializeOwned;

/// Executed; the body has the result.
pub const OK: u16 = 200;
/// Malformed, says the receiver.
pub const BAD_REQUEST: u16 = 400;
/// There is no such key, lease or job.
pub const NOT_FOUND: u16 = 404;
/// Not executed: a condition does not hold.
pub const CONFLICT: u16 = 409;
/// What was asked for is no longer kept.
pub const GONE: u16 = 410;
/// Not executed: over the rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// Not executed: unavailable, or without capacity.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// A response that says nothing of what came of the call: its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum UnusableResponse {
    /// The call has no response with this status.
    #[error("status {0} is no response to this call")]
    UnexpectedStatus(u16),
    /// The body is not what the status promises.
    #[error(transparent)]
    Body(#[from] CborError),
}

/// Decodes a body and makes a response of it.
pub(super) fn decode_body<T: DeserializeOwned, R>(
    body: &[u8],
    response: impl FnOnce(T) -> R,
) -> Result<R, UnusableResponse> {
    Ok(response(cbor::decode(body)?))
}
