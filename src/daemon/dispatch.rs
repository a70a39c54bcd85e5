//! Executes the effects that the controller returns, and passes the responses to its calls to the controller.
//!
//! A call is a request to the state service, the cloud or a worker.

use super::Daemon;
use super::clients::{CallResponse, PendingCall};
use super::connections::Connection;
use crate::coordination::controller::Now;
use crate::coordination::effects::{CorrelationId, Effect};
use crate::protocol::peer::{self, PeerHeartbeat};
use crate::protocol::worker::{WorkerRequest, WorkerResponse};
use std::net::SocketAddr;

impl Daemon {
    /// Executes effects and delivers responses until none are left. It loops because a response can cause further
    /// effects.
    pub(super) fn process_effects(&mut self) {
        loop {
            let now = self.now();
            let effects = self.controller.take_effects();
            let has_effects = !effects.is_empty();
            for effect in effects {
                self.execute(effect, now);
            }
            let responses = self.clients.take_responses();
            let has_responses = !responses.is_empty();
            for response in responses {
                self.deliver_response(response, now);
            }
            if !has_responses && !has_effects {
                return;
            }
        }
    }

    fn execute(&mut self, effect: Effect, now: Now) {
        match effect {
            Effect::Respond {
                request_id,
                status,
                body,
                retry_after_s,
            } => self.respond(request_id, status, &body, retry_after_s, now),
            Effect::CallKv {
                correlation_id,
                request,
                timeout_s,
            } => {
                let message = request.http_request();
                let pending = PendingCall::StateService {
                    correlation_id,
                    request,
                    sent_at: now.monotonic,
                };
                self.call(pending, self.state_service, message, timeout_s, now);
            }
            Effect::CallCloud {
                correlation_id,
                request,
                timeout_s,
            } => {
                let message = request.http_request();
                let pending = PendingCall::Cloud {
                    correlation_id,
                    request,
                };
                self.call(pending, self.cloud, message, timeout_s, now);
            }
            Effect::CallWorker {
                correlation_id,
                endpoint,
                request,
                timeout_s,
            } => self.call_worker(correlation_id, &endpoint, &request, timeout_s, now),
            Effect::BroadcastHeartbeat(heartbeat) => self.broadcast(&heartbeat, now),
        }
    }

    /// Sends the response to a request of a user or worker, and records the latency.
    fn respond(
        &mut self,
        request_id: u64,
        status: u16,
        body: &[u8],
        retry_after_s: Option<u32>,
        now: Now,
    ) {
        let answered = self
            .server
            .answer(request_id, status, body, retry_after_s, now.monotonic);
        if let Some((connection, action, waited_s)) = answered {
            self.request_latency.record(waited_s);
            self.serve(connection, action, now);
        }
    }

    /// Calls a worker. If its endpoint is not a valid address, reports to the controller that the call was not sent.
    fn call_worker(
        &mut self,
        correlation_id: CorrelationId,
        endpoint: &str,
        request: &WorkerRequest,
        timeout_s: f64,
        now: Now,
    ) {
        match endpoint.parse::<SocketAddr>() {
            Ok(to) => {
                let pending = PendingCall::Worker { correlation_id };
                self.call(pending, to, request.http_request(), timeout_s, now);
            }
            Err(_) => {
                tracing::warn!(endpoint, "worker endpoint invalid");
                self.controller
                    .on_worker_response(correlation_id, WorkerResponse::NotSent, now);
            }
        }
    }

    /// Makes a call, and registers the connection if one was opened.
    fn call(
        &mut self,
        pending: PendingCall,
        to: SocketAddr,
        message: (&'static str, String, Vec<u8>),
        timeout_s: f64,
        now: Now,
    ) {
        let opened = self
            .clients
            .call(pending, to, message, timeout_s, now.monotonic);
        self.register_client(opened);
    }

    /// Sends a heartbeat to all peers (the other controllers), and registers connections that were opened for it.
    fn broadcast(&mut self, heartbeat: &PeerHeartbeat, now: Now) {
        let frame = match peer::encode(heartbeat) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::error!(%error, "peer heartbeat not sent: encoding failed");
                return;
            }
        };
        for index in 0..self.outgoing_peers.len() {
            if let Some(stream) = self.outgoing_peers[index].send(&frame, now.monotonic) {
                let connection = Connection::OutgoingPeer(index);
                self.unregister(connection);
                self.register(connection, stream);
            }
        }
    }

    /// Passes the result of a call to the controller, and records the latency of calls to the state service except
    /// watches.
    fn deliver_response(&mut self, response: CallResponse, now: Now) {
        match response {
            CallResponse::StateService {
                correlation_id,
                response,
                sent_at,
            } => {
                if let Some(sent_at) = sent_at {
                    self.state_service_latency.record(now.monotonic - sent_at);
                }
                self.controller
                    .on_kv_response(correlation_id, response, now);
            }
            CallResponse::Cloud {
                correlation_id,
                response,
            } => self
                .controller
                .on_cloud_response(correlation_id, response, now),
            CallResponse::Worker {
                correlation_id,
                response,
            } => self
                .controller
                .on_worker_response(correlation_id, response, now),
        }
    }
}
