//! Lookups: reads of the keys of a single job, for requests that a comparison of mod revisions cannot answer.

use super::open_jobs::OpenJob;
use super::pending_request::PendingRequest;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, FinishedRecord};
use crate::coordination::effects::{Effects, KvRequestContext};
use crate::protocol::cbor;
use crate::protocol::job::JobSpec;
use crate::protocol::kv::{KeyValue, KvRequest, KvResponse};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Maximum number of lookups in flight.
const MAX_LOOKUPS: usize = 8;
/// Maximum number of requests to the state service per lookup. A lookup takes this many from the request budget.
const REQUESTS_PER_LOOKUP: f64 = 2.0;

/// The lookup of one job.
#[derive(Debug, Default)]
struct JobLookup {
    /// Requests that get a response from the result of this lookup.
    waiting: Vec<PendingRequest>,
    /// Requests that arrived while the lookup was in flight. Its result may be older than these requests, so they
    /// wait for another lookup.
    arrived_later: Vec<PendingRequest>,
    phase: LookupPhase,
    /// The job was closed, or may have been, while the lookup was queued or in flight. If the lookup then finds an
    /// `open/` key, that result is out of date.
    closed_meanwhile: bool,
}

/// Progress of a lookup. The `open/` key is read before the `over/` key, so that a job that finishes between
/// the two reads is still found.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LookupPhase {
    #[default]
    Queued,
    ReadingOpen,
    ReadingFinished,
}

/// Result of a lookup.
#[derive(Debug, Clone)]
pub(super) enum JobRecordState {
    Open(OpenJob),
    Finished(FinishedRecord),
    /// The job has neither an `open/` nor an `over/` key.
    NotFound,
    /// The state service gave no usable response, or the record cannot be decoded.
    Undetermined,
}

/// State of a lookup after the response to one of its reads.
#[derive(Debug)]
pub(super) enum LookupProgress {
    /// There is no result yet: either the next key is being read, or no lookup of this job is in progress.
    Pending,
    /// The result is older than an update received meanwhile. The requests wait for another lookup.
    Requeued,
    /// The lookup is complete.
    Completed {
        state: JobRecordState,
        /// The requests to which to respond with this result.
        requests: Vec<PendingRequest>,
    },
}

/// The queued lookups and those in flight.
#[derive(Debug, Default)]
pub(super) struct JobLookups {
    lookups: HashMap<String, JobLookup>,
    queue: VecDeque<String>,
    in_flight: usize,
}

impl JobLookups {
    /// Number of requests that wait for a lookup.
    pub(super) fn waiting_requests(&self) -> usize {
        self.lookups
            .values()
            .map(|lookup| lookup.waiting.len() + lookup.arrived_later.len())
            .sum()
    }

    /// Adds a request to the queued lookup of its job. If that lookup is in flight, the request waits for the
    /// following one.
    pub(super) fn enqueue(&mut self, pending: PendingRequest) {
        let job = pending.job.clone();
        let lookup = self.lookups.entry(job.clone()).or_default();
        if lookup.phase != LookupPhase::Queued {
            lookup.arrived_later.push(pending);
            return;
        }
        if lookup.waiting.is_empty() {
            self.queue.push_back(job);
        }
        lookup.waiting.push(pending);
    }

    /// Records that a job has been closed.
    pub(super) fn on_job_closed(&mut self, job: &str) {
        if let Some(lookup) = self.lookups.get_mut(job) {
            lookup.closed_meanwhile = true;
        }
    }

    /// Processes a complete listing of the open jobs. A job that is not listed may have been closed after a lookup
    /// has read its key.
    pub(super) fn on_open_jobs_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        for (job, lookup) in &mut self.lookups {
            lookup.closed_meanwhile |= !is_listed(job);
        }
    }

    /// Starts queued lookups as the request budget permits.
    pub(super) fn send_due(
        &mut self,
        request_budget: &mut TokenBucket,
        request_timeout_s: f64,
        effects: &mut Effects,
        now: f64,
    ) {
        while self.in_flight < MAX_LOOKUPS && !self.queue.is_empty() {
            if !request_budget.take(REQUESTS_PER_LOOKUP, now) {
                break;
            }
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            self.in_flight += 1;
            let phase = LookupPhase::ReadingOpen;
            self.send_read(&job, phase, request_timeout_s, effects, now);
        }
    }

    fn send_read(
        &mut self,
        job: &str,
        phase: LookupPhase,
        request_timeout_s: f64,
        effects: &mut Effects,
        now: f64,
    ) {
        if let Some(lookup) = self.lookups.get_mut(job) {
            lookup.phase = phase;
        }
        let key = match phase {
            LookupPhase::ReadingFinished => records::finished_key(job),
            LookupPhase::Queued | LookupPhase::ReadingOpen => records::open_key(job),
        };
        let context = KvRequestContext::JobLookup(job.to_owned());
        effects.call_kv(context, KvRequest::Get(key), request_timeout_s / 2.0, now);
    }

    /// Processes the response to the read of one of the job's keys.
    pub(super) fn on_response(
        &mut self,
        job: &str,
        response: KvResponse,
        request_timeout_s: f64,
        effects: &mut Effects,
        now: f64,
    ) -> LookupProgress {
        let state = match response {
            KvResponse::Value(item) => read_record(job, &item),
            KvResponse::NotFound if self.phase(job) == LookupPhase::ReadingOpen => {
                let phase = LookupPhase::ReadingFinished;
                self.send_read(job, phase, request_timeout_s, effects, now);
                return LookupProgress::Pending;
            }
            KvResponse::NotFound => JobRecordState::NotFound,
            _ => JobRecordState::Undetermined,
        };
        self.complete(job, state)
    }

    fn phase(&self, job: &str) -> LookupPhase {
        self.lookups
            .get(job)
            .map_or(LookupPhase::Queued, |lookup| lookup.phase)
    }

    /// Ends a lookup. The requests that its result cannot answer are enqueued for another one.
    fn complete(&mut self, job: &str, state: JobRecordState) -> LookupProgress {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(lookup) = self.lookups.remove(job) else {
            return LookupProgress::Pending;
        };
        if lookup.closed_meanwhile && matches!(state, JobRecordState::Open(_)) {
            for pending in lookup.waiting.into_iter().chain(lookup.arrived_later) {
                self.enqueue(pending);
            }
            return LookupProgress::Requeued;
        }
        for pending in lookup.arrived_later {
            self.enqueue(pending);
        }
        LookupProgress::Completed {
            state,
            requests: lookup.waiting,
        }
    }
}

/// Decodes the record under a job's `open/` or `over/` key. Returns `Undetermined` if that fails.
fn read_record(job: &str, item: &KeyValue) -> JobRecordState {
    let state = if item.key == records::open_key(job) {
        cbor::from_value::<JobSpec>(&item.value).map(|spec| {
            JobRecordState::Open(OpenJob {
                mod_revision: item.mod_revision,
                spec: Rc::new(spec),
            })
        })
    } else {
        cbor::from_value(&item.value).map(JobRecordState::Finished)
    };
    state.unwrap_or(JobRecordState::Undetermined)
}
