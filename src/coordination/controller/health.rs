//! Health of the state service as seen by this controller, and the readiness that the load balancer checks.

use crate::protocol::kv::KvResponse;

/// Times of the latest successful and the latest failed request to the state service.
#[derive(Debug)]
pub(super) struct StateServiceHealth {
    /// When the latest successful response arrived, if any.
    ok_at: Option<f64>,
    /// When the latest request was found to have failed; negative infinity if none has.
    failed_at: f64,
}

impl StateServiceHealth {
    /// Creates the health before the first request: none has succeeded or failed.
    pub(super) fn new() -> StateServiceHealth {
        StateServiceHealth {
            ok_at: None,
            failed_at: f64::NEG_INFINITY,
        }
    }

    /// Records the outcome of a request to the state service. Only unavailability and an unknown outcome are failures:
    /// a rejection for another reason, such as a failed comparison, shows that the state service works.
    pub(super) fn observe_response(&mut self, response: &KvResponse, now: f64) {
        match response {
            KvResponse::Unavailable | KvResponse::OutcomeUnknown => self.failed_at = now,
            _ => self.ok_at = Some(now),
        }
    }

    /// Whether a request has succeeded within the last `window_s` seconds.
    pub(super) fn was_ok_within(&self, window_s: f64, now: f64) -> bool {
        self.ok_at.is_some_and(|at| now - at < window_s)
    }

    /// When a request of this controller last failed because the state service was unavailable or did not respond.
    /// Negative infinity if none has.
    pub(super) fn failed_at(&self) -> f64 {
        self.failed_at
    }
}

/// The conditions of a controller's readiness.
#[derive(Debug, Clone, Copy)]
pub(super) struct Readiness {
    pub(super) instance_types_known: bool,
    pub(super) open_jobs_known: bool,
    /// The state service has served this controller within the last heartbeat interval.
    pub(super) state_service_ok: bool,
    /// A peer has said in a heartbeat, received within the last heartbeat interval, that the state service serves
    /// this peer.
    pub(super) peer_state_service_ok: bool,
}

impl Readiness {
    /// Whether the load balancer may send users to this controller.
    ///
    /// A controller that the state service does not serve is unready only while a peer is served. The load
    /// balancer sends no users to a controller for a long time after it was unready, and in an outage that affects
    /// all controllers the users gain nothing by being sent to another one.
    pub(super) fn is_ready(self) -> bool {
        let served_as_well_as_peers = self.state_service_ok || !self.peer_state_service_ok;
        self.instance_types_known && self.open_jobs_known && served_as_well_as_peers
    }
}
