//! Safety invariants, checked at the point where a message is sent or a binding is dropped.
//!
//! The decisions are made in [`super::permits`]; these checks verify the outcome independently of them. A
//! violation is a bug of this program: it is logged at `error` with a count, the action is refused, and the
//! process goes on. Builds with debug assertions, such as tests, panic.

use std::fmt::Arguments;
use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must hold for an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No start of a task is sent once this controller knows that the job has ended.
    NoStartOfEndedJob,
    /// No attempt is cleared while a start may arrive that runs it again.
    NoClearWhileStartMayArrive,
    /// No user is told that a job is aborted before that is committed.
    NoAbortedWithoutCommit,
    /// No lease of a worker is renewed beyond the lease grace period.
    NoRenewalBeyondLeaseGrace,
    /// No binding is dropped while a start of it may still arrive.
    NoUnbindWhileStartMayArrive,
    /// An open job knows of each binding of its tasks: its counts are those of the bindings.
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
