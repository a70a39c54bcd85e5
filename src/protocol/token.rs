//! The fencing token of the worker protocol (`Epoch` on the wire).
//!
//! A worker executes no command whose token is lower than the highest token that the worker has seen. A token is an
//! integer with two parts. The high bits hold the leader's epoch, so that each token of a leader is higher than all
//! tokens of earlier leaders. The low bits hold a fence, a counter that the leader keeps for each worker. Raising a
//! worker's fence revokes all commands that are in flight to this worker, but no commands to other workers.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

/// Number of low bits that hold the fence.
const FENCE_BITS: u32 = 24;
/// The highest fence of a worker within one epoch.
pub const MAX_FENCE: u32 = (1 << FENCE_BITS) - 1;
/// The highest epoch in a valid token; the highest bit of a token is never set. An epoch is the mod revision of the
/// leader's record in the state service.
pub const MAX_EPOCH: u64 = (1 << (u64::BITS - FENCE_BITS - 1)) - 1;

/// A received token that no controller can have issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "Epoch: {token} is no token of a controller, since its epoch is above {MAX_EPOCH}; \
     restart the worker that shows it as a new machine"
)]
pub struct InvalidFencingToken {
    token: u64,
}

/// A fencing token: a leader's epoch and a worker's fence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token of the leader with this epoch for a worker with this fence. Each part is capped at its maximum.
    pub fn new(epoch: u64, fence: u32) -> FencingToken {
        let epoch = epoch.min(MAX_EPOCH);
        let fence = fence.min(MAX_FENCE);
        FencingToken((epoch << FENCE_BITS) | u64::from(fence))
    }

    /// The token with this integer as its wire form.
    pub fn from_wire(token: u64) -> FencingToken {
        FencingToken(token)
    }

    /// The leader's epoch. Versions without fences used the plain epoch as the token; such a token is lower than all
    /// tokens of later leaders.
    pub fn epoch(self) -> u64 {
        self.0 >> FENCE_BITS
    }

    /// The worker's fence.
    pub fn fence(self) -> u32 {
        (self.0 & u64::from(MAX_FENCE)) as u32
    }

    /// Checks that a controller can have issued this token, which means that its epoch is at most [`MAX_EPOCH`].
    pub fn validate(self) -> Result<(), InvalidFencingToken> {
        if self.epoch() > MAX_EPOCH {
            return Err(InvalidFencingToken { token: self.0 });
        }
        Ok(())
    }
}

impl<'de> Deserialize<'de> for FencingToken {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<FencingToken, D::Error> {
        let token = u64::deserialize(source);
        token.map(FencingToken).map_err(|error| {
            let message = format!(
                "Epoch: {error}; a token is an integer from 0 to {}",
                u64::MAX
            );
            D::Error::custom(message)
        })
    }
}

impl std::fmt::Display for FencingToken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.fence())
    }
}
