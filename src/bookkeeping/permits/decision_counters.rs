//! Counts permit decisions, for a periodic log line.

use super::denial::{Denial, GuardedAction};
use std::collections::BTreeMap;

/// Number of permit decisions, by action and by the reason of the denial; a reason of `None` counts granted permits.
#[derive(Debug, Default)]
pub struct DecisionCounters {
    counts: BTreeMap<(GuardedAction, Option<Denial>), u64>,
}

impl DecisionCounters {
    /// Counts one decision on an action: `Ok` if it was permitted.
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
