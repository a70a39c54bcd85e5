//! Counts revocations, for a periodic log line.

use crate::bookkeeping::workers::RevocationReason;
use std::collections::BTreeMap;

/// How often start commands that were sent to a worker have been revoked, by reason.
#[derive(Debug, Default)]
pub struct RevocationCounters {
    counts: BTreeMap<RevocationReason, u64>,
}

impl RevocationCounters {
    /// Counts a revocation.
    pub fn count(&mut self, reason: RevocationReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Logs the totals since the previous call, and resets them.
    pub fn log(&mut self) {
        for (reason, count) in std::mem::take(&mut self.counts) {
            tracing::info!(?reason, count, "start revocations");
        }
    }
}
