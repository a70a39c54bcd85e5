//! Counts permit decisions (whether the freshness of the view allows starts or lease renewals) and revocations of
//! start commands, and logs the counts at a fixed interval.

use crate::bookkeeping::permits::{DecisionCounters, Denial, GuardedAction};
use crate::bookkeeping::reconciliation::RevocationCounters;
use crate::bookkeeping::workers::RevocationReason;

/// Time after which the counts are logged again, in heartbeat intervals.
const HEARTBEATS_PER_LOG: f64 = 24.0;

/// Counters of permit decisions and revocations, and when they are next logged.
#[derive(Debug)]
pub(super) struct DecisionLog {
    permits: DecisionCounters,
    revocations: RevocationCounters,
    interval_s: f64,
    /// Monotonic time in seconds at which the counts are next logged.
    next_log_at: f64,
}

impl DecisionLog {
    /// Creates a log that writes its counts for the first time at the next poll.
    pub(super) fn new(heartbeat_interval_s: f64, now: f64) -> DecisionLog {
        DecisionLog {
            permits: DecisionCounters::default(),
            revocations: RevocationCounters::default(),
            interval_s: HEARTBEATS_PER_LOG * heartbeat_interval_s,
            next_log_at: now,
        }
    }

    /// Counts a decision on a permit.
    pub(super) fn count(&mut self, permit: GuardedAction, decision: Result<(), Denial>) {
        self.permits.count(permit, decision);
    }

    /// Counts a revocation of start commands.
    pub(super) fn count_revocation(&mut self, reason: RevocationReason) {
        self.revocations.count(reason);
    }

    /// Logs and resets the counters if the interval has passed.
    pub(super) fn poll(&mut self, now: f64) {
        if now >= self.next_log_at {
            self.next_log_at = now + self.interval_s;
            self.permits.log();
            self.revocations.log();
        }
    }
}
