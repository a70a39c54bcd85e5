//! The times of the election, derived from those of the workers.

use crate::settings::{MAX_CLOCK_DRIFT, WorkerSettings};

/// Leases of the leader in a lease of a worker.
const LEADER_LEASES_PER_WORKER_LEASE: f64 = 5.0;
/// Shortest lease of a leader, in seconds.
const MIN_LEADER_LEASE_S: f64 = 0.1;
/// Heartbeat intervals for which a view of the open jobs is new enough for starts.
const MAX_START_VIEW_HEARTBEATS: f64 = 2.0;
/// Heartbeat intervals of `cancel_s` that are kept for messages on their way.
const MESSAGE_DELAY_HEARTBEATS: f64 = 0.5;
/// Clock drift allowed for while a worker's lease runs, in multiples of `MAX_CLOCK_DRIFT`: more than two clocks can
/// differ by, to be safe.
const DRIFTS_PER_LEASE: f64 = 4.0;
/// Share of the leader's lease after which it is renewed.
const KEEP_ALIVE_SHARE: f64 = 1.0 / 4.0;
/// Part of the usual time between renewals after which a failed one is tried again.
const KEEP_ALIVE_RETRY_DIVISOR: f64 = 4.0;
/// Share of the leader's lease after which an unanswered call of the election is given up.
const REQUEST_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

/// Times of the election, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimeouts {
    /// Lifetime of the leader's lease.
    pub leader_lease_s: f64,
    /// How long a leader answers heartbeats after the last renewal of its lease, and after its view of
    /// the open jobs was last known to be current.
    pub lease_grace_s: f64,
    /// The oldest view of the open jobs that allows starts.
    pub max_start_view_age_s: f64,
    /// How long a leader that resigned stays out of elections.
    pub campaign_backoff_s: f64,
}

impl ElectionTimeouts {
    /// Derives the times from those of the workers.
    ///
    /// # The lease grace period
    ///
    /// The tasks of a cancelled job must be gone `cancel_s` after the cancellation. A leader whose view
    /// of the open jobs is no longer current learns of no cancellation, and goes on renewing the leases
    /// of workers for the lease grace period. In the worst case a job is cancelled right after the view
    /// was last current, and a worker's lease is renewed at the very end of the grace period. The
    /// worker stops its tasks when that lease runs out. So these must fit into `cancel_s`:
    ///
    /// - the lease grace period,
    /// - the worker's lease, by the slower of two clocks: `lease_s * (1 + 4 * MAX_CLOCK_DRIFT)`,
    /// - half a heartbeat interval, for messages on their way.
    ///
    /// The grace period is what the other two leave of `cancel_s`, and the leader's own lease at least.
    pub fn new(workers: &WorkerSettings) -> ElectionTimeouts {
        let lease_s = workers.lease_s;
        let leader_lease_s = (lease_s / LEADER_LEASES_PER_WORKER_LEASE).max(MIN_LEADER_LEASE_S);
        let worker_lease_s = lease_s * (1.0 + DRIFTS_PER_LEASE * MAX_CLOCK_DRIFT);
        let message_delay_s = workers.heartbeat_interval_s * MESSAGE_DELAY_HEARTBEATS;
        let lease_grace_s = workers.cancel_s - worker_lease_s - message_delay_s;
        ElectionTimeouts {
            leader_lease_s,
            lease_grace_s: lease_grace_s.max(leader_lease_s),
            max_start_view_age_s: MAX_START_VIEW_HEARTBEATS * workers.heartbeat_interval_s,
            campaign_backoff_s: lease_s,
        }
    }

    /// Seconds for which a leader certainly holds its lease after it has asked for the renewal.
    pub(super) fn certain_lease_s(&self) -> f64 {
        self.leader_lease_s * (1.0 - 2.0 * MAX_CLOCK_DRIFT)
    }

    /// Seconds after which an unanswered call of the election is given up.
    pub(super) fn request_timeout_s(&self) -> f64 {
        self.leader_lease_s * REQUEST_TIMEOUT_SHARE
    }

    /// Seconds between two renewals of the leader's lease.
    pub(super) fn keep_alive_interval_s(&self) -> f64 {
        self.leader_lease_s * KEEP_ALIVE_SHARE
    }

    /// Seconds after which a renewal without a usable response is tried again.
    pub(super) fn keep_alive_retry_s(&self) -> f64 {
        self.keep_alive_interval_s() / KEEP_ALIVE_RETRY_DIVISOR
    }

    /// Seconds from a failed campaign to the next one.
    pub(super) fn campaign_retry_s(&self) -> f64 {
        self.request_timeout_s() / 2.0
    }

    /// Seconds from the deletion of the `leader` key to a campaign, for a `jitter` in 0..1.
    pub(super) fn campaign_delay_s(&self, jitter: f64) -> f64 {
        jitter * self.leader_lease_s * REQUEST_TIMEOUT_SHARE / 2.0
    }
}
