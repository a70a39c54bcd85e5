//! Transactions of the job API that are in flight, each on behalf of many requests.

use super::pending_request::PendingRequest;
use crate::bookkeeping::records;
use crate::protocol::kv::KvResponse;
use std::collections::HashMap;

/// Transactions of one kind that may be in flight at a time.
const MAX_BATCHES_IN_FLIGHT: usize = 6;
/// Share of the request timeout after which the next transaction no longer waits for the one before,
/// which a slow state service takes long to answer.
const SLOW_RESPONSE_SHARE: f64 = 1.0 / 50.0;

/// Transactions of one kind that are in flight, with the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct InFlightBatches {
    last_id: u64,
    batches: HashMap<u64, Vec<PendingRequest>>,
    last_sent_at: f64,
}

impl InFlightBatches {
    /// Whether another transaction may be sent. Usually there is one at a time, so that many requests
    /// go into it.
    pub(super) fn may_send(&self, request_timeout_s: f64, now: f64) -> bool {
        let count = self.batches.len();
        let slow = now - self.last_sent_at > SLOW_RESPONSE_SHARE * request_timeout_s;
        count == 0 || (count < MAX_BATCHES_IN_FLIGHT && slow)
    }

    /// Adds a transaction that is being sent, and returns its id.
    pub(super) fn add(&mut self, requests: Vec<PendingRequest>, now: f64) -> u64 {
        self.last_id += 1;
        self.last_sent_at = now;
        self.batches.insert(self.last_id, requests);
        self.last_id
    }

    /// Removes a transaction that was answered, and returns the requests that waited for it.
    pub(super) fn complete(&mut self, id: u64) -> Vec<PendingRequest> {
        self.batches.remove(&id).unwrap_or_default()
    }
}

/// What the response to a transaction means for one of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchOutcome {
    /// The transaction was applied, at this revision.
    Committed { mod_revision: u64 },
    /// The job's keys are not as they were taken to be.
    Conflict,
    /// The transaction was not applied, for reasons that lie in other jobs or in the rate of requests.
    NotApplied,
    /// The transaction may have been applied.
    Unknown,
    /// The state service did not serve the transaction.
    Unavailable,
}

impl BatchOutcome {
    pub(super) fn of(pending: &PendingRequest, response: &KvResponse) -> BatchOutcome {
        match response {
            KvResponse::Committed(mod_revision) => BatchOutcome::Committed {
                mod_revision: *mod_revision,
            },
            KvResponse::CompareFailed(keys) if concerns(pending, keys) => BatchOutcome::Conflict,
            KvResponse::CompareFailed(_) | KvResponse::RateLimited => BatchOutcome::NotApplied,
            KvResponse::OutcomeUnknown => BatchOutcome::Unknown,
            _ => BatchOutcome::Unavailable,
        }
    }
}

/// Whether a failed comparison may be about the job of this request; no keys: about any job.
fn concerns(pending: &PendingRequest, failed_keys: &[String]) -> bool {
    failed_keys.is_empty()
        || failed_keys.contains(&records::open_key(&pending.job))
        || failed_keys.contains(&records::finished_key(&pending.job))
}
