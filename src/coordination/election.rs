//! Who leads: `leader` in the state service, attached to a lease.

use super::outbox::{Outbox, StoreAsk};
use crate::bookkeeping::permits::{FreshnessLimits, ViewFreshness};
use crate::bookkeeping::records::{self, LeaderRecord};
use crate::protocol::cbor;
use crate::protocol::kv::{Compare, KvRequest, KvResponse, Txn, WriteOp};
use crate::protocol::token::MAX_EPOCH;
use crate::settings::{DRIFT, WorkerSettings};

/// Times of the election, all worked out from those of the workers.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Life of the leader's lease.
    pub life_s: f64,
    /// For how long a leader answers reports after the last renewal of its lease, and after its view of
    /// the open jobs was last known to be current.
    pub hold_over_s: f64,
    /// The oldest view of the open jobs that allows starts.
    pub start_view_s: f64,
    /// For how long a leader that gave up stays out of elections.
    pub quiet_s: f64,
}

impl Times {
    /// Times for these figures of the workers.
    ///
    /// Who renews a worker's lease must know of every cancellation that could be due. A leader whose
    /// view of the open jobs is no longer current hears of none; the tasks of a job that was cancelled
    /// right after it was so must be gone in time all the same: their workers' leases, renewed until
    /// the hold-over ends, must have run out by then.
    pub fn new(workers: &WorkerSettings) -> Times {
        let lease_s = workers.lease_s;
        let life_s = (lease_s / 5.0).max(0.1);
        let news_s = workers.report_s / 2.0;
        let hold_over_s = workers.cancel_s - lease_s * (1.0 + 4.0 * DRIFT) - news_s;
        Times {
            life_s,
            hold_over_s: hold_over_s.max(life_s),
            start_view_s: START_VIEW * workers.report_s,
            quiet_s: lease_s,
        }
    }
}

/// Report intervals for which a view of the open jobs is new enough for starts.
const START_VIEW: f64 = 2.0;
/// Share of the lease's life after which it is renewed.
const RENEW: f64 = 1.0 / 4.0;
/// Share of the lease's life after which an unanswered election call is given up.
const PATIENCE: f64 = 1.0 / 3.0;

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Following,
    Granting,
    Taking { hold: u64, since: f64 },
    Leading { epoch: u64, hold: u64 },
}

/// What the election has just decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing new.
    Same,
    /// This node leads, with this Epoch.
    Won(u64),
    /// This node no longer leads.
    Lost,
}

/// This node's part in the election.
#[derive(Debug)]
pub struct Election {
    me: LeaderRecord,
    times: Times,
    phase: Phase,
    /// The leader as the watch shows it, with the key's version.
    known: Option<(LeaderRecord, u64)>,
    /// Highest Epoch known from anywhere.
    highest: u64,
    won_at: f64,
    renewed_at: f64,
    renew_next: f64,
    renewing: bool,
    campaign_at: f64,
}

impl Election {
    /// `life` tells this process from earlier ones of the same node.
    pub fn new(label: &str, life: u64, times: Times) -> Election {
        Election {
            me: LeaderRecord {
                label: label.to_owned(),
                process_incarnation: life,
            },
            times,
            phase: Phase::Following,
            known: None,
            highest: 0,
            won_at: 0.0,
            renewed_at: 0.0,
            renew_next: 0.0,
            renewing: false,
            campaign_at: 0.0,
        }
    }

    /// The Epoch with which this node leads, confirmed or held over.
    pub fn epoch(&self) -> Option<u64> {
        match self.phase {
            Phase::Leading { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Whether this node leads and certainly holds the lease.
    pub fn confirmed(&self, now: f64) -> bool {
        self.epoch().is_some() && now < self.renewed_at + self.times.life_s * (1.0 - 2.0 * DRIFT)
    }

    /// What this node knows, with a view of the open jobs that was current at `view_at` and a state
    /// service that last refused a call, or left one unanswered, at `doubt_at`.
    pub fn knowledge(&self, view_at: f64, doubt_at: f64, now: f64) -> ViewFreshness {
        ViewFreshness {
            is_leader: self.epoch().is_some(),
            lease_held: self.confirmed(now),
            lease_age_s: now - self.renewed_at,
            view_age_s: now - view_at,
            state_failure_age_s: now - doubt_at,
            limits: FreshnessLimits {
                lease_grace_s: self.times.hold_over_s,
                max_start_view_age_s: self.times.start_view_s,
            },
        }
    }

    /// Highest Epoch known from anywhere.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// The leader's label, as far as known.
    pub fn leader(&self) -> Option<&str> {
        match &self.phase {
            Phase::Leading { .. } => Some(&self.me.label),
            _ => self.known.as_ref().map(|(record, _)| record.label.as_str()),
        }
    }

    /// Takes what the watch says of `leader`.
    pub fn observe(
        &mut self,
        known: Option<(LeaderRecord, u64)>,
        jitter: f64,
        now: f64,
    ) -> Outcome {
        if known.is_none() && self.known.is_some() {
            self.campaign_at = self
                .campaign_at
                .max(now + jitter * self.times.life_s * PATIENCE / 2.0);
        }
        self.known = known;
        if let Some((_, stamp)) = &self.known {
            self.highest = self.highest.max(*stamp);
        }
        match (&self.phase, &self.known) {
            // The watch may be late: only a newer leader, or none after us, deposes.
            (Phase::Leading { epoch, .. }, Some((_, stamp))) if stamp > epoch => self.step_down(),
            _ => Outcome::Same,
        }
    }

    /// The key was deleted, which follows our own put: the lease is over.
    pub fn removed(&mut self, jitter: f64, now: f64) -> Outcome {
        let was_ours = matches!(
            (&self.phase, &self.known),
            (Phase::Leading { epoch, .. }, Some((_, stamp))) if epoch == stamp
        );
        self.observe(None, jitter, now);
        if was_ours {
            self.step_down()
        } else {
            Outcome::Same
        }
    }

    /// Takes an Epoch seen in a report or at a peer.
    pub fn notice(&mut self, epoch: u64) -> Outcome {
        self.highest = self.highest.max(epoch);
        match self.phase {
            Phase::Leading { epoch: mine, .. } if epoch > mine => self.step_down(),
            _ => Outcome::Same,
        }
    }

    /// A transaction found that the key is not ours any more.
    pub fn deposed(&mut self) -> Outcome {
        match self.phase {
            Phase::Leading { .. } => self.step_down(),
            _ => Outcome::Same,
        }
    }

    fn step_down(&mut self) -> Outcome {
        self.phase = Phase::Following;
        self.renewing = false;
        Outcome::Lost
    }

    /// Gives up the lease, so that a node that workers can reach may lead.
    pub fn give_up(&mut self, out: &mut Outbox, now: f64) -> Outcome {
        let Phase::Leading { hold, .. } = self.phase else {
            return Outcome::Same;
        };
        out.store(
            StoreAsk::Drop,
            KvRequest::RevokeLease(hold),
            self.patience(),
            now,
        );
        self.campaign_at = now + self.times.quiet_s;
        self.step_down()
    }

    /// The version of the key that this node may replace, if it may: no leader, or its own label.
    fn claim(&self) -> Option<u64> {
        match &self.known {
            None => Some(0),
            Some((record, stamp)) => (record.label == self.me.label).then_some(*stamp),
        }
    }

    fn patience(&self) -> f64 {
        self.times.life_s * PATIENCE
    }

    /// Renews, campaigns or lets go, as is due. `watching`: the watch knows the key; `current_at`: up
    /// to when the view of the open jobs is current.
    pub fn drive(
        &mut self,
        watching: bool,
        current_at: f64,
        out: &mut Outbox,
        now: f64,
    ) -> Outcome {
        match self.phase {
            Phase::Leading { hold, .. } => {
                if now > self.renewed_at + self.times.hold_over_s {
                    return self.step_down();
                }
                // It holds the lease and is of no use: another may have a view that is current.
                if now > self.won_at.max(current_at) + self.times.hold_over_s {
                    tracing::info!("the open jobs can't be followed: giving up the lead");
                    return self.give_up(out, now);
                }
                if !self.renewing && now >= self.renew_next {
                    self.renewing = true;
                    out.store(
                        StoreAsk::Renew,
                        KvRequest::KeepAlive(hold),
                        self.patience(),
                        now,
                    );
                }
            }
            // One's own label, without leading: an earlier life of this node, or an answer that was
            // lost. Nobody else acts by it, so it can be replaced at once.
            Phase::Following if watching && now >= self.campaign_at && self.claim().is_some() => {
                self.phase = Phase::Granting;
                let life_ms = (self.times.life_s * 1000.0) as u64;
                let call = KvRequest::GrantLease(life_ms);
                out.store(StoreAsk::Grant, call, self.patience(), now);
            }
            _ => {}
        }
        Outcome::Same
    }

    /// Takes the answer to an election call that was made at `sent`.
    pub fn reply(
        &mut self,
        ask: &StoreAsk,
        reply: &KvResponse,
        sent: f64,
        out: &mut Outbox,
        now: f64,
    ) -> Outcome {
        match (ask, &self.phase) {
            (StoreAsk::Grant, Phase::Granting) => {
                let KvResponse::LeaseGranted(hold) = *reply else {
                    self.back_off(now);
                    return Outcome::Same;
                };
                // Another may have taken the lead while the lease was on its way.
                let Some(stamp) = self.claim() else {
                    out.store(
                        StoreAsk::Drop,
                        KvRequest::RevokeLease(hold),
                        self.patience(),
                        now,
                    );
                    self.phase = Phase::Following;
                    return Outcome::Same;
                };
                let txn = Txn {
                    compares: vec![Compare::new(records::LEADER_KEY, stamp)],
                    writes: vec![WriteOp::Put {
                        key: records::LEADER_KEY.to_owned(),
                        value: cbor::to_value(&self.me),
                        lease_id: Some(hold),
                    }],
                };
                self.phase = Phase::Taking { hold, since: sent };
                out.store(StoreAsk::Take, KvRequest::Txn(txn), self.patience(), now);
                Outcome::Same
            }
            (StoreAsk::Take, Phase::Taking { hold, since }) => {
                let (hold, since) = (*hold, *since);
                if let KvResponse::Committed(epoch) = *reply
                    && is_usable(epoch)
                {
                    self.phase = Phase::Leading { epoch, hold };
                    self.known = Some((self.me.clone(), epoch));
                    self.highest = self.highest.max(epoch);
                    self.won_at = now;
                    self.renewed_at = since;
                    self.renew_next = since + self.times.life_s * RENEW;
                    self.renewing = false;
                    return Outcome::Won(epoch);
                }
                // An unanswered take may still be applied; without its lease it cannot.
                out.store(
                    StoreAsk::Drop,
                    KvRequest::RevokeLease(hold),
                    self.patience(),
                    now,
                );
                self.back_off(now);
                Outcome::Same
            }
            (StoreAsk::Renew, Phase::Leading { .. }) => {
                self.renewing = false;
                match reply {
                    KvResponse::LeaseOk => {
                        self.renewed_at = sent;
                        self.renew_next = sent + self.times.life_s * RENEW;
                        Outcome::Same
                    }
                    KvResponse::LeaseExpired => {
                        self.known = None;
                        self.step_down()
                    }
                    _ => {
                        self.renew_next = now + self.times.life_s * RENEW / 4.0;
                        Outcome::Same
                    }
                }
            }
            _ => Outcome::Same,
        }
    }

    fn back_off(&mut self, now: f64) {
        self.phase = Phase::Following;
        self.campaign_at = now + self.times.life_s * PATIENCE / 2.0;
    }
}

/// Whether tokens can be made of an epoch.
fn is_usable(epoch: u64) -> bool {
    let usable = epoch <= MAX_EPOCH;
    if !usable {
        tracing::error!(
            epoch,
            "leader: its Stamp is too high for tokens; move to a new state service"
        );
    }
    usable
}
