//! The election of the leader: it holds the `leader` key of the state service, attached to a lease. The
//! key's mod revision is the leader's epoch.
//!
//! A controller campaigns in two calls: it asks for a lease, and then takes the key in a transaction that
//! fails if another controller has taken it. A leader renews its lease; when it can't, it goes on for the
//! lease grace period (see [`ElectionTimeouts::new`]).

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

/// This controller's part in the election.
#[derive(Debug)]
pub struct Election {
    own_record: LeaderRecord,
    timeouts: ElectionTimeouts,
    state: ElectionState,
    /// The `leader` key, as the watch or the own campaign has shown it.
    observed_leader: Option<ObservedLeader>,
    /// Highest epoch known from anywhere.
    highest_epoch: u64,
    /// No campaign starts before this time.
    campaign_at: f64,
}

impl Election {
    /// A follower that knows of no leader. `process_incarnation` tells this process from earlier ones of
    /// the same controller.
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
            campaign_at: 0.0,
        }
    }

    // ---- what is known

    /// Mod revision of the `leader` key that is known; 0 if none is.
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

    /// The epoch with which this controller leads, confirmed or within the lease grace period.
    pub fn epoch(&self) -> Option<u64> {
        self.leadership().map(|leadership| leadership.epoch)
    }

    /// Whether this controller leads and certainly holds the lease.
    pub fn holds_lease(&self, now: f64) -> bool {
        self.leadership()
            .is_some_and(|leadership| leadership.holds_lease(&self.timeouts, now))
    }

    /// What this controller knows, with a view of the open jobs that was current at `view_at` and a state
    /// service that last refused a call, or left one unanswered, at `failed_at`.
    pub fn view_freshness(&self, view_at: f64, failed_at: f64, now: f64) -> ViewFreshness {
        let renewed_at = self
            .leadership()
            .map_or(f64::NEG_INFINITY, |leadership| leadership.renewed_at);
        ViewFreshness {
            is_leader: self.epoch().is_some(),
            lease_held: self.holds_lease(now),
            lease_age_s: now - renewed_at,
            view_age_s: now - view_at,
            state_failure_age_s: now - failed_at,
            limits: FreshnessLimits {
                lease_grace_s: self.timeouts.lease_grace_s,
                max_start_view_age_s: self.timeouts.max_start_view_age_s,
            },
        }
    }

    /// Highest epoch known from anywhere.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// The leader's label, as far as known.
    pub fn leader(&self) -> Option<&str> {
        if self.leadership().is_some() {
            return Some(&self.own_record.label);
        }
        let leader = self.observed_leader.as_ref()?;
        Some(&leader.record.label)
    }

    // ---- what others show

    /// Takes the content of the `leader` key that the watch shows. The watch may be late: an earlier leader
    /// than is known changes nothing, and none does not depose. `jitter` in 0..1 spreads the campaigns that
    /// follow a deletion.
    pub fn observe_leader(
        &mut self,
        known: Option<ObservedLeader>,
        jitter: f64,
        now: f64,
    ) -> LeadershipChange {
        let Some(leader) = known else {
            self.forget_leader(jitter, now);
            return LeadershipChange::None;
        };
        let epoch = leader.mod_revision;
        if self.observed_revision() <= epoch {
            self.observed_leader = Some(leader);
        }
        self.observe_epoch(epoch)
    }

    /// Takes that there is no `leader` key at a revision.
    pub fn observe_no_leader(&mut self, revision: u64, jitter: f64, now: f64) -> LeadershipChange {
        if self.observed_revision() <= revision {
            self.forget_leader(jitter, now);
        }
        LeadershipChange::None
    }

    fn forget_leader(&mut self, jitter: f64, now: f64) {
        if self.observed_leader.take().is_some() {
            let delay_s = self.timeouts.campaign_delay_s(jitter);
            self.campaign_at = self.campaign_at.max(now + delay_s);
        }
    }

    /// Takes the deletion of the `leader` key at a revision, which deposes if the key that was deleted is our
    /// own: the lease has expired. The watch may be late: the deletion of an earlier key than is known changes
    /// nothing.
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

    /// Takes an epoch that a worker, a peer or the `leader` key has shown; a higher one than the own
    /// deposes.
    pub fn observe_epoch(&mut self, epoch: u64) -> LeadershipChange {
        self.highest_epoch = self.highest_epoch.max(epoch);
        match self.epoch() {
            Some(own_epoch) if epoch > own_epoch => self.step_down(),
            _ => LeadershipChange::None,
        }
    }

    /// Takes that a transaction has found the `leader` key to be another's.
    pub fn on_deposed(&mut self) -> LeadershipChange {
        match self.state {
            ElectionState::Leader(_) => self.step_down(),
            _ => LeadershipChange::None,
        }
    }

    // ---- the passing of time

    /// Renews the lease, campaigns or resigns, as is due. `watching`: the watch knows the `leader` key;
    /// `current_at`: the time at which the view of the open jobs was last current.
    pub fn poll(
        &mut self,
        watching: bool,
        current_at: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match self.state {
            ElectionState::Leader(leadership) => {
                self.poll_leadership(leadership, current_at, effects, now)
            }
            ElectionState::Follower => {
                if watching && now >= self.campaign_at && self.replaceable_revision().is_some() {
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
        current_at: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        if leadership.is_lease_grace_over(&self.timeouts, now) {
            return self.step_down();
        }
        // It holds the lease and is of no use: another may have a view that is current.
        if leadership.is_view_too_old(current_at, &self.timeouts, now) {
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

    /// Gives up the lease, so that a controller that workers can reach may lead.
    pub fn resign(&mut self, effects: &mut Effects, now: f64) -> LeadershipChange {
        let ElectionState::Leader(leadership) = self.state else {
            return LeadershipChange::None;
        };
        self.revoke_lease(leadership.lease_id, effects, now);
        self.campaign_at = now + self.timeouts.campaign_backoff_s;
        self.step_down()
    }

    fn step_down(&mut self) -> LeadershipChange {
        self.state = ElectionState::Follower;
        LeadershipChange::Deposed
    }

    // ---- the campaign

    /// The mod revision of the `leader` key that this controller may replace, if it may: that of no key,
    /// or of a key with its own label. The latter is from an earlier process of this controller, or from
    /// a campaign whose response was lost. Nobody else acts by it, so it can be replaced at once.
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

    /// The transaction that takes the `leader` key, if its mod revision is still `replaced_revision`.
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
        self.campaign_at = now + self.timeouts.campaign_retry_s();
    }

    // ---- calls and responses

    fn call(&self, context: KvRequestContext, request: KvRequest, effects: &mut Effects, now: f64) {
        effects.call_kv(context, request, self.timeouts.request_timeout_s(), now);
    }

    fn revoke_lease(&self, lease_id: u64, effects: &mut Effects, now: f64) {
        let request = KvRequest::RevokeLease(lease_id);
        self.call(KvRequestContext::RevokeLease, request, effects, now);
    }

    /// Takes the response to a call of the election that was made at `sent`. One that comes in another
    /// state than that of the call is dropped.
    pub fn on_response(
        &mut self,
        context: &KvRequestContext,
        response: &KvResponse,
        sent: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match (context, &self.state) {
            (KvRequestContext::GrantLease, ElectionState::AcquiringLease) => {
                self.on_lease_response(response, sent, effects, now);
                LeadershipChange::None
            }
            (KvRequestContext::Campaign, ElectionState::Campaigning(campaign)) => {
                let campaign = *campaign;
                self.on_campaign_response(campaign, response, effects, now)
            }
            (KvRequestContext::KeepAlive, ElectionState::Leader(leadership)) => {
                let leadership = *leadership;
                self.on_keep_alive_response(leadership, response, sent, now)
            }
            _ => LeadershipChange::None,
        }
    }

    fn on_lease_response(
        &mut self,
        response: &KvResponse,
        sent: f64,
        effects: &mut Effects,
        now: f64,
    ) {
        let KvResponse::LeaseGranted(lease_id) = *response else {
            self.back_off(now);
            return;
        };
        // Another controller may have taken the key while the lease was being granted.
        let Some(replaced_revision) = self.replaceable_revision() else {
            self.revoke_lease(lease_id, effects, now);
            self.state = ElectionState::Follower;
            return;
        };
        self.state = ElectionState::Campaigning(Campaign {
            lease_id,
            lease_requested_at: sent,
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
            KvResponse::Committed(epoch) if is_usable(epoch) => {
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
                // An unanswered transaction may still be applied; without its lease it cannot.
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
        sent: f64,
        now: f64,
    ) -> LeadershipChange {
        // Asked for the lease of an earlier leadership, it says nothing of this one's.
        if sent < leadership.elected_at {
            return LeadershipChange::None;
        }
        leadership.keep_alive_in_flight = false;
        match response {
            KvResponse::LeaseOk => leadership.renewed(sent, &self.timeouts),
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

/// Whether fencing tokens can be made of an epoch.
fn is_usable(epoch: u64) -> bool {
    let usable = epoch <= MAX_EPOCH;
    if !usable {
        tracing::error!(
            epoch,
            "leader: its mod revision is too high for fencing tokens; move to a new state service"
        );
    }
    usable
}
