//! The states of a controller in the election.

use super::timeouts::ElectionTimeouts;
use crate::bookkeeping::records::LeaderRecord;

/// The content of the `leader` key.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedLeader {
    /// Who leads.
    pub record: LeaderRecord,
    /// The key's mod revision, which is the leader's epoch.
    pub mod_revision: u64,
}

/// What the election has just decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Nothing new.
    None,
    /// This controller leads, with this epoch.
    Elected(u64),
    /// This controller no longer leads.
    Deposed,
}

/// A controller's state in the election.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ElectionState {
    /// It neither leads nor tries to.
    Follower,
    /// It has asked for a lease, to campaign with.
    AcquiringLease,
    /// It has sent the transaction that takes the `leader` key.
    Campaigning(Campaign),
    /// It leads, confirmed or within the lease grace period.
    Leader(Leadership),
}

/// A campaign whose transaction is in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Campaign {
    pub(super) lease_id: u64,
    /// When the lease was asked for: it may have been granted as early as that.
    pub(super) lease_requested_at: f64,
}

/// Leadership that this controller has won.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Leadership {
    pub(super) epoch: u64,
    pub(super) lease_id: u64,
    pub(super) elected_at: f64,
    /// When the renewal was sent that was confirmed last.
    pub(super) renewed_at: f64,
    /// When the next renewal is due.
    pub(super) keep_alive_at: f64,
    pub(super) keep_alive_in_flight: bool,
}

impl Leadership {
    /// Leadership won by a campaign at `now`.
    pub(super) fn new(
        epoch: u64,
        campaign: Campaign,
        timeouts: &ElectionTimeouts,
        now: f64,
    ) -> Leadership {
        let mut leadership = Leadership {
            epoch,
            lease_id: campaign.lease_id,
            elected_at: now,
            renewed_at: 0.0,
            keep_alive_at: 0.0,
            keep_alive_in_flight: false,
        };
        leadership.renewed(campaign.lease_requested_at, timeouts);
        leadership
    }

    /// Records that the lease was renewed by a call that was sent at `sent`.
    pub(super) fn renewed(&mut self, sent: f64, timeouts: &ElectionTimeouts) {
        self.renewed_at = sent;
        self.keep_alive_at = sent + timeouts.keep_alive_interval_s();
    }

    /// Whether the next renewal is due.
    pub(super) fn is_keep_alive_due(&self, now: f64) -> bool {
        !self.keep_alive_in_flight && now >= self.keep_alive_at
    }

    /// Whether the lease is certainly held.
    pub(super) fn holds_lease(&self, timeouts: &ElectionTimeouts, now: f64) -> bool {
        now < self.renewed_at + timeouts.certain_lease_s()
    }

    /// Whether the lease was last renewed longer ago than the lease grace period.
    pub(super) fn is_lease_grace_over(&self, timeouts: &ElectionTimeouts, now: f64) -> bool {
        now > self.renewed_at + timeouts.lease_grace_s
    }

    /// Whether the view of the open jobs, current at `current_at`, is older than the lease grace period.
    /// A leader just elected has that long to catch up.
    pub(super) fn is_view_too_old(
        &self,
        current_at: f64,
        timeouts: &ElectionTimeouts,
        now: f64,
    ) -> bool {
        now > self.elected_at.max(current_at) + timeouts.lease_grace_s
    }
}
