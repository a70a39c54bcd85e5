//! Batches of the job API: transactions in flight that each serve many user requests.

use super::pending_request::PendingRequest;
use crate::bookkeeping::records;
use crate::protocol::kv::KvResponse;
use std::collections::HashMap;

/// Maximum number of transactions in flight, counted separately for revision checks and for job writes.
const MAX_BATCHES_IN_FLIGHT: usize = 6;
/// Fraction of the request timeout after which the next transaction is sent although the previous one has had no
/// response. This keeps requests moving while the state service is slow.
const SLOW_RESPONSE_SHARE: f64 = 1.0 / 50.0;

/// Transactions in flight, with the user requests that each of them serves. Revision checks and job writes each have
/// their own value of this type.
#[derive(Debug, Default)]
pub(super) struct InFlightBatches {
    last_id: u64,
    batches: HashMap<u64, Vec<PendingRequest>>,
    last_sent_at: f64,
}

impl InFlightBatches {
    /// Whether another transaction may be sent. Unless the state service is slow, only one is in flight at a time,
    /// so that many requests gather for the next one.
    pub(super) fn may_send(&self, request_timeout_s: f64, now: f64) -> bool {
        let count = self.batches.len();
        let slow = now - self.last_sent_at > SLOW_RESPONSE_SHARE * request_timeout_s;
        count == 0 || (count < MAX_BATCHES_IN_FLIGHT && slow)
    }

    /// Records that a transaction is sent for `requests`, and returns the id of the batch.
    pub(super) fn add(&mut self, requests: Vec<PendingRequest>, now: f64) -> u64 {
        self.last_id += 1;
        self.last_sent_at = now;
        self.batches.insert(self.last_id, requests);
        self.last_id
    }

    /// Removes a batch whose transaction has a response or has timed out, and returns its requests.
    pub(super) fn complete(&mut self, id: u64) -> Vec<PendingRequest> {
        self.batches.remove(&id).unwrap_or_default()
    }
}

/// Outcome of a transaction for one of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchOutcome {
    /// The transaction was committed at this revision.
    Committed { mod_revision: u64 },
    /// The transaction was not applied because a comparison failed, possibly that of a key of this job.
    Conflict,
    /// The transaction was not applied because of rate limiting, or because only comparisons of other jobs' keys
    /// failed.
    NotApplied,
    /// The transaction may or may not have been applied.
    Unknown,
    /// The state service was unavailable, or its response does not fit a transaction.
    Unavailable,
}

impl BatchOutcome {
    pub(super) fn for_request(pending: &PendingRequest, response: &KvResponse) -> BatchOutcome {
        match response {
            KvResponse::Committed(mod_revision) => BatchOutcome::Committed {
                mod_revision: *mod_revision,
            },
            KvResponse::CompareFailed(keys) if may_concern(pending, keys) => BatchOutcome::Conflict,
            KvResponse::CompareFailed(_) | KvResponse::RateLimited => BatchOutcome::NotApplied,
            KvResponse::OutcomeUnknown => BatchOutcome::Unknown,
            _ => BatchOutcome::Unavailable,
        }
    }
}

/// Whether a failed comparison may be about a key of this request's job. If the state service does not name the
/// failed keys, any job may be affected.
fn may_concern(pending: &PendingRequest, failed_keys: &[String]) -> bool {
    failed_keys.is_empty()
        || failed_keys.contains(&records::open_key(&pending.job))
        || failed_keys.contains(&records::finished_key(&pending.job))
}
