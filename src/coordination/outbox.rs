//! What the coordinator wants done: actions for the event loop, and the meaning of their answers.

use crate::protocol::cloud::CloudRequest;
use crate::protocol::job::ErrorBody;
use crate::protocol::kv::KvRequest;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::worker::WorkerRequest;
use crate::protocol::{cbor, job};
use std::collections::{BTreeMap, HashMap};

/// Names an action that will be answered.
pub type Tag = u64;

/// Something for the event loop to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Answer a request.
    Answer {
        /// Which request.
        to: u64,
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
        /// `Retry-After`.
        retry_after_s: Option<u32>,
    },
    /// Call the state service.
    Store {
        /// Names the call.
        tag: Tag,
        /// The call.
        call: KvRequest,
        /// Seconds after which to give up.
        within_s: f64,
    },
    /// Call the cloud.
    Cloud {
        /// Names the call.
        tag: Tag,
        /// The call.
        call: CloudRequest,
        /// Seconds after which to give up.
        within_s: f64,
    },
    /// Call a worker.
    Worker {
        /// Names the call.
        tag: Tag,
        /// Its address.
        endpoint: String,
        /// The call.
        call: WorkerRequest,
        /// Seconds after which to give up.
        within_s: f64,
    },
    /// Tell all peers.
    Heartbeat(PeerHeartbeat),
}

/// Which part asked the state service, and for what.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAsk {
    /// The mirror of open jobs.
    Mirror,
    /// The watch on `leader`.
    LeaderWatch,
    /// A new lease for the election.
    Grant,
    /// The transaction that takes `leader`.
    Take,
    /// The renewal of the lease.
    Renew,
    /// The end of a lease.
    Drop,
    /// The frontend's comparison for polls, by its number.
    Check(u64),
    /// The frontend's submits and cancels, by their number.
    Write(u64),
    /// The frontend's look at one job.
    Look(String),
    /// The leader's reading of all its records, for this Epoch.
    Load(u64),
    /// The leader's transaction, for this Epoch.
    Ledger(u64),
    /// The leader's look at the log, to learn the fate of its transaction.
    Witness(u64),
    /// The stored catalogue.
    Catalogue,
    /// A call whose answer does not matter.
    Ignored,
}

/// Which part asked the cloud, and for what.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudAsk {
    /// The catalogue.
    Types,
    /// The list, for this Epoch.
    List(u64),
    /// A rental, for this Epoch.
    Rent(u64, String),
    /// A deletion, for this Epoch.
    Delete(u64, Vec<String>),
}

/// A direct call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerAsk {
    /// The leader's Epoch.
    pub epoch: u64,
    /// The host.
    pub host: String,
    /// The orders sent.
    pub orders: Vec<crate::protocol::worker::Command>,
}

/// Collects actions and remembers what their answers are for.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Actions in order.
    pub actions: Vec<Action>,
    next: Tag,
    store: HashMap<Tag, (StoreAsk, f64)>,
    cloud: HashMap<Tag, CloudAsk>,
    worker: HashMap<Tag, WorkerAsk>,
    /// Refusals since the last log of them, by status and reason.
    refused: BTreeMap<(u16, String), u32>,
}

/// Reasons told apart between two logs; those of malformed requests are many.
const MAX_REASONS: usize = 16;

impl Outbox {
    fn tag(&mut self) -> Tag {
        self.next += 1;
        self.next
    }

    /// Calls the state service.
    pub fn store(&mut self, ask: StoreAsk, call: KvRequest, within_s: f64, now: f64) {
        let tag = self.tag();
        self.store.insert(tag, (ask, now));
        self.actions.push(Action::Store {
            tag,
            call,
            within_s,
        });
    }

    /// Calls the cloud.
    pub fn cloud(&mut self, ask: CloudAsk, call: CloudRequest, within_s: f64) {
        let tag = self.tag();
        self.cloud.insert(tag, ask);
        self.actions.push(Action::Cloud {
            tag,
            call,
            within_s,
        });
    }

    /// Calls a worker.
    pub fn worker(&mut self, ask: WorkerAsk, endpoint: String, call: WorkerRequest, within_s: f64) {
        let tag = self.tag();
        self.worker.insert(tag, ask);
        self.actions.push(Action::Worker {
            tag,
            endpoint,
            call,
            within_s,
        });
    }

    /// What a store call was for and when it was made; once only.
    pub fn store_ask(&mut self, tag: Tag) -> Option<(StoreAsk, f64)> {
        self.store.remove(&tag)
    }
    /// What a cloud call was for; once only.
    pub fn cloud_ask(&mut self, tag: Tag) -> Option<CloudAsk> {
        self.cloud.remove(&tag)
    }
    /// What a worker call was for; once only.
    pub fn worker_ask(&mut self, tag: Tag) -> Option<WorkerAsk> {
        self.worker.remove(&tag)
    }

    /// Answers with a message.
    pub fn answer<T: serde::Serialize>(&mut self, to: u64, status: u16, message: &T) {
        self.actions.push(Action::Answer {
            to,
            status,
            body: cbor::encode(message),
            retry_after_s: None,
        });
    }

    /// Answers with a job's state.
    pub fn answer_state(&mut self, to: u64, status: u16, id: &str, state: job::JobStatus) {
        let accepted = job::JobAccepted {
            id: id.to_owned(),
            status: state,
        };
        self.answer(to, status, &accepted);
    }

    /// Logs what was refused since the last time.
    pub fn log_refused(&mut self) {
        for ((status, reason), count) in std::mem::take(&mut self.refused) {
            tracing::info!(status, reason, count, "refused");
        }
    }

    /// Answers with a refusal; `retry_after_s` tells when to come back.
    pub fn refuse(&mut self, to: u64, status: u16, why: &str, retry_after_s: Option<u32>) {
        // That there is no such job is an answer like others.
        if status != 404 {
            let mut reason = (status, why.to_owned());
            if self.refused.len() >= MAX_REASONS && !self.refused.contains_key(&reason) {
                reason.1 = "others".to_owned();
            }
            *self.refused.entry(reason).or_default() += 1;
        }
        let refusal = ErrorBody {
            error: why.to_owned(),
        };
        self.actions.push(Action::Answer {
            to,
            status,
            body: cbor::encode(&refusal),
            retry_after_s,
        });
    }
}
