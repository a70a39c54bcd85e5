//! Transactions of the job API that are on their way.

use super::pending_request::PendingRequest;
use std::collections::HashMap;

/// Transactions on their way, with those who wait for them.
#[derive(Debug, Default)]
pub(super) struct InFlightBatches {
    last_id: u64,
    batches: HashMap<u64, Vec<PendingRequest>>,
    last_sent_at: f64,
}

/// Transactions of one kind on their way at a time.
const MAX_BATCHES_IN_FLIGHT: usize = 6;
/// Share of the patience after which the next transaction no longer waits for the one before, which
/// a slow state service takes long to answer.
const SLOW: f64 = 1.0 / 50.0;

impl InFlightBatches {
    /// Usually one at a time, so that many go into it.
    pub(super) fn may_send(&self, request_timeout_s: f64, now: f64) -> bool {
        let count = self.batches.len();
        count == 0
            || (count < MAX_BATCHES_IN_FLIGHT && now - self.last_sent_at > SLOW * request_timeout_s)
    }

    pub(super) fn add(&mut self, waiting: Vec<PendingRequest>, now: f64) -> u64 {
        self.last_id += 1;
        self.last_sent_at = now;
        self.batches.insert(self.last_id, waiting);
        self.last_id
    }

    pub(super) fn complete(&mut self, call: u64) -> Vec<PendingRequest> {
        self.batches.remove(&call).unwrap_or_default()
    }
}
