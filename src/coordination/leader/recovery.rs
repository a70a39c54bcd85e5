//! Recovery: after an election the leader reads all records from the state service (open jobs, the
//! write-ahead log, and provisioning requests) and rebuilds its tables from them.

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

/// Maximum number of workers whose heartbeats are buffered during recovery.
const MAX_BUFFERED_HEARTBEATS: usize = 4096;

/// The read of all records, page by page, and the heartbeats and job events that arrive before it completes.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    /// Key prefixes that have not been read completely; the last element is read first.
    remaining_prefixes: Vec<&'static str>,
    records: Vec<KeyValue>,
    /// The last key that was read under the current prefix; the next page begins after it. `None` before the first
    /// page.
    after: Option<String>,
    in_flight: bool,
    /// No request before this monotonic time, in seconds.
    retry_at: f64,
    /// The heartbeat of each worker that arrived last.
    buffered_heartbeats: BTreeMap<String, WorkerHeartbeat>,
    /// Jobs that were closed during recovery; the records that were read may still show them as open.
    closed_jobs: ClosedJobs,
    /// The latest complete listing of the open jobs; the watch on these jobs begins or restarts with one. Once the
    /// records are read, the jobs in them that are missing from the listing and not newer than it are handled as
    /// closed.
    listing: Option<OpenJobsListing>,
    /// Jobs that were crash-looping under an earlier leader.
    crash_looping: BTreeSet<String>,
}

/// The ids of the open jobs at a revision of the state service.
#[derive(Debug)]
struct OpenJobsListing {
    revision: u64,
    jobs: BTreeSet<String>,
}

/// The decoded records.
#[derive(Debug, Default)]
struct RecoveredRecords {
    jobs: Vec<RecoveredJob>,
    /// The segments of the write-ahead log, in the order in which they were written.
    segments: Vec<RecoveredSegment>,
    provisioning: Vec<RecoveredProvisioning>,
}

#[derive(Debug)]
struct RecoveredJob {
    mod_revision: u64,
    spec: JobSpec,
}

/// A segment of the write-ahead log, with its key and mod revision.
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
    /// Creates a recovery that has read no records yet.
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

    /// Returns the request for the next page, unless one is in flight or a retry is not due yet.
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

    /// Handles the response to a request for a page; if the response contains no page, the request is sent again from
    /// `retry_at` on. Returns whether all records are read.
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

    /// Buffers a worker's heartbeat until the tables are rebuilt, in place of an earlier one. Returns false if the
    /// heartbeats of too many other workers are buffered already.
    pub(super) fn buffer_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let buffered = &mut self.buffered_heartbeats;
        if !buffered.contains_key(&heartbeat.worker) && buffered.len() >= MAX_BUFFERED_HEARTBEATS {
            return false;
        }
        buffered.insert(heartbeat.worker.clone(), heartbeat.clone());
        true
    }

    /// Records that a job was closed.
    pub(super) fn on_job_closed(&mut self, id: &str) {
        self.closed_jobs.insert(id, None);
    }

    /// Records a listing of the open jobs at a revision.
    pub(super) fn on_open_jobs_listed(&mut self, revision: u64, jobs: BTreeSet<String>) {
        self.listing = Some(OpenJobsListing { revision, jobs });
    }

    /// Records the jobs that were crash-looping under an earlier leader.
    pub(super) fn inherit_crash_looping(&mut self, jobs: BTreeSet<String>) {
        self.crash_looping = jobs;
    }

    /// Decodes the records for a leader of this epoch; those that can't be decoded are logged and left out. Jobs that
    /// were closed during recovery are left out too.
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
        let is_open = self.closed_jobs.accepts_open_record(&spec.id, mod_revision);
        is_open.then_some(RecoveredJob { mod_revision, spec })
    }
}

/// Decodes a record; returns `None` and logs `message` if it can't be decoded.
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
            "Epoch: log segment written by a leader of a higher epoch than this one; its bindings are kept. \
             Check whether the state service was restored from an older state"
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
    /// Requests the next page of records, if one is due.
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

    /// Handles the response to a request for a page of records. The last page completes the recovery.
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

    /// Rebuilds the tables from the records, then applies the job events and heartbeats that arrived during
    /// recovery.
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
