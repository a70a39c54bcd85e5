//! Counts revocations of start commands, for a periodic log line.

use crate::bookkeeping::workers::RevocationReason;
use std::collections::BTreeMap;

/// Number of revocations on all workers together, by reason. One revocation applies to all start commands that were
/// sent to a worker before.
#[derive(Debug, Default)]
pub struct RevocationCounters {
    counts: BTreeMap<RevocationReason, u64>,
}

impl RevocationCounters {
    /// Adds one revocation with this reason.
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
