//! The user API: submits, polls and cancels, the same on every controller.
//!
//! A final state never changes and is answered from memory. Any other answer is confirmed by the
//! state service, many at a time: open jobs never change their key, so a comparison of versions
//! shows that they are still open. So no controller can give an older answer than another has given.

mod batches;
mod pending_request;
mod terminal_states;

use super::effects::{Effects, KvRequestKind};
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::protocol::cbor;
use crate::protocol::job::{JobSpec, JobStatus, JobView};
use crate::protocol::kv::{COMPARES_PER_WRITE, Compare, KvRequest, KvResponse, Txn, WriteOp};
use crate::protocol::peer::{JobCounts, Termination};
use crate::settings::StateLimits;
use batches::InFlightBatches;
use pending_request::{PendingRequest, RequestKind};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use terminal_states::TerminalStateCache;

/// A look at the keys of one job, for those who ask.
#[derive(Debug, Default)]
struct JobLookup {
    waiting: Vec<PendingRequest>,
    /// Those who came while the look was on its way: what it finds may be older than their request.
    arrived_later: Vec<PendingRequest>,
    phase: LookupPhase,
    /// The watch has meanwhile told that the job is closed: an open key that it finds is old.
    closed_meanwhile: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LookupPhase {
    #[default]
    Queued,
    ReadingOpen,
    ReadingFinished,
}

/// What is known of a job's key.
#[derive(Debug, Clone)]
enum JobRecordState {
    Open(u64, Rc<JobSpec>),
    Finished(FinishedRecord),
    Unknown,
}

/// Open jobs with their versions.
pub type OpenJobs = BTreeMap<String, (u64, Rc<JobSpec>)>;

/// Requests that may wait; more are refused at once.
const MAX_WAITING: usize = 2_000;
/// Share of a controller's requests for comparisons, which answer many polls each; the rest is for looks.
const CHECK_SHARE: f64 = 0.5;
/// Users wait so long for the answer to a poll; an answer that comes later is of no use to them.
const POLL_PATIENCE_S: f64 = 2.0;
/// Jobs looked up at a time.
const MAX_LOOKUPS: usize = 8;

/// A controller's job API.
#[derive(Debug)]
pub struct JobApi {
    /// Open jobs, as the watch shows them; perhaps late.
    pub open: OpenJobs,
    terminal_states: TerminalStateCache,
    /// Display counts, from the leader.
    pub counts: HashMap<String, (u32, u32)>,
    polls: VecDeque<PendingRequest>,
    writes: VecDeque<PendingRequest>,
    lookups: HashMap<String, JobLookup>,
    lookup_queue: VecDeque<String>,
    lookups_in_flight: usize,
    revision_checks: InFlightBatches,
    write_batches: InFlightBatches,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Changes made since `take_changes_made` was last called.
    writes_made: f64,
    limits: StateLimits,
    request_timeout_s: f64,
    /// No comparison for polls before this time, and how long they are apart.
    next_check_at: f64,
    check_interval_s: f64,
    /// The state service refused us at this time; requests are then refused at once.
    refused_at: Option<f64>,
}

/// When users are told to come back.
const RETRY_AFTER_S: u32 = 1;

impl JobApi {
    /// A job API that may use this share of the state service's limits.
    pub fn new(limits: &StateLimits, share: f64, request_timeout_s: f64) -> JobApi {
        let rate = |all: f64| TokenBucket::new(all * share, burst_of(all * share));
        JobApi {
            open: BTreeMap::new(),
            terminal_states: TerminalStateCache::default(),
            counts: HashMap::new(),
            polls: VecDeque::new(),
            writes: VecDeque::new(),
            lookups: HashMap::new(),
            lookup_queue: VecDeque::new(),
            lookups_in_flight: 0,
            revision_checks: InFlightBatches::default(),
            write_batches: InFlightBatches::default(),
            request_budget: rate(limits.rps),
            write_budget: rate(limits.write_rps),
            writes_made: 0.0,
            limits: limits.clone(),
            request_timeout_s,
            next_check_at: 0.0,
            check_interval_s: 1.0 / (CHECK_SHARE * share * limits.rps),
            refused_at: None,
        }
    }

    /// Notes an open job.
    pub fn on_job_opened(&mut self, mod_revision: u64, spec: JobSpec) {
        if self.terminal_states.get(&spec.id).is_none() {
            self.open
                .insert(spec.id.clone(), (mod_revision, Rc::new(spec)));
        }
    }

    /// Notes that a job is no longer open; how it ended is looked up when somebody asks.
    pub fn on_job_closed(&mut self, id: &str) {
        self.open.remove(id);
        self.counts.remove(id);
        if let Some(look) = self.lookups.get_mut(id) {
            look.closed_meanwhile = true;
        }
    }

    /// Notes how a job ended.
    pub fn on_job_finished(&mut self, id: &str, record: FinishedRecord) {
        self.open.remove(id);
        self.counts.remove(id);
        self.terminal_states.insert(id, record);
    }

    /// Notes how a job ended by this controller's doing, which is written down.
    pub fn announce_finished(&mut self, id: &str, record: FinishedRecord) {
        self.terminal_states.announce(id, record);
        self.on_job_finished(id, record);
    }

    /// Jobs that have been learnt to be over since the last time.
    pub fn take_finished(&mut self) -> Vec<String> {
        self.terminal_states.take_newly_finished()
    }

    /// What the peers have not been told yet.
    pub fn take_updates(&mut self) -> Vec<Termination> {
        self.terminal_states.take_unannounced()
    }

    /// Takes a peer's word of jobs that have ended; ends are for ever.
    pub fn on_peer_terminations(&mut self, ended: &[Termination]) {
        for e in ended {
            let ending = if e.aborted {
                JobOutcome::Aborted
            } else {
                JobOutcome::Done
            };
            let done = e.done;
            self.on_job_finished(
                &e.job,
                FinishedRecord {
                    outcome: ending,
                    completed_tasks: done,
                },
            );
        }
    }

    /// Takes the leader's display counts.
    pub fn on_job_counts(&mut self, counts: &[JobCounts]) {
        for c in counts {
            if self.open.contains_key(&c.job) {
                self.counts.insert(c.job.clone(), (c.done, c.running));
            }
        }
    }

    /// Changes made in the state service since this was last asked.
    pub fn take_writes_made(&mut self) -> f64 {
        std::mem::take(&mut self.writes_made)
    }

    /// Sets the changes a second that this controller may make for its users.
    pub fn set_write_rate(&mut self, per_s: f64, now: f64) {
        self.write_budget.set_rate(per_s, burst_of(per_s), now);
    }

    /// A user polls.
    pub fn on_status_request(&mut self, request: u64, id: &str, effects: &mut Effects, now: f64) {
        self.admit(request, id, RequestKind::Poll, effects, now);
    }

    /// A user submits a job, which may be one that can never run.
    pub fn on_submit(
        &mut self,
        request: u64,
        spec: JobSpec,
        unsatisfiable: Option<&'static str>,
        effects: &mut Effects,
        now: f64,
    ) {
        let id = spec.id.clone();
        let kind = match unsatisfiable {
            Some(why) => RequestKind::Unsatisfiable(why),
            None => RequestKind::Submit(Rc::new(spec)),
        };
        self.admit(request, &id, kind, effects, now);
    }

    /// A user cancels.
    pub fn on_cancel(&mut self, request: u64, id: &str, effects: &mut Effects, now: f64) {
        self.admit(request, id, RequestKind::Cancel, effects, now);
    }

    /// Answers from memory how a job has ended; any other request waits for the state service.
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
        let waiting = self.polls.len()
            + self.writes.len()
            + self
                .lookups
                .values()
                .map(|look| look.waiting.len() + look.arrived_later.len())
                .sum::<usize>();
        if waiting >= MAX_WAITING {
            effects.respond_error(request, 429, "too much at once", Some(RETRY_AFTER_S));
            return;
        }
        // A request that the state service can't confirm now is refused at once, not held back.
        if self
            .refused_at
            .is_some_and(|at| now - at < self.request_timeout_s / 2.0)
        {
            respond_state_service_unavailable(request, effects);
            return;
        }
        let request_timeout_s = match kind {
            RequestKind::Poll => POLL_PATIENCE_S.min(1.5 * self.request_timeout_s),
            _ => 1.5 * self.request_timeout_s,
        };
        let pending = PendingRequest {
            request_id: request,
            id: id.to_owned(),
            kind,
            deadline: now + request_timeout_s,
            checked_as_open: false,
        };
        match pending.kind {
            RequestKind::Poll => self.polls.push_back(pending),
            RequestKind::Submit(_) => self.writes.push_back(pending),
            RequestKind::Cancel if self.open.contains_key(id) => self.writes.push_back(pending),
            RequestKind::Cancel | RequestKind::Unsatisfiable(_) => self.enqueue_lookup(pending),
        }
        self.send_due_requests(effects, now);
    }

    fn enqueue_lookup(&mut self, pending: PendingRequest) {
        let id = pending.id.clone();
        let look = self.lookups.entry(id.clone()).or_default();
        if look.phase != LookupPhase::Queued {
            look.arrived_later.push(pending);
            return;
        }
        if look.waiting.is_empty() {
            self.lookup_queue.push_back(id);
        }
        look.waiting.push(pending);
    }

    fn send_lookup(&mut self, id: &str, stage: LookupPhase, effects: &mut Effects, now: f64) {
        if let Some(look) = self.lookups.get_mut(id) {
            look.phase = stage;
        }
        let key = match stage {
            LookupPhase::ReadingFinished => records::finished_key(id),
            _ => records::open_key(id),
        };
        let kind = KvRequestKind::JobLookup(id.to_owned());
        effects.call_kv(kind, KvRequest::Get(key), self.request_timeout_s / 2.0, now);
    }

    /// Makes the calls that are due.
    pub fn send_due_requests(&mut self, effects: &mut Effects, now: f64) {
        self.expire_requests(effects, now);
        // Looks go first: comparisons take as many polls as there are, and can wait for company. The
        // other way round, a controller that many users ask would never come to look.
        while self.lookups_in_flight < MAX_LOOKUPS && !self.lookup_queue.is_empty() {
            if !self.request_budget.take(2.0, now) {
                break;
            }
            let Some(id) = self.lookup_queue.pop_front() else {
                break;
            };
            self.lookups_in_flight += 1;
            self.send_lookup(&id, LookupPhase::ReadingOpen, effects, now);
        }
        self.send_revision_check(effects, now);
        self.send_writes(effects, now);
    }

    fn expire_requests(&mut self, effects: &mut Effects, now: f64) {
        let late = |pending: &PendingRequest| now >= pending.deadline;
        let mut dropped = Vec::new();
        for queue in [&mut self.polls, &mut self.writes] {
            if queue.iter().any(late) {
                dropped.extend(queue.iter().filter(|t| late(t)).map(|t| t.request_id));
                queue.retain(|t| !late(t));
            }
        }
        for request in dropped {
            respond_timed_out(request, effects);
        }
    }

    fn send_revision_check(&mut self, effects: &mut Effects, now: f64) {
        if self.polls.is_empty()
            || now < self.next_check_at
            || !self.revision_checks.may_send(self.request_timeout_s, now)
            || !self.request_budget.take(1.0, now)
        {
            return;
        }
        self.next_check_at = now + self.check_interval_s;
        let most = COMPARES_PER_WRITE * self.limits.txn_ops / 2;
        let count = self.polls.len().min(most);
        let mut batch: Vec<PendingRequest> = self.polls.drain(..count).collect();
        let mut ids = HashSet::new();
        let mut when = Vec::new();
        for pending in &mut batch {
            pending.checked_as_open = self.open.contains_key(&pending.id);
            if ids.insert(pending.id.clone()) {
                match self.open.get(&pending.id) {
                    Some((mod_revision, _)) => {
                        when.push(Compare::new(records::open_key(&pending.id), *mod_revision))
                    }
                    None => {
                        when.push(Compare::new(records::open_key(&pending.id), 0));
                        when.push(Compare::new(records::finished_key(&pending.id), 0));
                    }
                }
            }
        }
        let kind = KvRequestKind::RevisionCheck(self.revision_checks.add(batch, now));
        let txn = Txn {
            compares: when,
            writes: Vec::new(),
        };
        effects.call_kv(kind, KvRequest::Txn(txn), self.request_timeout_s, now);
    }

    fn send_writes(&mut self, effects: &mut Effects, now: f64) {
        if self.writes.is_empty() || !self.write_batches.may_send(self.request_timeout_s, now) {
            return;
        }
        let level = self
            .write_budget
            .available(now)
            .min(self.limits.txn_ops as f64);
        let mut txn = Txn::default();
        let mut batch: Vec<PendingRequest> = Vec::new();
        let mut later = VecDeque::new();
        let mut bytes = 0;
        while let Some(pending) = self.writes.pop_front() {
            // Two wishes for the same job don't go into one transaction.
            if batch.iter().any(|other| other.id == pending.id) {
                later.push_back(pending);
                continue;
            }
            let open = records::open_key(&pending.id);
            let over = records::finished_key(&pending.id);
            let (mod_revision, writes) = match &pending.kind {
                RequestKind::Submit(spec) => (0, vec![WriteOp::put(open.clone(), spec.as_ref())]),
                _ => {
                    let Some((mod_revision, _)) = self.open.get(&pending.id) else {
                        self.enqueue_lookup(pending);
                        continue;
                    };
                    let done = self.counts.get(&pending.id).map_or(0, |(done, _)| *done);
                    let record = FinishedRecord {
                        outcome: JobOutcome::Aborted,
                        completed_tasks: done,
                    };
                    let writes = vec![
                        WriteOp::delete(open.clone()),
                        WriteOp::put(over.clone(), &record),
                    ];
                    (*mod_revision, writes)
                }
            };
            let size: usize = writes.iter().map(WriteOp::json_size).sum();
            let full = txn.writes.len() + writes.len() > level as usize
                || (!batch.is_empty() && bytes + size > crate::protocol::kv::MAX_TXN_BYTES / 2);
            if full {
                later.push_back(pending);
                break;
            }
            bytes += size;
            txn.compares.push(Compare::new(open, mod_revision));
            txn.compares.push(Compare::new(over, 0));
            txn.writes.extend(writes);
            batch.push(pending);
        }
        while let Some(pending) = later.pop_back() {
            self.writes.push_front(pending);
        }
        if batch.is_empty() {
            return;
        }
        self.write_budget
            .take_with_debt(txn.writes.len() as f64, now);
        self.writes_made += txn.writes.len() as f64;
        self.request_budget.take_with_debt(1.0, now);
        let kind = KvRequestKind::JobWrites(self.write_batches.add(batch, now));
        effects.call_kv(kind, KvRequest::Txn(txn), self.request_timeout_s, now);
    }

    fn observe_response(&mut self, response: &KvResponse, now: f64) {
        self.refused_at = matches!(response, KvResponse::Unavailable).then_some(now);
    }

    /// The answer to the comparison for polls.
    pub fn on_revision_check_completed(
        &mut self,
        call: u64,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) {
        self.observe_response(&response, now);
        for pending in self.revision_checks.complete(call) {
            match &response {
                KvResponse::Committed(_) => self.respond_to_poll(pending, effects),
                KvResponse::CompareFailed(failed) => {
                    if pending.is_affected_by(failed) {
                        self.enqueue_lookup(pending);
                    } else {
                        self.polls.push_back(pending);
                    }
                }
                KvResponse::RateLimited => self.polls.push_back(pending),
                _ => respond_state_service_unavailable(pending.request_id, effects),
            }
        }
        self.send_due_requests(effects, now);
    }

    /// Answers a poll by a comparison that held. What has become known since then is newer and
    /// goes first; a job that was open and has been closed since is looked up, never denied.
    fn respond_to_poll(&mut self, pending: PendingRequest, effects: &mut Effects) {
        if let Some(record) = self.terminal_states.get(&pending.id) {
            self.respond_finished(
                pending.request_id,
                &pending.id,
                &pending.kind,
                record,
                effects,
            );
        } else if self.open.contains_key(&pending.id) {
            effects.respond(pending.request_id, 200, &self.open_view(&pending.id));
        } else if pending.checked_as_open {
            self.enqueue_lookup(pending);
        } else {
            effects.respond_error(pending.request_id, 404, "no such job", None);
        }
    }

    /// Answers for a job that is over, as the state service has it: nobody is told so before.
    fn respond_finished(
        &self,
        request: u64,
        id: &str,
        kind: &RequestKind,
        record: FinishedRecord,
        effects: &mut Effects,
    ) {
        let written =
            self.terminal_states.get(id).map(|known| known.outcome) == Some(record.outcome);
        let details = format_args!("job {id}, {:?}", record.outcome);
        if !invariants::uphold(Invariant::NoAbortedWithoutCommit, written, details) {
            respond_timed_out(request, effects);
            return;
        }
        match kind {
            RequestKind::Poll => effects.respond(request, 200, &finished_view(id, &record)),
            _ => effects.respond_job_status(request, 200, id, finished_status(&record)),
        }
    }

    fn open_view(&self, id: &str) -> JobView {
        let (done, running) = self.counts.get(id).copied().unwrap_or((0, 0));
        let status = if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Queued
        };
        JobView {
            id: id.to_owned(),
            status,
            done,
            running,
        }
    }

    /// The answer to submits and cancels. Returns the jobs that were opened.
    pub fn on_writes_completed(
        &mut self,
        call: u64,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) -> Vec<(u64, Rc<JobSpec>)> {
        self.observe_response(&response, now);
        let mut opened = Vec::new();
        let batch = self.write_batches.complete(call);
        for pending in batch {
            match &response {
                KvResponse::Committed(mod_revision) => match &pending.kind {
                    RequestKind::Submit(spec) => {
                        self.open
                            .insert(pending.id.clone(), (*mod_revision, spec.clone()));
                        tracing::debug!(
                            job = pending.id,
                            class = spec.class,
                            tasks = spec.tasks,
                            "job accepted"
                        );
                        opened.push((*mod_revision, spec.clone()));
                        effects.respond_job_status(
                            pending.request_id,
                            201,
                            &pending.id,
                            JobStatus::Queued,
                        );
                    }
                    _ => {
                        let done = self.counts.get(&pending.id).map_or(0, |(done, _)| *done);
                        let record = FinishedRecord {
                            outcome: JobOutcome::Aborted,
                            completed_tasks: done,
                        };
                        tracing::debug!(job = pending.id, "job cancelled");
                        self.announce_finished(&pending.id, record);
                        self.respond_finished(
                            pending.request_id,
                            &pending.id,
                            &pending.kind,
                            record,
                            effects,
                        );
                    }
                },
                KvResponse::CompareFailed(failed) => {
                    if pending.is_affected_by(failed) {
                        self.enqueue_lookup(pending);
                    } else {
                        self.writes.push_back(pending);
                    }
                }
                KvResponse::RateLimited => self.writes.push_back(pending),
                // It may have been applied: look, and answer by what is there.
                KvResponse::OutcomeUnknown => self.enqueue_lookup(pending),
                _ => respond_state_service_unavailable(pending.request_id, effects),
            }
        }
        self.send_due_requests(effects, now);
        opened
    }

    /// The answer to a look at a job's keys: first `open/`, then `over/`, so that a job that moves
    /// from the one to the other in between is not missed.
    pub fn on_lookup_completed(
        &mut self,
        id: &str,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) {
        self.observe_response(&response, now);
        let stage = self
            .lookups
            .get(id)
            .map_or(LookupPhase::Queued, |look| look.phase);
        let state = match response {
            KvResponse::Value(item) if item.key == records::open_key(id) => {
                match cbor::from_value::<JobSpec>(&item.value) {
                    Ok(spec) => Some(JobRecordState::Open(item.mod_revision, Rc::new(spec))),
                    Err(_) => None,
                }
            }
            KvResponse::Value(item) => cbor::from_value(&item.value)
                .ok()
                .map(JobRecordState::Finished),
            KvResponse::NotFound if stage == LookupPhase::ReadingOpen => {
                self.send_lookup(id, LookupPhase::ReadingFinished, effects, now);
                return;
            }
            KvResponse::NotFound => Some(JobRecordState::Unknown),
            _ => None,
        };
        self.lookups_in_flight = self.lookups_in_flight.saturating_sub(1);
        let Some(look) = self.lookups.remove(id) else {
            return;
        };
        if look.closed_meanwhile && matches!(state, Some(JobRecordState::Open(..))) {
            for pending in look.waiting.into_iter().chain(look.arrived_later) {
                self.enqueue_lookup(pending);
            }
            self.send_due_requests(effects, now);
            return;
        }
        match &state {
            Some(JobRecordState::Open(mod_revision, spec)) => {
                self.open
                    .insert(id.to_owned(), (*mod_revision, spec.clone()));
            }
            Some(JobRecordState::Finished(record)) => self.on_job_finished(id, *record),
            Some(JobRecordState::Unknown) => {
                self.open.remove(id);
            }
            None => {}
        }
        for pending in look.arrived_later {
            self.enqueue_lookup(pending);
        }
        for pending in look.waiting {
            self.respond_after_lookup(pending, state.as_ref(), effects, now);
        }
        self.send_due_requests(effects, now);
    }

    fn respond_after_lookup(
        &mut self,
        pending: PendingRequest,
        state: Option<&JobRecordState>,
        effects: &mut Effects,
        now: f64,
    ) {
        let request = pending.request_id;
        if state.is_none()
            || (now >= pending.deadline && !matches!(state, Some(JobRecordState::Finished(_))))
        {
            respond_timed_out(request, effects);
            return;
        }
        match (state, &pending.kind) {
            (Some(JobRecordState::Finished(record)), kind) => {
                self.respond_finished(request, &pending.id, kind, *record, effects);
            }
            (Some(JobRecordState::Open(..)), RequestKind::Poll) => {
                effects.respond(request, 200, &self.open_view(&pending.id));
            }
            (
                Some(JobRecordState::Open(..)),
                RequestKind::Submit(_) | RequestKind::Unsatisfiable(_),
            ) => {
                let status = self.open_view(&pending.id).status;
                effects.respond_job_status(request, 200, &pending.id, status);
            }
            (Some(JobRecordState::Open(..)), RequestKind::Cancel)
            | (Some(JobRecordState::Unknown), RequestKind::Submit(_)) => {
                self.writes.push_back(pending);
            }
            (Some(JobRecordState::Unknown), RequestKind::Unsatisfiable(why)) => {
                effects.respond_error(request, 422, why, None)
            }
            (Some(JobRecordState::Unknown), _) => {
                effects.respond_error(request, 404, "no such job", None)
            }
            (None, _) => {}
        }
    }
}

/// The burst of a budget: one second's worth, as the state service allows, and some at any rate.
fn burst_of(per_s: f64) -> f64 {
    per_s.max(4.0)
}

fn respond_state_service_unavailable(request: u64, effects: &mut Effects) {
    let why = "the state service is out";
    effects.respond_error(request, 503, why, Some(RETRY_AFTER_S));
}

fn respond_timed_out(request: u64, effects: &mut Effects) {
    let why = "no decision in time";
    effects.respond_error(request, 503, why, Some(RETRY_AFTER_S));
}

fn finished_status(record: &FinishedRecord) -> JobStatus {
    match record.outcome {
        JobOutcome::Done => JobStatus::Done,
        JobOutcome::Aborted => JobStatus::Aborted,
    }
}

fn finished_view(id: &str, record: &FinishedRecord) -> JobView {
    JobView {
        id: id.to_owned(),
        status: finished_status(record),
        done: record.completed_tasks,
        running: 0,
    }
}
