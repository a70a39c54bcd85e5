//! The queue of I/O operations that a controller requests from the event loop, and the requests in flight.
//!
//! A controller performs no I/O itself. Its components queue [`Effect`]s in [`Effects`], and the event loop
//! executes them. Each outgoing request has a correlation id, by which its response is passed to the component
//! that sent the request.

use crate::protocol::cloud::CloudRequest;
use crate::protocol::job::ErrorBody;
use crate::protocol::kv::KvRequest;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::worker::{Command, WorkerRequest};
use crate::protocol::{cbor, http_status, job};
use std::collections::{BTreeMap, HashMap};

/// Identifies an outgoing request until its response has arrived.
pub type CorrelationId = u64;

/// One I/O operation for the event loop to execute.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Respond to a request of a user, a worker or the load balancer.
    Respond {
        /// Id that the event loop has assigned to the request.
        request_id: u64,
        /// HTTP status of the response.
        status: u16,
        /// Body of the response, encoded as CBOR.
        body: Vec<u8>,
        /// Seconds for the `Retry-After` header, or `None` for a response without that header.
        retry_after_s: Option<u32>,
    },
    /// Send a request to the state service.
    CallKv {
        /// Correlation id for the response.
        correlation_id: CorrelationId,
        /// The request to encode and send.
        request: KvRequest,
        /// Seconds without a response after which the outcome is treated as unknown.
        timeout_s: f64,
    },
    /// Send a request to the API of the cloud provider.
    CallCloud {
        /// Correlation id for the response.
        correlation_id: CorrelationId,
        /// The request to encode and send.
        request: CloudRequest,
        /// Seconds without a response after which the outcome is treated as unknown.
        timeout_s: f64,
    },
    /// Make a direct call: send commands to a worker at once, rather than in the response to its next heartbeat.
    CallWorker {
        /// Correlation id for the response.
        correlation_id: CorrelationId,
        /// Address of the worker.
        endpoint: String,
        /// The commands; there may be none, to find out whether the worker responds.
        request: WorkerRequest,
        /// Seconds without a response after which the outcome is treated as unknown.
        timeout_s: f64,
    },
    /// Send a heartbeat to every peer.
    BroadcastHeartbeat(PeerHeartbeat),
}

/// What a request to the state service is for, which tells where its response goes.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequestContext {
    /// A listing or watch of the open jobs, under `open/`.
    OpenJobsWatch,
    /// A listing or watch of the `leader` key.
    LeaderWatch,
    /// The grant of a lease for a campaign.
    GrantLease,
    /// The transaction of a campaign, which puts the `leader` key.
    Campaign,
    /// The renewal of the leader's lease.
    KeepAlive,
    /// The revocation of a lease.
    RevokeLease,
    /// A revision check, which confirms the state of the jobs of many polls, with the id of its batch of polls.
    RevisionCheck(u64),
    /// A transaction for a batch of submissions and cancellations, with the id of the batch.
    JobWrites(u64),
    /// A read for the lookup of a job, with the id of the job.
    JobLookup(String),
    /// A page of the records that a new leader reads to recover its state, with the leader's epoch.
    RecoveryRead(u64),
    /// A transaction that appends to the write-ahead log, with the leader's epoch.
    LogAppend(u64),
    /// A read of a segment of the write-ahead log, which shows whether a transaction of unknown outcome was applied,
    /// with the leader's epoch.
    LogReadBack(u64),
    /// A read or put of the stored instance types.
    InstanceCatalog,
}

impl KvRequestContext {
    /// Whether the leader is polled right after the response. Responses to lease renewals and to requests on
    /// behalf of users are frequent, and give the leader no work that cannot wait for the next tick.
    pub(super) fn needs_leader_poll(&self) -> bool {
        !matches!(
            self,
            KvRequestContext::RevisionCheck(_)
                | KvRequestContext::JobLookup(_)
                | KvRequestContext::KeepAlive
                | KvRequestContext::JobWrites(_)
        )
    }
}

/// What a request to the cloud is for, which tells where its response goes.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequestContext {
    /// The list of instance types.
    ListInstanceTypes,
    /// A page of the list of instances, with the leader's epoch.
    ListInstances(u64),
    /// A provisioning request, with the leader's epoch and the idempotency key.
    CreateInstances(u64, String),
    /// A deletion of instances, with the leader's epoch and the names of the instances.
    DeleteInstances(u64, Vec<String>),
}

/// The sender, the receiver and the content of a direct call.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRequestContext {
    /// Epoch of the leader that sent the call.
    pub epoch: u64,
    /// Name of the worker that receives the call.
    pub worker: String,
    /// The commands in the call.
    pub commands: Vec<Command>,
}

/// Counts of rejected requests, by HTTP status and reason.
#[derive(Debug, Default)]
struct RejectionCounters {
    counts: BTreeMap<(u16, String), u32>,
}

impl RejectionCounters {
    /// Maximum number of pairs of status and reason that are counted separately between two calls of `log`. Malformed
    /// requests can be rejected for any number of different reasons.
    const MAX_REASONS: usize = 16;
    /// Reason under which all further reasons are counted together.
    const OTHER_REASONS: &str = "others";

    fn count(&mut self, status: u16, reason: &str) {
        let mut key = (status, reason.to_owned());
        if self.counts.len() >= Self::MAX_REASONS && !self.counts.contains_key(&key) {
            key.1 = Self::OTHER_REASONS.to_owned();
        }
        *self.counts.entry(key).or_default() += 1;
    }

    fn log(&mut self) {
        for ((status, reason), count) in std::mem::take(&mut self.counts) {
            tracing::info!(status, reason, count, "requests rejected");
        }
    }
}

/// A request to the state service that has no response yet.
#[derive(Debug)]
pub struct PendingKvRequest {
    /// What the request is for.
    pub context: KvRequestContext,
    /// When it was sent, in monotonic seconds.
    pub sent_at: f64,
}

/// Outgoing requests that have no response yet.
#[derive(Debug, Default)]
struct PendingRequests {
    last_id: CorrelationId,
    kv: HashMap<CorrelationId, PendingKvRequest>,
    cloud: HashMap<CorrelationId, CloudRequestContext>,
    worker: HashMap<CorrelationId, WorkerRequestContext>,
}

impl PendingRequests {
    fn next_id(&mut self) -> CorrelationId {
        self.last_id += 1;
        self.last_id
    }
}

/// The queue of effects, and the outgoing requests that have no response yet.
#[derive(Debug, Default)]
pub struct Effects {
    /// Effects that the event loop has not taken yet, oldest first.
    pub queue: Vec<Effect>,
    pending: PendingRequests,
    rejections: RejectionCounters,
}

impl Effects {
    /// Queues a request to the state service.
    pub fn call_kv(
        &mut self,
        context: KvRequestContext,
        request: KvRequest,
        timeout_s: f64,
        now: f64,
    ) {
        let correlation_id = self.pending.next_id();
        let pending = PendingKvRequest {
            context,
            sent_at: now,
        };
        self.pending.kv.insert(correlation_id, pending);
        self.queue.push(Effect::CallKv {
            correlation_id,
            request,
            timeout_s,
        });
    }

    /// Queues a request to the cloud.
    pub fn call_cloud(
        &mut self,
        context: CloudRequestContext,
        request: CloudRequest,
        timeout_s: f64,
    ) {
        let correlation_id = self.pending.next_id();
        self.pending.cloud.insert(correlation_id, context);
        self.queue.push(Effect::CallCloud {
            correlation_id,
            request,
            timeout_s,
        });
    }

    /// Queues a direct call to a worker.
    pub fn call_worker(
        &mut self,
        context: WorkerRequestContext,
        endpoint: String,
        request: WorkerRequest,
        timeout_s: f64,
    ) {
        let correlation_id = self.pending.next_id();
        self.pending.worker.insert(correlation_id, context);
        self.queue.push(Effect::CallWorker {
            correlation_id,
            endpoint,
            request,
            timeout_s,
        });
    }

    /// Removes and returns the pending state service request with this id. Returns `None` if its
    /// response has been taken already.
    pub fn take_kv_request(&mut self, correlation_id: CorrelationId) -> Option<PendingKvRequest> {
        self.pending.kv.remove(&correlation_id)
    }

    /// Removes and returns the pending cloud request with this id. Returns `None` if its response has been taken
    /// already.
    pub fn take_cloud_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<CloudRequestContext> {
        self.pending.cloud.remove(&correlation_id)
    }

    /// Removes and returns the pending direct call with this id. Returns `None` if its response has been taken
    /// already.
    pub fn take_worker_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<WorkerRequestContext> {
        self.pending.worker.remove(&correlation_id)
    }

    /// Queues a response with `message`, encoded as CBOR, as its body.
    pub fn respond<T: serde::Serialize>(&mut self, request_id: u64, status: u16, message: &T) {
        self.queue.push(Effect::Respond {
            request_id,
            status,
            body: cbor::encode(message),
            retry_after_s: None,
        });
    }

    /// Queues the response to a submission or cancellation: the id and the status of the job.
    pub fn respond_job_status(
        &mut self,
        request_id: u64,
        status: u16,
        id: &str,
        job_status: job::JobStatus,
    ) {
        let accepted = job::JobAccepted {
            id: id.to_owned(),
            status: job_status,
        };
        self.respond(request_id, status, &accepted);
    }

    /// Queues an error response. `retry_after_s` tells the client after how many seconds to retry, if that may help.
    pub fn respond_error(
        &mut self,
        request_id: u64,
        status: u16,
        reason: &str,
        retry_after_s: Option<u32>,
    ) {
        // Requests for unknown jobs or paths are not counted, because they are normal.
        if status != http_status::NOT_FOUND {
            self.rejections.count(status, reason);
        }
        let error = ErrorBody {
            error: reason.to_owned(),
        };
        self.queue.push(Effect::Respond {
            request_id,
            status,
            body: cbor::encode(&error),
            retry_after_s,
        });
    }

    /// Logs the counts of requests rejected since the previous call.
    pub fn log_rejections(&mut self) {
        self.rejections.log();
    }
}
