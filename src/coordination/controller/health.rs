//! Health of the state service as seen by this controller, and the readiness that the load balancer checks.

use crate::protocol::kv::KvResponse;

/// Times of the latest successful and the latest failed request to the state service.
#[derive(Debug)]
pub(super) struct StateServiceHealth {
    ok_at: Option<f64>,
    failed_at: f64,
}

impl StateServiceHealth {
    /// Creates the state before the first request.
    pub(super) fn new() -> StateServiceHealth {
        StateServiceHealth {
            ok_at: None,
            failed_at: f64::NEG_INFINITY,
        }
    }

    /// Records the outcome of any request to the state service.
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

    /// When the state service last rejected a request of this controller, or left one unanswered.
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
    /// The state service has served at least one peer within the last heartbeat interval.
    pub(super) peer_state_service_ok: bool,
}

impl Readiness {
    /// Whether the load balancer may send users to this controller.
    ///
    /// A controller that the state service does not serve is unready only while a peer is served. The load
    /// balancer stays away from an unready controller for a long time, and in an outage that affects all
    /// controllers it gains nothing by switching.
    pub(super) fn is_ready(self) -> bool {
        let served_as_well_as_peers = self.state_service_ok || !self.peer_state_service_ok;
        self.instance_types_known && self.open_jobs_known && served_as_well_as_peers
    }
}
