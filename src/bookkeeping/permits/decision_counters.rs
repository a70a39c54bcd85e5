//! Counters of permits, for the log.

use super::denial::{Denial, GuardedAction};
use std::collections::BTreeMap;

/// Number of permits granted and denied, by action and reason.
#[derive(Debug, Default)]
pub struct DecisionCounters {
    counts: BTreeMap<(GuardedAction, Option<Denial>), u64>,
}

impl DecisionCounters {
    /// Counts a decision.
    pub fn count(&mut self, action: GuardedAction, decision: Result<(), Denial>) {
        *self.counts.entry((action, decision.err())).or_default() += 1;
    }

    /// Logs the totals since the previous call, and resets them.
    pub fn log(&mut self) {
        for ((action, denial), count) in std::mem::take(&mut self.counts) {
            match denial {
                None => tracing::info!(?action, count, "permits granted"),
                Some(reason) => tracing::info!(?action, ?reason, count, "permits denied"),
            }
        }
    }
}
