//! Shares the users' part of the state service's write limit among the controllers.

use crate::bookkeeping::rate_limit;
use crate::coordination::job_api::JobApi;

/// The write operations that all controllers together may make for their users.
#[derive(Debug)]
pub(super) struct WriteBudget {
    total_per_s: f64,
    /// When the budget was last shared out.
    shared_at: f64,
}

impl WriteBudget {
    /// A budget of so many write operations a second.
    pub(super) fn new(total_per_s: f64) -> WriteBudget {
        WriteBudget {
            total_per_s,
            shared_at: 0.0,
        }
    }

    /// Gives the job API the part of the budget that the peers don't use. `peer_rates` has each peer's
    /// write operations a second, none for a peer that was not heard of lately.
    ///
    /// Returns the rate at which this controller has made write operations since the last time.
    pub(super) fn share(
        &mut self,
        peer_rates: &[Option<f64>],
        job_api: &mut JobApi,
        now: f64,
    ) -> f64 {
        let rate = rate_limit::fair_share_rate(self.total_per_s, peer_rates);
        job_api.set_write_rate(rate, now);
        let elapsed_s = (now - self.shared_at).max(f64::EPSILON);
        self.shared_at = now;
        job_api.take_writes_made() / elapsed_s
    }
}
