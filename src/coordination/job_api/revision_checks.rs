//! Revision checks: transactions without writes that compare mod revisions and so answer many polls at once.

use super::batches::InFlightBatches;
use super::open_jobs::OpenJobs;
use super::pending_request::{PendingRequest, RequestQueue};
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records;
use crate::coordination::effects::{Effects, KvRequestContext};
use crate::protocol::kv::{COMPARES_PER_WRITE, Compare, KvRequest, Txn};
use crate::settings::StateServiceLimits;
use std::collections::HashSet;

/// Fraction of a controller's request rate that revision checks may use. This suffices because each check serves
/// many polls. The rest is left for lookups and job writes.
const CHECK_SHARE: f64 = 0.5;

/// Polls that wait for the next revision check, and the checks in flight.
#[derive(Debug)]
pub(super) struct RevisionChecks {
    /// Polls that wait for the next check.
    pub(super) polls: RequestQueue,
    in_flight: InFlightBatches,
    /// Maximum number of polls per check.
    max_polls: usize,
    /// Earliest time of the next check.
    next_check_at: f64,
    /// Minimum interval between two checks, in seconds.
    check_interval_s: f64,
}

impl RevisionChecks {
    /// Creates an empty queue. `share` is the fraction of the state service's limits that this controller may use.
    pub(super) fn new(limits: &StateServiceLimits, share: f64) -> RevisionChecks {
        RevisionChecks {
            polls: RequestQueue::default(),
            in_flight: InFlightBatches::default(),
            // Half the allowed comparisons, because a job that is not known to be open takes two.
            max_polls: COMPARES_PER_WRITE * limits.txn_ops / 2,
            next_check_at: 0.0,
            check_interval_s: 1.0 / (CHECK_SHARE * share * limits.rps),
        }
    }

    /// Sends the next check if polls are waiting, a check is due and the request budget suffices.
    pub(super) fn send_due(
        &mut self,
        open: &OpenJobs,
        request_budget: &mut TokenBucket,
        request_timeout_s: f64,
        effects: &mut Effects,
        now: f64,
    ) {
        if self.polls.is_empty()
            || now < self.next_check_at
            || !self.in_flight.may_send(request_timeout_s, now)
            || !request_budget.take(1.0, now)
        {
            return;
        }
        self.next_check_at = now + self.check_interval_s;
        let mut batch = self.polls.take_first(self.max_polls);
        for poll in &mut batch {
            poll.checked_as_open = open.contains(&poll.job);
        }
        let txn = Txn {
            compares: compares(&batch, open),
            writes: Vec::new(),
        };
        let context = KvRequestContext::RevisionCheck(self.in_flight.add(batch, now));
        effects.call_kv(context, KvRequest::Txn(txn), request_timeout_s, now);
    }

    /// Removes a check that has a response or has timed out, and returns its polls.
    pub(super) fn complete(&mut self, check: u64) -> Vec<PendingRequest> {
        self.in_flight.complete(check)
    }
}

/// Builds the comparisons that hold if every job is in the state that this controller knows: open with its mod
/// revision, or neither open nor finished.
fn compares(batch: &[PendingRequest], open: &OpenJobs) -> Vec<Compare> {
    let mut seen = HashSet::new();
    let mut compares = Vec::new();
    for poll in batch {
        if !seen.insert(poll.job.as_str()) {
            continue;
        }
        match open.get(&poll.job) {
            Some(job) => {
                compares.push(Compare::new(records::open_key(&poll.job), job.mod_revision));
            }
            None => {
                compares.push(Compare::new(records::open_key(&poll.job), 0));
                compares.push(Compare::new(records::finished_key(&poll.job), 0));
            }
        }
    }
    compares
}
