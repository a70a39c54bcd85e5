//! The users' API: what is taken for a submission, what is said of what is not, and every answer.

use super::pinned::{PinnedFile, names_of, show, with, without};
use super::workers::received_report;
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

/// Time of day at which the submissions here come.
const SUBMITTED_AT: f64 = 1_700_000_000.5;

/// Jobs with every shape and rank, and with every optional field there and not there.
pub fn specifications() -> Vec<(String, JobSpec)> {
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
    for (word, shape) in [("group", JobKind::Gang), ("standing", JobKind::Service)] {
        let spec = JobSpec {
            kind: shape,
            ..whole.clone()
        };
        all.push((word.to_owned(), spec));
    }
    for (word, rank) in [
        ("production", PriorityClass::Production),
        ("normal", PriorityClass::Normal),
        ("best effort", PriorityClass::BestEffort),
    ] {
        let spec = JobSpec {
            priority: rank,
            ..whole.clone()
        };
        all.push((word.to_owned(), spec));
    }
    all
}

/// The submission of the protocol's example, in which every field has a value of its own.
fn submission() -> Value {
    cbor!({"NameId" => "j-000412", "Jobclass" => "train", "Owner" => "vision",
        "Shape" => "array", "Rank" => "urgent", "Steps" => 16, "Cores" => 8.0, "Gpus" => 1.0,
        "RamGb" => 64.0, "Bundle" => "img-07", "PullGb" => 6.2, "Flavors" => ["g8"],
        "Grove" => "a", "OneZone" => true, "Spread" => false, "Windfall" => true,
        "ExpectS" => 240.0, "SnapshotS" => 30.0, "FlushS" => 4.0, "DueS" => 900.0})
    .expect("a value")
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
                .map(|(what, value)| (name, *what, value.clone())),
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

fn reading(body: &[u8]) -> String {
    match parse_submission(body, SUBMITTED_AT) {
        Ok(spec) => show(&spec),
        Err(error) => error.to_string(),
    }
}

#[test]
fn submissions_keep_their_meaning_and_refusals_their_texts() {
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
    for (name, what, value) in values_of_fields() {
        cases.push((format!("{name} {what}"), with(&whole, name, value)));
    }
    for (case, submission) in cases {
        let body = file.pin(&case, &cbor::encode(&submission));
        file.pin_text(&format!("{case}, read"), &reading(&body));
    }
    file.pin_text("no CBOR, read", &reading(b"{}"));
    file.pin_text("empty body, read", &reading(b""));
    file.finish();
}

#[test]
fn bodies_of_answers_keep_their_bytes() {
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

/// What the state service says of every call of a controller.
#[derive(Clone, Copy)]
enum Truth {
    /// No job has ever been there.
    Empty,
    /// The job is open.
    Open,
    /// The job is over.
    Over(JobOutcome),
    /// It refuses.
    Out,
}

/// A job that fits the settings and the instance types here.
const JOB: &str = "j-1";
/// Revision of what is in the state service.
const STAMP: u64 = 5;
/// The request whose answer is pinned.
const REQUEST: u64 = 1;
/// Address of the state service.
pub const STATE_SERVICE: &str = "10.2.0.1:2379";
/// Rounds in which a controller has made all its calls.
const ROUNDS: usize = 10;
/// Polls after which a controller takes no more.
const MANY_POLLS: u64 = 3_000;
const START: Now = Now {
    monotonic: 0.0,
    wall: SUBMITTED_AT,
};

pub fn node() -> Controller {
    let text = include_str!("../world/settings.toml");
    let settings = Rc::new(Settings::parse(text).expect("good settings"));
    let policy = Rc::new(Policy::built_in(&settings));
    Controller::new(settings, policy, 1)
}

/// A controller that has seen the instance types.
fn node_with_types() -> Controller {
    let mut node = node();
    node.tick(START);
    tell_types(&mut node);
    node.take_effects();
    node
}

/// A controller that has seen the instance types and the open jobs, of which there are none.
fn ready_node() -> Controller {
    let mut node = node();
    node.tick(START);
    for action in tell_types(&mut node) {
        if let Effect::CallKv {
            correlation_id,
            request: call,
            ..
        } = action
            && matches!(call, KvRequest::List { .. })
        {
            let page = KvResponse::Page {
                items: Vec::new(),
                more: false,
                revision: STAMP,
            };
            node.on_kv_response(correlation_id, page, START);
        }
    }
    node.take_effects();
    node
}

/// A controller that has been told by a peer who leads.
fn node_with_a_leader() -> Controller {
    let mut node = ready_node();
    let heartbeat = PeerHeartbeat {
        label: "n1".into(),
        epoch: STAMP,
        leader: Some("n1".into()),
        state_service_ok: true,
        redirected_workers: 0,
        counts: Vec::new(),
        crash_looping_jobs: Vec::new(),
        user_writes_per_s: 0.0,
        terminations: TerminationLog::default(),
    };
    node.on_peer_heartbeat(heartbeat, START);
    node
}

/// Answers a controller's question for the instance types, and returns what else it wants done.
pub fn tell_types(node: &mut Controller) -> Vec<Effect> {
    let types = cbor!({"Flavors" => [{"Label" => "f", "Cores" => 8, "RamGb" => 32,
        "Hourly" => 1, "ReadyS" => 25, "Groves" => ["a", "b"]}]});
    let body = cbor::encode(&types.expect("a value"));
    let mut others = Vec::new();
    for action in node.take_effects() {
        match action {
            Effect::CallCloud {
                correlation_id,
                request: call,
                ..
            } => {
                node.on_cloud_response(correlation_id, call.response(200, &body), START);
            }
            other => others.push(other),
        }
    }
    others
}

fn state_service(call: &KvRequest, truth: Truth) -> KvResponse {
    let value_of = |key: &str| match truth {
        Truth::Open if key == records::open_key(JOB) => Some(small_job()),
        Truth::Over(ending) if key == records::finished_key(JOB) => {
            Some(cbor::to_value(&FinishedRecord {
                outcome: ending,
                completed_tasks: 3,
            }))
        }
        _ => None,
    };
    let mod_revision = |key: &str| value_of(key).map_or(0, |_| STAMP);
    match (truth, call) {
        (Truth::Out, _) => KvResponse::Unavailable,
        (_, KvRequest::Txn(txn)) => {
            let mut failed = Vec::new();
            for condition in &txn.compares {
                if mod_revision(&condition.key) != condition.mod_revision {
                    failed.push(condition.key.clone());
                }
            }
            if failed.is_empty() {
                KvResponse::Committed(STAMP + 1)
            } else {
                KvResponse::CompareFailed(failed)
            }
        }
        (_, KvRequest::Get(key)) => match value_of(key) {
            Some(value) => KvResponse::Value(KeyValue {
                key: key.clone(),
                value,
                mod_revision: STAMP,
                lease_id: None,
            }),
            None => KvResponse::NotFound,
        },
        _ => KvResponse::OutcomeUnknown,
    }
}

/// Sends a request to a controller, and pins the answer and the calls to the state service that lead to it, all as
/// they are written to connections.
fn pin_exchange(
    file: &mut PinnedFile,
    case: &str,
    mut node: Controller,
    truth: Truth,
    (method, path, body): (&str, &str, &[u8]),
) {
    node.on_request(REQUEST, method, path, body, START);
    let mut calls = 0;
    for _ in 0..ROUNDS {
        for action in node.take_effects() {
            match action {
                Effect::Respond {
                    request_id: REQUEST,
                    status,
                    body,
                    retry_after_s,
                } => {
                    let answer = http::write_response(status, &body, retry_after_s, true);
                    file.pin(case, &answer);
                    return;
                }
                Effect::CallKv {
                    correlation_id,
                    request: call,
                    ..
                } => {
                    calls += 1;
                    let (method, path, body) = call.http_request();
                    let request = http::write_request(method, STATE_SERVICE, &path, &body);
                    file.pin(&format!("{case}, call {calls}"), &request);
                    node.on_kv_response(correlation_id, state_service(&call, truth), START);
                }
                _ => {}
            }
        }
    }
    panic!("{case}: no answer");
}

fn small_job() -> Value {
    let job = with(&submission(), "NameId", text(JOB));
    let job = with(&job, "Owner", text("t"));
    let job = with(&job, "Gpus", Value::Float(0.0));
    let job = with(&job, "RamGb", Value::Float(8.0));
    with(&job, "Flavors", Value::Null)
}

/// What users are told by a controller that knows the instance types, by what the state service has.
#[test]
fn answers_to_users_keep_their_bytes() {
    let mut file = PinnedFile::open("user_requests");
    let body = |job: &Value| cbor::encode(job);
    let job = small_job();
    let good = body(&job);
    let stranger = body(&with(&job, "Owner", text("nobody")));
    let huge = body(&with(&job, "RamGb", Value::Float(64.0)));
    let greedy = body(&with(&job, "Cores", Value::Float(41.0)));
    let partial = body(&without(&job, "Owner"));
    let wrong = body(&with(&job, "Steps", Value::from(0)));
    let (poll, cancel) = ("/work/j-1", "/work/j-1/cancel");
    let (done, aborted) = (
        Truth::Over(JobOutcome::Done),
        Truth::Over(JobOutcome::Aborted),
    );
    type Case<'a> = (&'a str, Truth, (&'a str, &'a str, &'a [u8]));
    let cases: Vec<Case> = vec![
        ("submit", Truth::Empty, ("POST", "/work", &good)),
        ("submit again", Truth::Open, ("POST", "/work", &good)),
        ("submit a done job", done, ("POST", "/work", &good)),
        ("submit a cancelled job", aborted, ("POST", "/work", &good)),
        ("submit in an outage", Truth::Out, ("POST", "/work", &good)),
        ("unknown team", Truth::Empty, ("POST", "/work", &stranger)),
        ("too large", Truth::Empty, ("POST", "/work", &huge)),
        ("above the limit", Truth::Empty, ("POST", "/work", &greedy)),
        ("accepted once", Truth::Open, ("POST", "/work", &huge)),
        ("missing field", Truth::Empty, ("POST", "/work", &partial)),
        ("invalid field", Truth::Empty, ("POST", "/work", &wrong)),
        ("no CBOR", Truth::Empty, ("POST", "/work", b"{}")),
        ("poll of nothing", Truth::Empty, ("GET", poll, b"")),
        ("poll", Truth::Open, ("GET", poll, b"")),
        ("poll of a done job", done, ("GET", poll, b"")),
        ("poll of a cancelled job", aborted, ("GET", poll, b"")),
        ("poll in an outage", Truth::Out, ("GET", poll, b"")),
        ("cancel nothing", Truth::Empty, ("POST", cancel, b"")),
        ("cancel", Truth::Open, ("POST", cancel, b"")),
        ("cancel a done job", done, ("POST", cancel, b"")),
        ("cancel a cancelled job", aborted, ("POST", cancel, b"")),
        ("cancel in an outage", Truth::Out, ("POST", cancel, b"")),
        ("wrong method", Truth::Empty, ("DELETE", poll, b"")),
        ("no such path", Truth::Empty, ("GET", "/jobs", b"")),
        ("impossible id", Truth::Empty, ("GET", "/work/x-1", b"")),
    ];
    for (case, truth, request) in cases {
        pin_exchange(&mut file, case, node_with_types(), truth, request);
    }
    let early = "submit before the types are known";
    let request = ("POST", "/work", &good[..]);
    pin_exchange(&mut file, early, node(), Truth::Empty, request);
    file.finish();
}

#[test]
fn answers_to_workers_and_probes_keep_their_bytes() {
    let mut file = PinnedFile::open("worker_requests");
    let whole = received_report();
    let report = cbor::encode(&whole);
    let partial = cbor::encode(&without(&whole, "Host"));
    let impossible = cbor::encode(&with(&whole, "Epoch", Value::from(u64::MAX)));
    let negative = cbor::encode(&with(&whole, "Epoch", Value::from(-1)));
    type Case<'a> = (&'a str, fn() -> Controller, (&'a str, &'a str, &'a [u8]));
    let cases: Vec<Case> = vec![
        ("probe too early", node, ("GET", "/healthz", b"")),
        ("probe", ready_node, ("GET", "/healthz", b"")),
        ("nobody leads", ready_node, ("POST", "/v1/report", &report)),
        (
            "a peer leads",
            node_with_a_leader,
            ("POST", "/v1/report", &report),
        ),
        ("no CBOR", ready_node, ("POST", "/v1/report", b"{}")),
        (
            "missing field",
            ready_node,
            ("POST", "/v1/report", &partial),
        ),
        (
            "impossible token",
            ready_node,
            ("POST", "/v1/report", &impossible),
        ),
        (
            "token below zero",
            ready_node,
            ("POST", "/v1/report", &negative),
        ),
        ("wrong method", ready_node, ("GET", "/v1/report", b"")),
    ];
    for (case, node, request) in cases {
        pin_exchange(&mut file, case, node(), Truth::Empty, request);
    }
    file.finish();
}

#[test]
fn refusals_of_too_many_requests_keep_their_bytes() {
    let mut file = PinnedFile::open("user_requests_overload");
    let mut node = node_with_types();
    for request in 0..MANY_POLLS {
        let path = format!("/work/j-{request}");
        node.on_request(REQUEST + 1 + request, "GET", &path, &[], START);
    }
    node.take_effects();
    let request = ("GET", "/work/j-1", &[][..]);
    pin_exchange(&mut file, "too many requests", node, Truth::Empty, request);
    file.finish();
}
