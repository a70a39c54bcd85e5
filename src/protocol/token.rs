//! The fencing token of the worker protocol (`Epoch` on the wire).
//!
//! A worker executes no command with a token below the highest it has seen. One integer holds two things:
//! in its high bits the leader's epoch, so that a successor's token is above all of its predecessor's, and in
//! its low bits a fence that the leader counts up for a single worker. Raising a worker's fence revokes
//! whatever is still on its way to that worker and to no other.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

/// Bits of the fence, the low ones.
const FENCE_BITS: u32 = 24;
/// The highest fence of a worker under one leader.
pub const MAX_FENCE: u32 = (1 << FENCE_BITS) - 1;
/// The highest epoch that fits into a token. Epochs count the changes of the state service.
pub const MAX_EPOCH: u64 = (1 << (u64::BITS - FENCE_BITS - 1)) - 1;

/// A token that no controller gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "Epoch: {token} is no token of a controller, since its epoch is above {MAX_EPOCH}; \
     restart the worker that shows it as a new machine"
)]
pub struct InvalidFencingToken {
    token: u64,
}

/// Who commands a worker, and from which fence on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token of a leader for a worker with this fence.
    pub fn new(epoch: u64, fence: u32) -> FencingToken {
        let epoch = epoch.min(MAX_EPOCH);
        let fence = fence.min(MAX_FENCE);
        FencingToken((epoch << FENCE_BITS) | u64::from(fence))
    }

    /// The token that an integer on the wire stands for.
    pub fn from_wire(token: u64) -> FencingToken {
        FencingToken(token)
    }

    /// The leader's epoch. Tokens of versions without fences were plain epochs, which count as lower than
    /// any epoch that leads since.
    pub fn epoch(self) -> u64 {
        self.0 >> FENCE_BITS
    }

    /// The worker's fence.
    pub fn fence(self) -> u32 {
        (self.0 & u64::from(MAX_FENCE)) as u32
    }

    /// Whether a controller can have given it.
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
            let why = format!(
                "Epoch: {error}; a token is an integer from 0 to {}",
                u64::MAX
            );
            D::Error::custom(why)
        })
    }
}

impl std::fmt::Display for FencingToken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.fence())
    }
}
