//! Transactions of the frontend that are on their way.

use super::request::PendingRequest;
use std::collections::HashMap;

/// Transactions on their way, with those who wait for them.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    on_the_way: HashMap<u64, Vec<PendingRequest>>,
    latest: f64,
}

/// Transactions of one kind on their way at a time.
const MAX_CALLS: usize = 6;
/// Share of the patience after which the next transaction no longer waits for the one before, which
/// a slow state service takes long to answer.
const SLOW: f64 = 1.0 / 50.0;

impl Calls {
    /// Usually one at a time, so that many go into it.
    pub(super) fn may_call(&self, patience_s: f64, now: f64) -> bool {
        let count = self.on_the_way.len();
        count == 0 || (count < MAX_CALLS && now - self.latest > SLOW * patience_s)
    }

    pub(super) fn add(&mut self, waiting: Vec<PendingRequest>, now: f64) -> u64 {
        self.next += 1;
        self.latest = now;
        self.on_the_way.insert(self.next, waiting);
        self.next
    }

    pub(super) fn end(&mut self, call: u64) -> Vec<PendingRequest> {
        self.on_the_way.remove(&call).unwrap_or_default()
    }
}
