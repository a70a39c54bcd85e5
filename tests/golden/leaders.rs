//! A controller that starts, becomes the leader and responds to a worker: its requests to the state service, including
//! the put of the `leader` key, and its response with a fencing token.

use super::pinned::PinnedFile;
use super::users::{STATE_SERVICE, controller, respond_with_instance_types};
use super::workers::received_heartbeat;
use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::effects::Effect;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::transport::http;
use std::collections::BTreeSet;

/// Time between two ticks of the controller.
const TICK_S: f64 = 0.5;
/// Number of ticks within which the controller becomes the leader.
const TICKS: u32 = 40;
/// Wall-clock time at the start, in seconds.
const STARTED_AT: f64 = 1_700_000_000.0;
/// Id of the lease that the state service grants.
const LEASE_ID: u64 = 7;
/// Revision of the store in all responses of the state service.
const REVISION: u64 = 412;
/// Id of the request with the worker's heartbeat.
const HEARTBEAT: u64 = 1;

/// Returns the response of an empty state service that accepts all requests.
fn state_service(request: &KvRequest) -> KvResponse {
    match request {
        KvRequest::Get(_) => KvResponse::NotFound,
        KvRequest::List { .. } => KvResponse::Page {
            items: Vec::new(),
            more: false,
            revision: REVISION,
        },
        KvRequest::Txn(_) => KvResponse::Committed(REVISION),
        KvRequest::GrantLease(_) => KvResponse::LeaseGranted(LEASE_ID),
        KvRequest::KeepAlive(_) | KvRequest::RevokeLease(_) => KvResponse::LeaseOk,
        KvRequest::Watch { .. } => KvResponse::Events {
            events: Vec::new(),
            revision: REVISION,
        },
    }
}

/// Runs a controller for a tick. Adds its requests to the state service to `requests`, and responds to them.
fn run_for_a_tick(controller: &mut Controller, requests: &mut BTreeSet<Vec<u8>>, now: Now) {
    controller.tick(now);
    for effect in respond_with_instance_types(controller) {
        if let Effect::CallKv {
            correlation_id,
            request,
            ..
        } = effect
        {
            let (method, path, body) = request.http_request();
            requests.insert(http::write_request(method, STATE_SERVICE, &path, &body));
            controller.on_kv_response(correlation_id, state_service(&request), now);
        }
    }
}

#[test]
fn a_new_leader_keeps_its_requests_and_its_response_to_a_worker() {
    let mut file = PinnedFile::open("leader_requests");
    let mut controller = controller();
    let mut requests = BTreeSet::new();
    let mut now = Now {
        monotonic: 0.0,
        wall: STARTED_AT,
    };
    for tick in 0..TICKS {
        now.monotonic = f64::from(tick) * TICK_S;
        now.wall = STARTED_AT + now.monotonic;
        run_for_a_tick(&mut controller, &mut requests, now);
    }
    assert!(controller.is_leader());
    for (i, request) in requests.iter().enumerate() {
        file.pin(&format!("request {i}"), request);
    }
    let heartbeat = cbor::encode(&received_heartbeat());
    controller.on_request(HEARTBEAT, "POST", "/v1/report", &heartbeat, now);
    let response = controller
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Respond {
                request_id: HEARTBEAT,
                status,
                body,
                retry_after_s,
            } => Some(http::write_response(status, &body, retry_after_s, true)),
            _ => None,
        });
    file.pin(
        "answer to a report",
        &response.expect("the controller has not responded"),
    );
    file.finish();
}
