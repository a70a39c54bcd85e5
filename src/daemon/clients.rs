//! Makes outgoing calls: a call is a request to the state service, the cloud or a worker. There is a connection pool
//! for each of these three kinds of destinations.

use super::sockets::SocketBudget;
use crate::coordination::effects::CorrelationId;
use crate::protocol::cloud::{CloudRequest, CloudResponse};
use crate::protocol::kv::{KvRequest, KvResponse};
use crate::protocol::worker::{WorkerRequest, WorkerResponse};
use crate::transport::client::{Call, CallId, Client, Outcome};
use crate::transport::http;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Longest response body of the state service, in bytes. If the response to a watch is longer, the
/// controller lists the keys of the watch again.
const MAX_STATE_SERVICE_BODY: usize = 2 * 1024 * 1024;
/// Longest response body of the cloud API, in bytes.
const MAX_CLOUD_BODY: usize = 1024 * 1024;
/// Longest response body of a worker, in bytes.
const MAX_WORKER_BODY: usize = 2 * http::MAX_REQUEST_BODY;
/// Largest number of connections to one worker.
const CONNECTIONS_PER_WORKER: usize = 1;

/// Identifies a connection pool by the kind of its destinations. Each pool is a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Pool {
    StateService,
    Cloud,
    Workers,
}

impl Pool {
    pub(super) const ALL: [Pool; 3] = [Pool::StateService, Pool::Cloud, Pool::Workers];
}

/// Identifies a connection of one of the connection pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ClientConnection {
    pub(super) pool: Pool,
    /// Id of the connection in its pool.
    pub(super) id: u64,
}

/// A call that has not completed: identifies it for the controller, and holds what is needed to decode its response.
pub(super) enum PendingCall {
    StateService {
        correlation_id: CorrelationId,
        request: KvRequest,
        /// When the call was made, in seconds of the steady clock.
        sent_at: f64,
    },
    Cloud {
        correlation_id: CorrelationId,
        request: CloudRequest,
    },
    Worker {
        correlation_id: CorrelationId,
    },
}

/// The result of a completed call, for the controller: the decoded response, or how the call failed.
pub(super) enum CallResponse {
    StateService {
        correlation_id: CorrelationId,
        response: KvResponse,
        /// When the call was made, in seconds of the steady clock. `None` for a watch: the state service delays the
        /// response to a watch until a key changes, so the duration of a watch is not recorded as a latency.
        sent_at: Option<f64>,
    },
    Cloud {
        correlation_id: CorrelationId,
        response: CloudResponse,
    },
    Worker {
        correlation_id: CorrelationId,
        response: WorkerResponse,
    },
}

impl PendingCall {
    fn pool(&self) -> Pool {
        match self {
            PendingCall::StateService { .. } => Pool::StateService,
            PendingCall::Cloud { .. } => Pool::Cloud,
            PendingCall::Worker { .. } => Pool::Workers,
        }
    }

    /// Converts the outcome that the transport reports to a response of the protocol. For workers, failures are
    /// distinguished by whether the call was sent. For the state service and the cloud, every failure counts as an
    /// unknown outcome: the caller must then assume that the request may have been executed, which is always safe.
    fn complete(self, outcome: Outcome) -> CallResponse {
        match self {
            PendingCall::StateService {
                correlation_id,
                request,
                sent_at,
            } => CallResponse::StateService {
                correlation_id,
                sent_at: (!matches!(request, KvRequest::Watch { .. })).then_some(sent_at),
                response: match outcome {
                    Outcome::Response(http) => request.response(http.status, &http.body),
                    Outcome::NotSent | Outcome::ConnectFailed | Outcome::NoResponse => {
                        KvResponse::OutcomeUnknown
                    }
                },
            },
            PendingCall::Cloud {
                correlation_id,
                request,
            } => CallResponse::Cloud {
                correlation_id,
                response: match outcome {
                    Outcome::Response(http) => request.response(http.status, &http.body),
                    Outcome::NotSent | Outcome::ConnectFailed | Outcome::NoResponse => {
                        CloudResponse::OutcomeUnknown
                    }
                },
            },
            PendingCall::Worker { correlation_id } => CallResponse::Worker {
                correlation_id,
                response: match outcome {
                    Outcome::Response(http) => WorkerRequest::response(http.status, &http.body),
                    Outcome::NotSent => WorkerResponse::NotSent,
                    Outcome::ConnectFailed => WorkerResponse::Unreachable,
                    Outcome::NoResponse => WorkerResponse::OutcomeUnknown,
                },
            },
        }
    }
}

/// The three connection pools, and the calls that have not completed.
pub(super) struct Clients {
    state_service: Client,
    cloud: Client,
    workers: Client,
    pending: HashMap<CallId, PendingCall>,
    next_call_id: CallId,
}

impl Clients {
    /// Creates the connection pools with the sizes in the socket budget. The pools close connections that have been
    /// idle for longer than `idle_timeout_s`.
    pub(super) fn new(sockets: &SocketBudget, idle_timeout_s: f64) -> Clients {
        let single_destination =
            |connections, max_body| Client::new(connections, connections, max_body, idle_timeout_s);
        Clients {
            state_service: single_destination(sockets.state_service, MAX_STATE_SERVICE_BODY),
            cloud: single_destination(sockets.cloud, MAX_CLOUD_BODY),
            workers: Client::new(
                CONNECTIONS_PER_WORKER,
                sockets.direct_calls,
                MAX_WORKER_BODY,
                idle_timeout_s,
            ),
            pending: HashMap::new(),
            next_call_id: 1,
        }
    }

    fn client(&self, pool: Pool) -> &Client {
        match pool {
            Pool::StateService => &self.state_service,
            Pool::Cloud => &self.cloud,
            Pool::Workers => &self.workers,
        }
    }

    fn client_mut(&mut self, pool: Pool) -> &mut Client {
        match pool {
            Pool::StateService => &mut self.state_service,
            Pool::Cloud => &mut self.cloud,
            Pool::Workers => &mut self.workers,
        }
    }

    /// The stream of a connection, or `None` if the connection is closed.
    pub(super) fn stream(&self, connection: ClientConnection) -> Option<Rc<TcpStream>> {
        self.client(connection.pool).stream(connection.id)
    }

    /// Makes a call. If a connection was opened, returns it; the caller must register it with the event loop.
    pub(super) fn call(
        &mut self,
        pending: PendingCall,
        to: SocketAddr,
        (method, path, body): (&'static str, String, Vec<u8>),
        timeout_s: f64,
        now: f64,
    ) -> Option<ClientConnection> {
        let id = self.next_call_id;
        self.next_call_id += 1;
        let pool = pending.pool();
        self.pending.insert(id, pending);
        let call = Call {
            id,
            address: to,
            bytes: http::write_request(method, &to.to_string(), &path, &body),
            deadline: now + timeout_s,
        };
        let opened = self.client_mut(pool).call(call, now);
        opened.map(|id| ClientConnection { pool, id })
    }

    /// Handles a readiness event of a connection. If another connection was opened for a queued call, returns it; the
    /// caller must register it with the event loop.
    pub(super) fn on_ready(
        &mut self,
        connection: ClientConnection,
        now: f64,
    ) -> Option<ClientConnection> {
        let pool = connection.pool;
        let opened = self.client_mut(pool).on_ready(connection.id, now);
        opened.map(|id| ClientConnection { pool, id })
    }

    /// Completes the calls that have timed out, and closes connections that have been idle for too long. Returns the
    /// connections that were opened for queued calls; the caller must register them with the event loop.
    pub(super) fn expire(&mut self, now: f64) -> Vec<ClientConnection> {
        let mut opened = Vec::new();
        for pool in Pool::ALL {
            let ids = self.client_mut(pool).expire(now);
            opened.extend(ids.into_iter().map(|id| ClientConnection { pool, id }));
        }
        opened
    }

    /// Returns the results of the calls that have completed since this function was last called.
    pub(super) fn take_responses(&mut self) -> Vec<CallResponse> {
        let mut responses = Vec::new();
        for pool in Pool::ALL {
            for (id, outcome) in self.client_mut(pool).take_completed() {
                if let Some(pending) = self.pending.remove(&id) {
                    responses.push(pending.complete(outcome));
                }
            }
        }
        responses
    }
}
