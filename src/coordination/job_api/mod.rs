//! The user API: submits, polls and cancels jobs, the same on every controller.
//!
//! A terminal state never changes and is answered from memory. Any other answer is confirmed by the
//! state service, many at a time: the key of an open job never changes, so a comparison of mod revisions
//! shows that the job is still open. So no controller can give an older answer than another has given.
//!
//! `Admission` refuses requests at once, the others wait in `RevisionChecks` (polls), `JobWrites`
//! (submissions and cancellations) or `JobLookups` (whatever a comparison has failed to confirm).

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

/// Least burst of a budget, in requests or write operations.
const MIN_BURST: f64 = 4.0;

/// A controller's job API.
#[derive(Debug)]
pub struct JobApi {
    open: OpenJobs,
    terminal_states: TerminalStateCache,
    admission: Admission,
    revision_checks: RevisionChecks,
    lookups: JobLookups,
    writes: JobWrites,
    /// Requests that this controller may make to the state service on behalf of users.
    request_budget: TokenBucket,
    /// Timeout of the calls to the state service, in seconds.
    request_timeout_s: f64,
}

impl JobApi {
    /// A job API that may use this share of the state service's limits.
    pub fn new(limits: &StateServiceLimits, share: f64, request_timeout_s: f64) -> JobApi {
        let budget = |limit_per_s: f64| {
            let rate = limit_per_s * share;
            TokenBucket::new(rate, burst_of(rate))
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

    // ---- what is known of jobs

    /// The open jobs, as far as known.
    pub fn open_jobs(&self) -> &OpenJobs {
        &self.open
    }

    /// Records an open job. Returns false if the record is older than what is known of the job: then it
    /// is no news for the leader either.
    pub fn on_job_opened(&mut self, mod_revision: u64, spec: JobSpec) -> bool {
        let id = spec.id.clone();
        let spec = Rc::new(spec);
        self.open.insert(&id, OpenJob { mod_revision, spec })
    }

    /// Records that a job is no longer open; how it finished is looked up when a user asks.
    pub fn on_job_closed(&mut self, id: &str) {
        self.close(id, None);
    }

    /// Records that a job's `open/` key was deleted at a revision.
    pub fn on_job_closed_at(&mut self, id: &str, revision: u64) {
        self.close(id, Some(revision));
    }

    /// The open jobs were listed: what a lookup in flight has read of one that is not listed may be older.
    pub fn on_open_jobs_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.lookups.on_open_jobs_listed(is_listed);
    }

    /// Records how a job finished.
    pub fn on_job_finished(&mut self, id: &str, record: FinishedRecord) {
        self.close(id, None);
        self.terminal_states.insert(id, record);
    }

    fn close(&mut self, id: &str, revision: Option<u64>) {
        self.open.close(id, revision);
        self.lookups.on_job_closed(id);
    }

    /// Records how a job finished that this controller has finished or aborted in the state service.
    pub fn announce_finished(&mut self, id: &str, record: FinishedRecord) {
        self.terminal_states.announce(id, record);
        self.on_job_finished(id, record);
    }

    /// Jobs learnt to have finished since this was last called.
    pub fn take_newly_finished(&mut self) -> Vec<String> {
        self.terminal_states.take_newly_finished()
    }

    /// Terminations that the peers have not been told yet.
    pub fn take_unannounced_terminations(&mut self) -> Vec<Termination> {
        self.terminal_states.take_unannounced()
    }

    /// Takes the terminations that a peer announces.
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

    /// Takes the progress of jobs that the leader reports.
    pub fn on_job_counts(&mut self, counts: &[JobCounts]) {
        for job in counts {
            let progress = JobProgress {
                completed_tasks: job.done,
                running_tasks: job.running,
            };
            self.open.set_progress(&job.job, progress);
        }
    }

    // ---- the budget of writes

    /// Write operations sent to the state service since this was last called.
    pub fn take_writes_sent(&mut self) -> f64 {
        self.writes.take_operations_sent()
    }

    /// Sets the write operations a second that this controller may make for its users.
    pub fn set_write_rate(&mut self, per_s: f64, now: f64) {
        self.writes.set_rate(per_s, now);
    }

    // ---- requests of users

    /// A user polls a job.
    pub fn on_status_request(&mut self, request: u64, id: &str, effects: &mut Effects, now: f64) {
        self.admit(request, id, RequestKind::Poll, effects, now);
    }

    /// A user submits a job, which is satisfiable or not (see [`check_satisfiable`]). One that can never
    /// run is refused, unless it was accepted before.
    pub fn on_submit(
        &mut self,
        request: u64,
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
        self.admit(request, &id, kind, effects, now);
    }

    /// A user cancels a job.
    pub fn on_cancel(&mut self, request: u64, id: &str, effects: &mut Effects, now: f64) {
        self.admit(request, id, RequestKind::Cancel, effects, now);
    }

    /// Answers a request for a finished job from memory; any other one waits for the state service, or
    /// is refused.
    fn admit(
        &mut self,
        request: u64,
        id: &str,
        kind: RequestKind,
        effects: &mut Effects,
        now: f64,
    ) {
        if let Some(record) = self.terminal_states.get(id) {
            self.respond_finished(request, id, &kind, record, effects);
            return;
        }
        if let Err(error) = self.admission.check(self.waiting(), now) {
            respond_error(request, error, effects);
            return;
        }
        self.enqueue(PendingRequest {
            request_id: request,
            job: id.to_owned(),
            deadline: self.admission.deadline(&kind, now),
            kind,
            checked_as_open: false,
            written_state: None,
        });
        self.send_due_requests(effects, now);
    }

    /// Requests that wait to be sent, or for a lookup.
    fn waiting(&self) -> usize {
        self.revision_checks.polls.len() + self.writes.queue.len() + self.lookups.waiting()
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

    // ---- calls to the state service

    /// Gives up the requests that have waited too long, and makes the calls that are due.
    ///
    /// Lookups go first: revision checks take as many polls as there are, and can wait for more. The
    /// other way round, a controller that many users ask would never get to a lookup.
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

    /// Takes the response to a revision check.
    pub fn on_revision_check_completed(
        &mut self,
        check: u64,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) {
        self.admission.observe_response(&response, now);
        for poll in self.revision_checks.complete(check) {
            match BatchOutcome::of(&poll, &response) {
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

    /// Takes the response to a transaction of submissions and cancellations. Returns the jobs that it
    /// has opened.
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
            match BatchOutcome::of(&pending, &response) {
                BatchOutcome::Committed { mod_revision } => {
                    opened.extend(self.on_write_committed(pending, mod_revision, effects));
                }
                BatchOutcome::NotApplied => self.writes.queue.enqueue(pending),
                // A write of unknown outcome may have been applied: the answer is what is there.
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

    /// Records a submission or cancellation that was written, and responds. Returns the job, if one was
    /// opened.
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
            // The response was late: the job has been opened and has ended since.
            Some(record) => {
                self.respond_finished(pending.request_id, id, &pending.kind, record, effects);
            }
            None => effects.respond_job_status(pending.request_id, 201, id, JobStatus::Queued),
        }
        is_open.then_some(job)
    }

    /// Takes the response to a read of a lookup.
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

    /// Answers a poll by a comparison that held. What has become known since then is newer and goes
    /// first; a job that was open and has been closed since is looked up, never denied.
    fn respond_to_poll(&mut self, poll: PendingRequest, effects: &mut Effects) {
        let request = poll.request_id;
        if let Some(record) = self.terminal_states.get(&poll.job) {
            self.respond_finished(request, &poll.job, &poll.kind, record, effects);
        } else if self.open.contains(&poll.job) {
            effects.respond(request, 200, &self.open.view(&poll.job));
        } else if poll.checked_as_open {
            self.lookups.enqueue(poll);
        } else {
            respond_error(request, RequestError::NoSuchJob, effects);
        }
    }

    /// Answers a request by what a lookup has found, or passes it on to be written.
    fn respond_after_lookup(
        &mut self,
        pending: PendingRequest,
        state: &JobRecordState,
        effects: &mut Effects,
        now: f64,
    ) {
        let request = pending.request_id;
        let id = &pending.job;
        // A terminal state is answered however late it is.
        if let JobRecordState::Finished(record) = state {
            self.respond_finished(request, id, &pending.kind, *record, effects);
            return;
        }
        if now >= pending.deadline {
            respond_error(request, RequestError::TimedOut, effects);
            return;
        }
        match (state, &pending.kind) {
            (JobRecordState::Open(_), RequestKind::Poll) => {
                effects.respond(request, 200, &self.open.view(id));
            }
            (
                JobRecordState::Open(_),
                RequestKind::Submit(_) | RequestKind::SubmitUnsatisfiable(_),
            ) => {
                let status = self.open.view(id).status;
                effects.respond_job_status(request, 200, id, status);
            }
            (JobRecordState::Open(_), RequestKind::Cancel)
            | (JobRecordState::NotFound, RequestKind::Submit(_)) => {
                self.writes.queue.enqueue(pending);
            }
            (JobRecordState::NotFound, RequestKind::SubmitUnsatisfiable(error)) => {
                respond_error(request, RequestError::from(*error), effects);
            }
            (JobRecordState::NotFound, RequestKind::Poll | RequestKind::Cancel) => {
                respond_error(request, RequestError::NoSuchJob, effects);
            }
            (JobRecordState::Undetermined | JobRecordState::Finished(_), _) => {
                respond_error(request, RequestError::TimedOut, effects);
            }
        }
    }

    fn respond_finished(
        &self,
        request: u64,
        id: &str,
        kind: &RequestKind,
        record: FinishedRecord,
        effects: &mut Effects,
    ) {
        let recorded = &self.terminal_states;
        responses::respond_finished(request, id, kind, record, recorded, effects);
    }
}

/// The burst of a budget: one second's worth, as the state service allows, and some at any rate.
fn burst_of(per_s: f64) -> f64 {
    per_s.max(MIN_BURST)
}
