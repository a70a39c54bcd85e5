//! The users' API: the parsing of submissions, the error messages for invalid ones, and all responses.

use super::pinned::{PinnedFile, names_of, show, with, without};
use super::workers::received_heartbeat;
use cedarladder::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::effects::Effect;
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::job::{
    ErrorBody, JobAccepted, JobKind, JobSpec, JobStatus, JobView, PriorityClass, parse_submission,
};
use cedarladder::protocol::kv::{KeyValue, KvRequest, KvResponse};
use cedarladder::protocol::peer::{PeerHeartbeat, TerminationLog};
use cedarladder::settings::Settings;
use cedarladder::transport::http;
use ciborium::{Value, cbor};
use std::rc::Rc;

/// Wall-clock time at which the submissions in these tests arrive, in seconds.
const SUBMITTED_AT: f64 = 1_700_000_000.5;

/// Specifications that contain every kind of job and every priority class, with and without the optional fields.
pub fn job_specs() -> Vec<(String, JobSpec)> {
    let whole = JobSpec {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: PriorityClass::Urgent,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        ram_gb: 64.0,
        instance_types: Some(vec!["g8".into(), "g4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        image: "img-07".into(),
        image_gb: 6.2,
        expected_runtime_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_grace_s: 4.0,
        deadline_s: Some(900.0),
        submitted_at: SUBMITTED_AT,
    };
    let bare = JobSpec {
        instance_types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        deadline_s: None,
        ..whole.clone()
    };
    let mut all = vec![
        ("whole".to_owned(), whole.clone()),
        ("bare".to_owned(), bare),
    ];
    for (name, kind) in [("group", JobKind::Gang), ("standing", JobKind::Service)] {
        let spec = JobSpec {
            kind,
            ..whole.clone()
        };
        all.push((name.to_owned(), spec));
    }
    for (name, priority) in [
        ("production", PriorityClass::Production),
        ("normal", PriorityClass::Normal),
        ("best effort", PriorityClass::BestEffort),
    ] {
        let spec = JobSpec {
            priority,
            ..whole.clone()
        };
        all.push((name.to_owned(), spec));
    }
    all
}

/// The submission from the protocol's example, with all fields.
fn submission() -> Value {
    cbor!({"NameId" => "j-000412", "Jobclass" => "train", "Owner" => "vision",
        "Shape" => "array", "Rank" => "urgent", "Steps" => 16, "Cores" => 8.0, "Gpus" => 1.0,
        "RamGb" => 64.0, "Bundle" => "img-07", "PullGb" => 6.2, "Flavors" => ["g8"],
        "Grove" => "a", "OneZone" => true, "Spread" => false, "Windfall" => true,
        "ExpectS" => 240.0, "SnapshotS" => 30.0, "FlushS" => 4.0, "DueS" => 900.0})
    .expect("the literal is not a valid CBOR value")
}

fn text(word: &str) -> Value {
    Value::Text(word.to_owned())
}

fn texts(count: usize) -> Value {
    Value::Array(vec![text("g8"); count])
}

/// Values at and beyond the limits of fields.
fn values_of_fields() -> Vec<(&'static str, &'static str, Value)> {
    let amounts = [
        ("an integer", Value::from(2)),
        ("zero", Value::Float(0.0)),
        ("the highest", Value::Float(1e9)),
        ("above the highest", Value::Float(1.1e9)),
        ("below zero", Value::Float(-0.5)),
        // The floating-point value NaN.
        ("not a number", Value::Float(f64::NAN)),
        ("infinite", Value::Float(f64::INFINITY)),
        ("a text", text("2")),
    ];
    let names = [
        "Cores",
        "Gpus",
        "RamGb",
        "PullGb",
        "ExpectS",
        "SnapshotS",
        "FlushS",
        "DueS",
    ];
    let mut cases = Vec::new();
    for name in names {
        cases.extend(
            amounts
                .iter()
                .map(|(description, value)| (name, *description, value.clone())),
        );
    }
    let longest = "x".repeat(200);
    for name in ["Jobclass", "Owner", "Bundle", "Grove"] {
        cases.extend([
            (name, "empty", text("")),
            (name, "the longest", text(&longest)),
            (name, "too long", text(&format!("{longest}x"))),
            (name, "a number", Value::from(5)),
        ]);
    }
    for name in ["OneZone", "Spread", "Windfall"] {
        cases.push((name, "a number", Value::from(1)));
    }
    cases.extend([
        // Job ids have the form `j-` and digits.
        ("NameId", "of another form", text("x-1")),
        ("NameId", "without a number", text("j-")),
        ("NameId", "of a task", text("j-1/2")),
        ("NameId", "the longest", text("j-12345678901234567890")),
        ("NameId", "too long", text("j-123456789012345678901")),
        ("NameId", "a number", Value::from(5)),
        ("Shape", "group", text("group")),
        ("Shape", "standing", text("standing")),
        ("Shape", "unknown", text("circle")),
        ("Shape", "a number", Value::from(5)),
        ("Rank", "production", text("production")),
        ("Rank", "normal", text("normal")),
        ("Rank", "best effort", text("best_effort")),
        ("Rank", "unknown", text("low")),
        ("Steps", "none", Value::from(0)),
        ("Steps", "the most", Value::from(100_000)),
        ("Steps", "too many", Value::from(100_001)),
        ("Steps", "below zero", Value::from(-1)),
        ("Steps", "a decimal", Value::Float(2.0)),
        ("Flavors", "empty", texts(0)),
        ("Flavors", "the most", texts(64)),
        ("Flavors", "too many", texts(65)),
        ("Flavors", "numbers", Value::Array(vec![Value::from(1)])),
        ("Flavors", "a text", text("g8")),
        ("Unknown", "whatever", text("is ignored")),
    ]);
    cases
}

fn parsed(body: &[u8]) -> String {
    match parse_submission(body, SUBMITTED_AT) {
        Ok(spec) => show(&spec),
        Err(error) => error.to_string(),
    }
}

#[test]
fn submissions_keep_their_meaning_and_their_error_messages() {
    let mut file = PinnedFile::open("submissions");
    let whole = submission();
    let mut cases = vec![
        ("whole".to_owned(), whole.clone()),
        ("not a map".to_owned(), Value::from(1)),
        ("empty map".to_owned(), Value::Map(Vec::new())),
        (
            "key that is no text".to_owned(),
            Value::Map(vec![(Value::from(1), Value::from(1))]),
        ),
    ];
    for name in names_of(&whole) {
        cases.push((format!("without {name}"), without(&whole, &name)));
        cases.push((format!("{name} null"), with(&whole, &name, Value::Null)));
    }
    for (name, description, value) in values_of_fields() {
        cases.push((format!("{name} {description}"), with(&whole, name, value)));
    }
    for (case, submission) in cases {
        let body = file.pin(&case, &cbor::encode(&submission));
        file.pin_text(&format!("{case}, read"), &parsed(&body));
    }
    file.pin_text("no CBOR, read", &parsed(b"{}"));
    file.pin_text("empty body, read", &parsed(b""));
    file.finish();
}

#[test]
fn bodies_of_responses_keep_their_bytes() {
    let mut file = PinnedFile::open("answers_to_users");
    for (word, status) in [
        ("queued", JobStatus::Queued),
        ("running", JobStatus::Running),
        ("done", JobStatus::Done),
        ("aborted", JobStatus::Aborted),
    ] {
        let accepted = JobAccepted {
            id: "j-000412".into(),
            status,
        };
        file.pin_message(&format!("accepted, {word}"), &accepted);
        let view = JobView {
            id: "j-000412".into(),
            status,
            done: 3,
            running: 13,
        };
        file.pin_message(&format!("view, {word}"), &view);
    }
    let error = "no such job".into();
    file.pin_message("refusal", &ErrorBody { error });
    file.finish();
}

/// The state of the job in the state service, or an outage.
#[derive(Clone, Copy)]
enum StateService {
    /// There is no record of the job.
    Empty,
    /// The job is open.
    Open,
    /// The job has ended.
    Finished(JobOutcome),
    /// The state service rejects all requests.
    Unavailable,
}

/// Id of the job in the tests of responses. Its specification fits the settings and the instance types of these tests.
const JOB: &str = "j-1";
/// Revision of the state service, and mod revision of its keys.
const REVISION: u64 = 5;
/// Id under which the controller gets the request whose response is compared with the data file.
const REQUEST: u64 = 1;
/// Address of the state service.
pub const STATE_SERVICE: &str = "10.2.0.1:2379";
/// Rounds of requests and responses after which a controller must have responded.
const MAX_ROUNDS: usize = 10;
/// Number of status requests without a response after which a controller rejects further ones.
const MANY_STATUS_REQUESTS: u64 = 3_000;
const START: Now = Now {
    monotonic: 0.0,
    wall: SUBMITTED_AT,
};

pub fn controller() -> Controller {
    let text = include_str!("../world/settings.toml");
    let settings = Rc::new(Settings::parse(text).expect("the settings were rejected"));
    let policy = Rc::new(Policy::built_in(&settings));
    Controller::new(settings, policy, 1)
}

/// A controller that has received the instance types.
fn controller_with_instance_types() -> Controller {
    let mut controller = controller();
    controller.tick(START);
    respond_with_instance_types(&mut controller);
    controller.take_effects();
    controller
}

/// A controller that has received the instance types and the list of open jobs, which is empty.
fn ready_controller() -> Controller {
    let mut controller = controller();
    controller.tick(START);
    for effect in respond_with_instance_types(&mut controller) {
        if let Effect::CallKv {
            correlation_id,
            request,
            ..
        } = effect
            && matches!(request, KvRequest::List { .. })
        {
            let page = KvResponse::Page {
                items: Vec::new(),
                more: false,
                revision: REVISION,
            };
            controller.on_kv_response(correlation_id, page, START);
        }
    }
    controller.take_effects();
    controller
}

/// A ready controller that has received a heartbeat from the leader.
fn controller_with_known_leader() -> Controller {
    let mut controller = ready_controller();
    let heartbeat = PeerHeartbeat {
        label: "n1".into(),
        epoch: REVISION,
        leader: Some("n1".into()),
        state_service_ok: true,
        redirected_workers: 0,
        counts: Vec::new(),
        crash_looping_jobs: Vec::new(),
        user_writes_per_s: 0.0,
        terminations: TerminationLog::default(),
    };
    controller.on_peer_heartbeat(heartbeat, START);
    controller
}

/// Responds to a controller's requests for the instance types, and returns its other effects.
pub fn respond_with_instance_types(controller: &mut Controller) -> Vec<Effect> {
    let types = cbor!({"Flavors" => [{"Label" => "f", "Cores" => 8, "RamGb" => 32,
        "Hourly" => 1, "ReadyS" => 25, "Groves" => ["a", "b"]}]});
    let body = cbor::encode(&types.expect("the literal is not a valid CBOR value"));
    let mut others = Vec::new();
    for effect in controller.take_effects() {
        match effect {
            Effect::CallCloud {
                correlation_id,
                request,
                ..
            } => {
                controller.on_cloud_response(correlation_id, request.response(200, &body), START);
            }
            other => others.push(other),
        }
    }
    others
}

fn kv_response(request: &KvRequest, state_service: StateService) -> KvResponse {
    let value_of = |key: &str| match state_service {
        StateService::Open if key == records::open_key(JOB) => Some(small_job()),
        StateService::Finished(outcome) if key == records::finished_key(JOB) => {
            Some(cbor::to_value(&FinishedRecord {
                outcome,
                completed_tasks: 3,
            }))
        }
        _ => None,
    };
    let mod_revision = |key: &str| value_of(key).map_or(0, |_| REVISION);
    match (state_service, request) {
        (StateService::Unavailable, _) => KvResponse::Unavailable,
        (_, KvRequest::Txn(txn)) => {
            let mut failed = Vec::new();
            for compare in &txn.compares {
                if mod_revision(&compare.key) != compare.mod_revision {
                    failed.push(compare.key.clone());
                }
            }
            if failed.is_empty() {
                KvResponse::Committed(REVISION + 1)
            } else {
                KvResponse::CompareFailed(failed)
            }
        }
        (_, KvRequest::Get(key)) => match value_of(key) {
            Some(value) => KvResponse::Value(KeyValue {
                key: key.clone(),
                value,
                mod_revision: REVISION,
                lease_id: None,
            }),
            None => KvResponse::NotFound,
        },
        _ => KvResponse::OutcomeUnknown,
    }
}

/// Sends a request to a controller, and pins the response and the controller's requests to the state service before it,
/// all as they are written to connections.
fn pin_exchange(
    file: &mut PinnedFile,
    case: &str,
    mut controller: Controller,
    state_service: StateService,
    (method, path, body): (&str, &str, &[u8]),
) {
    controller.on_request(REQUEST, method, path, body, START);
    let mut calls = 0;
    for _ in 0..MAX_ROUNDS {
        for effect in controller.take_effects() {
            match effect {
                Effect::Respond {
                    request_id: REQUEST,
                    status,
                    body,
                    retry_after_s,
                } => {
                    let response = http::write_response(status, &body, retry_after_s, true);
                    file.pin(case, &response);
                    return;
                }
                Effect::CallKv {
                    correlation_id,
                    request,
                    ..
                } => {
                    calls += 1;
                    let (method, path, body) = request.http_request();
                    let bytes = http::write_request(method, STATE_SERVICE, &path, &body);
                    file.pin(&format!("{case}, call {calls}"), &bytes);
                    controller.on_kv_response(
                        correlation_id,
                        kv_response(&request, state_service),
                        START,
                    );
                }
                _ => {}
            }
        }
    }
    panic!("{case}: the controller has not responded within {MAX_ROUNDS} rounds");
}

fn small_job() -> Value {
    let job = with(&submission(), "NameId", text(JOB));
    let job = with(&job, "Owner", text("t"));
    let job = with(&job, "Gpus", Value::Float(0.0));
    let job = with(&job, "RamGb", Value::Float(8.0));
    with(&job, "Flavors", Value::Null)
}

/// Responses to users, for each state of the job in the state service. In the last case, the controller has not
/// received the instance types yet.
#[test]
fn responses_to_users_keep_their_bytes() {
    let mut file = PinnedFile::open("user_requests");
    let body = |job: &Value| cbor::encode(job);
    let job = small_job();
    let valid = body(&job);
    let unknown_team = body(&with(&job, "Owner", text("nobody")));
    let too_large = body(&with(&job, "RamGb", Value::Float(64.0)));
    let above_limit = body(&with(&job, "Cores", Value::Float(41.0)));
    let partial = body(&without(&job, "Owner"));
    let invalid = body(&with(&job, "Steps", Value::from(0)));
    let (poll, cancel) = ("/work/j-1", "/work/j-1/cancel");
    let (done, aborted) = (
        StateService::Finished(JobOutcome::Done),
        StateService::Finished(JobOutcome::Aborted),
    );
    type Case<'a> = (&'a str, StateService, (&'a str, &'a str, &'a [u8]));
    let cases: Vec<Case> = vec![
        ("submit", StateService::Empty, ("POST", "/work", &valid)),
        (
            "submit again",
            StateService::Open,
            ("POST", "/work", &valid),
        ),
        ("submit a done job", done, ("POST", "/work", &valid)),
        ("submit a cancelled job", aborted, ("POST", "/work", &valid)),
        (
            "submit in an outage",
            StateService::Unavailable,
            ("POST", "/work", &valid),
        ),
        (
            "unknown team",
            StateService::Empty,
            ("POST", "/work", &unknown_team),
        ),
        (
            "too large",
            StateService::Empty,
            ("POST", "/work", &too_large),
        ),
        (
            "above the limit",
            StateService::Empty,
            ("POST", "/work", &above_limit),
        ),
        (
            "accepted once",
            StateService::Open,
            ("POST", "/work", &too_large),
        ),
        (
            "missing field",
            StateService::Empty,
            ("POST", "/work", &partial),
        ),
        (
            "invalid field",
            StateService::Empty,
            ("POST", "/work", &invalid),
        ),
        ("no CBOR", StateService::Empty, ("POST", "/work", b"{}")),
        ("poll of nothing", StateService::Empty, ("GET", poll, b"")),
        ("poll", StateService::Open, ("GET", poll, b"")),
        ("poll of a done job", done, ("GET", poll, b"")),
        ("poll of a cancelled job", aborted, ("GET", poll, b"")),
        (
            "poll in an outage",
            StateService::Unavailable,
            ("GET", poll, b""),
        ),
        ("cancel nothing", StateService::Empty, ("POST", cancel, b"")),
        ("cancel", StateService::Open, ("POST", cancel, b"")),
        ("cancel a done job", done, ("POST", cancel, b"")),
        ("cancel a cancelled job", aborted, ("POST", cancel, b"")),
        (
            "cancel in an outage",
            StateService::Unavailable,
            ("POST", cancel, b""),
        ),
        ("wrong method", StateService::Empty, ("DELETE", poll, b"")),
        ("no such path", StateService::Empty, ("GET", "/jobs", b"")),
        (
            "impossible id",
            StateService::Empty,
            ("GET", "/work/x-1", b""),
        ),
    ];
    for (case, state_service, request) in cases {
        pin_exchange(
            &mut file,
            case,
            controller_with_instance_types(),
            state_service,
            request,
        );
    }
    let early = "submit before the types are known";
    let request = ("POST", "/work", &valid[..]);
    pin_exchange(&mut file, early, controller(), StateService::Empty, request);
    file.finish();
}

#[test]
fn responses_to_workers_and_probes_keep_their_bytes() {
    let mut file = PinnedFile::open("worker_requests");
    let whole = received_heartbeat();
    let heartbeat = cbor::encode(&whole);
    let partial = cbor::encode(&without(&whole, "Host"));
    let impossible = cbor::encode(&with(&whole, "Epoch", Value::from(u64::MAX)));
    let negative = cbor::encode(&with(&whole, "Epoch", Value::from(-1)));
    type Case<'a> = (&'a str, fn() -> Controller, (&'a str, &'a str, &'a [u8]));
    let cases: Vec<Case> = vec![
        ("probe too early", controller, ("GET", "/healthz", b"")),
        ("probe", ready_controller, ("GET", "/healthz", b"")),
        (
            "nobody leads",
            ready_controller,
            ("POST", "/v1/report", &heartbeat),
        ),
        (
            "a peer leads",
            controller_with_known_leader,
            ("POST", "/v1/report", &heartbeat),
        ),
        ("no CBOR", ready_controller, ("POST", "/v1/report", b"{}")),
        (
            "missing field",
            ready_controller,
            ("POST", "/v1/report", &partial),
        ),
        (
            "impossible token",
            ready_controller,
            ("POST", "/v1/report", &impossible),
        ),
        (
            "token below zero",
            ready_controller,
            ("POST", "/v1/report", &negative),
        ),
        ("wrong method", ready_controller, ("GET", "/v1/report", b"")),
    ];
    for (case, controller, request) in cases {
        pin_exchange(&mut file, case, controller(), StateService::Empty, request);
    }
    file.finish();
}

#[test]
fn rejections_of_too_many_requests_keep_their_bytes() {
    let mut file = PinnedFile::open("user_requests_overload");
    let mut controller = controller_with_instance_types();
    for request in 0..MANY_STATUS_REQUESTS {
        let path = format!("/work/j-{request}");
        controller.on_request(REQUEST + 1 + request, "GET", &path, &[], START);
    }
    controller.take_effects();
    let request = ("GET", "/work/j-1", &[][..]);
    pin_exchange(
        &mut file,
        "too many requests",
        controller,
        StateService::Empty,
        request,
    );
    file.finish();
}
