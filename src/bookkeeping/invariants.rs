//! What must hold whenever something is sent or forgotten, checked where it happens.
//!
//! The decisions are made in [`super::permits`]; these checks look at the outcome by other means. A violation
//! is a fault of this program: it is logged at `error` with a count, the action is refused, and the process
//! goes on. Builds with debug assertions, such as tests, end at once.

use std::fmt::Arguments;
use std::sync::atomic::{AtomicU64, Ordering};

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No start of a task goes out after a cancellation that this controller knows of.
    NoStartOfEndedJob,
    /// No attempt is cleared while a start of it may arrive and run it again.
    NoClearWhileStartMayArrive,
    /// Nobody is told that a job is aborted before that is written.
    NoAbortedWithoutCommit,
    /// No lease of a worker is renewed beyond the lease grace period.
    NoRenewalBeyondLeaseGrace,
    /// No binding is dropped whose start may still run.
    NoUnbindWhileStartMayArrive,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Checks an invariant. False: it does not hold, and what was about to be done must not be.
#[must_use]
pub fn uphold(invariant: Invariant, holds: bool, details: Arguments) -> bool {
    if !holds {
        let count = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
        tracing::error!(?invariant, count, %details, "invariant violated: action refused");
        debug_assert!(holds, "{invariant:?}: {details}");
    }
    holds
}
