//! Workers whose heartbeats this controller has redirected because it does not lead, or
//! because a newer leader exists.

use std::collections::BTreeMap;

/// Maximum number of tracked workers. Once it is reached, no heartbeats are recorded until a worker has expired.
const MAX_REDIRECTED: usize = 4096;

/// Recently redirected workers, with the time of their last recorded heartbeat to this controller.
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

    /// Removes the workers whose last recorded heartbeat is `window_s` seconds old or older.
    pub(super) fn expire(&mut self, window_s: f64, now: f64) {
        self.redirected_at.retain(|_, at| now - *at < window_s);
    }

    pub(super) fn count(&self) -> u32 {
        self.redirected_at.len() as u32
    }
}
