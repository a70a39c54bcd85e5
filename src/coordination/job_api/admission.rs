//! Admission control for user requests: which requests are rejected at once, and the deadlines of the others.

use super::pending_request::RequestKind;
use super::responses::RequestError;
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::workers::Resources;
use crate::coordination::scheduler;
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobSpec;
use crate::protocol::kv::KvResponse;

/// Maximum number of waiting requests; further requests are rejected.
const MAX_WAITING: usize = 2_000;
/// Maximum seconds for which a poll waits, because users do not wait longer for a response.
const POLL_TIMEOUT_S: f64 = 2.0;
/// Maximum time for which a user request waits, as a multiple of the timeout of requests to the state service.
const REQUEST_TIMEOUTS: f64 = 1.5;
/// How long user requests are rejected after the state service was unavailable, as a multiple of the timeout of
/// requests to the state service.
const REJECTION_TIMEOUTS: f64 = 0.5;

/// Why a job can never be scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UnsatisfiableJob {
    /// The team is not configured.
    #[error("unknown team")]
    UnknownTeam,
    /// The job requests more resources than the quota of its team.
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
    /// A task of the job does not fit on any instance type that the job allows.
    #[error("fits no allowed machine type")]
    FitsNoInstanceType,
}

/// Checks that a job could run on an empty cluster with any number of instances.
pub fn check_satisfiable(
    spec: &JobSpec,
    quotas: &Quotas,
    instance_types: &[InstanceType],
) -> Result<(), UnsatisfiableJob> {
    if !quotas.contains_team(&spec.team) {
        return Err(UnsatisfiableJob::UnknownTeam);
    }
    if !quotas.can_ever_run(spec) {
        return Err(UnsatisfiableJob::ExceedsTeamLimit);
    }
    let request = scheduler::resource_request(spec);
    let fits = |instance_type: &InstanceType| {
        Resources::from(instance_type).fits(&request) && allows_instance_type(spec, instance_type)
    };
    if !instance_types.iter().any(fits) {
        return Err(UnsatisfiableJob::FitsNoInstanceType);
    }
    Ok(())
}

/// Whether the job may run on this instance type in at least one zone, as an on-demand or a spot instance.
fn allows_instance_type(spec: &JobSpec, instance_type: &InstanceType) -> bool {
    instance_type.zones.iter().any(|zone| {
        spec.allows(&instance_type.name, zone, false)
            || (spec.spot && spec.allows(&instance_type.name, zone, true))
    })
}

/// Admission control for requests that need the state service.
#[derive(Debug)]
pub(super) struct Admission {
    /// Timeout of requests to the state service, in seconds.
    request_timeout_s: f64,
    /// Time of the latest response, if it said that the state service is unavailable.
    unavailable_at: Option<f64>,
}

impl Admission {
    pub(super) fn new(request_timeout_s: f64) -> Admission {
        Admission {
            request_timeout_s,
            unavailable_at: None,
        }
    }

    /// Updates the availability of the state service from any response.
    pub(super) fn observe_response(&mut self, response: &KvResponse, now: f64) {
        self.unavailable_at = matches!(response, KvResponse::Unavailable).then_some(now);
    }

    /// Rejects a request if too many are waiting, or if the state service was unavailable a moment ago: the user
    /// is better served by an immediate rejection than by a request that waits and then times out.
    pub(super) fn check(&self, waiting: usize, now: f64) -> Result<(), RequestError> {
        if waiting >= MAX_WAITING {
            return Err(RequestError::TooManyWaiting);
        }
        let rejection_s = self.request_timeout_s * REJECTION_TIMEOUTS;
        if self.unavailable_at.is_some_and(|at| now - at < rejection_s) {
            return Err(RequestError::StateServiceUnavailable);
        }
        Ok(())
    }

    /// Deadline of a request that arrives at `now`.
    pub(super) fn deadline(&self, kind: &RequestKind, now: f64) -> f64 {
        let timeout_s = REQUEST_TIMEOUTS * self.request_timeout_s;
        match kind {
            RequestKind::Poll => now + POLL_TIMEOUT_S.min(timeout_s),
            _ => now + timeout_s,
        }
    }
}
