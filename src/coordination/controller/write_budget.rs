//! Divides the part of the state service's write limit that is for users among the controllers.

use crate::bookkeeping::rate_limit;
use crate::coordination::job_api::JobApi;

/// Budget of write operations for all controllers together, on behalf of their users.
#[derive(Debug)]
pub(super) struct WriteBudget {
    total_per_s: f64,
    /// When this controller's part was last computed.
    updated_at: f64,
}

impl WriteBudget {
    /// Creates a budget of `total_per_s` write operations per second.
    pub(super) fn new(total_per_s: f64) -> WriteBudget {
        WriteBudget {
            total_per_s,
            updated_at: 0.0,
        }
    }

    /// Sets the write rate of the job API to this controller's part of the budget: what the peers leave unused, but
    /// at least an equal part. `peer_rates` has the write operations per second of each peer, or `None` for a peer
    /// without a recent heartbeat.
    ///
    /// Returns this controller's own write operations per second since the previous call.
    pub(super) fn share(
        &mut self,
        peer_rates: &[Option<f64>],
        job_api: &mut JobApi,
        now: f64,
    ) -> f64 {
        let rate = rate_limit::fair_share_rate(self.total_per_s, peer_rates);
        job_api.set_write_rate(rate, now);
        let elapsed_s = (now - self.updated_at).max(f64::EPSILON);
        self.updated_at = now;
        job_api.take_writes_sent() / elapsed_s
    }
}
