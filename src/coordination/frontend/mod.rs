//! The user API: submits, polls and cancels, the same on every node.
//!
//! A final state never changes and is answered from memory. Any other answer is confirmed by the
//! state service, many at a time: open jobs never change their key, so a comparison of versions
//! shows that they are still open. So no node can give an older answer than another has given.

mod calls;
mod finals;
mod request;

use super::outbox::{Outbox, StoreAsk};
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::protocol::cbor;
use crate::protocol::job::{JobSpec, JobStatus, JobView};
use crate::protocol::kv::{COMPARES_PER_WRITE, Compare, KvRequest, KvResponse, Txn, WriteOp};
use crate::protocol::peer::{JobCounts, Termination};
use crate::settings::StateLimits;
use calls::Calls;
use finals::Finals;
use request::{PendingRequest, RequestKind};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// A look at the keys of one job, for those who ask.
#[derive(Debug, Default)]
struct Look {
    waiting: Vec<PendingRequest>,
    /// Those who came while the look was on its way: what it finds may be older than their request.
    later: Vec<PendingRequest>,
    stage: Stage,
    /// The watch has meanwhile told that the job is closed: an open key that it finds is old.
    overtaken: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Stage {
    #[default]
    Queued,
    Open,
    Over,
}

/// What is known of a job's key.
#[derive(Debug, Clone)]
enum KeyState {
    Open(u64, Rc<JobSpec>),
    Over(FinishedRecord),
    Never,
}

/// Open jobs with their versions.
pub type OpenJobs = BTreeMap<String, (u64, Rc<JobSpec>)>;

/// Requests that may wait; more are refused at once.
const MAX_WAITING: usize = 2_000;
/// Share of a node's requests for comparisons, which answer many polls each; the rest is for looks.
const CHECK_SHARE: f64 = 0.5;
/// Users wait so long for the answer to a poll; an answer that comes later is of no use to them.
const POLL_PATIENCE_S: f64 = 2.0;
/// Jobs looked up at a time.
const MAX_LOOKS: usize = 8;

/// A node's frontend.
#[derive(Debug)]
pub struct Frontend {
    /// Open jobs, as the watch shows them; perhaps late.
    pub open: OpenJobs,
    finals: Finals,
    /// Display counts, from the leader.
    pub counts: HashMap<String, (u32, u32)>,
    polls: VecDeque<PendingRequest>,
    writes: VecDeque<PendingRequest>,
    looks: HashMap<String, Look>,
    look_queue: VecDeque<String>,
    looking: usize,
    checking: Calls,
    writing: Calls,
    requests: TokenBucket,
    changes: TokenBucket,
    /// Changes made since `take_changes_made` was last called.
    changes_made: f64,
    limits: StateLimits,
    patience_s: f64,
    /// No comparison for polls before this time, and how long they are apart.
    check_at: f64,
    check_every_s: f64,
    /// The state service refused us at this time; requests are then refused at once.
    refused_at: Option<f64>,
}

/// When users are told to come back.
const RETRY_AFTER_S: u32 = 1;

impl Frontend {
    /// A frontend that may use this share of the state service's limits.
    pub fn new(limits: &StateLimits, share: f64, patience_s: f64) -> Frontend {
        let rate = |all: f64| TokenBucket::new(all * share, burst_of(all * share));
        Frontend {
            open: BTreeMap::new(),
            finals: Finals::default(),
            counts: HashMap::new(),
            polls: VecDeque::new(),
            writes: VecDeque::new(),
            looks: HashMap::new(),
            look_queue: VecDeque::new(),
            looking: 0,
            checking: Calls::default(),
            writing: Calls::default(),
            requests: rate(limits.rps),
            changes: rate(limits.write_rps),
            changes_made: 0.0,
            limits: limits.clone(),
            patience_s,
            check_at: 0.0,
            check_every_s: 1.0 / (CHECK_SHARE * share * limits.rps),
            refused_at: None,
        }
    }

    /// Notes an open job.
    pub fn note_open(&mut self, stamp: u64, spec: JobSpec) {
        if self.finals.get(&spec.id).is_none() {
            self.open.insert(spec.id.clone(), (stamp, Rc::new(spec)));
        }
    }

    /// Notes that a job is no longer open; how it ended is looked up when somebody asks.
    pub fn note_closed(&mut self, id: &str) {
        self.open.remove(id);
        self.counts.remove(id);
        if let Some(look) = self.looks.get_mut(id) {
            look.overtaken = true;
        }
    }

    /// Notes how a job ended.
    pub fn note_over(&mut self, id: &str, record: FinishedRecord) {
        self.open.remove(id);
        self.counts.remove(id);
        self.finals.note(id, record);
    }

    /// Notes how a job ended by this node's doing, which is written down.
    pub fn announce_over(&mut self, id: &str, record: FinishedRecord) {
        self.finals.announce(id, record);
        self.note_over(id, record);
    }

    /// Jobs that have been learnt to be over since the last time.
    pub fn take_over(&mut self) -> Vec<String> {
        self.finals.take_learnt()
    }

    /// What the peers have not been told yet.
    pub fn take_news(&mut self) -> Vec<Termination> {
        self.finals.take_news()
    }

    /// Takes a peer's word of jobs that have ended; ends are for ever.
    pub fn note_ended(&mut self, ended: &[Termination]) {
        for e in ended {
            let ending = if e.aborted {
                JobOutcome::Aborted
            } else {
                JobOutcome::Done
            };
            let done = e.done;
            self.note_over(&e.job, FinishedRecord { outcome: ending, completed_tasks: done });
        }
    }

    /// Takes the leader's display counts.
    pub fn note_counts(&mut self, counts: &[JobCounts]) {
        for c in counts {
            if self.open.contains_key(&c.job) {
                self.counts.insert(c.job.clone(), (c.done, c.running));
            }
        }
    }

    /// Changes made in the state service since this was last asked.
    pub fn take_changes_made(&mut self) -> f64 {
        std::mem::take(&mut self.changes_made)
    }

    /// Sets the changes a second that this node may make for its users.
    pub fn set_changes_rate(&mut self, per_s: f64, now: f64) {
        self.changes.set_rate(per_s, burst_of(per_s), now);
    }

    /// A user polls.
    pub fn poll(&mut self, request: u64, id: &str, out: &mut Outbox, now: f64) {
        self.admit(request, id, RequestKind::Poll, out, now);
    }

    /// A user submits a job, which may be one that can never run.
    pub fn submit(
        &mut self,
        request: u64,
        spec: JobSpec,
        unsatisfiable: Option<&'static str>,
        out: &mut Outbox,
        now: f64,
    ) {
        let id = spec.id.clone();
        let kind = match unsatisfiable {
            Some(why) => RequestKind::Unsatisfiable(why),
            None => RequestKind::Submit(Rc::new(spec)),
        };
        self.admit(request, &id, kind, out, now);
    }

    /// A user cancels.
    pub fn cancel(&mut self, request: u64, id: &str, out: &mut Outbox, now: f64) {
        self.admit(request, id, RequestKind::Cancel, out, now);
    }

    /// Answers from memory how a job has ended; any other request waits for the state service.
    fn admit(&mut self, request: u64, id: &str, kind: RequestKind, out: &mut Outbox, now: f64) {
        if let Some(record) = self.finals.get(id) {
            self.answer_over(request, id, &kind, record, out);
            return;
        }
        let waiting = self.polls.len()
            + self.writes.len()
            + self
                .looks
                .values()
                .map(|look| look.waiting.len() + look.later.len())
                .sum::<usize>();
        if waiting >= MAX_WAITING {
            out.refuse(request, 429, "too much at once", Some(RETRY_AFTER_S));
            return;
        }
        // A request that the state service can't confirm now is refused at once, not held back.
        if self
            .refused_at
            .is_some_and(|at| now - at < self.patience_s / 2.0)
        {
            refuse_out(request, out);
            return;
        }
        let patience_s = match kind {
            RequestKind::Poll => POLL_PATIENCE_S.min(1.5 * self.patience_s),
            _ => 1.5 * self.patience_s,
        };
        let pending = PendingRequest {
            request,
            id: id.to_owned(),
            kind,
            until: now + patience_s,
            compared_open: false,
        };
        match pending.kind {
            RequestKind::Poll => self.polls.push_back(pending),
            RequestKind::Submit(_) => self.writes.push_back(pending),
            RequestKind::Cancel if self.open.contains_key(id) => self.writes.push_back(pending),
            RequestKind::Cancel | RequestKind::Unsatisfiable(_) => self.look(pending),
        }
        self.drive(out, now);
    }

    fn look(&mut self, pending: PendingRequest) {
        let id = pending.id.clone();
        let look = self.looks.entry(id.clone()).or_default();
        if look.stage != Stage::Queued {
            look.later.push(pending);
            return;
        }
        if look.waiting.is_empty() {
            self.look_queue.push_back(id);
        }
        look.waiting.push(pending);
    }

    fn look_at(&mut self, id: &str, stage: Stage, out: &mut Outbox, now: f64) {
        if let Some(look) = self.looks.get_mut(id) {
            look.stage = stage;
        }
        let key = match stage {
            Stage::Over => records::finished_key(id),
            _ => records::open_key(id),
        };
        let ask = StoreAsk::Look(id.to_owned());
        out.store(ask, KvRequest::Get(key), self.patience_s / 2.0, now);
    }

    /// Makes the calls that are due.
    pub fn drive(&mut self, out: &mut Outbox, now: f64) {
        self.expire(out, now);
        // Looks go first: comparisons take as many polls as there are, and can wait for company. The
        // other way round, a node that many users ask would never come to look.
        while self.looking < MAX_LOOKS && !self.look_queue.is_empty() {
            if !self.requests.take(2.0, now) {
                break;
            }
            let Some(id) = self.look_queue.pop_front() else {
                break;
            };
            self.looking += 1;
            self.look_at(&id, Stage::Open, out, now);
        }
        self.drive_polls(out, now);
        self.drive_writes(out, now);
    }

    fn expire(&mut self, out: &mut Outbox, now: f64) {
        let late = |pending: &PendingRequest| now >= pending.until;
        let mut dropped = Vec::new();
        for queue in [&mut self.polls, &mut self.writes] {
            if queue.iter().any(late) {
                dropped.extend(queue.iter().filter(|t| late(t)).map(|t| t.request));
                queue.retain(|t| !late(t));
            }
        }
        for request in dropped {
            refuse_late(request, out);
        }
    }

    fn drive_polls(&mut self, out: &mut Outbox, now: f64) {
        if self.polls.is_empty()
            || now < self.check_at
            || !self.checking.may_call(self.patience_s, now)
            || !self.requests.take(1.0, now)
        {
            return;
        }
        self.check_at = now + self.check_every_s;
        let most = COMPARES_PER_WRITE * self.limits.txn_ops / 2;
        let count = self.polls.len().min(most);
        let mut batch: Vec<PendingRequest> = self.polls.drain(..count).collect();
        let mut ids = HashSet::new();
        let mut when = Vec::new();
        for pending in &mut batch {
            pending.compared_open = self.open.contains_key(&pending.id);
            if ids.insert(pending.id.clone()) {
                match self.open.get(&pending.id) {
                    Some((stamp, _)) => {
                        when.push(Compare::new(records::open_key(&pending.id), *stamp))
                    }
                    None => {
                        when.push(Compare::new(records::open_key(&pending.id), 0));
                        when.push(Compare::new(records::finished_key(&pending.id), 0));
                    }
                }
            }
        }
        let ask = StoreAsk::Check(self.checking.add(batch, now));
        let txn = Txn {
            compares: when,
            writes: Vec::new(),
        };
        out.store(ask, KvRequest::Txn(txn), self.patience_s, now);
    }

    fn drive_writes(&mut self, out: &mut Outbox, now: f64) {
        if self.writes.is_empty() || !self.writing.may_call(self.patience_s, now) {
            return;
        }
        let level = self.changes.available(now).min(self.limits.txn_ops as f64);
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
            let (stamp, writes) = match &pending.kind {
                RequestKind::Submit(spec) => (0, vec![WriteOp::put(open.clone(), spec.as_ref())]),
                _ => {
                    let Some((stamp, _)) = self.open.get(&pending.id) else {
                        self.look(pending);
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
                    (*stamp, writes)
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
            txn.compares.push(Compare::new(open, stamp));
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
        self.changes.take_with_debt(txn.writes.len() as f64, now);
        self.changes_made += txn.writes.len() as f64;
        self.requests.take_with_debt(1.0, now);
        let ask = StoreAsk::Write(self.writing.add(batch, now));
        out.store(ask, KvRequest::Txn(txn), self.patience_s, now);
    }

    fn note_reply(&mut self, reply: &KvResponse, now: f64) {
        self.refused_at = matches!(reply, KvResponse::Unavailable).then_some(now);
    }

    /// The answer to the comparison for polls.
    pub fn checked(&mut self, call: u64, reply: KvResponse, out: &mut Outbox, now: f64) {
        self.note_reply(&reply, now);
        for pending in self.checking.end(call) {
            match &reply {
                KvResponse::Committed(_) => self.answer_poll(pending, out),
                KvResponse::CompareFailed(failed) => {
                    if pending.concerned(failed) {
                        self.look(pending);
                    } else {
                        self.polls.push_back(pending);
                    }
                }
                KvResponse::RateLimited => self.polls.push_back(pending),
                _ => refuse_out(pending.request, out),
            }
        }
        self.drive(out, now);
    }

    /// Answers a poll by a comparison that held. What has become known since then is newer and
    /// goes first; a job that was open and has been closed since is looked up, never denied.
    fn answer_poll(&mut self, pending: PendingRequest, out: &mut Outbox) {
        if let Some(record) = self.finals.get(&pending.id) {
            self.answer_over(pending.request, &pending.id, &pending.kind, record, out);
        } else if self.open.contains_key(&pending.id) {
            out.answer(pending.request, 200, &self.open_view(&pending.id));
        } else if pending.compared_open {
            self.look(pending);
        } else {
            out.refuse(pending.request, 404, "no such job", None);
        }
    }

    /// Answers for a job that is over, as the state service has it: nobody is told so before.
    fn answer_over(
        &self,
        request: u64,
        id: &str,
        kind: &RequestKind,
        record: FinishedRecord,
        out: &mut Outbox,
    ) {
        let written = self.finals.get(id).map(|known| known.outcome) == Some(record.outcome);
        let details = format_args!("job {id}, {:?}", record.outcome);
        if !invariants::uphold(Invariant::NoAbortedWithoutCommit, written, details) {
            refuse_late(request, out);
            return;
        }
        match kind {
            RequestKind::Poll => out.answer(request, 200, &over_view(id, &record)),
            _ => out.answer_state(request, 200, id, over_status(&record)),
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
    pub fn written(
        &mut self,
        call: u64,
        reply: KvResponse,
        out: &mut Outbox,
        now: f64,
    ) -> Vec<(u64, Rc<JobSpec>)> {
        self.note_reply(&reply, now);
        let mut opened = Vec::new();
        let batch = self.writing.end(call);
        for pending in batch {
            match &reply {
                KvResponse::Committed(stamp) => match &pending.kind {
                    RequestKind::Submit(spec) => {
                        self.open.insert(pending.id.clone(), (*stamp, spec.clone()));
                        tracing::debug!(
                            job = pending.id,
                            class = spec.class,
                            tasks = spec.tasks,
                            "accepted"
                        );
                        opened.push((*stamp, spec.clone()));
                        out.answer_state(pending.request, 201, &pending.id, JobStatus::Queued);
                    }
                    _ => {
                        let done = self.counts.get(&pending.id).map_or(0, |(done, _)| *done);
                        let record = FinishedRecord {
                            outcome: JobOutcome::Aborted,
                            completed_tasks: done,
                        };
                        tracing::debug!(job = pending.id, "cancelled");
                        self.announce_over(&pending.id, record);
                        self.answer_over(pending.request, &pending.id, &pending.kind, record, out);
                    }
                },
                KvResponse::CompareFailed(failed) => {
                    if pending.concerned(failed) {
                        self.look(pending);
                    } else {
                        self.writes.push_back(pending);
                    }
                }
                KvResponse::RateLimited => self.writes.push_back(pending),
                // It may have been applied: look, and answer by what is there.
                KvResponse::OutcomeUnknown => self.look(pending),
                _ => refuse_out(pending.request, out),
            }
        }
        self.drive(out, now);
        opened
    }

    /// The answer to a look at a job's keys: first `open/`, then `over/`, so that a job that moves
    /// from the one to the other in between is not missed.
    pub fn looked(&mut self, id: &str, reply: KvResponse, out: &mut Outbox, now: f64) {
        self.note_reply(&reply, now);
        let stage = self.looks.get(id).map_or(Stage::Queued, |look| look.stage);
        let state = match reply {
            KvResponse::Value(item) if item.key == records::open_key(id) => {
                match cbor::from_value::<JobSpec>(&item.value) {
                    Ok(spec) => Some(KeyState::Open(item.mod_revision, Rc::new(spec))),
                    Err(_) => None,
                }
            }
            KvResponse::Value(item) => cbor::from_value(&item.value).ok().map(KeyState::Over),
            KvResponse::NotFound if stage == Stage::Open => {
                self.look_at(id, Stage::Over, out, now);
                return;
            }
            KvResponse::NotFound => Some(KeyState::Never),
            _ => None,
        };
        self.looking = self.looking.saturating_sub(1);
        let Some(look) = self.looks.remove(id) else {
            return;
        };
        if look.overtaken && matches!(state, Some(KeyState::Open(..))) {
            for pending in look.waiting.into_iter().chain(look.later) {
                self.look(pending);
            }
            self.drive(out, now);
            return;
        }
        match &state {
            Some(KeyState::Open(stamp, spec)) => {
                self.open.insert(id.to_owned(), (*stamp, spec.clone()));
            }
            Some(KeyState::Over(record)) => self.note_over(id, *record),
            Some(KeyState::Never) => {
                self.open.remove(id);
            }
            None => {}
        }
        for pending in look.later {
            self.look(pending);
        }
        for pending in look.waiting {
            self.resolve(pending, state.as_ref(), out, now);
        }
        self.drive(out, now);
    }

    fn resolve(
        &mut self,
        pending: PendingRequest,
        state: Option<&KeyState>,
        out: &mut Outbox,
        now: f64,
    ) {
        let request = pending.request;
        if state.is_none() || (now >= pending.until && !matches!(state, Some(KeyState::Over(_)))) {
            refuse_late(request, out);
            return;
        }
        match (state, &pending.kind) {
            (Some(KeyState::Over(record)), kind) => {
                self.answer_over(request, &pending.id, kind, *record, out);
            }
            (Some(KeyState::Open(..)), RequestKind::Poll) => {
                out.answer(request, 200, &self.open_view(&pending.id));
            }
            (Some(KeyState::Open(..)), RequestKind::Submit(_) | RequestKind::Unsatisfiable(_)) => {
                let status = self.open_view(&pending.id).status;
                out.answer_state(request, 200, &pending.id, status);
            }
            (Some(KeyState::Open(..)), RequestKind::Cancel)
            | (Some(KeyState::Never), RequestKind::Submit(_)) => {
                self.writes.push_back(pending);
            }
            (Some(KeyState::Never), RequestKind::Unsatisfiable(why)) => {
                out.refuse(request, 422, why, None)
            }
            (Some(KeyState::Never), _) => out.refuse(request, 404, "no such job", None),
            (None, _) => {}
        }
    }
}

/// The burst of a budget: one second's worth, as the state service allows, and some at any rate.
fn burst_of(per_s: f64) -> f64 {
    per_s.max(4.0)
}

fn refuse_out(request: u64, out: &mut Outbox) {
    let why = "the state service is out";
    out.refuse(request, 503, why, Some(RETRY_AFTER_S));
}

fn refuse_late(request: u64, out: &mut Outbox) {
    let why = "no decision in time";
    out.refuse(request, 503, why, Some(RETRY_AFTER_S));
}

fn over_status(record: &FinishedRecord) -> JobStatus {
    match record.outcome {
        JobOutcome::Done => JobStatus::Done,
        JobOutcome::Aborted => JobStatus::Aborted,
    }
}

fn over_view(id: &str, record: &FinishedRecord) -> JobView {
    JobView {
        id: id.to_owned(),
        status: over_status(record),
        done: record.completed_tasks,
        running: 0,
    }
}
