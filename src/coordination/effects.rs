//! Effects: what a controller wants done, for the event loop to carry out, and what each response is for.
//!
//! A controller performs no I/O. Its components queue [`Effect`]s in [`Effects`]; requests get a correlation
//! id, by which the response finds the component that asked.

use crate::protocol::cloud::CloudRequest;
use crate::protocol::job::ErrorBody;
use crate::protocol::kv::KvRequest;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::worker::{Command, WorkerRequest};
use crate::protocol::{cbor, http_status, job};
use std::collections::{BTreeMap, HashMap};

/// Identifies a request until its response has come.
pub type CorrelationId = u64;

/// One thing for the event loop to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Respond to a request of a user, a worker or the load balancer.
    Respond {
        /// The request, by the id that the event loop gave it.
        request_id: u64,
        /// HTTP status.
        status: u16,
        /// Body, encoded.
        body: Vec<u8>,
        /// Seconds for the `Retry-After` header.
        retry_after_s: Option<u32>,
    },
    /// Call the state service.
    CallKv {
        /// Identifies the response.
        correlation_id: CorrelationId,
        /// The request.
        request: KvRequest,
        /// Seconds after which the outcome counts as unknown.
        timeout_s: f64,
    },
    /// Call the cloud.
    CallCloud {
        /// Identifies the response.
        correlation_id: CorrelationId,
        /// The request.
        request: CloudRequest,
        /// Seconds after which the outcome counts as unknown.
        timeout_s: f64,
    },
    /// Call a worker.
    CallWorker {
        /// Identifies the response.
        correlation_id: CorrelationId,
        /// Its address.
        endpoint: String,
        /// The request.
        request: WorkerRequest,
        /// Seconds after which the outcome counts as unknown.
        timeout_s: f64,
    },
    /// Send a heartbeat to every peer.
    BroadcastHeartbeat(PeerHeartbeat),
}

/// Which component asked the state service, and for what.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequestContext {
    /// Listing or watch of `open/`.
    OpenJobsWatch,
    /// Listing or watch of `leader`.
    LeaderWatch,
    /// A new lease for the election.
    GrantLease,
    /// The election's transaction that puts `leader`.
    Campaign,
    /// The renewal of the leader's lease.
    KeepAlive,
    /// The revocation of a lease.
    RevokeLease,
    /// A batch of revision checks for status requests, by its number.
    RevisionCheck(u64),
    /// A batch of submissions and cancellations, by its number.
    JobWrites(u64),
    /// The lookup of one job, by its id.
    JobLookup(String),
    /// A page of the records that a new leader reads, with its epoch.
    RecoveryRead(u64),
    /// A transaction of the leader's write-ahead log, with its epoch.
    LogAppend(u64),
    /// The leader's read of a log segment that tells the outcome of a transaction, with its epoch.
    LogReadBack(u64),
    /// A read or a put of the stored instance types.
    InstanceCatalog,
}

impl KvRequestContext {
    /// Whether the response may give the leader something to do. Those to users' requests and to the
    /// renewal of the lease do not, and are many.
    pub(super) fn may_concern_leader(&self) -> bool {
        !matches!(
            self,
            KvRequestContext::RevisionCheck(_)
                | KvRequestContext::JobLookup(_)
                | KvRequestContext::KeepAlive
                | KvRequestContext::JobWrites(_)
        )
    }
}

/// Which component asked the cloud, and for what.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequestContext {
    /// The instance types.
    ListInstanceTypes,
    /// A page of the instance list, with the leader's epoch.
    ListInstances(u64),
    /// A provisioning request: the leader's epoch and the idempotency key.
    CreateInstances(u64, String),
    /// A deletion: the leader's epoch and the names of the instances.
    DeleteInstances(u64, Vec<String>),
}

/// What a direct call to a worker was for.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRequestContext {
    /// The leader's epoch.
    pub epoch: u64,
    /// The worker.
    pub worker: String,
    /// The commands that were sent.
    pub commands: Vec<Command>,
}

/// What was refused, counted by status and reason.
#[derive(Debug, Default)]
struct RefusalCounters {
    counts: BTreeMap<(u16, String), u32>,
}

impl RefusalCounters {
    /// Reasons told apart between two logs; those of malformed requests are many.
    const MAX_REASONS: usize = 16;
    /// Stands for the reasons beyond these.
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
    /// Which component asked, and for what.
    pub context: KvRequestContext,
    /// When it was sent, in monotonic seconds.
    pub sent_at: f64,
}

/// The requests that have no response yet.
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

/// The queue of effects, and the requests among them that wait for a response.
#[derive(Debug, Default)]
pub struct Effects {
    /// Effects in order.
    pub queue: Vec<Effect>,
    pending: PendingRequests,
    refusals: RefusalCounters,
}

impl Effects {
    /// Sends a request to the state service.
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

    /// Sends a request to the cloud.
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

    /// Calls a worker directly.
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

    /// The request to the state service that a response belongs to. None: it has had its response.
    pub fn take_kv_request(&mut self, correlation_id: CorrelationId) -> Option<PendingKvRequest> {
        self.pending.kv.remove(&correlation_id)
    }

    /// The request to the cloud that a response belongs to. None: it has had its response.
    pub fn take_cloud_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<CloudRequestContext> {
        self.pending.cloud.remove(&correlation_id)
    }

    /// The direct call that a response belongs to. None: it has had its response.
    pub fn take_worker_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<WorkerRequestContext> {
        self.pending.worker.remove(&correlation_id)
    }

    /// Responds with a message.
    pub fn respond<T: serde::Serialize>(&mut self, request_id: u64, status: u16, message: &T) {
        self.queue.push(Effect::Respond {
            request_id,
            status,
            body: cbor::encode(message),
            retry_after_s: None,
        });
    }

    /// Responds with a job's status.
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

    /// Responds with an error; `retry_after_s` tells when to try again.
    pub fn respond_error(
        &mut self,
        request_id: u64,
        status: u16,
        reason: &str,
        retry_after_s: Option<u32>,
    ) {
        // That there is no such job is an ordinary answer.
        if status != http_status::NOT_FOUND {
            self.refusals.count(status, reason);
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

    /// Logs what was refused since the previous call.
    pub fn log_refusals(&mut self) {
        self.refusals.log();
    }
}
