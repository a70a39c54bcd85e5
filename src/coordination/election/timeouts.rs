//! Election timeouts, derived from the worker settings.

use crate::settings::{MAX_CLOCK_DRIFT, WorkerSettings};

/// A worker's lease lasts this many times as long as the leader's.
const LEADER_LEASES_PER_WORKER_LEASE: f64 = 5.0;
/// Lower bound of the leader's lease, in seconds.
const MIN_LEADER_LEASE_S: f64 = 0.1;
/// Age up to which a view of the open jobs permits starting tasks, in heartbeat intervals.
const MAX_START_VIEW_HEARTBEATS: f64 = 2.0;
/// Part of `cancel_s` that is reserved for message delays, in heartbeat intervals.
const MESSAGE_DELAY_HEARTBEATS: f64 = 0.5;
/// Clock drift to allow for during a worker's lease, in multiples of `MAX_CLOCK_DRIFT`. The clocks of the worker and
/// the leader diverge by less than this; the difference is a safety margin.
const LEASE_DRIFT_FACTOR: f64 = 4.0;
/// Interval between renewals, as a fraction of the leader's lease.
const KEEP_ALIVE_SHARE: f64 = 1.0 / 4.0;
/// A failed renewal is retried after the renewal interval divided by this number.
const KEEP_ALIVE_RETRY_DIVISOR: f64 = 4.0;
/// Timeout of election requests, as a fraction of the leader's lease.
const REQUEST_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

/// Election timeouts, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimeouts {
    /// Duration of the leader's lease.
    pub leader_lease_s: f64,
    /// Lease grace period: a leader renews workers' leases only while no more than this time has passed since
    /// its own lease was last renewed, and since its view of the open jobs was last known to be current.
    pub lease_grace_s: f64,
    /// Maximum age of the view of the open jobs at which tasks may be started.
    pub max_start_view_age_s: f64,
    /// How long a leader does not campaign after it has resigned.
    pub campaign_backoff_s: f64,
}

impl ElectionTimeouts {
    /// Derives the timeouts from the worker settings.
    ///
    /// # The lease grace period
    ///
    /// The tasks of a cancelled job must have stopped `cancel_s` after the cancellation. A leader whose view
    /// of the open jobs is out of date does not see new cancellations, but keeps renewing workers' leases
    /// for the lease grace period. In the worst case a job is cancelled just after the view was last
    /// current, and a worker's lease is renewed at the very end of the grace period. The worker stops its
    /// tasks when that lease expires. So the sum of these must not exceed `cancel_s`:
    ///
    /// - the lease grace period,
    /// - the worker's lease, measured by the slower of two clocks: `lease_s * (1 + 4 * MAX_CLOCK_DRIFT)`,
    /// - half a heartbeat interval for message delays.
    ///
    /// The grace period is therefore the remainder of `cancel_s`, but at least the leader's own lease.
    pub fn new(workers: &WorkerSettings) -> ElectionTimeouts {
        let lease_s = workers.lease_s;
        let leader_lease_s = (lease_s / LEADER_LEASES_PER_WORKER_LEASE).max(MIN_LEADER_LEASE_S);
        let worker_lease_s = lease_s * (1.0 + LEASE_DRIFT_FACTOR * MAX_CLOCK_DRIFT);
        let message_delay_s = workers.heartbeat_interval_s * MESSAGE_DELAY_HEARTBEATS;
        let lease_grace_s = workers.cancel_s - worker_lease_s - message_delay_s;
        ElectionTimeouts {
            leader_lease_s,
            lease_grace_s: lease_grace_s.max(leader_lease_s),
            max_start_view_age_s: MAX_START_VIEW_HEARTBEATS * workers.heartbeat_interval_s,
            campaign_backoff_s: lease_s,
        }
    }

    /// How long after the sending of a successful renewal the leader's lease cannot expire. This is less than
    /// the duration of the lease, to allow for clock drift between this controller and the state service.
    pub(super) fn guaranteed_lease_s(&self) -> f64 {
        self.leader_lease_s * (1.0 - 2.0 * MAX_CLOCK_DRIFT)
    }

    /// Timeout of election requests.
    pub(super) fn request_timeout_s(&self) -> f64 {
        self.leader_lease_s * REQUEST_TIMEOUT_SHARE
    }

    /// Interval between renewals of the leader's lease.
    pub(super) fn keep_alive_interval_s(&self) -> f64 {
        self.leader_lease_s * KEEP_ALIVE_SHARE
    }

    /// Delay before a failed renewal is retried.
    pub(super) fn keep_alive_retry_s(&self) -> f64 {
        self.keep_alive_interval_s() / KEEP_ALIVE_RETRY_DIVISOR
    }

    /// Delay from a failed campaign to the next one.
    pub(super) fn campaign_retry_s(&self) -> f64 {
        self.request_timeout_s() / 2.0
    }

    /// Delay from the observed deletion of the `leader` key to a campaign. `jitter`, from 0 to 1, scales the
    /// delay, so that the controllers do not all campaign at once.
    pub(super) fn campaign_delay_s(&self, jitter: f64) -> f64 {
        jitter * self.leader_lease_s * REQUEST_TIMEOUT_SHARE / 2.0
    }
}
