//! Messages of the worker protocol: their encoding, and the decoding of messages from workers of any version.

use super::pinned::{PinnedFile, names_of, with, without};
use cedarladder::protocol::token::{FencingToken, MAX_EPOCH, MAX_FENCE};
use cedarladder::protocol::worker::{
    Command, CommandBatch, CommandKind, ExitReason, NotLeader, TaskId, TaskState, TaskStatus,
    WorkerHeartbeat,
};
use ciborium::{Value, cbor};

/// The token in the messages that this program encodes in these tests.
fn token() -> FencingToken {
    FencingToken::new(41, 7)
}

/// A heartbeat as a worker sends it, with the names of the wire form.
pub fn received_heartbeat() -> Value {
    cbor!({"Host" => "host-000231", "Endpoint" => "10.1.0.232:9000", "Flavor" => "g8",
        "Grove" => "a", "Windfall" => true, "Tenure" => 1, "Tick" => 88, "Epoch" => 41,
        "WarningS" => 25.5,
        "Steps" => [{"Step" => "j-000412/3", "Try" => 2, "Status" => "running"},
            {"Step" => "j-000398/0", "Try" => 1, "Status" => "exited", "Cause" => "done"}]})
    .expect("the literal is not a valid CBOR value")
}

/// The response to a heartbeat or, with an incarnation, the body of a direct call.
pub fn command_batch(incarnation: Option<u64>) -> CommandBatch {
    let command = |kind, task: &str, attempt, grace_s| Command {
        kind,
        task: task.into(),
        attempt,
        grace_s,
    };
    CommandBatch {
        token: token(),
        incarnation,
        commands: vec![
            command(CommandKind::Start, "j-000412/4", 2, None),
            command(CommandKind::Stop, "j-000377/1", 1, Some(10.0)),
            command(CommandKind::Clear, "j-000398/0", 3, None),
        ],
    }
}

fn with_task(name: &str, value: Value) -> Value {
    let task = cbor!({"Step" => "j-000412/3", "Try" => 2, "Status" => "exited", "Cause" => "done"});
    let task = with(
        &task.expect("the literal is not a valid CBOR value"),
        name,
        value,
    );
    with(&received_heartbeat(), "Steps", Value::Array(vec![task]))
}

fn text(word: &str) -> Value {
    Value::Text(word.to_owned())
}

#[test]
fn heartbeats_keep_their_bytes() {
    let mut file = PinnedFile::open("reports_written");
    let heartbeat = |reclaim_in_s, tasks| WorkerHeartbeat {
        worker: "host-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        instance_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 3,
        sequence: 88,
        token: token(),
        reclaim_in_s,
        tasks,
    };
    file.pin_message("empty", &heartbeat(None, Vec::new()));
    file.pin_message("notice", &heartbeat(Some(25.5), Vec::new()));
    for (name, state) in [
        ("fetching", TaskState::Fetching),
        ("running", TaskState::Running),
        ("flushing", TaskState::Checkpointing),
        ("exited", TaskState::Exited),
        ("unknown", TaskState::Unknown),
    ] {
        let task_status = TaskStatus {
            task: "j-000412/3".into(),
            attempt: 2,
            state,
            exit_reason: None,
        };
        file.pin_message(
            &format!("state {name}"),
            &heartbeat(None, vec![task_status]),
        );
    }
    for (name, exit_reason) in [
        ("done", ExitReason::Completed),
        ("stopped", ExitReason::Stopped),
        ("error", ExitReason::Failed),
        ("full", ExitReason::InsufficientResources),
        ("busy", ExitReason::AttemptConflict),
        ("no such", ExitReason::UnknownTask),
        ("unknown", ExitReason::Unknown),
    ] {
        let task_status = TaskStatus {
            task: "j-000412/3".into(),
            attempt: 2,
            state: TaskState::Exited,
            exit_reason: Some(exit_reason),
        };
        file.pin_message(
            &format!("cause {name}"),
            &heartbeat(None, vec![task_status]),
        );
    }
    file.finish();
}

#[test]
fn heartbeats_of_any_worker_version_keep_their_meaning() {
    let mut file = PinnedFile::open("reports_read");
    let whole = received_heartbeat();
    let mut cases = vec![("whole".to_owned(), whole.clone())];
    for name in names_of(&whole) {
        cases.push((format!("without {name}"), without(&whole, &name)));
        cases.push((format!("{name} null"), with(&whole, &name, Value::Null)));
    }
    for name in ["Step", "Try", "Status", "Cause"] {
        cases.push((
            format!("task with {name} null"),
            with_task(name, Value::Null),
        ));
    }
    for word in ["fetching", "running", "flushing", "exited", "dreaming", ""] {
        let heartbeat = with_task("Status", text(word));
        cases.push((format!("state {word:?}"), heartbeat));
    }
    for word in [
        "done", "stopped", "error", "full", "busy", "no_such", "bored", "",
    ] {
        let heartbeat = with_task("Cause", text(word));
        cases.push((format!("cause {word:?}"), heartbeat));
    }
    for (case, name, value) in [
        ("notice as an integer", "WarningS", Value::from(25)),
        ("notice below zero", "WarningS", Value::from(-1)),
        ("notice not a number", "WarningS", Value::Float(f64::NAN)),
        ("notice a text", "WarningS", text("25")),
        ("session as a decimal", "Tenure", Value::Float(1.0)),
        ("session below zero", "Tenure", Value::from(-1)),
        ("highest session", "Tenure", Value::from(u64::MAX)),
        ("highest token", "Epoch", Value::from(u64::MAX)),
        ("token below zero", "Epoch", Value::from(-1)),
        ("token a text", "Epoch", text("41")),
        ("name a number", "Host", Value::from(5)),
        ("no tasks", "Steps", Value::Array(Vec::new())),
        ("unknown field", "Mood", text("good")),
    ] {
        cases.push((case.to_owned(), with(&whole, name, value)));
    }
    cases.push((
        "unknown task field".into(),
        with_task("Stored", true.into()),
    ));
    cases.push(("not a map".into(), Value::from(1)));
    for (case, heartbeat) in cases {
        file.pin_received::<WorkerHeartbeat>(&case, &heartbeat);
    }
    file.finish();
}

#[test]
fn commands_and_redirections_keep_their_bytes() {
    let mut file = PinnedFile::open("commands");
    let none = CommandBatch {
        token: FencingToken::default(),
        incarnation: None,
        commands: Vec::new(),
    };
    file.pin_message("no orders", &none);
    file.pin_message("answer to a report", &command_batch(None));
    file.pin_message("direct", &command_batch(Some(3)));
    for (case, leader) in [("to a node", Some("rung-2")), ("to any", None)] {
        let leader_hint = leader.map(str::to_owned);
        file.pin_message(&format!("redirection {case}"), &NotLeader { leader_hint });
    }
    let received = cbor!({"Epoch" => 41, "Orders" => [
        {"Verb" => "halt", "Step" => "j-000377/1", "Try" => 1, "DrainS" => 10.0}]});
    file.pin_received::<CommandBatch>(
        "received",
        &received.expect("the literal is not a valid CBOR value"),
    );
    let unknown = cbor!({"Epoch" => 41, "Orders" => [
        {"Verb" => "dance", "Step" => "j-000377/1", "Try" => 1}]});
    file.pin_received::<CommandBatch>(
        "received with an unknown verb",
        &unknown.expect("the literal is not a valid CBOR value"),
    );
    file.finish();
}

#[test]
fn tokens_and_task_ids_keep_their_forms() {
    let mut file = PinnedFile::open("tokens");
    for (case, token) in [
        ("none", FencingToken::default()),
        ("plain epoch", FencingToken::from_wire(41)),
        ("first fence", FencingToken::new(41, 0)),
        ("later fence", token()),
        ("highest fence", FencingToken::new(41, MAX_FENCE)),
        ("highest", FencingToken::new(MAX_EPOCH, MAX_FENCE)),
        ("beyond the highest", FencingToken::new(u64::MAX, u32::MAX)),
        ("impossible", FencingToken::from_wire(u64::MAX)),
    ] {
        file.pin_message(case, &token);
        let verdict = match token.validate() {
            Ok(()) => "possible".to_owned(),
            Err(error) => error.to_string(),
        };
        let parts = format!("{token} epoch {} fence {}", token.epoch(), token.fence());
        file.pin_text(&format!("{case}, parts"), &format!("{parts}: {verdict}"));
    }
    for name in [
        "j-000412/3",
        "j-1/0",
        "j-1/x",
        "j-1",
        "a/b/7",
        "j-1/-1",
        "j-1/",
    ] {
        let parsed = match TaskId::parse(name) {
            Ok(task) => format!("job {}, task {}: {task}", task.job, task.index),
            Err(_) => "no task".to_owned(),
        };
        file.pin_text(&format!("task name {name}"), &parsed);
    }
    file.finish();
}
