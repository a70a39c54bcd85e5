//! What the coordinator wants done: actions for the event loop, and the meaning of their answers.

use crate::protocol::cloud::CloudRequest;
use crate::protocol::job::ErrorBody;
use crate::protocol::kv::KvRequest;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::worker::WorkerRequest;
use crate::protocol::{cbor, job};
use std::collections::{BTreeMap, HashMap};

/// Names an action that will be answered.
pub type CorrelationId = u64;

/// Something for the event loop to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Answer a request.
    Respond {
        /// Which request.
        request_id: u64,
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
        /// `Retry-After`.
        retry_after_s: Option<u32>,
    },
    /// Call the state service.
    CallKv {
        /// Names the call.
        correlation_id: CorrelationId,
        /// The call.
        request: KvRequest,
        /// Seconds after which to give up.
        timeout_s: f64,
    },
    /// Call the cloud.
    CallCloud {
        /// Names the call.
        correlation_id: CorrelationId,
        /// The call.
        request: CloudRequest,
        /// Seconds after which to give up.
        timeout_s: f64,
    },
    /// Call a worker.
    CallWorker {
        /// Names the call.
        correlation_id: CorrelationId,
        /// Its address.
        endpoint: String,
        /// The call.
        request: WorkerRequest,
        /// Seconds after which to give up.
        timeout_s: f64,
    },
    /// Tell all peers.
    BroadcastHeartbeat(PeerHeartbeat),
}

/// Which part asked the state service, and for what.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequestKind {
    /// The mirror of open jobs.
    OpenJobsWatch,
    /// The watch on `leader`.
    LeaderWatch,
    /// A new lease for the election.
    GrantLease,
    /// The transaction that takes `leader`.
    Campaign,
    /// The renewal of the lease.
    KeepAlive,
    /// The end of a lease.
    RevokeLease,
    /// The job API's comparison for polls, by its number.
    RevisionCheck(u64),
    /// The job API's submits and cancels, by their number.
    JobWrites(u64),
    /// The job API's look at one job.
    JobLookup(String),
    /// The leader's reading of all its records, for this epoch.
    RecoveryRead(u64),
    /// The leader's transaction, for this epoch.
    LogAppend(u64),
    /// The leader's look at the log, to learn the outcome of its transaction.
    LogReadBack(u64),
    /// The stored instance catalog.
    InstanceCatalog,
    /// A call whose answer does not matter.
    Ignored,
}

impl KvRequestKind {
    /// Whether the response may give the leader something to do. Those to users' requests and to the
    /// renewal of the lease do not, and are many.
    pub(super) fn may_concern_leader(&self) -> bool {
        !matches!(
            self,
            KvRequestKind::RevisionCheck(_)
                | KvRequestKind::JobLookup(_)
                | KvRequestKind::KeepAlive
                | KvRequestKind::JobWrites(_)
        )
    }
}

/// Which part asked the cloud, and for what.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequestKind {
    /// The instance catalog.
    ListInstanceTypes,
    /// The list, for this epoch.
    ListInstances(u64),
    /// A provisioning request, for this epoch.
    CreateInstances(u64, String),
    /// A deletion, for this epoch.
    DeleteInstances(u64, Vec<String>),
}

/// A direct call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRequestContext {
    /// The leader's epoch.
    pub epoch: u64,
    /// The worker.
    pub worker: String,
    /// The commands sent.
    pub commands: Vec<crate::protocol::worker::Command>,
}

/// Collects actions and remembers what their answers are for.
#[derive(Debug, Default)]
pub struct Effects {
    /// Actions in order.
    pub queue: Vec<Effect>,
    next_correlation_id: CorrelationId,
    call_kv: HashMap<CorrelationId, (KvRequestKind, f64)>,
    call_cloud: HashMap<CorrelationId, CloudRequestKind>,
    call_worker: HashMap<CorrelationId, WorkerRequestContext>,
    /// Refusals since the last log of them, by status and reason.
    refusals: BTreeMap<(u16, String), u32>,
}

/// Reasons told apart between two logs; those of malformed requests are many.
const MAX_REASONS: usize = 16;

impl Effects {
    fn new_correlation_id(&mut self) -> CorrelationId {
        self.next_correlation_id += 1;
        self.next_correlation_id
    }

    /// Calls the state service.
    pub fn call_kv(&mut self, kind: KvRequestKind, call: KvRequest, within_s: f64, now: f64) {
        let correlation_id = self.new_correlation_id();
        self.call_kv.insert(correlation_id, (kind, now));
        self.queue.push(Effect::CallKv {
            correlation_id,
            request: call,
            timeout_s: within_s,
        });
    }

    /// Calls the cloud.
    pub fn call_cloud(&mut self, kind: CloudRequestKind, call: CloudRequest, within_s: f64) {
        let correlation_id = self.new_correlation_id();
        self.call_cloud.insert(correlation_id, kind);
        self.queue.push(Effect::CallCloud {
            correlation_id,
            request: call,
            timeout_s: within_s,
        });
    }

    /// Calls a worker.
    pub fn call_worker(
        &mut self,
        kind: WorkerRequestContext,
        endpoint: String,
        call: WorkerRequest,
        within_s: f64,
    ) {
        let correlation_id = self.new_correlation_id();
        self.call_worker.insert(correlation_id, kind);
        self.queue.push(Effect::CallWorker {
            correlation_id,
            endpoint,
            request: call,
            timeout_s: within_s,
        });
    }

    /// What a store call was for and when it was made; once only.
    pub fn take_kv_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<(KvRequestKind, f64)> {
        self.call_kv.remove(&correlation_id)
    }
    /// What a cloud call was for; once only.
    pub fn take_cloud_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<CloudRequestKind> {
        self.call_cloud.remove(&correlation_id)
    }
    /// What a worker call was for; once only.
    pub fn take_worker_request(
        &mut self,
        correlation_id: CorrelationId,
    ) -> Option<WorkerRequestContext> {
        self.call_worker.remove(&correlation_id)
    }

    /// Answers with a message.
    pub fn respond<T: serde::Serialize>(&mut self, to: u64, status: u16, message: &T) {
        self.queue.push(Effect::Respond {
            request_id: to,
            status,
            body: cbor::encode(message),
            retry_after_s: None,
        });
    }

    /// Answers with a job's state.
    pub fn respond_job_status(&mut self, to: u64, status: u16, id: &str, state: job::JobStatus) {
        let accepted = job::JobAccepted {
            id: id.to_owned(),
            status: state,
        };
        self.respond(to, status, &accepted);
    }

    /// Logs what was refused since the last time.
    pub fn log_refusals(&mut self) {
        for ((status, reason), count) in std::mem::take(&mut self.refusals) {
            tracing::info!(status, reason, count, "requests rejected");
        }
    }

    /// Answers with a refusal; `retry_after_s` tells when to come back.
    pub fn respond_error(&mut self, to: u64, status: u16, why: &str, retry_after_s: Option<u32>) {
        // That there is no such job is an answer like others.
        if status != 404 {
            let mut reason = (status, why.to_owned());
            if self.refusals.len() >= MAX_REASONS && !self.refusals.contains_key(&reason) {
                reason.1 = "others".to_owned();
            }
            *self.refusals.entry(reason).or_default() += 1;
        }
        let refusal = ErrorBody {
            error: why.to_owned(),
        };
        self.queue.push(Effect::Respond {
            request_id: to,
            status,
            body: cbor::encode(&refusal),
            retry_after_s,
        });
    }
}
