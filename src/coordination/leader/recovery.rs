//! Recovery: after an election the leader reads all records from the state service (open jobs, the
//! log, and provisioning requests) and rebuilds its tables from them.

use super::Leader;
use super::heartbeats::HeartbeatPath;
use crate::bookkeeping::jobs::ClosedJobs;
use crate::bookkeeping::records::{self, ProvisioningRecord};
use crate::bookkeeping::wal::Segment;
use crate::coordination::effects::{Effects, KvRequestContext};
use crate::protocol::cbor;
use crate::protocol::job::JobSpec;
use crate::protocol::kv::{KeyValue, KvRequest, KvResponse};
use crate::protocol::worker::WorkerHeartbeat;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// Workers whose heartbeats are kept during recovery.
const MAX_BUFFERED_HEARTBEATS: usize = 4096;

/// The page-wise read of all records, and what arrives before it has completed.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    /// Prefixes that are not read to their end; the last is read first.
    remaining_prefixes: Vec<&'static str>,
    records: Vec<KeyValue>,
    /// The last key that was read under the current prefix.
    after: Option<String>,
    in_flight: bool,
    /// No request before this monotonic time, in seconds.
    retry_at: f64,
    /// The latest heartbeat of each worker.
    buffered_heartbeats: BTreeMap<String, WorkerHeartbeat>,
    /// Jobs that were closed meanwhile; what was read may still show them as open.
    closed_jobs: ClosedJobs,
    /// The latest listing of the open jobs.
    listing: Option<OpenJobsListing>,
    /// Jobs that were crash-looping under an earlier leader.
    crash_looping: BTreeSet<String>,
}

/// The open jobs at a revision of the state service.
#[derive(Debug)]
struct OpenJobsListing {
    revision: u64,
    jobs: BTreeSet<String>,
}

/// The records that were read, decoded.
#[derive(Debug, Default)]
struct RecoveredRecords {
    jobs: Vec<RecoveredJob>,
    /// In the log's order.
    segments: Vec<RecoveredSegment>,
    provisioning: Vec<RecoveredProvisioning>,
}

#[derive(Debug)]
struct RecoveredJob {
    mod_revision: u64,
    spec: JobSpec,
}

/// A segment of the log, with its key and mod revision.
#[derive(Debug)]
pub(super) struct RecoveredSegment {
    pub(super) key: String,
    pub(super) mod_revision: u64,
    pub(super) segment: Segment,
}

#[derive(Debug)]
struct RecoveredProvisioning {
    idempotency_key: String,
    record: ProvisioningRecord,
}

impl Recovery {
    /// A recovery that has read nothing yet.
    pub(super) fn new() -> Recovery {
        Recovery {
            remaining_prefixes: vec![
                records::PROVISIONING_PREFIX,
                records::LOG_PREFIX,
                records::OPEN_PREFIX,
            ],
            ..Recovery::default()
        }
    }

    /// The request for the next page, unless one is in flight or it is too early to try again.
    fn next_request(&mut self, now: f64) -> Option<KvRequest> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let prefix = self.remaining_prefixes.last()?;
        self.in_flight = true;
        Some(KvRequest::List {
            prefix: (*prefix).to_owned(),
            after: self.after.clone(),
        })
    }

    /// Takes a page, or asks for it again from `retry_at` on. Returns whether all records are read.
    fn on_page(&mut self, response: KvResponse, retry_at: f64) -> bool {
        self.in_flight = false;
        let KvResponse::Page { items, more, .. } = response else {
            self.retry_at = retry_at;
            return false;
        };
        self.after = items.last().map(|item| item.key.clone());
        let more = more && !items.is_empty();
        self.records.extend(items);
        if !more {
            self.after = None;
            self.remaining_prefixes.pop();
        }
        self.remaining_prefixes.is_empty()
    }

    /// Keeps a worker's latest heartbeat until the tables are known. Returns false if there are too
    /// many workers.
    pub(super) fn buffer_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let buffered = &mut self.buffered_heartbeats;
        if !buffered.contains_key(&heartbeat.worker) && buffered.len() >= MAX_BUFFERED_HEARTBEATS {
            return false;
        }
        buffered.insert(heartbeat.worker.clone(), heartbeat.clone());
        true
    }

    /// A job was closed.
    pub(super) fn on_job_closed(&mut self, id: &str) {
        self.closed_jobs.insert(id, None);
    }

    /// The open jobs were listed at a revision.
    pub(super) fn on_open_jobs_listed(&mut self, revision: u64, jobs: BTreeSet<String>) {
        self.listing = Some(OpenJobsListing { revision, jobs });
    }

    /// Takes over the jobs that were crash-looping under an earlier leader.
    pub(super) fn inherit_crash_looping(&mut self, jobs: BTreeSet<String>) {
        self.crash_looping = jobs;
    }

    /// Decodes what was read for a leader of this epoch; what can't be decoded is logged.
    fn take_records(&mut self, epoch: u64) -> RecoveredRecords {
        let mut recovered = RecoveredRecords::default();
        for item in std::mem::take(&mut self.records) {
            if item.key.starts_with(records::OPEN_PREFIX) {
                recovered.jobs.extend(self.decode_job(&item));
            } else if item.key.starts_with(records::LOG_PREFIX) {
                recovered.segments.extend(decode_segment(item, epoch));
            } else {
                recovered.provisioning.extend(decode_provisioning(&item));
            }
        }
        recovered
            .segments
            .sort_by_key(|recovered| recovered.segment.seq);
        recovered
    }

    fn decode_job(&self, item: &KeyValue) -> Option<RecoveredJob> {
        let spec = decode_or_log::<JobSpec>(item, "job record unreadable")?;
        let mod_revision = item.mod_revision;
        let is_news = self.closed_jobs.accepts_open_record(&spec.id, mod_revision);
        is_news.then_some(RecoveredJob { mod_revision, spec })
    }
}

/// Decodes a record; one that can't be decoded is logged and left out.
fn decode_or_log<T: DeserializeOwned>(item: &KeyValue, message: &str) -> Option<T> {
    match cbor::from_value::<T>(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key = item.key, mod_revision = item.mod_revision, %error, "{message}");
            None
        }
    }
}

fn decode_segment(item: KeyValue, epoch: u64) -> Option<RecoveredSegment> {
    let segment = decode_or_log::<Segment>(&item, "log segment unreadable")?;
    if segment.epoch > epoch {
        tracing::error!(
            key = item.key,
            epoch = segment.epoch,
            ours = epoch,
            "Epoch: the segment is of a leader after this one, which can't be; its bindings are kept. Look for a \
             state service that was set back"
        );
    }
    Some(RecoveredSegment {
        key: item.key,
        mod_revision: item.mod_revision,
        segment,
    })
}

fn decode_provisioning(item: &KeyValue) -> Option<RecoveredProvisioning> {
    let idempotency_key = item.key.strip_prefix(records::PROVISIONING_PREFIX)?;
    let record = decode_or_log::<ProvisioningRecord>(item, "provisioning record unreadable")?;
    Some(RecoveredProvisioning {
        idempotency_key: idempotency_key.to_owned(),
        record,
    })
}

impl Leader {
    /// Requests the next page of records.
    pub(super) fn poll_recovery(&mut self, effects: &mut Effects, now: f64) {
        let Some(request) = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.next_request(now))
        else {
            return;
        };
        self.commits.charge_request(now);
        let context = KvRequestContext::RecoveryRead(self.epoch);
        effects.call_kv(context, request, self.commits.request_timeout_s(), now);
    }

    /// Takes a page of records. The last one completes the recovery.
    pub fn on_recovery_page(&mut self, response: KvResponse, now: f64, wall: f64) {
        let retry_at = now + self.settings.deployment.workers.heartbeat_interval_s / 10.0;
        let is_complete = self
            .recovery
            .as_mut()
            .is_some_and(|recovery| recovery.on_page(response, retry_at));
        if is_complete && let Some(recovery) = self.recovery.take() {
            self.finish_recovery(recovery, now, wall);
        }
    }

    /// Rebuilds the tables from the records, then takes what arrived meanwhile.
    fn finish_recovery(&mut self, mut recovery: Recovery, now: f64, wall: f64) {
        let records = recovery.take_records(self.epoch);
        for job in &records.jobs {
            self.on_job_opened(job.mod_revision, &job.spec, now, wall);
        }
        for request in records.provisioning {
            self.fleet
                .inherit_provisioning(&request.idempotency_key, request.record);
        }
        self.is_first_leader = records.segments.is_empty() && !self.fleet.is_provisioning();
        self.replay_log(&records.segments, now);
        self.charge_inherited_bindings();
        if let Some(listing) = recovery.listing {
            self.on_open_jobs_listed(listing.revision, listing.jobs);
        }
        self.mark_crash_looping(&recovery.crash_looping);
        self.evict_orphans();
        tracing::info!(
            epoch = self.epoch,
            jobs = self.jobs.len(),
            workers = self.workers.len(),
            segments = records.segments.len(),
            after_s = now - self.elected_at,
            "recovery completed"
        );
        self.finish_completed_jobs();
        for heartbeat in recovery.buffered_heartbeats.values() {
            self.apply_heartbeat(heartbeat, HeartbeatPath::Request, now);
        }
        self.scheduling.request();
    }
}
