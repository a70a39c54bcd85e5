//! Worker heartbeats: the leader responds with commands, the other controllers redirect the workers to the leader.

use super::Controller;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::permits::ViewFreshness;
use crate::coordination::leader::HeartbeatOutcome;
use crate::protocol::cbor::{self, CborError};
use crate::protocol::token::InvalidFencingToken;
use crate::protocol::worker::{NotLeader, WorkerHeartbeat};

/// Why the body of a worker's heartbeat is rejected.
#[derive(Debug, thiserror::Error)]
enum HeartbeatError {
    /// The body is not a valid heartbeat, which the message calls a report.
    #[error("not a report: {0}")]
    Malformed(#[from] CborError),
    #[error(transparent)]
    FencingToken(#[from] InvalidFencingToken),
}

impl Controller {
    pub(super) fn on_worker_heartbeat(&mut self, request_id: u64, body: &[u8], now: f64) {
        let heartbeat = match read_worker_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::warn!(%error, "worker heartbeat rejected");
                self.effects
                    .respond_error(request_id, 400, &error.to_string(), None);
                return;
            }
        };
        let change = self.election.observe_epoch(heartbeat.token.epoch());
        self.apply_leadership_change(change, now);
        let outcome = self.process_as_leader(&heartbeat, now);
        match outcome {
            // The leader is not polled here but at the next tick, because heartbeats are frequent.
            Some(HeartbeatOutcome::Commands(commands)) => {
                self.effects.respond(request_id, 200, &commands);
            }
            // An error response does not renew the worker's lease. The worker will send another heartbeat. The message
            // is the same whether the view of the open jobs is too old or the leader's own lease is.
            Some(HeartbeatOutcome::LeaseNotRenewed) => {
                self.effects
                    .respond_error(request_id, 503, "the open jobs aren't known", None);
            }
            Some(HeartbeatOutcome::NewerLeaderExists) | None => {
                self.redirected.record(heartbeat.worker, now);
                let leader_hint = self.leader_hint(now);
                self.effects
                    .respond(request_id, 421, &NotLeader { leader_hint });
            }
        }
    }

    /// Passes a heartbeat to the leader and returns the outcome, or `None` if this controller does not lead.
    fn process_as_leader(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: f64,
    ) -> Option<HeartbeatOutcome> {
        let freshness = self.view_freshness(now);
        let leader = self.leader.as_mut()?;
        let open = self.job_api.open_jobs();
        let is_open = |id: &str| open.contains(id);
        let outcome = leader.on_heartbeat(heartbeat, &freshness, is_open, now);
        if matches!(outcome, HeartbeatOutcome::Commands(_))
            && !is_within_lease_grace(&freshness, heartbeat)
        {
            return Some(HeartbeatOutcome::LeaseNotRenewed);
        }
        Some(outcome)
    }

    /// Label of the controller to which workers are redirected: the leader, as far as known. Returns `None` if no
    /// leader is known, or if the latest known leader is this controller itself: a controller only redirects workers
    /// if it does not lead or has seen a higher epoch than its own.
    fn leader_hint(&self, now: f64) -> Option<String> {
        let known = match self.peers.latest_leader(self.heartbeat_interval_s(), now) {
            Some(latest) if latest.epoch >= self.election.highest_epoch() => latest.label,
            _ => self.election.leader(),
        };
        let known = known.map(str::to_owned);
        known.filter(|label| *label != self.settings.label)
    }
}

fn read_worker_heartbeat(body: &[u8]) -> Result<WorkerHeartbeat, HeartbeatError> {
    let heartbeat = cbor::decode::<WorkerHeartbeat>(body)?;
    heartbeat.token.validate()?;
    Ok(heartbeat)
}

/// Whether a response that renews a worker's lease may be sent. The permit to renew the lease has been checked
/// before; this second check does not depend on the code of the first.
fn is_within_lease_grace(freshness: &ViewFreshness, heartbeat: &WorkerHeartbeat) -> bool {
    let age_s = freshness.lease_age_s.max(freshness.view_age_s);
    let within = age_s <= freshness.limits.lease_grace_s;
    // The age is that of the older of the two: the leader's lease, and its view of the open jobs.
    let details = format_args!(
        "worker {}: leader's lease or view is {age_s} s old, expected at most {} s",
        heartbeat.worker, freshness.limits.lease_grace_s
    );
    invariants::check(Invariant::NoRenewalBeyondLeaseGrace, within, details)
}
