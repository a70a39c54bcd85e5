//! Safety invariants, checked at the point where a message is sent or a binding is dropped.
//!
//! [`super::permits`] decides which actions are permitted; these checks verify the outcome independently. A violation
//! is a bug in this program: it is logged at `error` with a count, the action is refused, and the process goes on.
//! Builds with debug assertions, such as tests, panic.

use std::fmt::Arguments;
use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must hold for an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No start command for a task is sent once this controller knows that the job has ended.
    NoStartOfEndedJob,
    /// No attempt is cleared while a start command may arrive that would run it again.
    NoClearWhileStartMayArrive,
    /// No response to a user says that a job is aborted before that is committed.
    NoAbortedWithoutCommit,
    /// No lease of a worker is renewed beyond the lease grace period.
    NoRenewalBeyondLeaseGrace,
    /// No binding is dropped while a start command for it may still arrive.
    NoUnbindWhileStartMayArrive,
    /// Each binding in a worker's record is also in the record of its job, as long as the job is open.
    NoBindingUnknownToItsJob,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Checks an invariant. Returns false if it does not hold: the action must not be taken.
#[must_use]
pub fn check(invariant: Invariant, holds: bool, details: Arguments) -> bool {
    if !holds {
        let count = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
        tracing::error!(?invariant, count, %details, "invariant violated: action refused");
        debug_assert!(holds, "{invariant:?}: {details}");
    }
    holds
}
