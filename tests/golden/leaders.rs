//! A controller that starts, comes to lead, and answers a worker: its calls to the state service, with the key
//! that says who leads, and its answer with a token.

use super::pinned::PinnedFile;
use super::users::{STATE_SERVICE, node, tell_types};
use super::workers::received_report;
use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::effects::Effect;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::transport::http;
use std::collections::BTreeSet;

/// Time between two ticks of the controller, and the number of them in which it has come to lead.
const TICK_S: f64 = 0.5;
const TICKS: u32 = 40;
/// Time of day at the start.
const STARTED_AT: f64 = 1_700_000_000.0;
/// What the state service says: the lease that it grants, and its revision.
const LEASE: u64 = 7;
const REVISION: u64 = 412;
/// The request of the worker.
const REPORT: u64 = 1;

/// An empty state service that takes everything.
fn state_service(call: &KvRequest) -> KvResponse {
    match call {
        KvRequest::Get(_) => KvResponse::NotFound,
        KvRequest::List { .. } => KvResponse::Page {
            items: Vec::new(),
            more: false,
            revision: REVISION,
        },
        KvRequest::Txn(_) => KvResponse::Committed(REVISION),
        KvRequest::GrantLease(_) => KvResponse::LeaseGranted(LEASE),
        KvRequest::KeepAlive(_) | KvRequest::RevokeLease(_) => KvResponse::LeaseOk,
        KvRequest::Watch { .. } => KvResponse::Events {
            events: Vec::new(),
            revision: REVISION,
        },
    }
}

/// Lets a controller run for a tick, and collects the calls that it makes of the state service.
fn run_for_a_tick(node: &mut Controller, requests: &mut BTreeSet<Vec<u8>>, now: Now) {
    node.tick(now);
    for action in tell_types(node) {
        if let Effect::CallKv {
            correlation_id,
            request: call,
            ..
        } = action
        {
            let (method, path, body) = call.http_request();
            requests.insert(http::write_request(method, STATE_SERVICE, &path, &body));
            node.on_kv_response(correlation_id, state_service(&call), now);
        }
    }
}

#[test]
fn a_node_that_comes_to_lead_keeps_its_requests_and_its_answer_to_a_worker() {
    let mut file = PinnedFile::open("leader_requests");
    let mut node = node();
    let mut requests = BTreeSet::new();
    let mut now = Now {
        monotonic: 0.0,
        wall: STARTED_AT,
    };
    for tick in 0..TICKS {
        now.monotonic = f64::from(tick) * TICK_S;
        now.wall = STARTED_AT + now.monotonic;
        run_for_a_tick(&mut node, &mut requests, now);
    }
    assert!(node.is_leader());
    for (i, request) in requests.iter().enumerate() {
        file.pin(&format!("request {i}"), request);
    }
    let report = cbor::encode(&received_report());
    node.on_request(REPORT, "POST", "/v1/report", &report, now);
    let answer = node
        .take_effects()
        .into_iter()
        .find_map(|action| match action {
            Effect::Respond {
                request_id: REPORT,
                status,
                body,
                retry_after_s,
            } => Some(http::write_response(status, &body, retry_after_s, true)),
            _ => None,
        });
    file.pin("answer to a report", &answer.expect("an answer"));
    file.finish();
}
