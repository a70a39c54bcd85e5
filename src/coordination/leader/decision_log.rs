//! Counts of what was allowed and denied, logged from time to time.

use crate::bookkeeping::permits::{DecisionCounters, Denial, GuardedAction};
use crate::bookkeeping::reconciliation::RevocationCounters;
use crate::bookkeeping::workers::RevocationReason;

/// Heartbeat intervals between two logs.
const HEARTBEATS_PER_LOG: f64 = 24.0;

/// Decision counters that are logged at a fixed interval.
#[derive(Debug)]
pub(super) struct DecisionLog {
    permits: DecisionCounters,
    revocations: RevocationCounters,
    interval_s: f64,
    /// Monotonic time, in seconds.
    next_log_at: f64,
}

impl DecisionLog {
    /// A log that is first written at the next poll.
    pub(super) fn new(heartbeat_interval_s: f64, now: f64) -> DecisionLog {
        DecisionLog {
            permits: DecisionCounters::default(),
            revocations: RevocationCounters::default(),
            interval_s: HEARTBEATS_PER_LOG * heartbeat_interval_s,
            next_log_at: now,
        }
    }

    /// Counts a decision.
    pub(super) fn count(&mut self, permit: GuardedAction, decision: Result<(), Denial>) {
        self.permits.count(permit, decision);
    }

    /// Counts a revocation of a worker's starts.
    pub(super) fn count_revocation(&mut self, reason: RevocationReason) {
        self.revocations.count(reason);
    }

    /// Logs the counters if it is time.
    pub(super) fn poll(&mut self, now: f64) {
        if now >= self.next_log_at {
            self.next_log_at = now + self.interval_s;
            self.permits.log();
            self.revocations.log();
        }
    }
}
