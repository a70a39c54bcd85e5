//! The user API, served by every controller: users submit, poll and cancel jobs.
//!
//! The terminal state of a job never changes and is served from memory once it is known. Any other state of a job is
//! confirmed by the state service before it is returned: by a transaction that serves many requests, or by a read of
//! the job's keys. The key of an open job is never rewritten, so an unchanged mod revision proves that the job is
//! still open. Therefore no controller can return an older state of a job (not found, open or finished) than another
//! controller has already returned. The task counts of an open job come from the leader and may be out of date.
//!
//! `Admission` rejects requests that cannot be served in time. The others wait in `RevisionChecks` (polls),
//! `JobWrites` (submissions and cancellations) or `JobLookups` (requests that a comparison of mod revisions
//! cannot answer).

mod admission;
mod batches;
mod lookups;
mod open_jobs;
mod pending_request;
mod responses;
mod revision_checks;
mod terminal_states;
mod writes;

pub use admission::{UnsatisfiableJob, check_satisfiable};
pub use open_jobs::{OpenJob, OpenJobs};

use super::effects::Effects;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{FinishedRecord, JobOutcome};
use crate::protocol::job::{JobSpec, JobStatus};
use crate::protocol::kv::KvResponse;
use crate::protocol::peer::{JobCounts, Termination};
use crate::settings::StateServiceLimits;
use admission::Admission;
use batches::BatchOutcome;
use lookups::{JobLookups, JobRecordState, LookupProgress};
use open_jobs::JobProgress;
use pending_request::{PendingRequest, RequestKind};
use responses::{RequestError, respond_error};
use revision_checks::RevisionChecks;
use std::rc::Rc;
use terminal_states::TerminalStateCache;
use writes::JobWrites;

/// Minimum burst of a rate limit, in requests or write operations.
const MIN_BURST: f64 = 4.0;

/// The job API of a controller.
#[derive(Debug)]
pub struct JobApi {
    open: OpenJobs,
    terminal_states: TerminalStateCache,
    admission: Admission,
    revision_checks: RevisionChecks,
    lookups: JobLookups,
    writes: JobWrites,
    /// Rate limit of this controller's requests to the state service on behalf of users.
    request_budget: TokenBucket,
    /// Timeout of requests to the state service, in seconds.
    request_timeout_s: f64,
}

impl JobApi {
    /// Creates a job API that may use the fraction `share` of the state service's rate limits.
    pub fn new(limits: &StateServiceLimits, share: f64, request_timeout_s: f64) -> JobApi {
        let budget = |limit_per_s: f64| {
            let rate = limit_per_s * share;
            TokenBucket::new(rate, burst_size(rate))
        };
        JobApi {
            open: OpenJobs::default(),
            terminal_states: TerminalStateCache::default(),
            admission: Admission::new(request_timeout_s),
            revision_checks: RevisionChecks::new(limits, share),
            lookups: JobLookups::default(),
            writes: JobWrites::new(budget(limits.write_rps), limits.txn_ops),
            request_budget: budget(limits.rps),
            request_timeout_s,
        }
    }

    // ---- state of jobs

    /// The open jobs that this controller knows of.
    pub fn open_jobs(&self) -> &OpenJobs {
        &self.open
    }

    /// Records an open job. Returns false if the record is older than the known state of the job. Such a record
    /// must not be passed to the leader.
    pub fn on_job_opened(&mut self, mod_revision: u64, spec: JobSpec) -> bool {
        let id = spec.id.clone();
        let spec = Rc::new(spec);
        self.open.insert(&id, OpenJob { mod_revision, spec })
    }

    /// Records that a job is no longer open. Its terminal state is looked up when a user
    /// polls or cancels the job or submits it again.
    pub fn on_job_closed(&mut self, id: &str) {
        self.close(id, None);
    }

    /// Records that a job's `open/` key was deleted at `revision`.
    pub fn on_job_closed_at(&mut self, id: &str, revision: u64) {
        self.close(id, Some(revision));
    }

    /// Processes a complete listing of the open jobs. A lookup in flight of a job that is not listed may have read
    /// an `open/` key that has been deleted since.
    pub fn on_open_jobs_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.lookups.on_open_jobs_listed(is_listed);
    }

    /// Records the terminal state of a job, and removes the job from the open jobs.
    pub fn on_job_finished(&mut self, id: &str, record: FinishedRecord) {
        self.close(id, None);
        self.terminal_states.insert(id, record);
    }

    fn close(&mut self, id: &str, revision: Option<u64>) {
        self.open.close(id, revision);
        self.lookups.on_job_closed(id);
    }

    /// Records the terminal state of a job that this controller has finished or aborted in the state service, and
    /// queues it for the peers.
    pub fn announce_finished(&mut self, id: &str, record: FinishedRecord) {
        self.terminal_states.announce(id, record);
        self.on_job_finished(id, record);
    }

    /// Returns the jobs whose terminal states were recorded since the previous call.
    pub fn take_newly_finished(&mut self) -> Vec<String> {
        self.terminal_states.take_newly_finished()
    }

    /// Removes and returns the terminations that have not been sent to the peers yet.
    pub fn take_unannounced_terminations(&mut self) -> Vec<Termination> {
        self.terminal_states.take_unannounced()
    }

    /// Records the terminations that a peer has sent.
    pub fn on_peer_terminations(&mut self, terminations: &[Termination]) {
        for termination in terminations {
            let is_known = self.terminal_states.get(&termination.job).is_some();
            if !is_known {
                tracing::debug!(
                    job = termination.job,
                    aborted = termination.aborted,
                    "termination received from a peer"
                );
            }
            let outcome = if termination.aborted {
                JobOutcome::Aborted
            } else {
                JobOutcome::Done
            };
            let record = FinishedRecord {
                outcome,
                completed_tasks: termination.done,
            };
            self.on_job_finished(&termination.job, record);
        }
    }

    /// Records the progress of jobs as received from the leader. Ignores jobs that are not known to be open.
    pub fn on_job_counts(&mut self, counts: &[JobCounts]) {
        for job in counts {
            let progress = JobProgress {
                completed_tasks: job.done,
                running_tasks: job.running,
            };
            self.open.set_progress(&job.job, progress);
        }
    }

    // ---- write rate

    /// Returns the number of write operations sent to the state service since the previous call.
    pub fn take_writes_sent(&mut self) -> f64 {
        self.writes.take_operations_sent()
    }

    /// Sets the rate limit of write operations on behalf of users.
    pub fn set_write_rate(&mut self, per_s: f64, now: f64) {
        self.writes.set_rate(per_s, now);
    }

    // ---- user requests

    /// Processes a user's poll of a job.
    pub fn on_status_request(
        &mut self,
        request_id: u64,
        id: &str,
        effects: &mut Effects,
        now: f64,
    ) {
        self.admit(request_id, id, RequestKind::Poll, effects, now);
    }

    /// Processes the submission of a job. `satisfiable` is the result of [`check_satisfiable`]. A job that can
    /// never run is rejected, unless it has been accepted earlier.
    pub fn on_submit(
        &mut self,
        request_id: u64,
        spec: JobSpec,
        satisfiable: Result<(), UnsatisfiableJob>,
        effects: &mut Effects,
        now: f64,
    ) {
        let id = spec.id.clone();
        let kind = match satisfiable {
            Ok(()) => RequestKind::Submit(Rc::new(spec)),
            Err(error) => RequestKind::SubmitUnsatisfiable(error),
        };
        self.admit(request_id, &id, kind, effects, now);
    }

    /// Processes the cancellation of a job.
    pub fn on_cancel(&mut self, request_id: u64, id: &str, effects: &mut Effects, now: f64) {
        self.admit(request_id, id, RequestKind::Cancel, effects, now);
    }

    /// Responds to a request from memory if the job is known to have finished. Otherwise enqueues the request for the
    /// state service, or rejects it if admission control does.
    fn admit(
        &mut self,
        request_id: u64,
        id: &str,
        kind: RequestKind,
        effects: &mut Effects,
        now: f64,
    ) {
        if let Some(record) = self.terminal_states.get(id) {
            self.respond_finished(request_id, id, &kind, record, effects);
            return;
        }
        if let Err(error) = self.admission.check(self.waiting_requests(), now) {
            respond_error(request_id, error, effects);
            return;
        }
        self.enqueue(PendingRequest {
            request_id,
            job: id.to_owned(),
            deadline: self.admission.deadline(&kind, now),
            kind,
            checked_as_open: false,
            written_state: None,
        });
        self.send_due_requests(effects, now);
    }

    /// Number of requests that are queued or wait for a lookup. Requests in a transaction in flight are not counted.
    fn waiting_requests(&self) -> usize {
        self.revision_checks.polls.len() + self.writes.queue.len() + self.lookups.waiting_requests()
    }

    fn enqueue(&mut self, pending: PendingRequest) {
        match &pending.kind {
            RequestKind::Poll => self.revision_checks.polls.enqueue(pending),
            RequestKind::Submit(_) => self.writes.queue.enqueue(pending),
            RequestKind::Cancel if self.open.contains(&pending.job) => {
                self.writes.queue.enqueue(pending);
            }
            RequestKind::Cancel | RequestKind::SubmitUnsatisfiable(_) => {
                self.lookups.enqueue(pending);
            }
        }
    }

    // ---- requests to the state service

    /// Rejects the queued polls and writes whose deadline has passed, and sends the requests to the state service
    /// that are due. The deadline of a request that waits for a lookup is checked when the lookup completes.
    ///
    /// Lookups have priority over revision checks in the use of the request budget. A delayed revision check
    /// loses nothing, because it then answers more polls at once. If revision checks came first, a controller with
    /// many polls would never have budget left for a lookup.
    pub fn send_due_requests(&mut self, effects: &mut Effects, now: f64) {
        self.expire_requests(effects, now);
        let timeout_s = self.request_timeout_s;
        let budget = &mut self.request_budget;
        self.lookups.send_due(budget, timeout_s, effects, now);
        self.revision_checks
            .send_due(&self.open, budget, timeout_s, effects, now);
        let not_open = self
            .writes
            .send_due(&self.open, budget, timeout_s, effects, now);
        for cancellation in not_open {
            self.lookups.enqueue(cancellation);
        }
    }

    fn expire_requests(&mut self, effects: &mut Effects, now: f64) {
        let polls = self.revision_checks.polls.take_expired(now);
        let writes = self.writes.queue.take_expired(now);
        for pending in polls.into_iter().chain(writes) {
            respond_error(pending.request_id, RequestError::TimedOut, effects);
        }
    }

    /// Processes the response to a revision check.
    pub fn on_revision_check_completed(
        &mut self,
        check: u64,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) {
        self.admission.observe_response(&response, now);
        for poll in self.revision_checks.complete(check) {
            match BatchOutcome::for_request(&poll, &response) {
                BatchOutcome::Committed { .. } => self.respond_to_poll(poll, effects),
                BatchOutcome::Conflict => self.lookups.enqueue(poll),
                BatchOutcome::NotApplied => self.revision_checks.polls.enqueue(poll),
                BatchOutcome::Unknown | BatchOutcome::Unavailable => {
                    let error = RequestError::StateServiceUnavailable;
                    respond_error(poll.request_id, error, effects);
                }
            }
        }
        self.send_due_requests(effects, now);
    }

    /// Processes the response to a transaction of submissions and cancellations. Returns the jobs that the
    /// transaction has opened and that have not been closed since.
    pub fn on_writes_completed(
        &mut self,
        batch: u64,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) -> Vec<OpenJob> {
        self.admission.observe_response(&response, now);
        let mut opened = Vec::new();
        for pending in self.writes.complete(batch) {
            match BatchOutcome::for_request(&pending, &response) {
                BatchOutcome::Committed { mod_revision } => {
                    opened.extend(self.on_write_committed(pending, mod_revision, effects));
                }
                BatchOutcome::NotApplied => self.writes.queue.enqueue(pending),
                // After a conflict or an unknown outcome, a lookup reads which state of the job is stored.
                BatchOutcome::Conflict | BatchOutcome::Unknown => self.lookups.enqueue(pending),
                BatchOutcome::Unavailable => {
                    let error = RequestError::StateServiceUnavailable;
                    respond_error(pending.request_id, error, effects);
                }
            }
        }
        self.send_due_requests(effects, now);
        opened
    }

    /// Records a committed submission or cancellation and responds to the user. Returns the job if it was opened
    /// and has not been closed since.
    fn on_write_committed(
        &mut self,
        pending: PendingRequest,
        mod_revision: u64,
        effects: &mut Effects,
    ) -> Option<OpenJob> {
        let id = &pending.job;
        if let Some(record) = pending.written_state {
            tracing::debug!(job = id, mod_revision, "job cancelled");
            self.on_job_closed_at(id, mod_revision);
            self.announce_finished(id, record);
            self.respond_finished(pending.request_id, id, &pending.kind, record, effects);
            return None;
        }
        let RequestKind::Submit(spec) = &pending.kind else {
            return None;
        };
        let job = OpenJob {
            mod_revision,
            spec: spec.clone(),
        };
        let is_open = self.open.insert(id, job.clone());
        tracing::debug!(
            job = id,
            mod_revision,
            class = spec.class,
            tasks = spec.tasks,
            "job accepted"
        );
        match self.terminal_states.get(id) {
            // The job finished before the response to the transaction of its submission arrived.
            Some(record) => {
                self.respond_finished(pending.request_id, id, &pending.kind, record, effects);
            }
            None => effects.respond_job_status(pending.request_id, 201, id, JobStatus::Queued),
        }
        is_open.then_some(job)
    }

    /// Processes the response to one of the reads of a lookup.
    pub fn on_lookup_completed(
        &mut self,
        id: &str,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) {
        self.admission.observe_response(&response, now);
        let timeout_s = self.request_timeout_s;
        let progress = self
            .lookups
            .on_response(id, response, timeout_s, effects, now);
        match progress {
            LookupProgress::Pending => return,
            LookupProgress::Requeued => {}
            LookupProgress::Completed { state, requests } => {
                self.record_lookup(id, &state);
                for pending in requests {
                    self.respond_after_lookup(pending, &state, effects, now);
                }
            }
        }
        self.send_due_requests(effects, now);
    }

    fn record_lookup(&mut self, id: &str, state: &JobRecordState) {
        match state {
            JobRecordState::Open(job) => {
                self.open.insert(id, job.clone());
            }
            JobRecordState::Finished(record) => self.on_job_finished(id, *record),
            JobRecordState::NotFound | JobRecordState::Undetermined => {}
        }
    }

    // ---- responses

    /// Responds to a poll after its revision check has succeeded. Updates that arrived after the check was sent are
    /// newer and take precedence. A job that was open in the check and has been closed since is looked up, so that
    /// the user is never told that this job does not exist.
    fn respond_to_poll(&mut self, poll: PendingRequest, effects: &mut Effects) {
        let request_id = poll.request_id;
        if let Some(record) = self.terminal_states.get(&poll.job) {
            self.respond_finished(request_id, &poll.job, &poll.kind, record, effects);
        } else if self.open.contains(&poll.job) {
            effects.respond(request_id, 200, &self.open.view(&poll.job));
        } else if poll.checked_as_open {
            self.lookups.enqueue(poll);
        } else {
            respond_error(request_id, RequestError::NoSuchJob, effects);
        }
    }

    /// Responds to a request with the result of a lookup, or enqueues the request for a write.
    fn respond_after_lookup(
        &mut self,
        pending: PendingRequest,
        state: &JobRecordState,
        effects: &mut Effects,
        now: f64,
    ) {
        let request_id = pending.request_id;
        let id = &pending.job;
        // A terminal state is returned even after the deadline, because it cannot be out of date.
        if let JobRecordState::Finished(record) = state {
            self.respond_finished(request_id, id, &pending.kind, *record, effects);
            return;
        }
        if now >= pending.deadline {
            respond_error(request_id, RequestError::TimedOut, effects);
            return;
        }
        match (state, &pending.kind) {
            (JobRecordState::Open(_), RequestKind::Poll) => {
                effects.respond(request_id, 200, &self.open.view(id));
            }
            (
                JobRecordState::Open(_),
                RequestKind::Submit(_) | RequestKind::SubmitUnsatisfiable(_),
            ) => {
                let status = self.open.view(id).status;
                effects.respond_job_status(request_id, 200, id, status);
            }
            (JobRecordState::Open(_), RequestKind::Cancel)
            | (JobRecordState::NotFound, RequestKind::Submit(_)) => {
                self.writes.queue.enqueue(pending);
            }
            (JobRecordState::NotFound, RequestKind::SubmitUnsatisfiable(error)) => {
                respond_error(request_id, RequestError::from(*error), effects);
            }
            (JobRecordState::NotFound, RequestKind::Poll | RequestKind::Cancel) => {
                respond_error(request_id, RequestError::NoSuchJob, effects);
            }
            (JobRecordState::Undetermined | JobRecordState::Finished(_), _) => {
                respond_error(request_id, RequestError::TimedOut, effects);
            }
        }
    }

    fn respond_finished(
        &self,
        request_id: u64,
        id: &str,
        kind: &RequestKind,
        record: FinishedRecord,
        effects: &mut Effects,
    ) {
        let terminal_states = &self.terminal_states;
        responses::respond_finished(request_id, id, kind, record, terminal_states, effects);
    }
}

/// Burst of a rate limit with the given rate. The state service accepts bursts of up to one second's worth of its rate,
/// so the burst here is one second's worth of the given rate, but at least [`MIN_BURST`].
fn burst_size(per_s: f64) -> f64 {
    per_s.max(MIN_BURST)
}
