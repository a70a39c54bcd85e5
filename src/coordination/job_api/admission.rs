//! Admission of user requests: which are refused at once, and how long the others may wait.

use super::pending_request::RequestKind;
use super::responses::RequestError;
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::workers::Resources;
use crate::coordination::scheduler;
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobSpec;
use crate::protocol::kv::KvResponse;

/// Requests that may wait; more are refused at once.
const MAX_WAITING: usize = 2_000;
/// Seconds that users wait for the answer to a poll; a later answer is of no use to them.
const POLL_TIMEOUT_S: f64 = 2.0;
/// Time that a request may wait, in timeouts of the calls to the state service.
const REQUEST_TIMEOUTS: f64 = 1.5;
/// Time for which requests are refused after the state service was unavailable, in timeouts of the
/// calls to it.
const REFUSAL_TIMEOUTS: f64 = 0.5;

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UnsatisfiableJob {
    /// The platform has no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// The job asks for more than its team may ever use.
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
    /// A task of the job fits no instance type that the job allows.
    #[error("fits no allowed machine type")]
    FitsNoInstanceType,
}

/// Checks that a job could run if the fleet were empty and of any size.
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

/// Whether the job may run on this type in some zone, as an on-demand or a spot instance.
fn allows_instance_type(spec: &JobSpec, instance_type: &InstanceType) -> bool {
    instance_type.zones.iter().any(|zone| {
        spec.allows(&instance_type.name, zone, false)
            || (spec.spot && spec.allows(&instance_type.name, zone, true))
    })
}

/// Decides whether a request may wait for the state service.
#[derive(Debug)]
pub(super) struct Admission {
    /// Timeout of the calls to the state service, in seconds.
    request_timeout_s: f64,
    /// When the state service was unavailable, if that is what its latest response said.
    unavailable_at: Option<f64>,
}

impl Admission {
    pub(super) fn new(request_timeout_s: f64) -> Admission {
        Admission {
            request_timeout_s,
            unavailable_at: None,
        }
    }

    /// Learns from any response of the state service whether it is available.
    pub(super) fn observe_response(&mut self, response: &KvResponse, now: f64) {
        self.unavailable_at = matches!(response, KvResponse::Unavailable).then_some(now);
    }

    /// Refuses a request when too many are waiting, or when the state service can't confirm it now: it
    /// is then better refused at once than held back.
    pub(super) fn check(&self, waiting: usize, now: f64) -> Result<(), RequestError> {
        if waiting >= MAX_WAITING {
            return Err(RequestError::TooManyWaiting);
        }
        let refusal_s = self.request_timeout_s * REFUSAL_TIMEOUTS;
        if self.unavailable_at.is_some_and(|at| now - at < refusal_s) {
            return Err(RequestError::StateServiceUnavailable);
        }
        Ok(())
    }

    /// When a request that arrives now is given up.
    pub(super) fn deadline(&self, kind: &RequestKind, now: f64) -> f64 {
        let timeout_s = REQUEST_TIMEOUTS * self.request_timeout_s;
        match kind {
            RequestKind::Poll => now + POLL_TIMEOUT_S.min(timeout_s),
            _ => now + timeout_s,
        }
    }
}
