//! Workers that sent their heartbeats to this controller while another one led.

use std::collections::BTreeMap;

/// Workers that are remembered; more are not counted.
const MAX_REDIRECTED: usize = 4096;

/// Workers that were redirected lately, with the time of their last heartbeat here.
#[derive(Debug, Default)]
pub(super) struct RedirectedWorkers {
    redirected_at: BTreeMap<String, f64>,
}

impl RedirectedWorkers {
    pub(super) fn record(&mut self, worker: String, now: f64) {
        if self.redirected_at.len() < MAX_REDIRECTED {
            self.redirected_at.insert(worker, now);
        }
    }

    /// Forgets the workers that were redirected `window_s` seconds ago or earlier.
    pub(super) fn expire(&mut self, window_s: f64, now: f64) {
        self.redirected_at.retain(|_, at| now - *at < window_s);
    }

    pub(super) fn count(&self) -> u32 {
        self.redirected_at.len() as u32
    }
}
