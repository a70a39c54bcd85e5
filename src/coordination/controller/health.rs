//! Whether the state service serves this controller, and whether the load balancer may send it users.

use crate::protocol::kv::KvResponse;

/// When the state service last served this controller, and when it last failed to.
#[derive(Debug)]
pub(super) struct StateServiceHealth {
    ok_at: Option<f64>,
    failed_at: f64,
}

impl StateServiceHealth {
    /// Nothing was asked of the state service yet.
    pub(super) fn new() -> StateServiceHealth {
        StateServiceHealth {
            ok_at: None,
            failed_at: f64::NEG_INFINITY,
        }
    }

    /// Takes any response of the state service.
    pub(super) fn observe_response(&mut self, response: &KvResponse, now: f64) {
        match response {
            KvResponse::Unavailable | KvResponse::OutcomeUnknown => self.failed_at = now,
            _ => self.ok_at = Some(now),
        }
    }

    /// Whether the state service has served this controller within the last `window_s` seconds.
    pub(super) fn was_ok_within(&self, window_s: f64, now: f64) -> bool {
        self.ok_at.is_some_and(|at| now - at < window_s)
    }

    /// When the state service last refused this controller, or left a call of it unanswered.
    pub(super) fn failed_at(&self) -> f64 {
        self.failed_at
    }
}

/// What the readiness of a controller depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Readiness {
    pub(super) instance_types_known: bool,
    pub(super) open_jobs_known: bool,
    /// The state service has served this controller within a heartbeat interval.
    pub(super) state_service_ok: bool,
    /// The state service has served some peer within a heartbeat interval.
    pub(super) peer_state_service_ok: bool,
}

impl Readiness {
    /// Whether users may be sent to this controller.
    ///
    /// A controller that the state service refuses is unready only while a peer is served: the load
    /// balancer backs off for long, and during an outage all controllers are equally good.
    pub(super) fn is_ready(self) -> bool {
        let equal_to_peers = self.state_service_ok || !self.peer_state_service_ok;
        self.instance_types_known && self.open_jobs_known && equal_to_peers
    }
}
