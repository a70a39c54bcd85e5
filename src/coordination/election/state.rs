//! Election states of a controller.

use super::timeouts::ElectionTimeouts;
use crate::bookkeeping::records::LeaderRecord;

/// The `leader` key as it was read from the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedLeader {
    /// Content of the key, which names the leader.
    pub record: LeaderRecord,
    /// Mod revision of the key, which is the leader's epoch.
    pub mod_revision: u64,
}

/// How an input to the election has changed this controller's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Leadership has not changed.
    None,
    /// This controller has become the leader with this epoch.
    Elected(u64),
    /// This controller has stopped being the leader.
    Deposed,
}

/// Role of a controller in the election.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ElectionState {
    /// Neither leads nor campaigns.
    Follower,
    /// Has requested the lease for a campaign.
    AcquiringLease,
    /// Has sent the transaction that puts the `leader` key.
    Campaigning(Campaign),
    /// Leads. This state ends at the latest at the first poll after the end of the lease grace period, which is
    /// counted from the sending of the last successful renewal, or from the request of the lease before the first one.
    Leader(Leadership),
}

/// A campaign whose transaction is in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Campaign {
    pub(super) lease_id: u64,
    /// When the lease was requested. The lifetime of the lease is counted from this time, because the state
    /// service may have granted the lease at any time since.
    pub(super) lease_requested_at: f64,
}

/// This controller's current term as leader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Leadership {
    pub(super) epoch: u64,
    pub(super) lease_id: u64,
    /// When the response to the campaign's transaction arrived.
    pub(super) elected_at: f64,
    /// When the latest successful renewal was sent, or the request for the lease if there was no renewal yet.
    pub(super) renewed_at: f64,
    /// When the next renewal is due.
    pub(super) keep_alive_at: f64,
    pub(super) keep_alive_in_flight: bool,
}

impl Leadership {
    /// Starts the term that `campaign` has won at `now`.
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

    /// Records that the grant or a renewal of the lease, requested at `sent_at`, has succeeded.
    pub(super) fn renewed(&mut self, sent_at: f64, timeouts: &ElectionTimeouts) {
        self.renewed_at = sent_at;
        self.keep_alive_at = sent_at + timeouts.keep_alive_interval_s();
    }

    /// Whether the next renewal is to be sent now.
    pub(super) fn is_keep_alive_due(&self, now: f64) -> bool {
        !self.keep_alive_in_flight && now >= self.keep_alive_at
    }

    /// Whether the lease cannot have expired yet.
    pub(super) fn holds_lease(&self, timeouts: &ElectionTimeouts, now: f64) -> bool {
        now < self.renewed_at + timeouts.guaranteed_lease_s()
    }

    /// Whether the lease was last renewed longer ago than the lease grace period.
    pub(super) fn is_lease_grace_over(&self, timeouts: &ElectionTimeouts, now: f64) -> bool {
        now > self.renewed_at + timeouts.lease_grace_s
    }

    /// Whether the view of the open jobs, which is current as of `view_current_as_of`, is older than the lease
    /// grace period. After its election a leader has one grace period to bring its view up to date.
    pub(super) fn is_view_too_old(
        &self,
        view_current_as_of: f64,
        timeouts: &ElectionTimeouts,
        now: f64,
    ) -> bool {
        now > self.elected_at.max(view_current_as_of) + timeouts.lease_grace_s
    }
}
