//! The age of a controller's knowledge, and the actions that it allows.

use super::denial::Denial;

/// How old a controller's knowledge may be for an action to rest on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreshnessLimits {
    /// Seconds for which workers' leases are renewed after the leader's lease and the view of the open jobs were
    /// last confirmed.
    pub lease_grace_s: f64,
    /// The age in seconds from which a view of the open jobs allows no starts.
    pub max_start_view_age_s: f64,
}

/// Whether this controller leads, and the age of what it knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ViewFreshness {
    /// This controller leads, as far as it knows.
    pub is_leader: bool,
    /// It certainly holds the leader's lease.
    pub lease_held: bool,
    /// Seconds since that lease was last renewed.
    pub lease_age_s: f64,
    /// Seconds since the view of the open jobs was certainly current.
    pub view_age_s: f64,
    /// Seconds since the state service last refused a call or left one unanswered.
    pub state_failure_age_s: f64,
    /// How old these may be for an action to rest on them.
    pub limits: FreshnessLimits,
}

impl ViewFreshness {
    /// Whether commands that start tasks may be sent. Holding the lease is not enough: after an outage it runs
    /// for its full time again, while this controller may not know yet of jobs that were cancelled before.
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

    /// Whether workers' leases may be renewed: only by a leader that knows of every cancellation that workers
    /// must have carried out by the end of the renewed lease.
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
