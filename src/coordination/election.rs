//! Who leads: `leader` in the state service, attached to a lease.

use super::effects::{Effects, KvRequestKind};
use crate::bookkeeping::permits::{FreshnessLimits, ViewFreshness};
use crate::bookkeeping::records::{self, LeaderRecord};
use crate::protocol::cbor;
use crate::protocol::kv::{Compare, KvRequest, KvResponse, Txn, WriteOp};
use crate::protocol::token::MAX_EPOCH;
use crate::settings::{DRIFT, WorkerSettings};

/// Times of the election, all worked out from those of the workers.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTimeouts {
    /// Life of the leader's lease.
    pub leader_lease_s: f64,
    /// For how long a leader answers reports after the last renewal of its lease, and after its view of
    /// the open jobs was last known to be current.
    pub lease_grace_s: f64,
    /// The oldest view of the open jobs that allows starts.
    pub max_start_view_age_s: f64,
    /// For how long a leader that gave up stays out of elections.
    pub campaign_backoff_s: f64,
}

impl ElectionTimeouts {
    /// Times for these figures of the workers.
    ///
    /// Who renews a worker's lease must know of every cancellation that could be due. A leader whose
    /// view of the open jobs is no longer current hears of none; the tasks of a job that was cancelled
    /// right after it was so must be gone in time all the same: their workers' leases, renewed until
    /// the lease grace period ends, must have run out by then.
    pub fn new(worker_settings: &WorkerSettings) -> ElectionTimeouts {
        let lease_s = worker_settings.lease_s;
        let life_s = (lease_s / 5.0).max(0.1);
        let news_s = worker_settings.heartbeat_interval_s / 2.0;
        let hold_over_s = worker_settings.cancel_s - lease_s * (1.0 + 4.0 * DRIFT) - news_s;
        ElectionTimeouts {
            leader_lease_s: life_s,
            lease_grace_s: hold_over_s.max(life_s),
            max_start_view_age_s: MAX_START_VIEW_HEARTBEATS * worker_settings.heartbeat_interval_s,
            campaign_backoff_s: lease_s,
        }
    }
}

/// Heartbeat intervals for which a view of the open jobs is new enough for starts.
const MAX_START_VIEW_HEARTBEATS: f64 = 2.0;
/// Share of the lease's life after which it is renewed.
const KEEP_ALIVE_SHARE: f64 = 1.0 / 4.0;
/// Share of the lease's life after which an unanswered election call is given up.
const ELECTION_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

#[derive(Debug, Clone, PartialEq)]
enum ElectionState {
    Follower,
    AcquiringLease,
    Campaigning { lease_id: u64, requested_at: f64 },
    Leader { epoch: u64, lease_id: u64 },
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

/// This controller's part in the election.
#[derive(Debug)]
pub struct Election {
    own_record: LeaderRecord,
    timeouts: ElectionTimeouts,
    state: ElectionState,
    /// The leader as the watch shows it, with the key's version.
    observed_leader: Option<(LeaderRecord, u64)>,
    /// Highest epoch known from anywhere.
    highest_epoch: u64,
    elected_at: f64,
    renewed_at: f64,
    keep_alive_at: f64,
    keep_alive_in_flight: bool,
    campaign_at: f64,
}

impl Election {
    /// `life` tells this process from earlier ones of the same controller.
    pub fn new(label: &str, process_incarnation: u64, times: ElectionTimeouts) -> Election {
        Election {
            own_record: LeaderRecord {
                label: label.to_owned(),
                process_incarnation,
            },
            timeouts: times,
            state: ElectionState::Follower,
            observed_leader: None,
            highest_epoch: 0,
            elected_at: 0.0,
            renewed_at: 0.0,
            keep_alive_at: 0.0,
            keep_alive_in_flight: false,
            campaign_at: 0.0,
        }
    }

    /// The epoch with which this controller leads, confirmed or within the lease grace period.
    pub fn epoch(&self) -> Option<u64> {
        match self.state {
            ElectionState::Leader { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Whether this controller leads and certainly holds the lease.
    pub fn holds_lease(&self, now: f64) -> bool {
        self.epoch().is_some()
            && now < self.renewed_at + self.timeouts.leader_lease_s * (1.0 - 2.0 * DRIFT)
    }

    /// What this controller knows, with a view of the open jobs that was current at `view_at` and a state
    /// service that last refused a call, or left one unanswered, at `doubt_at`.
    pub fn view_freshness(&self, view_at: f64, doubt_at: f64, now: f64) -> ViewFreshness {
        ViewFreshness {
            is_leader: self.epoch().is_some(),
            lease_held: self.holds_lease(now),
            lease_age_s: now - self.renewed_at,
            view_age_s: now - view_at,
            state_failure_age_s: now - doubt_at,
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
        match &self.state {
            ElectionState::Leader { .. } => Some(&self.own_record.label),
            _ => self
                .observed_leader
                .as_ref()
                .map(|(record, _)| record.label.as_str()),
        }
    }

    /// Takes what the watch says of `leader`.
    pub fn observe_leader(
        &mut self,
        known: Option<(LeaderRecord, u64)>,
        jitter: f64,
        now: f64,
    ) -> LeadershipChange {
        if known.is_none() && self.observed_leader.is_some() {
            self.campaign_at = self
                .campaign_at
                .max(now + jitter * self.timeouts.leader_lease_s * ELECTION_TIMEOUT_SHARE / 2.0);
        }
        self.observed_leader = known;
        if let Some((_, mod_revision)) = &self.observed_leader {
            self.highest_epoch = self.highest_epoch.max(*mod_revision);
        }
        match (&self.state, &self.observed_leader) {
            // The watch may be late: only a newer leader, or none after us, deposes.
            (ElectionState::Leader { epoch, .. }, Some((_, mod_revision)))
                if mod_revision > epoch =>
            {
                self.step_down()
            }
            _ => LeadershipChange::None,
        }
    }

    /// The key was deleted, which follows our own put: the lease is over.
    pub fn on_leader_deleted(&mut self, jitter: f64, now: f64) -> LeadershipChange {
        let was_ours = matches!(
            (&self.state, &self.observed_leader),
            (ElectionState::Leader { epoch, .. }, Some((_, mod_revision))) if epoch == mod_revision
        );
        self.observe_leader(None, jitter, now);
        if was_ours {
            self.step_down()
        } else {
            LeadershipChange::None
        }
    }

    /// Takes an epoch seen in a heartbeat or at a peer.
    pub fn observe_epoch(&mut self, epoch: u64) -> LeadershipChange {
        self.highest_epoch = self.highest_epoch.max(epoch);
        match self.state {
            ElectionState::Leader { epoch: mine, .. } if epoch > mine => self.step_down(),
            _ => LeadershipChange::None,
        }
    }

    /// A transaction found that the key is not ours any more.
    pub fn on_deposed(&mut self) -> LeadershipChange {
        match self.state {
            ElectionState::Leader { .. } => self.step_down(),
            _ => LeadershipChange::None,
        }
    }

    fn step_down(&mut self) -> LeadershipChange {
        self.state = ElectionState::Follower;
        self.keep_alive_in_flight = false;
        LeadershipChange::Deposed
    }

    /// Gives up the lease, so that a controller that workers can reach may lead.
    pub fn resign(&mut self, effects: &mut Effects, now: f64) -> LeadershipChange {
        let ElectionState::Leader { lease_id, .. } = self.state else {
            return LeadershipChange::None;
        };
        effects.call_kv(
            KvRequestKind::RevokeLease,
            KvRequest::RevokeLease(lease_id),
            self.request_timeout_s(),
            now,
        );
        self.campaign_at = now + self.timeouts.campaign_backoff_s;
        self.step_down()
    }

    /// The version of the key that this controller may replace, if it may: no leader, or its own label.
    fn replaceable_revision(&self) -> Option<u64> {
        match &self.observed_leader {
            None => Some(0),
            Some((record, mod_revision)) => {
                (record.label == self.own_record.label).then_some(*mod_revision)
            }
        }
    }

    fn request_timeout_s(&self) -> f64 {
        self.timeouts.leader_lease_s * ELECTION_TIMEOUT_SHARE
    }

    /// Renews, campaigns or lets go, as is due. `watching`: the watch knows the key; `current_at`: up
    /// to when the view of the open jobs is current.
    pub fn poll(
        &mut self,
        watching: bool,
        current_at: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match self.state {
            ElectionState::Leader { lease_id, .. } => {
                if now > self.renewed_at + self.timeouts.lease_grace_s {
                    return self.step_down();
                }
                // It holds the lease and is of no use: another may have a view that is current.
                if now > self.elected_at.max(current_at) + self.timeouts.lease_grace_s {
                    tracing::info!("leadership resigned: the open jobs cannot be watched");
                    return self.resign(effects, now);
                }
                if !self.keep_alive_in_flight && now >= self.keep_alive_at {
                    self.keep_alive_in_flight = true;
                    effects.call_kv(
                        KvRequestKind::KeepAlive,
                        KvRequest::KeepAlive(lease_id),
                        self.request_timeout_s(),
                        now,
                    );
                }
            }
            // One's own label, without leading: an earlier life of this controller, or an answer that was
            // lost. Nobody else acts by it, so it can be replaced at once.
            ElectionState::Follower
                if watching && now >= self.campaign_at && self.replaceable_revision().is_some() =>
            {
                self.state = ElectionState::AcquiringLease;
                let life_ms = (self.timeouts.leader_lease_s * 1000.0) as u64;
                let call = KvRequest::GrantLease(life_ms);
                effects.call_kv(
                    KvRequestKind::GrantLease,
                    call,
                    self.request_timeout_s(),
                    now,
                );
            }
            _ => {}
        }
        LeadershipChange::None
    }

    /// Takes the answer to an election call that was made at `sent`.
    pub fn on_response(
        &mut self,
        kind: &KvRequestKind,
        response: &KvResponse,
        sent: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LeadershipChange {
        match (kind, &self.state) {
            (KvRequestKind::GrantLease, ElectionState::AcquiringLease) => {
                let KvResponse::LeaseGranted(lease_id) = *response else {
                    self.back_off(now);
                    return LeadershipChange::None;
                };
                // Another may have taken leadership while the lease was on its way.
                let Some(mod_revision) = self.replaceable_revision() else {
                    effects.call_kv(
                        KvRequestKind::RevokeLease,
                        KvRequest::RevokeLease(lease_id),
                        self.request_timeout_s(),
                        now,
                    );
                    self.state = ElectionState::Follower;
                    return LeadershipChange::None;
                };
                let txn = Txn {
                    compares: vec![Compare::new(records::LEADER_KEY, mod_revision)],
                    writes: vec![WriteOp::Put {
                        key: records::LEADER_KEY.to_owned(),
                        value: cbor::to_value(&self.own_record),
                        lease_id: Some(lease_id),
                    }],
                };
                self.state = ElectionState::Campaigning {
                    lease_id,
                    requested_at: sent,
                };
                effects.call_kv(
                    KvRequestKind::Campaign,
                    KvRequest::Txn(txn),
                    self.request_timeout_s(),
                    now,
                );
                LeadershipChange::None
            }
            (
                KvRequestKind::Campaign,
                ElectionState::Campaigning {
                    lease_id,
                    requested_at: since,
                },
            ) => {
                let (lease_id, since) = (*lease_id, *since);
                if let KvResponse::Committed(epoch) = *response
                    && is_usable(epoch)
                {
                    self.state = ElectionState::Leader { epoch, lease_id };
                    self.observed_leader = Some((self.own_record.clone(), epoch));
                    self.highest_epoch = self.highest_epoch.max(epoch);
                    self.elected_at = now;
                    self.renewed_at = since;
                    self.keep_alive_at = since + self.timeouts.leader_lease_s * KEEP_ALIVE_SHARE;
                    self.keep_alive_in_flight = false;
                    return LeadershipChange::Elected(epoch);
                }
                // An unanswered take may still be applied; without its lease it cannot.
                effects.call_kv(
                    KvRequestKind::RevokeLease,
                    KvRequest::RevokeLease(lease_id),
                    self.request_timeout_s(),
                    now,
                );
                self.back_off(now);
                LeadershipChange::None
            }
            (KvRequestKind::KeepAlive, ElectionState::Leader { .. }) => {
                self.keep_alive_in_flight = false;
                match response {
                    KvResponse::LeaseOk => {
                        self.renewed_at = sent;
                        self.keep_alive_at = sent + self.timeouts.leader_lease_s * KEEP_ALIVE_SHARE;
                        LeadershipChange::None
                    }
                    KvResponse::LeaseExpired => {
                        self.observed_leader = None;
                        self.step_down()
                    }
                    _ => {
                        self.keep_alive_at =
                            now + self.timeouts.leader_lease_s * KEEP_ALIVE_SHARE / 4.0;
                        LeadershipChange::None
                    }
                }
            }
            _ => LeadershipChange::None,
        }
    }

    fn back_off(&mut self, now: f64) {
        self.state = ElectionState::Follower;
        self.campaign_at = now + self.timeouts.leader_lease_s * ELECTION_TIMEOUT_SHARE / 2.0;
    }
}

/// Whether tokens can be made of an epoch.
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
