//! Invariants, checked immediately before a message is sent, a binding is dropped or a worker is counted as capacity.
//!
//! [`super::permits`] decides which actions are permitted; the checks in this module verify its decisions
//! independently. A violation is a bug in this program: it is logged at `error` with a count, the action is refused,
//! and the process continues. Builds with debug assertions, such as test builds, panic after logging.

use std::fmt::Arguments;
use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must hold for an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No start command for a task is sent once this controller knows that the task's job has ended.
    NoStartOfEndedJob,
    /// No clear command for an attempt is sent while a start command that would run the attempt again may still arrive
    /// at the worker.
    NoClearWhileStartMayArrive,
    /// No response to a user says that a job is aborted before the cancellation is committed to the state service.
    NoAbortedWithoutCommit,
    /// No worker's lease is renewed once the leader's own lease or its view of the open jobs has not been confirmed for
    /// longer than the lease grace period.
    NoRenewalBeyondLeaseGrace,
    /// No binding is dropped while a start command for it may still arrive.
    NoUnbindWhileStartMayArrive,
    /// No worker counts as capacity of its pool for longer than the settings allow while it can't take tasks; otherwise
    /// no other instance would be requested for the tasks that wait for it.
    NoLastingUnavailableCapacity,
    /// Each binding in a worker's record is also in the record of its job, as long as the job is open.
    NoBindingUnknownToItsJob,
}

/// Number of violations since the process was started.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns `holds`. If it is false, reports a violation of the invariant, and the caller must not take the action.
/// `details` describes the action, for the report only.
#[must_use]
pub fn check(invariant: Invariant, holds: bool, details: Arguments) -> bool {
    if !holds {
        let count = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
        tracing::error!(?invariant, count, %details, "invariant violated: action refused");
        debug_assert!(holds, "{invariant:?}: {details}");
    }
    holds
}
