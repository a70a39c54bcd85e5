//! How old a controller's data is, and which actions data of that age permits.

use super::denial::Denial;

/// How old a controller's data may be for each action that depends on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreshnessLimits {
    /// The lease grace period: workers' leases are renewed only while both the leader's own lease and its view of the
    /// open jobs were last confirmed at most this many seconds ago.
    pub lease_grace_s: f64,
    /// Tasks are started only while the view of the open jobs is younger than this many seconds.
    pub max_start_view_age_s: f64,
}

/// Whether this controller is the leader, and the age of its data.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ViewFreshness {
    /// This controller is the leader, as far as it knows.
    pub is_leader: bool,
    /// This controller certainly holds the leader's lease in the state service.
    pub lease_held: bool,
    /// Seconds since the leader's lease was last renewed.
    pub lease_age_s: f64,
    /// Seconds since the latest time at which the view of the open jobs is known to have been current.
    pub view_age_s: f64,
    /// Seconds since the state service last rejected a request or left one unanswered.
    pub state_failure_age_s: f64,
    /// The maximum ages at which actions are permitted.
    pub limits: FreshnessLimits,
}

impl ViewFreshness {
    /// Whether commands that start tasks may be sent. Holding the leader's lease is not enough: after an outage of
    /// the state service, the lease can be renewed for its full duration before this controller has learned which
    /// jobs were cancelled in the meantime.
    pub fn may_start(&self) -> Result<(), Denial> {
        if !self.is_leader {
            return Err(Denial::NotLeader);
        }
        if !self.lease_held {
            return Err(Denial::LeaseNotHeld);
        }
        if self.state_failure_age_s <= self.view_age_s {
            return Err(Denial::StateServiceUncertain);
        }
        if self.view_age_s >= self.limits.max_start_view_age_s {
            return Err(Denial::ViewStale);
        }
        Ok(())
    }

    /// Whether workers' leases may be renewed. A leader may renew them only if it knows of every cancellation that the
    /// workers must have carried out by the end of the renewed leases.
    pub fn may_renew(&self) -> Result<(), Denial> {
        if !self.is_leader {
            return Err(Denial::NotLeader);
        }
        if self.lease_age_s.max(self.view_age_s) > self.limits.lease_grace_s {
            return Err(Denial::LeaseGraceExpired);
        }
        Ok(())
    }
}
