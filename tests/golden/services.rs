//! Requests to the state service, the cloud and workers: their encoding, and how each response is interpreted.

use super::pinned::{PinnedFile, show, without};
use super::workers::{command_batch, received_heartbeat};
use cedarladder::protocol::cbor;
use cedarladder::protocol::cloud::{
    CloudRequest, CloudResponse, CreateInstances, Instance, InstanceStatus, InstanceType,
};
use cedarladder::protocol::kv::{Compare, KeyValue, KvRequest, KvResponse, Txn, WriteOp};
use cedarladder::protocol::worker::{WorkerRequest, WorkerResponse};
use ciborium::{Value, cbor};

/// All statuses that a response may have, and some that no response should have.
const STATUSES: [u16; 13] = [
    200, 201, 204, 299, 400, 404, 409, 410, 421, 429, 500, 503, 504,
];

fn pin_request(
    file: &mut PinnedFile,
    case: &str,
    (method, path, body): (&'static str, String, Vec<u8>),
) {
    file.pin_text(
        &format!("{case}, method and path"),
        &format!("{method} {path}"),
    );
    file.pin(&format!("{case}, body"), &body);
}

/// Pins the bodies of responses. For each pair of a request and a body, pins how the request interprets a response with
/// this body, with a line of text for each status. Pairs that never occur in practice are pinned too.
fn pin_responses<Request>(
    file: &mut PinnedFile,
    requests: &[(&'static str, Request)],
    bodies: &[(&'static str, Value)],
    interpret: impl Fn(&Request, u16, &[u8]) -> String,
) {
    for (body_name, body) in bodies {
        let body = file.pin(&format!("body, {body_name}"), &cbor::encode(body));
        for (request_name, request) in requests {
            let lines: Vec<String> = STATUSES
                .iter()
                .map(|status| format!("{status}: {}", interpret(request, *status, &body)))
                .collect();
            file.pin_text(&format!("{request_name}, {body_name}"), &lines.join("\n"));
        }
    }
}

fn kv_requests() -> Vec<(&'static str, KvRequest)> {
    let attached = WriteOp::Put {
        key: "leader".into(),
        value: cbor!({"Label" => "n0", "Life" => 5})
            .expect("the literal is not a valid CBOR value"),
        lease_id: Some(7),
    };
    let list = |after: Option<&str>| KvRequest::List {
        prefix: "open/".into(),
        after: after.map(str::to_owned),
    };
    vec![
        ("get", KvRequest::Get("open/j-000412".into())),
        ("first page", list(None)),
        ("next page", list(Some("open/j-000412"))),
        ("empty transaction", KvRequest::Txn(Txn::default())),
        (
            "transaction",
            KvRequest::Txn(Txn {
                compares: vec![Compare::new("open/j-1", 412), Compare::new("over/j-1", 0)],
                writes: vec![
                    attached,
                    WriteOp::put("over/j-1", &1.0),
                    WriteOp::delete("open/j-1"),
                ],
            }),
        ),
        ("grant", KvRequest::GrantLease(5000)),
        ("renew", KvRequest::KeepAlive(7)),
        ("drop", KvRequest::RevokeLease(7)),
        (
            "follow",
            KvRequest::Watch {
                prefix: "open/".into(),
                after: 431,
                wait_ms: 10_000,
            },
        ),
    ]
}

fn describe_kv_response(response: &KvResponse) -> String {
    match response {
        KvResponse::Value(item) => format!("found {}", show(item)),
        KvResponse::NotFound => "missing".to_owned(),
        KvResponse::Page {
            items,
            more,
            revision,
        } => {
            format!("page {}, more {more}, revision {revision}", show(items))
        }
        KvResponse::Committed(revision) => format!("committed at {revision}"),
        KvResponse::CompareFailed(keys) => format!("conflict {}", show(keys)),
        KvResponse::LeaseGranted(lease_id) => format!("granted {lease_id}"),
        KvResponse::LeaseOk => "ok".to_owned(),
        // "gone" stands for either of these responses; the data files don't tell them apart.
        KvResponse::LeaseExpired | KvResponse::Compacted => "gone".to_owned(),
        KvResponse::Events { events, revision } => {
            format!("events {}, revision {revision}", show(events))
        }
        KvResponse::RateLimited => "over the rate limit".to_owned(),
        KvResponse::Unavailable => "not executed".to_owned(),
        KvResponse::InvalidRequest => "malformed".to_owned(),
        KvResponse::OutcomeUnknown => "no usable answer".to_owned(),
    }
}

/// Bodies of the state service's responses.
fn kv_bodies() -> Vec<(&'static str, Value)> {
    let item = cbor!({"Path" => "a/b", "V" => {"x" => 1.5}, "Stamp" => 412, "Hold" => 7});
    let bodies = [
        ("nothing", cbor!(null)),
        ("item", item),
        (
            "item without lease",
            cbor!({"Path" => "a/b", "V" => [1], "Stamp" => 412}),
        ),
        (
            "item with an unknown field",
            cbor!({"Path" => "a/b", "V" => null, "Stamp" => 412, "Hold" => null, "New" => 1}),
        ),
        (
            "item without version",
            cbor!({"Path" => "a/b", "V" => null}),
        ),
        (
            "page",
            cbor!({"Items" => [{"Path" => "a/b", "V" => "x", "Stamp" => 3}], "More" => true, "Ledger" => 431}),
        ),
        ("revision", cbor!({"Ledger" => 432})),
        ("conflict", cbor!({"failed" => ["a/b"], "Ledger" => 431})),
        ("lease", cbor!({"Hold" => 7})),
        (
            "events",
            cbor!({"Ledger" => 433, "Events" => [
                {"Set" => "c/9", "V" => {"x" => 1}, "Stamp" => 433},
                {"Remove" => "c/d", "Stamp" => 432}]}),
        ),
        ("error", cbor!({"error" => "no such lease"})),
    ];
    bodies
        .map(|(name, body)| (name, body.expect("the literal is not a valid CBOR value")))
        .into()
}

#[test]
fn requests_to_the_state_service_keep_their_bytes() {
    let mut file = PinnedFile::open("state_requests");
    for (case, request) in kv_requests() {
        pin_request(&mut file, case, request.http_request());
    }
    file.finish();
}

#[test]
fn responses_of_the_state_service_keep_their_meaning() {
    let mut file = PinnedFile::open("state_answers");
    pin_responses(
        &mut file,
        &kv_requests(),
        &kv_bodies(),
        |request, status, body| describe_kv_response(&request.response(status, body)),
    );
    file.finish();
}

#[test]
fn items_keep_their_bytes() {
    let mut file = PinnedFile::open("state_items");
    let item = |lease_id| KeyValue {
        key: "open/j-1".into(),
        value: Value::from(5),
        mod_revision: 412,
        lease_id,
    };
    file.pin_message("attached", &item(Some(7)));
    file.pin_message("free", &item(None));
    file.finish();
}

fn cloud_requests() -> Vec<(&'static str, CloudRequest)> {
    let create = CreateInstances {
        idempotency_key: "r-17".into(),
        instance_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    vec![
        ("types", CloudRequest::ListInstanceTypes),
        ("rent", CloudRequest::CreateInstances(create)),
        (
            "delete",
            CloudRequest::DeleteInstances(vec!["host-000231".into(), "host-000232".into()]),
        ),
        ("first page", CloudRequest::ListInstances(None)),
        (
            "next page",
            CloudRequest::ListInstances(Some("host-000230".into())),
        ),
    ]
}

fn describe_cloud_response(response: &CloudResponse) -> String {
    match response {
        CloudResponse::InstanceTypes(types) => format!("types {}", show(types)),
        CloudResponse::Created(names) => format!("rented {}", show(names)),
        CloudResponse::InsufficientCapacity => "no capacity".to_owned(),
        CloudResponse::Deleted => "deleted".to_owned(),
        CloudResponse::Page { instances, more } => {
            format!("page {}, more {more}", show(instances))
        }
        CloudResponse::RateLimited => "over the rate limit".to_owned(),
        CloudResponse::Unavailable => "outage".to_owned(),
        CloudResponse::InvalidRequest => "malformed".to_owned(),
        CloudResponse::OutcomeUnknown => "no usable answer".to_owned(),
    }
}

/// The instance type from the protocol's example as the cloud sends it, with most amounts as integers.
fn received_type() -> Value {
    cbor!({"Label" => "g8", "Cores" => 96, "Gpus" => 8, "RamGb" => 768, "LocalGb" => 200,
        "PullGbPerS" => 1.0, "Hourly" => 12.0, "MarketPrice" => 4.5, "ReadyS" => 45,
        "Groves" => ["a", "b"]})
    .expect("the literal is not a valid CBOR value")
}

/// The instance from the protocol's example as the cloud sends it, with this status.
fn received_instance(status: &str) -> Value {
    cbor!({"NameId" => "host-000231", "Endpoint" => "10.1.0.232:9000", "Flavor" => "g8",
        "Grove" => "a", "Windfall" => true, "Status" => status, "AgeS" => 61.5})
    .expect("the literal is not a valid CBOR value")
}

fn cloud_bodies() -> Vec<(&'static str, Value)> {
    let instances = ["starting", "running", "failed", "hibernating"].map(received_instance);
    let bare_instance = without(&without(&received_instance("running"), "Endpoint"), "AgeS");
    let mut bare_type = received_type();
    for name in ["Gpus", "LocalGb", "PullGbPerS", "MarketPrice"] {
        bare_type = without(&bare_type, name);
    }
    let bodies = [
        ("nothing", cbor!(null)),
        ("types", cbor!({"Flavors" => [received_type(), bare_type]})),
        (
            "type without price",
            cbor!({"Flavors" => [without(&received_type(), "Hourly")]}),
        ),
        ("names", cbor!({"Hosts" => ["host-000231"]})),
        (
            "machines",
            cbor!({"Hosts" => instances.to_vec(), "More" => true}),
        ),
        ("bare machine", cbor!({"Hosts" => [bare_instance]})),
        ("no capacity", cbor!({"error" => "no capacity"})),
        ("trouble", cbor!({"error" => "trouble"})),
    ];
    bodies
        .map(|(name, body)| (name, body.expect("the literal is not a valid CBOR value")))
        .into()
}

#[test]
fn requests_to_the_cloud_keep_their_bytes() {
    let mut file = PinnedFile::open("cloud_requests");
    for (case, request) in cloud_requests() {
        pin_request(&mut file, case, request.http_request());
    }
    file.finish();
}

#[test]
fn responses_of_the_cloud_keep_their_meaning() {
    let mut file = PinnedFile::open("cloud_answers");
    pin_responses(
        &mut file,
        &cloud_requests(),
        &cloud_bodies(),
        |request, status, body| describe_cloud_response(&request.response(status, body)),
    );
    file.finish();
}

/// An instance type in which all fields have different values, so that a mix-up of two fields is noticed.
pub fn instance_type(spot_price: Option<f64>) -> InstanceType {
    InstanceType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        ram_gb: 768.0,
        image_cache_gb: 200.0,
        image_pull_gb_per_s: 1.5,
        on_demand_price: 12.0,
        spot_price,
        boot_time_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

#[test]
fn instances_and_their_types_keep_their_bytes() {
    let mut file = PinnedFile::open("cloud_objects");
    file.pin_message("type", &instance_type(Some(4.5)));
    file.pin_message("type without spot price", &instance_type(None));
    for (case, status) in [
        ("starting", InstanceStatus::Starting),
        ("running", InstanceStatus::Running),
        ("failed", InstanceStatus::Failed),
        ("unknown", InstanceStatus::Other),
    ] {
        let instance = Instance {
            name: "host-000231".into(),
            endpoint: "10.1.0.232:9000".into(),
            instance_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            status,
            age_s: 61.5,
        };
        file.pin_message(&format!("machine, {case}"), &instance);
    }
    file.finish();
}

fn describe_worker_response(response: &WorkerResponse) -> String {
    match response {
        WorkerResponse::Executed(heartbeat) => format!("done {}", show(heartbeat)),
        WorkerResponse::Rejected(heartbeat) => format!("mismatch {}", show(heartbeat)),
        WorkerResponse::NotSent => "never sent".to_owned(),
        WorkerResponse::Unreachable => "no connection".to_owned(),
        WorkerResponse::OutcomeUnknown => "no usable answer".to_owned(),
    }
}

#[test]
fn direct_calls_and_their_responses_keep_their_bytes() {
    let mut file = PinnedFile::open("worker_calls");
    let request = WorkerRequest::Commands(command_batch(Some(3)));
    pin_request(&mut file, "commands", request.http_request());
    let bodies = [
        ("report", received_heartbeat()),
        ("nothing", Value::Null),
        (
            "report without session",
            without(&received_heartbeat(), "Tenure"),
        ),
    ];
    let requests = [("commands", request)];
    pin_responses(&mut file, &requests, &bodies, |_, status, body| {
        describe_worker_response(&WorkerRequest::response(status, body))
    });
    file.finish();
}
