//! Leader election among the controllers.
//!
//! The leader owns the `leader` key in the state service, which is attached to the leader's lease. The mod
//! revision of the key is the leader's epoch.
//!
//! A controller campaigns with two requests. The first requests a lease. The second is a transaction that puts
//! the key, and fails if the key has changed since the controller last observed it. The elected leader keeps
//! renewing its lease. If its renewals fail, it stays leader until the lease grace period (see
//! [`ElectionTimeouts::new`]) has passed since the last successful one, unless the state service responds that
//! the lease has expired.

mod state;
mod timeouts;

pub use state::{LeadershipChange, ObservedLeader};
pub use timeouts::ElectionTimeouts;

use super::effects::{Effects, KvRequestContext};
use crate::bookkeeping::permits::{FreshnessLimits, ViewFreshness};
use crate::bookkeeping::records::{self, LeaderRecord};
use crate::protocol::cbor;
use crate::protocol::kv::{Compare, KvRequest, KvResponse, Txn, WriteOp};
use crate::protocol::token::MAX_EPOCH;
use state::{Campaign, ElectionState, Leadership};

/// Election state of this controller.
#[derive(Debug)]
pub struct Election {
    own_record: LeaderRecord,
    timeouts: ElectionTimeouts,
    state: ElectionState,
    /// Latest known content of the `leader` key, from the watch or from this controller's own campaign.
    observed_leader: Option<ObservedLeader>,
    /// Highest epoch seen from any source: the `leader` key, workers or peers.
    highest_epoch: u64,
    /// Earliest time of the next campaign.
    campaign_not_before: f64,
}

impl Election {
    /// Creates a follower that has not observed a leader. `process_incarnation` distinguishes this process
    /// from earlier processes of the same controller.
    pub fn new(label: &str, process_incarnation: u64, timeouts: ElectionTimeouts) -> Election {
        Election {
            own_record: LeaderRecord {
                label: label.to_owned(),
                process_incarnation,
            },
            timeouts,
            state: ElectionState::Follower,
            observed_leader: None,
            highest_epoch: 0,
            campaign_not_before: 0.0,
        }
    }

    // ---- current state

    /// Mod revision of the observed `leader` key, or 0 if none has been observed.
    fn observed_revision(&self) -> u64 {
        let observed = self.observed_leader.as_ref();
        observed.map_or(0, |leader| leader.mod_revision)
    }

    fn leadership(&self) -> Option<&Leadership> {
        match &self.state {
            ElectionState::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// This controller's epoch while it leads, including during the lease grace period.
    pub fn epoch(&self) -> Option<u64> {
        self.leadership().map(|leadership| leadership.epoch)
    }

    /// Whether this controller leads and its lease cannot have expired yet.
    pub fn holds_lease(&self, now: f64) -> bool {
        self.leadership()
            .is_some_and(|leadership| leadership.holds_lease(&self.timeouts, now))
    }

    /// Returns how old the information is on which this controller's permits depend. The view of the open jobs
    /// is current as of `view_current_as_of`. A request to the state service last failed, or had no response,
    /// at `failed_at`.
    pub fn view_freshness(
        &self,
        view_current_as_of: f64,
        failed_at: f64,
        now: f64,
    ) -> ViewFreshness {
        let renewed_at = self
            .leadership()
            .map_or(f64::NEG_INFINITY, |leadership| leadership.renewed_at);
        ViewFreshness {
            is_leader: self.epoch().is_some(),
            lease_held: self.holds_lease(now),
            lease_age_s: now - renewed_at,
            view_age_s: now - view_current_as_of,
            state_failure_age_s: now - failed_at,
            limits: FreshnessLimits {
                lease_grace_s: self.timeouts.lease_grace_s,
                max_start_view_age_s: self.timeouts.max_start_view_age_s,
            },
        }
    }

    /// Highest epoch seen from any source.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Label of the leader as far as this controller knows: its own label while it leads, otherwise the one in
    /// the observed `leader` key.
    pub fn leader(&self) -> Option<&str> {
        if self.leadership().is_some() {
            return Some(&self.own_record.label);
        }
        let leader = self.observed_leader.as_ref()?;
        Some(&leader.record.label)
    }

    // ---- observations

    /// Processes the content of the `leader` key as received from the watch, or `None` if the key is absent.
    ///
    /// The watch may lag behind, so an older leader record than the known one is ignored, and an absent key
    /// does not end this controller's leadership. If the key has disappeared, `jitter` (from 0 to 1) sets the
    /// delay of this controller's next campaign, so that the controllers do not all campaign at once.
    pub fn observe_leader(
        &mut self,
        observed: Option<ObservedLeader>,
        jitter: f64,
        now: f64,
    ) -> LeadershipChange {
        let Some(leader) = observed else {
            self.forget_leader(jitter, now);
            return LeadershipChange::None;
        };
        let epoch = leader.mod_revision;
        if self.observed_revision() <= epoch {
            self.observed_leader = Some(leader);
        }
        self.observe_epoch(epoch)
    }

    /// Processes the observation that the `leader` key does not exist at `revision`. Has no effect if the known
    /// key was put after `revision`.
    pub fn observe_no_leader(&mut self, revision: u64, jitter: f64, now: f64) -> LeadershipChange {
        if self.observed_revision() <= revision {
            self.forget_leader(jitter, now);
        }
        LeadershipChange::None
    }

    fn forget_leader(&mut self, jitter: f64, now: f64) {
        if self.observed_leader.take().is_some() {
            let delay_s = self.timeouts.campaign_delay_s(jitter);
            self.campaign_not_before = self.campaign_not_before.max(now + delay_s);
        }
    }

    /// Processes the deletion of the `leader` key at `revision`. If the deleted key was this controller's own,
    /// its lease has expired and it steps down. The watch may lag behind, so the deletion of an older key than
    /// the known one is ignored.
    pub fn on_leader_deleted(&mut self, revision: u64, jitter: f64, now: f64) -> LeadershipChange {
        let observed = self.observed_leader.as_ref();
        let observed_epoch = observed.map(|leader| leader.mod_revision);
        let was_ours =
            observed_epoch.is_some_and(|epoch| epoch <= revision) && observed_epoch == self.epoch();
        self.observe_no_leader(revision, jitter, now);
        if was_ours {
            self.step_down()
        } else {
            LeadershipChange::None
        }
    }

    /// Processes an epoch seen in a message of a worker or peer, or in the `leader` key. A leader steps down
    /// if the epoch is higher than its own.
    pub fn observe_epoch(&mut self, epoch: u64) -> LeadershipChange {
        self.highest_epoch = self.highest_epoch.max(epoch);
        match self.epoch() {
            Some(own_epoch) if epoch > own_epoch => self.step_down(),
            _ => LeadershipChange::None,
        }
    }

    /// Processes the failure of a leader's transaction whose comparison shows that the `leader` key is no longer
    /// this controller's. Steps down if this controller leads.
    pub fn on_deposed(&mut self) -> LeadershipChange {
        match self.state {
            ElectionState::Leader(_) => self.step_down(),
            _ => LeadershipChange::None,
        }
    }

    // ---- periodic work

    /// Starts a campaign or a renewal of the lease if one is due. A leader steps down at the end of the lease
    /// grace period, and resigns if its view of the open jobs is too old. `leader_key_known` tells whether the
    /// watch has read the `leader` key; the view is current as of `view_current_as_of`.
    pub fn poll(
        &mut self,
        leader_key_known: bool,
        view_current_as_of: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match self.state {
            ElectionState::Leader(leadership) => {
                self.poll_leadership(leadership, view_current_as_of, effects, now)
            }
            ElectionState::Follower => {
                if leader_key_known
                    && now >= self.campaign_not_before
                    && self.replaceable_revision().is_some()
                {
                    self.start_campaign(effects, now);
                }
                LeadershipChange::None
            }
            ElectionState::AcquiringLease | ElectionState::Campaigning(_) => LeadershipChange::None,
        }
    }

    fn poll_leadership(
        &mut self,
        leadership: Leadership,
        view_current_as_of: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        if leadership.is_lease_grace_over(&self.timeouts, now) {
            return self.step_down();
        }
        // With a view older than the lease grace period this leader can neither start tasks nor renew workers'
        // leases, even while it holds its own lease. Resigning lets a controller with a current view take over.
        if leadership.is_view_too_old(view_current_as_of, &self.timeouts, now) {
            tracing::info!("leadership resigned: the open jobs cannot be watched");
            return self.resign(effects, now);
        }
        if leadership.is_keep_alive_due(now) {
            self.state = ElectionState::Leader(Leadership {
                keep_alive_in_flight: true,
                ..leadership
            });
            let request = KvRequest::KeepAlive(leadership.lease_id);
            self.call(KvRequestContext::KeepAlive, request, effects, now);
        }
        LeadershipChange::None
    }

    /// Gives up leadership: revokes the lease and does not campaign for `campaign_backoff_s`, so that another
    /// controller can take over. Does nothing if this controller does not lead.
    pub fn resign(&mut self, effects: &mut Effects, now: f64) -> LeadershipChange {
        let ElectionState::Leader(leadership) = self.state else {
            return LeadershipChange::None;
        };
        self.revoke_lease(leadership.lease_id, effects, now);
        self.campaign_not_before = now + self.timeouts.campaign_backoff_s;
        self.step_down()
    }

    fn step_down(&mut self) -> LeadershipChange {
        self.state = ElectionState::Follower;
        LeadershipChange::Deposed
    }

    // ---- campaign

    /// Returns the mod revision that the `leader` key must have for this controller to replace it, or `None`
    /// if the key names another controller.
    ///
    /// An absent key (revision 0) may be replaced, and so may a key with this controller's own label. The
    /// latter was put by an earlier process of this controller, or by a campaign whose response was lost. While
    /// the key has this label no other controller leads, so there is no need to wait until its lease expires.
    fn replaceable_revision(&self) -> Option<u64> {
        match &self.observed_leader {
            None => Some(0),
            Some(leader) if leader.record.label == self.own_record.label => {
                Some(leader.mod_revision)
            }
            Some(_) => None,
        }
    }

    fn start_campaign(&mut self, effects: &mut Effects, now: f64) {
        self.state = ElectionState::AcquiringLease;
        let lease_ms = (self.timeouts.leader_lease_s * 1000.0) as u64;
        let request = KvRequest::GrantLease(lease_ms);
        self.call(KvRequestContext::GrantLease, request, effects, now);
    }

    /// Builds the transaction that puts the `leader` key, provided that the key's mod revision is still
    /// `replaced_revision`.
    fn campaign_txn(&self, replaced_revision: u64, lease_id: u64) -> Txn {
        Txn {
            compares: vec![Compare::new(records::LEADER_KEY, replaced_revision)],
            writes: vec![WriteOp::Put {
                key: records::LEADER_KEY.to_owned(),
                value: cbor::to_value(&self.own_record),
                lease_id: Some(lease_id),
            }],
        }
    }

    fn back_off(&mut self, now: f64) {
        self.state = ElectionState::Follower;
        self.campaign_not_before = now + self.timeouts.campaign_retry_s();
    }

    // ---- requests and responses

    fn call(&self, context: KvRequestContext, request: KvRequest, effects: &mut Effects, now: f64) {
        effects.call_kv(context, request, self.timeouts.request_timeout_s(), now);
    }

    fn revoke_lease(&self, lease_id: u64, effects: &mut Effects, now: f64) {
        let request = KvRequest::RevokeLease(lease_id);
        self.call(KvRequestContext::RevokeLease, request, effects, now);
    }

    /// Processes the response to an election request that was sent at `sent_at`. Responses that arrive after
    /// the election state has changed are ignored.
    pub fn on_response(
        &mut self,
        context: &KvRequestContext,
        response: &KvResponse,
        sent_at: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match (context, &self.state) {
            (KvRequestContext::GrantLease, ElectionState::AcquiringLease) => {
                self.on_lease_response(response, sent_at, effects, now);
                LeadershipChange::None
            }
            (KvRequestContext::Campaign, ElectionState::Campaigning(campaign)) => {
                let campaign = *campaign;
                self.on_campaign_response(campaign, response, effects, now)
            }
            (KvRequestContext::KeepAlive, ElectionState::Leader(leadership)) => {
                let leadership = *leadership;
                self.on_keep_alive_response(leadership, response, sent_at, now)
            }
            _ => LeadershipChange::None,
        }
    }

    fn on_lease_response(
        &mut self,
        response: &KvResponse,
        sent_at: f64,
        effects: &mut Effects,
        now: f64,
    ) {
        let KvResponse::LeaseGranted(lease_id) = *response else {
            self.back_off(now);
            return;
        };
        // Another controller may have been elected while the lease was being granted.
        let Some(replaced_revision) = self.replaceable_revision() else {
            self.revoke_lease(lease_id, effects, now);
            self.state = ElectionState::Follower;
            return;
        };
        self.state = ElectionState::Campaigning(Campaign {
            lease_id,
            lease_requested_at: sent_at,
        });
        let request = KvRequest::Txn(self.campaign_txn(replaced_revision, lease_id));
        self.call(KvRequestContext::Campaign, request, effects, now);
    }

    fn on_campaign_response(
        &mut self,
        campaign: Campaign,
        response: &KvResponse,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match *response {
            KvResponse::Committed(epoch) if is_usable_epoch(epoch) => {
                let leadership = Leadership::new(epoch, campaign, &self.timeouts, now);
                self.state = ElectionState::Leader(leadership);
                self.observed_leader = Some(ObservedLeader {
                    record: self.own_record.clone(),
                    mod_revision: epoch,
                });
                self.highest_epoch = self.highest_epoch.max(epoch);
                LeadershipChange::Elected(epoch)
            }
            _ => {
                // If there was no response, the transaction may still be applied later. The revocation of the
                // lease, to which the transaction attaches the key, prevents this.
                self.revoke_lease(campaign.lease_id, effects, now);
                self.back_off(now);
                LeadershipChange::None
            }
        }
    }

    fn on_keep_alive_response(
        &mut self,
        mut leadership: Leadership,
        response: &KvResponse,
        sent_at: f64,
        now: f64,
    ) -> LeadershipChange {
        // A renewal that was sent before the election was for the lease of an earlier term of this controller.
        if sent_at < leadership.elected_at {
            return LeadershipChange::None;
        }
        leadership.keep_alive_in_flight = false;
        match response {
            KvResponse::LeaseOk => leadership.renewed(sent_at, &self.timeouts),
            KvResponse::LeaseExpired => {
                self.observed_leader = None;
                return self.step_down();
            }
            _ => leadership.keep_alive_at = now + self.timeouts.keep_alive_retry_s(),
        }
        self.state = ElectionState::Leader(leadership);
        LeadershipChange::None
    }
}

/// Whether the epoch fits into a fencing token. Logs an error if it does not.
fn is_usable_epoch(epoch: u64) -> bool {
    let usable = epoch <= MAX_EPOCH;
    if !usable {
        tracing::error!(
            epoch,
            "campaign abandoned: the mod revision of the leader key is too high for fencing tokens; \
             migrate to a new state service"
        );
    }
    usable
}
